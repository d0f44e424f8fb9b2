"""Tell other hosts of requests that end targets.

They are told at once, from one host to the next: the caller's own repeat may
reach any of them a few milliseconds later.
"""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, journal, quarantines, traffic
from fuchsiahaven.routing import deployments, events, states, suspect_codecs

PART: Final = quarantines.PART
PATH: Final = '/v1/suspects'
#: Hosts that are told by one host; in a small fleet those are all.
FAN_OUT: Final = 8
#: Hops beyond those that reach every host if no two hosts tell the same one.
MORE_HOPS: Final = 1
TELL_S: Final = 0.5
#: How often a host is tried, and how soon after a failure: its connection may
#: have been reset, or not be open yet.
MOST_TRIES: Final = 3
AGAIN_S: Final = 0.3
#: Hosts that one that has just started asks, and how soon it asks again as long
#: as it knows none.
ASKED: Final = 2
START_S: Final = 0.1
#: Calls under way at most, where many hosts do not answer.
MOST_UNDER_WAY: Final = 64


class Notices:
    """Own the calls by which other hosts learn of requests."""

    def __init__(
        self,
        desk: states.Router,
        entered: quarantines.Quarantines,
        log: journal.Journal,
        counted: traffic.Traffic,
        learn: Callable[[events.SuspectsReported], None],
    ) -> None:
        """Start with nothing to tell."""
        self._desk = desk
        self._learn = learn
        self._quarantines = entered
        self._log = log
        self._peers = calls.Clients(counted)
        self._tasks: set[asyncio.Task[bytes | None]] = set()

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peers.close()

    def tell(self, found: suspects.News) -> None:
        """Tell of what this host found out."""
        hops = count_hops(len(self._desk.hosts))
        self._spread(suspect_codecs.SuspectNotice((found,), hops))
        self._quarantines.enter(found)

    def hand_on(self, notice: suspect_codecs.SuspectNotice) -> None:
        """Hand on what was news here."""
        if notice.hops:
            self._spread(notice._replace(hops=notice.hops - 1))
        for found in notice.reports:
            self._quarantines.keep(found)

    def refuse(self, why: str) -> None:
        """Take note that a host told what cannot be read."""
        self._log.tell_request(PART, 'malformed', good=False, why=why)

    def _spread(self, notice: suspect_codecs.SuspectNotice) -> None:
        body = suspect_codecs.encode_notice(notice)
        call = store.Call('POST', PATH, body)
        for host in self._pick(FAN_OUT):
            if len(self._tasks) < MOST_UNDER_WAY:
                task = asyncio.create_task(self._call(host, call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def learn(self) -> None:
        """Ask other hosts what they know, once some are known."""
        while not self._desk.hosts:
            await asyncio.sleep(START_S)
        hosts = self._pick(ASKED)
        found = await asyncio.gather(*[self._ask(host) for host in hosts])
        news = tuple(one for told in found for one in told)
        if news:
            self._learn(events.SuspectsReported(news))

    async def _ask(self, host: deployments.Host) -> tuple[suspects.News, ...]:
        body = await self._call(host, store.Call('GET', PATH))
        if body is None:
            return ()
        try:
            return suspect_codecs.decode_notice(body).reports
        except ValueError as error:
            self.refuse(str(error))
            return ()

    def _pick(self, count: int) -> list[deployments.Host]:
        hosts = list(self._desk.hosts)
        return random.sample(hosts, min(count, len(hosts)))

    async def _call(
        self, host: deployments.Host, call: store.Call
    ) -> bytes | None:
        """Call a host, again if that fails; None without an answer."""
        far = host.data_centre != self._desk.host.data_centre
        client = self._peers.find(host.address, far=far)
        tries = 0
        while tries < MOST_TRIES:
            tries += 1
            try:
                return (await client.call(call, TELL_S)).body
            except calls.CallFailed as error:
                why = str(error)
            await asyncio.sleep(AGAIN_S)
        self._log.tell_request(PART, 'not told', good=False, why=why)
        return None


def count_hops(hosts: int) -> int:
    """Count how often a notice is handed on to reach so many hosts."""
    if hosts <= FAN_OUT:
        return 0
    return math.ceil(math.log(hosts, FAN_OUT)) + MORE_HOPS
