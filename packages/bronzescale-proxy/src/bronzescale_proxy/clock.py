"""Read the clocks; the core gets their values as arguments."""

import time


def now_ms():
    """Return the clock of leases and deadlines, which counts suspended time.

    Every deadline that crosses a connection is decoded on this clock, so that it can
    be compared with leases.

    Returns
    -------
    int
        Milliseconds since boot.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return the time of day; used for incarnations and display only.

    Returns
    -------
    int
        Milliseconds since 1970.
    """
    return time.time_ns() // 1_000_000
