"""Work out when callers that are refused in numbers are to come back.

Told the same time, all of them would come back at one moment and be refused
once more. So each is told a time of its own, the more urgent the sooner.
"""

from typing import Final

#: How soon there may be room again, in seconds, and over how long callers of
#: one priority are spread: a busy host gets through what it has by then.
SOON_S: Final = 0.1
SPREAD_S: Final = 0.2
#: Less urgent ones come after all that are more urgent, up to so many steps.
MOST_STEPS: Final = 4
#: Digits after the point of the seconds that a caller is told.
DIGITS: Final = 2


def spread(
    priority: int, drawn: float, soon: float = SOON_S, over: float = SPREAD_S
) -> float:
    """Return in how many seconds a refused caller is to come back.

    `soon` is when there may be room again, `drawn` a number from 0 to 1; each
    step of priority comes back in a window of its own, `over` seconds long.
    """
    step = min(max(0, priority), MOST_STEPS)
    return round(soon + (step + drawn) * over, DIGITS)
