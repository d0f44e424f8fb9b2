"""Run the configuration task: keep the highest revision in force here."""

import contextlib
import functools
import queue
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from fuchsiahaven.core.configuration import patches, revisions
from fuchsiahaven.core.configuration import revision_messages as wording
from fuchsiahaven.edge import doors, manifest_reader, store, workers
from fuchsiahaven.operate import logs

PART: Final = 'configuration'
TICK_S: Final = 0.1
#: Pushes to children go out side by side, so that a dead one holds up none.
PEER_THREADS: Final = 4


class Exchange(Protocol):
    """Carry patches to and from members; each call ends within bounds."""

    def push(
        self, member: str, patch: patches.Patch
    ) -> wording.MemberUnreachable | wording.StampReceived:
        """Send a patch; give back what the member has in force."""

    def pull(
        self, member: str, above: patches.Stamp
    ) -> wording.MemberUnreachable | wording.PullAnswered:
        """Fetch what a member has above a stamp."""


class Stores(NamedTuple):
    """Hold the connections to the platform, one for each thread."""

    asking: store.Store
    watching: store.Store


class Means(NamedTuple):
    """Hold what calls block in: threads, by whom they call, and stores."""

    asking: workers.Workers
    watching: workers.Workers
    peers: workers.Workers
    stores: Stores


class Task:
    """Own the choice of the revision in force on this host."""

    def __init__(
        self,
        state: revisions.State,
        data_centre: str,
        exchange: Exchange,
        sink: Callable[[patches.StampedConfiguration], None],
        door: doors.Door,
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.state = state
        self._reader = manifest_reader.Reader(data_centre, door.read_clock)
        self._door = door
        self._sink = sink
        self._inbox: queue.SimpleQueue[wording.Event | None]
        self._inbox = queue.SimpleQueue()
        self._draws = random.SystemRandom().random
        self._exchange = exchange

    def post(self, event: wording.Event) -> None:
        """Hand in an event; any thread may call this."""
        self._inbox.put(event)

    def stop(self) -> None:
        """Ask `run` to end."""
        self._inbox.put(None)

    def explain(self) -> str | None:
        """Say why this host cannot serve yet; None where it can."""
        state = self.state
        if state.in_force.stamp.revision:
            return None
        told = '; '.join(f'{fault}: {text}' for fault, text in state.faults)
        return f'no configuration yet; {told or "asking"}'

    def run(self, stores: Stores) -> None:
        """Serve until stopped."""
        with contextlib.ExitStack() as stack:
            means = Means(
                stack.enter_context(_open('ask', 1)),
                stack.enter_context(_open('watch', 1)),
                stack.enter_context(_open('peers', PEER_THREADS)),
                stores,
            )
            running = True
            while running:
                running = self._turn(means)

    def _turn(self, means: Means) -> bool:
        try:
            event = self._inbox.get(timeout=TICK_S)
        except queue.Empty:
            event = wording.Ticked()
        if event is None:
            return False
        now = time.monotonic()
        for happened in (event, wording.Ticked()):
            state, actions = revisions.handle_event(
                self.state, happened, now, self._draws
            )
            self.state = state
            for action in actions:
                self._act(action, means)
        return True

    def _act(self, action: wording.Action, means: Means) -> None:
        reader, stores = self._reader, means.stores
        match action:
            case wording.ReadManifest():
                ask = functools.partial(reader.read, stores.asking)
                self._ask(
                    means.asking, ask, wording.PlatformCallFailed(False, 'read')
                )
            case wording.ReadStoreRevision():
                ask = functools.partial(reader.check, stores.asking)
                self._ask(
                    means.asking,
                    ask,
                    wording.PlatformCallFailed(False, 'check'),
                )
            case wording.WatchManifest():
                ask = functools.partial(reader.watch, stores.watching, action)
                self._ask(
                    means.watching,
                    ask,
                    wording.PlatformCallFailed(True, 'watch'),
                )
            case wording.PushPatch() | wording.PullPatches():
                self._trade(action, means.peers)
            case wording.PutInForce():
                self._sink(action.stamped)
                stamp = action.stamped.stamp
                logs.info(PART, 'in force', revision=stamp.revision)
            case wording.ConfirmInForce(stamp, left):
                self._door.note_read(stamp, left)
            case wording.ReportFault():
                _report(action)

    def _trade(
        self,
        action: wording.PushPatch | wording.PullPatches,
        peers: workers.Workers,
    ) -> None:
        exchange = self._exchange
        if isinstance(action, wording.PullPatches):
            pull = functools.partial(exchange.pull, *action)
            self._ask(peers, pull, wording.MemberUnreachable(action.member))
            return
        for member in action.members:
            push = functools.partial(exchange.push, member, action.patch)
            self._ask(
                peers, push, wording.MemberUnreachable(member, action.patch)
            )

    def _ask(
        self,
        pool: workers.Workers,
        ask: Callable[[], wording.Event],
        lost: wording.Event,
    ) -> None:
        """Run a call beside the task; its end is always an event.

        A call that ended in an error of ours without one would stay open in
        the state for ever, and with it the watch or the check it stands for.
        """

        def run() -> None:
            try:
                event = ask()
            except Exception as error:
                logs.error(PART, 'call failed', error=repr(error))
                event = lost
            self.post(event)

        pool.ask(run)


def _open(
    name: str, count: int
) -> contextlib.AbstractContextManager[workers.Workers]:
    return contextlib.closing(workers.Workers(f'{PART}-{name}', count))


def _report(report: wording.ReportFault) -> None:
    if report.text:
        logs.error(PART, report.text, fault=report.fault)
    else:
        logs.info(PART, 'ended', fault=report.fault)
