"""Simulate the network of one data centre, with partitions and loss.

Times are simulated. A message takes `MESSAGE_DELAY_S`; one that cannot be
delivered is reported lost after its timeout, as the edge does.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import members, membership

MESSAGE_DELAY_S = 0.002
TICK_INTERVAL_S = 0.25
DATA_CENTRE = 'Quilicura'

IsCut = Callable[[str, str], bool]
Notify = Callable[[str, messages.MembersListed | messages.StampReceived], None]


class Network:
    """Run hosts that exchange gossip.

    Hosts in `frozen` handle no events, `is_cut` tells which connections fail,
    `dropped_relays` is how many relayed probes to drop without a report.
    """

    def __init__(
        self, count: int, seed: int = 0, rules: states.Timings | None = None
    ) -> None:
        """Start hosts that have the first two as seeds."""
        self.now = 1000.0
        self.hosts: dict[str, states.State] = {}
        self.frozen: set[str] = set()
        self.is_cut: IsCut = lambda one, other: False
        self.notify: Notify = lambda name, notice: None
        self.loss_fraction = 0.0
        self.dropped_relays = 0
        self.exchanges = 0
        self.reports: list[tuple[float, str, messages.ReportMember]] = []
        self._rules = rules or states.Timings()
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._pending: dict[int, tuple[str, int]] = {}
        for number in range(count):
            self.add(f'h{number}')

    def add(
        self,
        name: str,
        data_centre: str = DATA_CENTRE,
        seeds: tuple[str, ...] = ('h0', 'h1'),
    ) -> None:
        """Start a host, or restart one under the same name."""
        own = members.Member(name, name, 1, members.Standing.ALIVE)
        self.hosts[name] = membership.start(
            own, data_centre, self._rules, seeds, self.now
        )
        self.call_later(
            self._random.random() * TICK_INTERVAL_S, lambda: self._tick(name)
        )

    def kill(self, name: str) -> None:
        """Remove a host without notice."""
        self.hosts.pop(name)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, callback = heapq.heappop(self._queue)
            self.now = at
            callback()
        self.now = end

    def send(self, name: str, event: messages.Event) -> None:
        """Let a host handle an event and execute its actions."""
        if name not in self.hosts:
            return
        if name in self.frozen:
            self.call_later(TICK_INTERVAL_S, lambda: self.send(name, event))
            return
        state, actions = membership.handle_event(
            self.hosts[name], event, self.now, self._random.random
        )
        self.hosts[name] = state
        for action in actions:
            self._run_action(name, action)

    def has_converged(self) -> bool:
        """Return whether every host considers exactly the running ones live."""
        running = tuple(sorted(self.hosts))
        return all(state.live == running for state in self.hosts.values())

    def _run_action(self, name: str, action: messages.Action) -> None:
        match action:
            case messages.SendRequest():
                self._send_request(name, action)
            case messages.Respond(token, gossip):
                sender, request_token = self._pending.get(token, ('', 0))
                if sender and not self._is_lost(name, sender, answer=True):
                    self._pending.pop(token)
                    answer = messages.ExchangeAnswered(request_token, gossip)
                    self.call_later(
                        MESSAGE_DELAY_S, lambda: self.send(sender, answer)
                    )
            case messages.MembersListed() | messages.StampReceived():
                self.notify(name, action)
            case messages.ReportMember():
                self.reports.append((self.now, name, action))

    def _send_request(self, name: str, request: messages.SendRequest) -> None:
        self.exchanges += 1
        if request.gossip.relay is not None and self.dropped_relays > 0:
            # Neither an answer nor a loss is ever reported.
            self.dropped_relays -= 1
            return
        token = next(self._sequence)
        self._pending[token] = (name, request.token)

        def expire() -> None:
            if self._pending.pop(token, None):
                self.send(name, messages.ExchangeFailed(request.token))

        self.call_later(request.timeout_s, expire)
        if not self._is_lost(name, request.address):
            event = messages.RequestReceived(token, request.gossip)
            self.call_later(
                MESSAGE_DELAY_S, lambda: self.send(request.address, event)
            )

    def _is_lost(self, one: str, other: str, *, answer: bool = False) -> bool:
        # Connections are cut by the direction in which they were opened.
        is_cut = self.is_cut(other, one) if answer else self.is_cut(one, other)
        return is_cut or self._random.random() < self.loss_fraction

    def _tick(self, name: str) -> None:
        if name in self.hosts:
            if name not in self.frozen:
                self.send(name, messages.Tick())
            self.call_later(TICK_INTERVAL_S, lambda: self._tick(name))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback after some seconds."""
        heapq.heappush(
            self._queue, (self.now + seconds, next(self._sequence), callback)
        )
