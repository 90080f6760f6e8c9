"""Clocks as the services read them."""

import time


def read_monotonic_ms() -> int:
    """Return monotonic milliseconds; only differences have a meaning."""
    return time.monotonic_ns() // 1_000_000


def read_wall_ms() -> int:
    """Return milliseconds since 1970, for records that people read."""
    return time.time_ns() // 1_000_000
