"""Read the clock of leases and deadlines, which counts suspended time."""

import time


def now_ms():
    """Return milliseconds since boot, time in suspension included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return the time of day; used for incarnations and log lines only."""
    return time.time_ns() // 1_000_000
