"""Tell the hosts of this data centre which others are out of reach.

The balancer moves callers only once no host of a data centre that is cut off
says that it is ready. Hosts that are asked little would notice last.
"""

import asyncio
import json
import time
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, journal, traffic
from fuchsiahaven.routing import centre_health, contention, deployments, states

PART: Final = 'silences'
PATH: Final = '/v1/silences'
#: How often it is looked at whether there is something to tell.
LOOK_S: Final = 0.1
TELL_S: Final = 0.5
#: More than there are data centres is no list of them.
MOST_NAMES: Final = 256
LONGEST_NAME: Final = 200


class Silences:
    """Own the calls by which hosts beside this one learn of silence."""

    def __init__(
        self,
        desk: states.Router,
        log: journal.Journal,
        counted: traffic.Traffic,
    ) -> None:
        """Start with nothing to tell."""
        self._desk = desk
        self._log = log
        self._peers = calls.Clients(counted)
        self._tasks: set[asyncio.Task[None]] = set()
        self._told: frozenset[str] = frozenset()
        self._due = 0.0

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peers.close()

    async def tell(self) -> None:
        """Tell as long as there is something to tell, for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look(time.monotonic())

    def take(self, body: bytes) -> None:
        """Take in what a host tells; raises ValueError."""
        told = read(body)
        if told.data_centre == self._desk.host.data_centre:
            self._desk.centre_health.update_report(told, time.monotonic())

    def _look(self, now: float) -> None:
        found = self._desk.centre_health.list_observed()
        if self._told:
            if found == self._told and now < self._due:
                return
        elif not contention.list_unreported(
            self._desk.index, self._desk.centre_health, now
        ):
            return
        self._told = found
        self._due = now + centre_health.REPORT_LIFETIME_S / 2
        self._spread(found)

    def _spread(self, found: frozenset[str]) -> None:
        own = self._desk.host
        near = [
            it for it in self._desk.hosts if it.data_centre == own.data_centre
        ]
        silent = tuple(sorted(found))
        self._log.tell(PART, 'told', silent=silent, hosts=len(near))
        body = write(
            centre_health.SilenceReport(own.name, own.data_centre, silent)
        )
        call = store.Call('POST', PATH, body)
        for host in near:
            task = asyncio.create_task(self._call(host, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, host: deployments.Host, call: store.Call) -> None:
        client = self._peers.find(host.address, far=False)
        try:
            await client.call(call, TELL_S)
        except calls.CallFailed as error:
            # It is told again as long as it matters.
            why = str(error)
            self._log.tell_request(PART, 'not told', good=False, why=why)


def write(told: centre_health.SilenceReport) -> bytes:
    """Write which data centres a host hears nothing of."""
    row = {
        'host': told.host,
        'data_centre': told.data_centre,
        'silent': list(told.silent),
    }
    return json.dumps(row, separators=(',', ':')).encode()


def read(text: bytes) -> centre_health.SilenceReport:
    """Read which data centres a host hears nothing of; raises ValueError."""
    try:
        row = json.loads(text)
        host = _read_name(row['host'])
        own = _read_name(row['data_centre'])
        names = row['silent']
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(repr(error)) from error
    if not isinstance(names, list) or len(names) > MOST_NAMES:
        raise ValueError('no names')
    return centre_health.SilenceReport(
        host, own, tuple(_read_name(it) for it in names)
    )


def _read_name(told: object) -> str:
    if isinstance(told, str) and len(told) <= LONGEST_NAME:
        return told
    raise ValueError('no name')
