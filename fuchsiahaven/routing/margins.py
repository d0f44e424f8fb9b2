"""Estimate how long before the objective an answer has to be decided.

An answer decided at the last moment reaches its caller after the objective, and
is then worth a tenth, if the host is slow to merge and write it. Timers of a
busy host fire late, and a slow link takes milliseconds for the signatures of 90
shards. The delay differs between hosts and over time, so each host measures it
on its own answers.
"""

from typing import Final, NamedTuple

from fuchsiahaven.routing import configs

#: Bounds of the margin. Timers of an idle host fire a few milliseconds late,
#: which must not make answers late; and one stall of the host must not make it
#: reply without parts afterwards.
MIN_MARGIN_S: Final = 0.006
MAX_MARGIN_S: Final = 0.02
#: Weights of a new measurement, as for round-trip times in RFC 6298, and the
#: number of deviations above the mean in the margin. A late answer loses nine
#: tenths of its value, a millisecond less for gathering some hundredths.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
MARGIN_DEVIATIONS: Final = 2.0
#: Delay that a host cannot measure on its own answers: the kernels on both
#: sides and the caller's read.
UNOBSERVED_DELAY_S: Final = 0.002
#: Sizes in an answer: its head, the signature of one part, and one record.
RESPONSE_HEAD_BYTES: Final = 250
SIGNATURE_BYTES: Final = 30
RECORD_BYTES: Final = 16


class ReplyDelay(NamedTuple):
    """Hold the delay of this host's answers after their due time, in seconds.

    `mean` and `deviation` are moving averages.
    """

    mean: float = 0.002
    deviation: float = 0.001


class Margin:
    """Hold the delays that this host has measured on its own answers."""

    def __init__(self) -> None:
        """Start without measurements; a link speed of 0 is unknown."""
        self.link_bytes_per_s = 0.0
        self._delay = ReplyDelay()

    def record_delay(self, delay_s: float) -> None:
        """Record by how many seconds an answer left after its due time."""
        self._delay = update_delay(self._delay, delay_s)

    def estimate_margin(self, action: configs.RouteAction) -> float:
        """Estimate the margin in seconds for an answer of a route's action."""
        return estimate_margin(self._delay) + estimate_transfer(
            action, self.link_bytes_per_s
        )


def update_delay(delay: ReplyDelay, delay_s: float) -> ReplyDelay:
    """Update the averages with the delay of one answer, in seconds."""
    error = delay_s - delay.mean
    return ReplyDelay(
        delay.mean + MEAN_WEIGHT * error,
        delay.deviation + DEVIATION_WEIGHT * (abs(error) - delay.deviation),
    )


def estimate_margin(delay: ReplyDelay) -> float:
    """Estimate the margin for this host's own delay, in seconds."""
    margin = (
        UNOBSERVED_DELAY_S + delay.mean + MARGIN_DEVIATIONS * delay.deviation
    )
    return min(MAX_MARGIN_S, max(MIN_MARGIN_S, margin))


def estimate_transfer(
    action: configs.RouteAction, link_bytes_per_s: float
) -> float:
    """Estimate the transfer time of an answer on this host's link, in seconds.

    A link speed of 0 is unknown, and then the result is 0.
    """
    if not isinstance(action, configs.Gather) or not link_bytes_per_s:
        return 0.0
    signatures = SIGNATURE_BYTES * len(action.shards)
    size = RESPONSE_HEAD_BYTES + signatures + RECORD_BYTES * action.limit
    return size / link_bytes_per_s
