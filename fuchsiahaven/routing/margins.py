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
LEAST_S: Final = 0.006
MOST_S: Final = 0.02
#: Weights of a new figure, as usual for round trips (RFC 6298), and how many
#: deviations beyond the mean are kept back: a late answer costs nine tenths,
#: a millisecond less some hundredths.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATIONS: Final = 2.0
#: What no host sees of its own answers: the kernel on both sides and the
#: caller's reading of it.
UNSEEN_S: Final = 0.002
#: Bytes of an answer beside its records, and of a part's signature in it.
HEAD_BYTES: Final = 250
SIGNATURE_BYTES: Final = 30
RECORD_BYTES: Final = 16


class Delay(NamedTuple):
    """Hold by how many seconds this host's answers left too late."""

    mean: float = 0.002
    deviation: float = 0.001


class Margin:
    """Own what this host has seen of its own answers."""

    def __init__(self) -> None:
        """Start with nothing seen; the link is in bytes a second if known."""
        self.link = 0.0
        self._delay = Delay()

    def note(self, late: float) -> None:
        """Take in by how many seconds an answer left after it was due."""
        self._delay = note(self._delay, late)

    def estimate(self, way: configs.Way) -> float:
        """Return how many seconds to keep back for an answer on this way."""
        return estimate(self._delay) + estimate_transfer(way, self.link)


def note(delay: Delay, late: float) -> Delay:
    """Take in by how much one answer left after it was due."""
    gap = late - delay.mean
    return Delay(
        delay.mean + MEAN_WEIGHT * gap,
        delay.deviation + DEVIATION_WEIGHT * (abs(gap) - delay.deviation),
    )


def estimate(delay: Delay) -> float:
    """Return what to keep back for this host's own delay, in seconds."""
    wanted = UNSEEN_S + delay.mean + DEVIATIONS * delay.deviation
    return min(MOST_S, max(LEAST_S, wanted))


def estimate_transfer(way: configs.Way, link: float) -> float:
    """Return how long an answer takes on this host's link, in seconds.

    `link` is in bytes a second; 0 where it is not known.
    """
    if not isinstance(way, configs.Gather) or not link:
        return 0.0
    signatures = SIGNATURE_BYTES * len(way.shards)
    size = HEAD_BYTES + signatures + RECORD_BYTES * way.limit
    return size / link
