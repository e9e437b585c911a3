"""Read the clocks; the core gets their values as arguments."""

import time


def monotonic_ms():
    """Return this node's monotonic clock.

    Returns
    -------
    int
        Milliseconds since an arbitrary moment.
    """
    return time.monotonic_ns() // 1_000_000


def wall_ms():
    """Return the time of day; used for incarnations and display only.

    Returns
    -------
    int
        Milliseconds since 1970.
    """
    return time.time_ns() // 1_000_000
