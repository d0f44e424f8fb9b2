"""Join hosts, a platform and a lossy network round the choice of revisions."""

import heapq
import itertools
import random
from collections.abc import Callable

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages

DELAY_S = 0.005
TICK_S = 0.1
GOSSIP_S = 1.0


class Platform:
    """Hold the manifest, its history and the faults of the platform."""

    def __init__(self) -> None:
        """Start with a first revision."""
        self.number = 0
        self.revision = 0
        self.changes: tuple[messages.Change, ...] = ()
        self.down = False
        self.silent = False
        self.change('first')

    def change(self, change_id: str) -> None:
        """Accept a change."""
        self.number += 1
        self.revision += 1
        change = messages.Change(self.revision, change_id, self.revision - 1)
        self.changes = (*self.changes, change)

    def find(self, *, watched: bool) -> messages.Found:
        """Give the configuration that the history leads to."""
        labels = tuple((f'l{it.revision}', it.change_id) for it in self.changes)
        group = configurations.Group('catalogo', labels, ())
        configuration = configurations.Configuration(self.revision, (group,))
        return messages.Found(self.number, configuration, self.changes, watched)


class Deliveries:
    """Run hosts of one data centre in simulated time."""

    def __init__(
        self, count: int, rules: revisions.Rules | None = None
    ) -> None:
        """Start hosts that know each other."""
        self.now = 100.0
        self.platform = Platform()
        self.hosts: dict[str, revisions.State] = {}
        self.cut: set[str] = set()
        self.loss = 0.0
        self.calls = 0
        self.pushes = 0
        self._rules = rules or revisions.Rules()
        self._random = random.Random(0)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = tuple(f'h{number}' for number in range(count))
        for name in self._names:
            self.add(name)

    def add(self, name: str) -> None:
        """Start a host with nothing in force."""
        self.hosts[name] = revisions.start(name, self.now, self._rules)
        self.send(name, messages.Listed(self._names))
        self._after(self._random.random() * TICK_S, lambda: self._tick(name))
        self._after(self._random.random(), lambda: self._gossip(name))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, act = heapq.heappop(self._queue)
            self.now = at
            act()
        self.now = end

    def list_revisions(self) -> set[int]:
        """List what is in force anywhere."""
        return {it.in_force.stamp.revision for it in self.hosts.values()}

    def list_faults(self) -> set[messages.Fault]:
        """List what operators are told by any host."""
        return {fault for it in self.hosts.values() for fault, _ in it.faults}

    def send(self, name: str, event: messages.Event) -> None:
        """Hand an event to a host and carry its actions out."""
        if name not in self.hosts:
            return
        before = self.hosts[name].in_force.stamp.revision
        state, actions = revisions.handle(
            self.hosts[name], event, self.now, self._random.random
        )
        assert state.in_force.stamp.revision >= before
        self.hosts[name] = state
        for action in actions:
            self._act(name, action)

    def _act(self, name: str, action: messages.Action) -> None:
        match action:
            case messages.Push(receivers, patch):
                for receiver in receivers:
                    self._push(name, receiver, patch)
            case messages.Pull(member, above):
                found: messages.Event = messages.Unreached(member)
                if member in self.hosts and not self._fails(name, member):
                    chain = revisions.find_patches(self.hosts[member], above)
                    found = messages.Pulled(member, chain)
                self._answer(name, found)
            case messages.Read() | messages.Check():
                self.calls += 1
                self._answer(name, self._ask(name, action))
            case messages.Watch():
                self.calls += 1
                self._watch(name, action, self.now + action.wait_s)

    def _push(self, name: str, receiver: str, patch: patches.Patch) -> None:
        self.pushes += 1
        if receiver not in self.hosts or self._fails(name, receiver):
            self._answer(name, messages.Unreached(receiver, patch))
            return
        pushed = messages.Pushed(name, patch)
        self._after(DELAY_S, lambda: self.send(receiver, pushed))

    def _ask(
        self, name: str, action: messages.Read | messages.Check
    ) -> messages.Event:
        platform = self.platform
        if platform.down or name in self.cut:
            return messages.Failed(watched=False, detail='down')
        if isinstance(action, messages.Check):
            return messages.Checked(platform.number)
        return platform.find(watched=False)

    def _watch(  # noqa: WPS231
        self, name: str, watch: messages.Watch, end: float, lost: bool = False
    ) -> None:
        platform = self.platform
        # A watch that is dropped without a word never hears anything again.
        lost = lost or platform.silent
        if platform.down or name in self.cut:
            found = messages.Failed(watched=True, detail='down')
            self._answer(name, found)
        elif self.now >= end:
            silent = messages.Failed(watched=True, detail='no answer')
            self._answer(name, silent if lost else messages.Quiet())
        elif platform.number > watch.above and not lost:
            self._answer(name, platform.find(watched=True))
        else:
            self._after(TICK_S, lambda: self._watch(name, watch, end, lost))

    def _gossip(self, name: str) -> None:
        if name not in self.hosts:
            return
        others = sorted(set(self.hosts) - {name})
        if others:
            other = self._random.choice(others)
            if not self._fails(name, other):
                for one, two in ((name, other), (other, name)):
                    stamp = self.hosts[two].in_force.stamp
                    self.send(one, messages.Heard(two, stamp))
        self._after(GOSSIP_S, lambda: self._gossip(name))

    def _tick(self, name: str) -> None:
        if name in self.hosts:
            self.send(name, messages.Ticked())
            self._after(TICK_S, lambda: self._tick(name))

    def _fails(self, one: str, other: str) -> bool:
        return bool({one, other} & self.cut) or (
            self._random.random() < self.loss
        )

    def _answer(self, name: str, event: messages.Event) -> None:
        self._after(DELAY_S, lambda: self.send(name, event))

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(
            self._queue, (self.now + seconds, next(self._order), act)
        )
