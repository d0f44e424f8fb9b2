"""Simulate hosts, a platform and a lossy network to test `revisions`."""

import heapq
import itertools
import random
from collections.abc import Callable

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages

MESSAGE_DELAY_S = 0.005
TICK_INTERVAL_S = 0.1
GOSSIP_INTERVAL_S = 1.0


class Platform:
    """Hold the manifest, its history and the faults of the platform.

    With `drops_watches` a watch in flight never gets an answer.
    """

    def __init__(self) -> None:
        """Start with a first revision."""
        self.store_revision = 0
        self.revision = 0
        self.changes: tuple[messages.RevisionChange, ...] = ()
        self.down = False
        self.drops_watches = False
        self.change('first')

    def change(self, change_id: str) -> None:
        """Accept a change."""
        self.store_revision += 1
        self.revision += 1
        change = messages.RevisionChange(
            self.revision, change_id, self.revision - 1
        )
        self.changes = (*self.changes, change)

    def read_manifest(self, *, by_watch: bool) -> messages.ManifestRead:
        """Return the configuration that results from the history."""
        labels = tuple((f'l{it.revision}', it.change_id) for it in self.changes)
        group = configurations.Group('catalogo', labels, ())
        configuration = configurations.Configuration(self.revision, (group,))
        return messages.ManifestRead(
            self.store_revision, configuration, self.changes, by_watch
        )


class RevisionNetwork:
    """Run hosts of one data centre in simulated time.

    Hosts in `partitioned` are cut off from the platform and all others.
    """

    def __init__(
        self, count: int, timings: revisions.Timings | None = None
    ) -> None:
        """Start hosts that know each other."""
        self.now = 100.0
        self.platform = Platform()
        self.hosts: dict[str, revisions.State] = {}
        self.partitioned: set[str] = set()
        self.loss_fraction = 0.0
        self.platform_calls = 0
        self.pushes = 0
        self._timings = timings or revisions.Timings()
        self._random = random.Random(0)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._names = tuple(f'h{number}' for number in range(count))
        for name in self._names:
            self.add(name)

    def add(self, name: str) -> None:
        """Start a host with nothing in force."""
        self.hosts[name] = revisions.start(name, self.now, self._timings)
        self.send(name, messages.MembersListed(self._names))
        self._call_later(
            self._random.random() * TICK_INTERVAL_S, lambda: self._tick(name)
        )
        self._call_later(self._random.random(), lambda: self._gossip(name))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, callback = heapq.heappop(self._queue)
            self.now = at
            callback()
        self.now = end

    def list_revisions(self) -> set[int]:
        """List the revisions that are in force on any host."""
        return {it.in_force.stamp.revision for it in self.hosts.values()}

    def list_faults(self) -> set[messages.Fault]:
        """List the faults that any host reports."""
        return {fault for it in self.hosts.values() for fault, _ in it.faults}

    def send(self, name: str, event: messages.Event) -> None:
        """Let a host handle an event and execute its actions."""
        if name not in self.hosts:
            return
        before = self.hosts[name].in_force.stamp.revision
        state, actions = revisions.handle_event(
            self.hosts[name], event, self.now, self._random.random
        )
        assert state.in_force.stamp.revision >= before
        self.hosts[name] = state
        for action in actions:
            self._run_action(name, action)

    def _run_action(self, name: str, action: messages.Action) -> None:
        match action:
            case messages.PushPatch(receivers, patch):
                for receiver in receivers:
                    self._push(name, receiver, patch)
            case messages.PullPatches(member, above_stamp):
                answer: messages.Event = messages.MemberUnreachable(member)
                if member in self.hosts and not self._is_lost(name, member):
                    chain = revisions.list_patches(
                        self.hosts[member], above_stamp
                    )
                    answer = messages.PullAnswered(member, chain)
                self._answer(name, answer)
            case messages.ReadManifest() | messages.ReadStoreRevision():
                self.platform_calls += 1
                self._answer(name, self._call_platform(name, action))
            case messages.WatchManifest():
                self.platform_calls += 1
                self._watch(name, action, self.now + action.wait_s)

    def _push(self, name: str, receiver: str, patch: patches.Patch) -> None:
        self.pushes += 1
        if receiver not in self.hosts or self._is_lost(name, receiver):
            self._answer(name, messages.MemberUnreachable(receiver, patch))
            return
        received = messages.PatchReceived(name, patch)
        self._call_later(MESSAGE_DELAY_S, lambda: self.send(receiver, received))

    def _call_platform(
        self,
        name: str,
        action: messages.ReadManifest | messages.ReadStoreRevision,
    ) -> messages.Event:
        platform = self.platform
        if platform.down or name in self.partitioned:
            return messages.PlatformCallFailed(by_watch=False, detail='down')
        if isinstance(action, messages.ReadStoreRevision):
            return messages.StoreRevisionRead(platform.store_revision)
        return platform.read_manifest(by_watch=False)

    def _watch(  # noqa: WPS231
        self,
        name: str,
        watch: messages.WatchManifest,
        end: float,
        lost: bool = False,
    ) -> None:
        platform = self.platform
        # A watch whose connection was silently dropped gets no answer.
        lost = lost or platform.drops_watches
        if platform.down or name in self.partitioned:
            failure = messages.PlatformCallFailed(by_watch=True, detail='down')
            self._answer(name, failure)
        elif self.now >= end:
            timeout = messages.PlatformCallFailed(
                by_watch=True, detail='no answer'
            )
            self._answer(name, timeout if lost else messages.WatchEnded())
        elif platform.store_revision > watch.above_revision and not lost:
            self._answer(name, platform.read_manifest(by_watch=True))
        else:
            self._call_later(
                TICK_INTERVAL_S, lambda: self._watch(name, watch, end, lost)
            )

    def _gossip(self, name: str) -> None:
        if name not in self.hosts:
            return
        others = sorted(set(self.hosts) - {name})
        if others:
            other = self._random.choice(others)
            if not self._is_lost(name, other):
                for one, two in ((name, other), (other, name)):
                    stamp = self.hosts[two].in_force.stamp
                    self.send(one, messages.StampReceived(two, stamp))
        self._call_later(GOSSIP_INTERVAL_S, lambda: self._gossip(name))

    def _tick(self, name: str) -> None:
        if name in self.hosts:
            self.send(name, messages.Ticked())
            self._call_later(TICK_INTERVAL_S, lambda: self._tick(name))

    def _is_lost(self, one: str, other: str) -> bool:
        return bool({one, other} & self.partitioned) or (
            self._random.random() < self.loss_fraction
        )

    def _answer(self, name: str, event: messages.Event) -> None:
        self._call_later(MESSAGE_DELAY_S, lambda: self.send(name, event))

    def _call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self._queue, (self.now + seconds, next(self._sequence), callback)
        )
