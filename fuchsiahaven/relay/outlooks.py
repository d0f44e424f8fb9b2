"""See whether any host of another data centre can be reached.

A data centre that is cut off is noticed by its hosts one by one, each with the
first requests that it cannot serve, and its balancer sends callers there until
nearly all have noticed. Where there are many hosts that takes longer than
most cuts last; losing the store shows it to all of them within a second.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

from fuchsiahaven.relay import journal, news
from fuchsiahaven.routing import facts, places

PART: Final = 'outlook'
#: How soon a host notices that the store is lost, or that others answer again.
LOOK_S: Final = 0.4
#: How long it does that another data centre answered. When the store is away
#: for all, each host opens a few connections a second for this, not a dozen.
REACHED_S: Final = 1.5
#: A connection takes 16 ms between the farthest data centres.
CONNECT_S: Final = 0.3
#: Hosts asked in each other data centre: one of them may be down.
ASKED: Final = 2


class Outlook:
    """Own what is known of the way to other data centres."""

    def __init__(
        self,
        known: news.News,
        log: journal.Journal,
        tell: Callable[[bool], None],
    ) -> None:
        """Begin with nothing in the way."""
        self._news = known
        self._log = log
        self._tell = tell
        self._isolated = False

    async def watch(self) -> None:
        """Look whenever the store is lost, for ever."""
        while True:
            lost = self._news.lost
            isolated = lost and await self.look()
            if isolated != self._isolated:
                self._isolated = isolated
                self._log.tell(PART, 'looked out', isolated=isolated)
                self._tell(isolated)
            reached = lost and not isolated
            await asyncio.sleep(REACHED_S if reached else LOOK_S)

    async def look(self) -> bool:
        """Tell that none of some hosts elsewhere accepts a connection."""
        own = self._news.settings.host
        asked = _choose(own, facts.list_hosts(self._news.ledger))
        found = await asyncio.gather(*[_reach(host) for host in asked])
        return bool(asked) and not any(found)


def _choose(
    own: places.Host, hosts: Sequence[places.Host]
) -> list[places.Host]:
    chosen: list[places.Host] = []
    for centre in {host.data_centre for host in hosts} - {own.data_centre}:
        there = [host for host in hosts if host.data_centre == centre]
        chosen.extend(random.sample(there, min(ASKED, len(there))))
    return chosen


async def _reach(host: places.Host) -> bool:
    address, _, port = host.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(address, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
