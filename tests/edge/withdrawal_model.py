"""Play hosts that learn of withdrawn keys, with calls that take any time."""

import functools
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import (
    configurations,
    patches,
    revisions,
)
from fuchsiahaven.core.configuration import revision_messages as wording
from fuchsiahaven.core.customers import (
    customers,
    freshness,
    keys,
    proof_exchange,
)
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import doors

REVOKE_S: Final = 5.0
SHOWN: Final = doors.read_shown('Bearer k')
SHOP: Final = customers.Customer('shop', (keys.compute_digest('k'),))
QUERY: Final = messages.Query('id', 'search', {}, None, 0, 1)
OPEN: Final = QUERY._replace(class_name='open')
CLASSES: Final = (
    configurations.RequestClass('open', public=True),
    configurations.RequestClass('search'),
)


class Held(NamedTuple):
    """Hold what the platform holds, under a number of its own."""

    number: int
    configuration: configurations.Configuration


class Host:
    """Hold one host: the choice of what is in force, and its door."""

    def __init__(
        self, name: str, order: tuple[str, ...], clock: Callable[[], float]
    ) -> None:
        self.door = doors.Door(freshness.Freshness(REVOKE_S, clock))
        rules = revisions.Timings()
        self.state = revisions.start(name, clock(), rules)._replace(
            ranking=order
        )
        self._clock = clock

    def tell(self, event: wording.Event) -> None:
        """Hand an event over, in the order in which the task does."""
        state, actions = revisions.handle_event(
            self.state, event, self._clock(), float
        )
        self.state = state
        for action in actions:
            match action:
                case wording.PutInForce(stamped):
                    self.door.note(stamped)
                case wording.ConfirmInForce(stamp, left):
                    self.door.note_read(stamp, left)

    def admits(self) -> bool:
        """Tell whether it takes the key, or needs none yet."""
        found = self.door.admit(QUERY, SHOWN)
        return isinstance(found, messages.Query) and found.admitted


class World:
    """Own the platform, the hosts, and what is under way between them."""

    def __init__(self, count: int = 4) -> None:
        """Start with a configuration in which the key is good."""
        self.now = 100.0
        self.order = tuple(f'h{number}' for number in range(count))
        self.hosts = [self._make(name) for name in self.order]
        first = configurations.Configuration(
            1, classes=CLASSES, customers=(SHOP,)
        )
        self.held = Held(1, first)
        #: When the platform had acknowledged that the key is gone.
        self.withdrawn: float | None = None
        #: Each call: what is to happen next to it.
        self.calls: list[Callable[[], Callable[[], None] | None]] = []

    def change(self, *, withdraw: bool) -> None:
        """Accept a change, acknowledged now."""
        held, known = self.held.configuration, SHOP
        if withdraw or self.withdrawn is not None:
            known = SHOP._replace(keys=())
        if withdraw and self.withdrawn is None:
            self.withdrawn = self.now
        changed = held._replace(revision=held.revision + 1, customers=(known,))
        self.held = Held(self.held.number + 1, changed)

    def restart(self, place: int) -> None:
        """Start a host anew."""
        self.hosts[place] = self._make(self.order[place])

    def read(self, place: int, *, whole: bool) -> None:
        """Have a host ask the platform: it leaves, is served, arrives."""
        host = self.hosts[place]
        left = host.door.read_clock()

        def serve() -> Callable[[], None]:
            held = self.held
            event: wording.Event = wording.StoreRevisionRead(held.number, left)
            if whole:
                event = wording.ManifestRead(
                    held.number, held.configuration, sent_at=left
                )
            return functools.partial(host.tell, event)

        self.calls.append(serve)

    def ask(self, place: int, other: int) -> None:
        """Have a host ask another one for its proof."""
        host, asked = self.hosts[place], self.hosts[other]
        left = host.door.freshness.read_clock()

        def serve() -> Callable[[], None] | None:
            told = asked.door.prove()
            if told is None:
                return None
            body = proof_exchange.encode_answer(told)
            return functools.partial(self._arrive, host, left, body)

        self.calls.append(serve)

    def push(self, place: int, other: int) -> None:
        """Have a host send what it has in force to one below it."""
        sender, host = self.hosts[place], self.hosts[other]
        patch = patches.diff(patches.EMPTY, sender.state.in_force)
        pushed = wording.PatchReceived(self.order[place], patch)
        if sender.state.in_force is not patches.EMPTY:
            self.calls.append(lambda: functools.partial(host.tell, pushed))

    def go_on(self, which: int) -> None:
        """Have a call be served, or its answer arrive; else nothing."""
        if not self.calls:
            return
        call = self.calls.pop(which % len(self.calls))
        answer = call()
        if answer is not None:
            self.calls.append(answer)

    def check(self) -> None:
        """Check that no host takes a key that has to be dead."""
        for host in self.hosts:
            dead = self.withdrawn is not None and (
                self.now > self.withdrawn + REVOKE_S
            )
            assert not (dead and host.admits())
            public = host.door.admit(OPEN, SHOWN)
            assert isinstance(public, messages.Query)

    def _make(self, name: str) -> Host:
        return Host(name, self.order, lambda: self.now)

    def _arrive(self, host: Host, left: float, body: bytes) -> None:
        told = proof_exchange.decode_answer(body, self.now - left)
        if told is not None:
            host.door.note_told(left, told)
