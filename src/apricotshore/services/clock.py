"""Clocks of the services, in milliseconds."""

import time


def read_monotonic_ms() -> int:
    """Return the monotonic clock; only differences are meaningful."""
    return time.monotonic_ns() // 1_000_000


def read_wall_ms() -> int:
    """Return milliseconds since 1970, for records that people read."""
    return time.time_ns() // 1_000_000


def read_boot_ms() -> int:
    """Return milliseconds since boot, including time in suspension.

    Used for leases and the age of evidence, because the monotonic clock stops
    while the machine is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall_offset_ms() -> int:
    """Return how far the time of day is ahead of the boot clock.

    It changes when the time of day is stepped.
    """
    offset_ns = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return offset_ns // 1_000_000
