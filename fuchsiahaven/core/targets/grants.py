"""Hold back the growth of a host's seats until all hosts see the same deal.

While members change, hosts count on different deals for as long as the news
travels. One that took its new seats at once would add them to those which
their former holders still use, and the target closes the connections past
its cap. So seats are given up at once and taken after the news has arrived.
"""

import math
from typing import Final, NamedTuple

#: How long news of a member takes to reach all of a data centre at most.
SETTLE_DELAY_S: Final = 3.0


class Grant(NamedTuple):
    """Hold the seats a host may use at a target, and those it is dealt.

    `due` is when the one becomes the other.
    """

    connections: int
    allocated: int
    due: float = math.inf


def update_allocation(grant: Grant | None, allocated: int, now: float) -> Grant:
    """Take in a new deal; one seat of a first one comes from the reserve.

    A new host would else serve nothing until its deal has settled.
    """
    if grant is None:
        grant = Grant(min(1, allocated), min(1, allocated))
    if allocated == grant.allocated:
        return grant
    if allocated <= grant.connections:
        return Grant(allocated, allocated)
    return Grant(grant.connections, allocated, now + SETTLE_DELAY_S)


def raise_if_due(grant: Grant, now: float) -> Grant:
    """Grow to what was dealt once it has stood long enough."""
    if now < grant.due:
        return grant
    return Grant(grant.allocated, grant.allocated)
