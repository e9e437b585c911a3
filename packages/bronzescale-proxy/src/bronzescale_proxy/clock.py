"""Read the clocks.

The core reads no clock; it gets the time as an argument.
"""

import time


def now_ms():
    """Return the time for leases and deadlines, including time in suspension.

    A lease must expire even while the host is suspended, so this is not the monotonic
    clock, which stops then. Deadlines received from peers are converted to this clock,
    so that they can be compared with leases.

    Returns
    -------
    int
        Milliseconds since boot.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return the time of day, for incarnations and display only.

    Returns
    -------
    int
        Milliseconds since 1970.
    """
    return time.time_ns() // 1_000_000
