"""Define when the steps of a host's planned stop end."""

import math
from typing import Final, NamedTuple

#: The balancer polls once a second, and removes a host after two responses
#: other than 200.
BALANCER_LAG_S: Final = 2.6
#: How long before the platform kills the process all requests are answered, and
#: how long before it the process ends. Both are at most these fractions of the
#: time that it has.
REPLY_MARGIN_S: Final = 0.7
MAX_REPLY_MARGIN_FRACTION: Final = 1 / 4
EXIT_MARGIN_S: Final = 0.3
MAX_EXIT_MARGIN_FRACTION: Final = 1 / 8


class Schedule(NamedTuple):
    """Hold the times at which the steps of a stop end at the latest.

    New callers may come until `balancer_at` even if other hosts are ready. All
    requests are answered by `replies_at`, and the answers sent by `exit_at`.
    """

    balancer_at: float
    replies_at: float
    exit_at: float


class StopRequested(NamedTuple):
    """Report that this host stops and answers every request by `ends_at`."""

    ends_at: float


class Lifetime:
    """Hold by when this host answers every request; infinite until it stops."""

    def __init__(self) -> None:
        """Start without an end."""
        self.ends_at = math.inf


def make_schedule(began_at: float, grace_s: float) -> Schedule:
    """Make the schedule of a stop that the platform ends after `grace_s`."""
    reply_margin_s = min(REPLY_MARGIN_S, MAX_REPLY_MARGIN_FRACTION * grace_s)
    exit_margin_s = min(EXIT_MARGIN_S, MAX_EXIT_MARGIN_FRACTION * grace_s)
    replies_at = began_at + grace_s - reply_margin_s
    return Schedule(
        min(began_at + BALANCER_LAG_S, replies_at),
        replies_at,
        began_at + grace_s - exit_margin_s,
    )
