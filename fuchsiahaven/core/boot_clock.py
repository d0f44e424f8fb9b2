"""Read a clock that also goes on while the machine is suspended."""

import time


def read_clock() -> float:
    """Read the seconds that have passed since some moment before the start.

    The steady clock stands still while a machine is suspended, so what is
    counted on it may be older than it seems.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
