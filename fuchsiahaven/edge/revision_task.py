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
from fuchsiahaven.edge import (
    authenticators,
    manifest_reader,
    store,
    worker_pools,
)
from fuchsiahaven.operate import logs

PART: Final = 'configuration'
TICK_S: Final = 0.1
#: Pushes to children go out side by side, so that a dead one holds up none.
PEER_THREADS: Final = 4


class PatchClient(Protocol):
    """Carry patches to and from members; each call ends within bounds."""

    def push_patch(
        self, member: str, patch: patches.Patch
    ) -> wording.MemberUnreachable | wording.StampReceived:
        """Send a patch; give back what the member has in force."""

    def pull_patches(
        self, member: str, above: patches.Stamp
    ) -> wording.MemberUnreachable | wording.PullAnswered:
        """Fetch what a member has above a stamp."""


class Stores(NamedTuple):
    """Hold the connections to the platform, one for each thread."""

    for_reads: store.Store
    for_watches: store.Store


class CallContext(NamedTuple):
    """Hold what calls block in: threads, by whom they call, and stores."""

    read_workers: worker_pools.WorkerPool
    watch_workers: worker_pools.WorkerPool
    peer_workers: worker_pools.WorkerPool
    stores: Stores


class Task:
    """Own the choice of the revision in force on this host."""

    def __init__(
        self,
        state: revisions.State,
        data_centre: str,
        client: PatchClient,
        sink: Callable[[patches.StampedConfiguration], None],
        authenticator: authenticators.Authenticator,
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.state = state
        self._reader = manifest_reader.Reader(
            data_centre, authenticator.read_clock
        )
        self._authenticator = authenticator
        self._sink = sink
        self._inbox: queue.SimpleQueue[wording.Event | None]
        self._inbox = queue.SimpleQueue()
        self._random = random.SystemRandom().random
        self._client = client

    def post(self, event: wording.Event) -> None:
        """Hand in an event; any thread may call this."""
        self._inbox.put(event)

    def stop(self) -> None:
        """Ask `run` to end."""
        self._inbox.put(None)

    def find_unready_reason(self) -> str | None:
        """Say why this host cannot serve yet; None where it can."""
        state = self.state
        if state.in_force.stamp.revision:
            return None
        faults = '; '.join(f'{fault}: {text}' for fault, text in state.faults)
        return f'no configuration yet; {faults or "asking"}'

    def run(self, stores: Stores) -> None:
        """Serve until stopped."""
        with contextlib.ExitStack() as stack:
            context = CallContext(
                stack.enter_context(_start_workers('ask', 1)),
                stack.enter_context(_start_workers('watch', 1)),
                stack.enter_context(_start_workers('peers', PEER_THREADS)),
                stores,
            )
            running = True
            while running:
                running = self._run_once(context)

    def _run_once(self, context: CallContext) -> bool:
        try:
            event = self._inbox.get(timeout=TICK_S)
        except queue.Empty:
            event = wording.Ticked()
        if event is None:
            return False
        now = time.monotonic()
        for handled in (event, wording.Ticked()):
            state, actions = revisions.handle_event(
                self.state, handled, now, self._random
            )
            self.state = state
            for action in actions:
                self._perform(action, context)
        return True

    def _perform(self, action: wording.Action, context: CallContext) -> None:
        reader, stores = self._reader, context.stores
        match action:
            case wording.ReadManifest():
                call = functools.partial(reader.read, stores.for_reads)
                self._submit(
                    context.read_workers,
                    call,
                    wording.PlatformCallFailed(False, 'read'),
                )
            case wording.ReadStoreRevision():
                call = functools.partial(reader.read_revision, stores.for_reads)
                self._submit(
                    context.read_workers,
                    call,
                    wording.PlatformCallFailed(False, 'check'),
                )
            case wording.WatchManifest():
                call = functools.partial(
                    reader.watch, stores.for_watches, action
                )
                self._submit(
                    context.watch_workers,
                    call,
                    wording.PlatformCallFailed(True, 'watch'),
                )
            case wording.PushPatch() | wording.PullPatches():
                self._exchange_patches(action, context.peer_workers)
            case wording.PutInForce():
                self._sink(action.stamped)
                stamp = action.stamped.stamp
                logs.info(PART, 'in force', revision=stamp.revision)
            case wording.ConfirmInForce(stamp, sent_at):
                self._authenticator.record_read(stamp, sent_at)
            case wording.ReportFault():
                _log_fault(action)

    def _exchange_patches(
        self,
        action: wording.PushPatch | wording.PullPatches,
        peer_workers: worker_pools.WorkerPool,
    ) -> None:
        client = self._client
        if isinstance(action, wording.PullPatches):
            pull = functools.partial(client.pull_patches, *action)
            self._submit(
                peer_workers, pull, wording.MemberUnreachable(action.member)
            )
            return
        for member in action.members:
            push = functools.partial(client.push_patch, member, action.patch)
            self._submit(
                peer_workers,
                push,
                wording.MemberUnreachable(member, action.patch),
            )

    def _submit(
        self,
        pool: worker_pools.WorkerPool,
        call: Callable[[], wording.Event],
        failure: wording.Event,
    ) -> None:
        """Run a call beside the task; its end is always an event.

        A call that ended in an error of ours without one would stay open in
        the state for ever, and with it the watch or the check it stands for.
        """

        def run() -> None:
            try:
                event = call()
            except Exception as error:
                logs.error(PART, 'call failed', error=repr(error))
                event = failure
            self.post(event)

        pool.submit(run)


def _start_workers(
    name: str, count: int
) -> contextlib.AbstractContextManager[worker_pools.WorkerPool]:
    return contextlib.closing(worker_pools.WorkerPool(f'{PART}-{name}', count))


def _log_fault(report: wording.ReportFault) -> None:
    if report.text:
        logs.error(PART, report.text, fault=report.fault)
    else:
        logs.info(PART, 'ended', fault=report.fault)
