"""Tell other hosts of requests that end targets.

They are told at once, from one host to the next: the caller's own repeat may
reach any of them a few milliseconds later.
"""

import asyncio
import math
import random
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, journal, quarantines, traffic
from fuchsiahaven.routing import places, states, suspect_codecs

PART: Final = quarantines.PART
PATH: Final = '/v1/suspects'
#: Hosts that are told by one host; in a small fleet those are all.
FAN_OUT: Final = 8
#: Hops beyond those that reach every host if no two hosts tell the same one.
MORE_HOPS: Final = 1
TELL_S: Final = 0.5
#: Calls under way at most, where many hosts do not answer.
MOST_UNDER_WAY: Final = 64


class Notices:
    """Own the calls by which other hosts learn of requests."""

    def __init__(
        self,
        desk: states.Desk,
        entered: quarantines.Quarantines,
        log: journal.Journal,
        counted: traffic.Traffic,
    ) -> None:
        """Start with nothing to tell."""
        self._desk = desk
        self._quarantines = entered
        self._log = log
        self._peers = calls.Clients(counted)
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peers.close()

    def tell(self, found: suspects.News) -> None:
        """Tell of what this host found out."""
        hops = count_hops(len(self._desk.hosts))
        self._spread(suspect_codecs.Notice((found,), hops))
        self._quarantines.enter(found)

    def hand_on(self, notice: suspect_codecs.Notice) -> None:
        """Hand on what was news here."""
        if notice.hops:
            self._spread(notice._replace(hops=notice.hops - 1))
        for found in notice.news:
            self._quarantines.keep(found)

    def refuse(self, why: str) -> None:
        """Take note that a host told what cannot be read."""
        self._log.tell_request(PART, 'malformed', good=False, why=why)

    def _spread(self, notice: suspect_codecs.Notice) -> None:
        hosts = list(self._desk.hosts)
        body = suspect_codecs.write_notice(notice)
        for host in random.sample(hosts, min(FAN_OUT, len(hosts))):
            if len(self._tasks) < MOST_UNDER_WAY:
                task = asyncio.create_task(self._call(host, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _call(self, host: places.Host, body: bytes) -> None:
        far = host.data_centre != self._desk.host.data_centre
        client = self._peers.find(host.address, far=far)
        try:
            await client.call(store.Call('POST', PATH, body), TELL_S)
        except calls.CallFailed as error:
            self._log.tell_request(PART, 'not told', good=False, why=str(error))


def count_hops(hosts: int) -> int:
    """Count how often a notice is handed on to reach so many hosts."""
    if hosts <= FAN_OUT:
        return 0
    return math.ceil(math.log(hosts, FAN_OUT)) + MORE_HOPS
