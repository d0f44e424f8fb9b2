"""Read a clock that includes the time for which the machine was suspended."""

import time


def read_clock() -> float:
    """Return the seconds since the machine was booted.

    The monotonic clock stops while the machine is suspended, so ages computed
    from it can be too low.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
