"""Share out the connections that each target takes over all hosts."""

from typing import Final

#: Part of a target's bound that all hosts use together: those of hosts that
#: have just ended still count there for a moment.
USABLE_FRACTION: Final = 0.9


def compute_connections(connections: int, hosts: int) -> int:
    """Count the connections that each host may have to a target."""
    return max(1, int(USABLE_FRACTION * connections / hosts))
