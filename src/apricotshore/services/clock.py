"""Clocks as the services read them."""

import time


def read_monotonic_ms() -> int:
    """Return monotonic milliseconds; only differences have a meaning."""
    return time.monotonic_ns() // 1_000_000


def read_wall_ms() -> int:
    """Return milliseconds since 1970, for records that people read."""
    return time.time_ns() // 1_000_000


def read_boot_ms() -> int:
    """Return milliseconds since boot, time in suspension included.

    Leases and the age of evidence are measured with it: the monotonic clock
    stands still while a machine is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
