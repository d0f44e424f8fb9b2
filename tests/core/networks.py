"""Join hosts of one data centre by a network of which tests cut lines.

Times are simulated; messages take `DELAY_S`, and one that finds no way is
reported lost after its timeout, as the edge does.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import members, membership

DELAY_S = 0.002
TICK_S = 0.25
CENTRE = 'Quilicura'

Cut = Callable[[str, str], bool]
Tell = Callable[[str, messages.Listed | messages.Heard], None]


class Network:
    """Hold hosts by name, what is cut and who stands still."""

    def __init__(
        self, count: int, seed: int = 0, rules: states.Rules | None = None
    ) -> None:
        """Start hosts that know the first two as seeds."""
        self.now = 1000.0
        self.hosts: dict[str, states.State] = {}
        self.frozen: set[str] = set()
        self.cut: Cut = lambda one, other: False
        self.tell: Tell = lambda name, told: None
        self.loss = 0.0
        self.swallow = 0
        self.exchanges = 0
        self.reports: list[tuple[float, str, messages.Report]] = []
        self._rules = rules or states.Rules()
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._waiting: dict[int, tuple[str, int]] = {}
        for number in range(count):
            self.add(f'h{number}')

    def add(
        self,
        name: str,
        centre: str = CENTRE,
        seeds: tuple[str, ...] = ('h0', 'h1'),
    ) -> None:
        """Start a host, or one anew under the name of another."""
        own = members.Member(name, name, 1, members.Standing.ALIVE)
        self.hosts[name] = membership.start(
            own, centre, self._rules, seeds, self.now
        )
        self.after(self._random.random() * TICK_S, lambda: self._tick(name))

    def kill(self, name: str) -> None:
        """End a host without a word."""
        self.hosts.pop(name)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, act = heapq.heappop(self._queue)
            self.now = at
            act()
        self.now = end

    def send(self, name: str, event: messages.Event) -> None:
        """Hand an event to a host and carry its actions out."""
        if name not in self.hosts:
            return
        if name in self.frozen:
            self.after(TICK_S, lambda: self.send(name, event))
            return
        state, actions = membership.handle(
            self.hosts[name], event, self.now, self._random.random
        )
        self.hosts[name] = state
        for action in actions:
            self._act(name, action)

    def agree(self) -> bool:
        """Tell whether every host takes exactly the running ones for live."""
        running = tuple(sorted(self.hosts))
        return all(state.live == running for state in self.hosts.values())

    def _act(self, name: str, action: messages.Action) -> None:
        match action:
            case messages.Ask():
                self._ask(name, action)
            case messages.Respond(token, gossip):
                asker, asked = self._waiting.get(token, ('', 0))
                if asker and not self._fails(name, asker, answer=True):
                    self._waiting.pop(token)
                    answer = messages.Answered(asked, gossip)
                    self.after(DELAY_S, lambda: self.send(asker, answer))
            case messages.Listed() | messages.Heard():
                self.tell(name, action)
            case messages.Report():
                self.reports.append((self.now, name, action))

    def _ask(self, name: str, ask: messages.Ask) -> None:
        self.exchanges += 1
        if ask.gossip.relay is not None and self.swallow > 0:
            # Neither an answer nor a loss will ever be reported.
            self.swallow -= 1
            return
        token = next(self._order)
        self._waiting[token] = (name, ask.token)

        def give_up() -> None:
            if self._waiting.pop(token, None):
                self.send(name, messages.Lost(ask.token))

        self.after(ask.timeout_s, give_up)
        if not self._fails(name, ask.address):
            event = messages.Received(token, ask.gossip)
            self.after(DELAY_S, lambda: self.send(ask.address, event))

    def _fails(self, one: str, other: str, *, answer: bool = False) -> bool:
        # A connection is cut in the direction in which it was opened.
        cut = self.cut(other, one) if answer else self.cut(one, other)
        return cut or self._random.random() < self.loss

    def _tick(self, name: str) -> None:
        if name in self.hosts:
            if name not in self.frozen:
                self.send(name, messages.Ticked())
            self.after(TICK_S, lambda: self._tick(name))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Let something happen after some seconds."""
        heapq.heappush(
            self._queue, (self.now + seconds, next(self._order), act)
        )
