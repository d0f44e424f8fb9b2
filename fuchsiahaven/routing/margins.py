"""Work out how long before the objective an answer has to be decided.

An answer that is decided at the last moment reaches its caller after the
objective, and is worth a tenth, if the host is slow to merge and write it: its
timer fires late while it is busy, and a small link takes milliseconds for what
90 shards sign. How much that is differs by host and by moment, so each host
goes by what it sees of its own answers.
"""

from typing import Final, NamedTuple

from fuchsiahaven.routing import configs

#: Never so little that an idle host's timers, which fire a few milliseconds
#: late, make answers late; nor so much that one stall of the host would empty
#: the answers after it.
MIN_MARGIN_S: Final = 0.006
MAX_MARGIN_S: Final = 0.02
#: Weights of a new figure, as usual for round trips (RFC 6298), and how many
#: deviations beyond the mean are kept back: a late answer costs nine tenths,
#: a millisecond less some hundredths.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
MARGIN_DEVIATIONS: Final = 2.0
#: What no host sees of its own answers: the kernel on both sides and the
#: caller's reading of it.
UNOBSERVED_DELAY_S: Final = 0.002
#: Bytes of an answer beside its records, and of a part's signature in it.
RESPONSE_HEAD_BYTES: Final = 250
SIGNATURE_BYTES: Final = 30
RECORD_BYTES: Final = 16


class ReplyDelay(NamedTuple):
    """Hold by how many seconds this host's answers left too late."""

    mean: float = 0.002
    deviation: float = 0.001


class Margin:
    """Own what this host has seen of its own answers."""

    def __init__(self) -> None:
        """Start with nothing seen; the link is in bytes a second if known."""
        self.link_bytes_per_s = 0.0
        self._delay = ReplyDelay()

    def record_delay(self, delay_s: float) -> None:
        """Take in by how many seconds an answer left after it was due."""
        self._delay = update_delay(self._delay, delay_s)

    def estimate_margin(self, action: configs.RouteAction) -> float:
        """Return how many seconds to keep back for an answer on this way."""
        return estimate_margin(self._delay) + estimate_transfer(
            action, self.link_bytes_per_s
        )


def update_delay(delay: ReplyDelay, delay_s: float) -> ReplyDelay:
    """Take in by how much one answer left after it was due."""
    error = delay_s - delay.mean
    return ReplyDelay(
        delay.mean + MEAN_WEIGHT * error,
        delay.deviation + DEVIATION_WEIGHT * (abs(error) - delay.deviation),
    )


def estimate_margin(delay: ReplyDelay) -> float:
    """Return what to keep back for this host's own delay, in seconds."""
    margin = (
        UNOBSERVED_DELAY_S + delay.mean + MARGIN_DEVIATIONS * delay.deviation
    )
    return min(MAX_MARGIN_S, max(MIN_MARGIN_S, margin))


def estimate_transfer(
    action: configs.RouteAction, link_bytes_per_s: float
) -> float:
    """Return how long an answer takes on this host's link, in seconds.

    `link` is in bytes a second; 0 where it is not known.
    """
    if not isinstance(action, configs.Gather) or not link_bytes_per_s:
        return 0.0
    signatures = SIGNATURE_BYTES * len(action.shards)
    size = RESPONSE_HEAD_BYTES + signatures + RECORD_BYTES * action.limit
    return size / link_bytes_per_s
