"""Run the configuration task: keep the highest revision in force."""

import contextlib
import functools
import queue
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from fuchsiahaven.core.configuration import patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages
from fuchsiahaven.edge import (
    authenticators,
    manifest_reader,
    store,
    worker_pools,
)
from fuchsiahaven.operate import logs

PART: Final = 'configuration'
TICK_S: Final = 0.1
#: Children are pushed to in parallel, so that a dead one delays no other.
PEER_THREADS: Final = 4


class PatchClient(Protocol):
    """Push to and pull from members; each call has a time limit."""

    def push_patch(
        self, member: str, patch: patches.Patch
    ) -> messages.MemberUnreachable | messages.StampReceived:
        """Send a patch; return the stamp the member has in force."""

    def pull_patches(
        self, member: str, above: patches.Stamp
    ) -> messages.MemberUnreachable | messages.PullAnswered:
        """Fetch the patches that a member has above a stamp."""


class Stores(NamedTuple):
    """Hold the connections to the platform, one per thread."""

    for_reads: store.Store
    for_watches: store.Store


class CallContext(NamedTuple):
    """Hold the threads for blocking calls, and the stores they call."""

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
        """Prepare without starting; `run` needs a thread of its own."""
        self.state = state
        self._reader = manifest_reader.Reader(
            data_centre, authenticator.read_clock
        )
        self._authenticator = authenticator
        self._sink = sink
        self._inbox: queue.SimpleQueue[messages.Event | None]
        self._inbox = queue.SimpleQueue()
        self._random = random.SystemRandom().random
        self._client = client

    def post(self, event: messages.Event) -> None:
        """Queue an event; any thread may call this."""
        self._inbox.put(event)

    def stop(self) -> None:
        """Request `run` to end."""
        self._inbox.put(None)

    def find_unready_reason(self) -> str | None:
        """Return why this host cannot serve yet; None if it can."""
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
            event = messages.Ticked()
        if event is None:
            return False
        now = time.monotonic()
        for handled in (event, messages.Ticked()):
            state, actions = revisions.handle_event(
                self.state, handled, now, self._random
            )
            self.state = state
            for action in actions:
                self._perform(action, context)
        return True

    def _perform(self, action: messages.Action, context: CallContext) -> None:
        reader, stores = self._reader, context.stores
        match action:
            case messages.ReadManifest():
                call = functools.partial(reader.read, stores.for_reads)
                self._submit(
                    context.read_workers,
                    call,
                    messages.PlatformCallFailed(False, 'read'),
                )
            case messages.ReadStoreRevision():
                call = functools.partial(reader.read_revision, stores.for_reads)
                self._submit(
                    context.read_workers,
                    call,
                    messages.PlatformCallFailed(False, 'check'),
                )
            case messages.WatchManifest():
                call = functools.partial(
                    reader.watch, stores.for_watches, action
                )
                self._submit(
                    context.watch_workers,
                    call,
                    messages.PlatformCallFailed(True, 'watch'),
                )
            case messages.PushPatch() | messages.PullPatches():
                self._exchange_patches(action, context.peer_workers)
            case messages.PutInForce():
                self._sink(action.stamped)
                stamp = action.stamped.stamp
                logs.info(PART, 'in force', revision=stamp.revision)
            case messages.ConfirmInForce(stamp, sent_at):
                self._authenticator.record_read(stamp, sent_at)
            case messages.ReportFault():
                _log_fault(action)

    def _exchange_patches(
        self,
        action: messages.PushPatch | messages.PullPatches,
        peer_workers: worker_pools.WorkerPool,
    ) -> None:
        client = self._client
        if isinstance(action, messages.PullPatches):
            pull = functools.partial(client.pull_patches, *action)
            self._submit(
                peer_workers, pull, messages.MemberUnreachable(action.member)
            )
            return
        for member in action.members:
            push = functools.partial(client.push_patch, member, action.patch)
            self._submit(
                peer_workers,
                push,
                messages.MemberUnreachable(member, action.patch),
            )

    def _submit(
        self,
        pool: worker_pools.WorkerPool,
        call: Callable[[], messages.Event],
        failure: messages.Event,
    ) -> None:
        """Run a call in a worker; post its event, or `failure` on an error.

        Without an event after an unexpected error, the call would stay
        pending in the state for ever, and so would its watch or check.
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


def _log_fault(report: messages.ReportFault) -> None:
    if report.text:
        logs.error(PART, report.text, fault=report.fault)
    else:
        logs.info(PART, 'ended', fault=report.fault)
