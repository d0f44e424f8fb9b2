"""Divide the connections that a target accepts among all hosts."""

from typing import Final

#: Fraction of a target's bound that all hosts use together: connections of
#: hosts that have just ended still count there for a moment.
USABLE_FRACTION: Final = 0.9


def compute_connections(connections: int, hosts: int) -> int:
    """Return how many connections each host may have to a target."""
    return max(1, int(USABLE_FRACTION * connections / hosts))
