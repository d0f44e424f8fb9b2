"""Delay an increase of a host's connections until all hosts allocate alike.

While a change of members spreads, hosts work with different allocations. A
host that used its additional connections at once would open them while their
former holders still use them, and the target closes those beyond its maximum.
So connections are given up at once, and added after the change has spread.
"""

import math
from typing import Final, NamedTuple

#: Maximum time for a change of members to reach all hosts of a data centre.
SETTLE_DELAY_S: Final = 3.0


class Grant(NamedTuple):
    """Hold the connections a host may use to a target, and its allocation.

    `due` is when `connections` is raised to `allocated`, in monotonic seconds.
    """

    connections: int
    allocated: int
    due: float = math.inf


def update_allocation(grant: Grant | None, allocated: int, now: float) -> Grant:
    """Update the allocation; lower the connections at once, raise them later.

    The first allocation grants one connection at once, from the target's
    reserve: otherwise a new host would serve nothing until the delay is over.
    """
    if grant is None:
        grant = Grant(min(1, allocated), min(1, allocated))
    if allocated == grant.allocated:
        return grant
    if allocated <= grant.connections:
        return Grant(allocated, allocated)
    return Grant(grant.connections, allocated, now + SETTLE_DELAY_S)


def raise_if_due(grant: Grant, now: float) -> Grant:
    """Raise the connections to the allocation if the delay is over."""
    if now < grant.due:
        return grant
    return Grant(grant.allocated, grant.allocated)
