"""Play many hosts that keep quotas, with a network that fails, by hand."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from fuchsiahaven.routing import (
    asks,
    configs,
    events,
    places,
    quota_codecs,
    quota_uses,
    quota_words,
    quotas,
)
from tests.routing import desk_rig

TERMS: Final = places.Quota(5.0, 0.1, 20.0)
CENTRES: Final = ('north', 'south', 'east', 'west')
LEAST_DELAY_S: Final = 0.0002
TIMER_LATE_S: Final = 0.002
#: How often hosts look after what is under way.
BEAT_S: Final = 0.1
BEGIN_S: Final = 100.0
ROUTE: Final = desk_rig.make_route(configs.Single('records'))


class Network(NamedTuple):
    """Say what becomes of datagrams; `delay` is in seconds.

    `cut` tells whether nothing passes from one host to another now.
    """

    delay: float = 0.002
    lost: float = 0.0
    doubled: float = 0.0
    cut: Callable[[places.Host, places.Host, float], bool] = (
        lambda one, other, now: False
    )


class Outcome(NamedTuple):
    """Tell what became of one request."""

    arrived: float
    decided: float
    sent: bool
    wait: float


class Node:
    """Hold one host; `busy` is until when it does nothing."""

    def __init__(self, host: places.Host) -> None:
        """Start dead."""
        self.host = host
        self.alive = False
        self.busy = 0.0
        self.slept = 0.0
        self.start = 0
        self.quotas = quotas.Quotas(host)

    def suspend(self, until: float, now: float) -> None:
        """Stand still; the steady clock does not count it."""
        self.busy = until
        self.slept += until - now


class Fleet:
    """Own the hosts, and a clock of its own."""

    def __init__(
        self, count: int, network: Network, seed: int = 1, first: bool = True
    ) -> None:
        """Start all hosts."""
        self.random = random.Random(seed)
        self.network = network
        self.now = BEGIN_S
        self.outcomes: dict[str, list[Outcome]] = {}
        self.words = 0
        self.customers: tuple[configs.Customer, ...] = ()
        self.nodes = [Node(make_host(number)) for number in range(count)]
        self._by_address = {it.host.address: it for it in self.nodes}
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count(1)
        for node in self.nodes:
            self.start(node, first=first)

    def start(self, node: Node, *, first: bool = False) -> None:
        """Start a host anew."""
        node.alive = True
        node.start += 1
        node.slept = 0.0
        node.quotas = quotas.Quotas(node.host)
        born = float('-inf') if first else self.now
        start = node.start
        node.quotas.begin(
            quotas.Terms(TERMS, len(CENTRES), start, born, lambda: node.slept)
        )
        self.tell_hosts(node)
        node.quotas.note_customers(self.customers)
        self._beat(node, start)

    def tell_hosts(
        self, node: Node, seen: Iterable[places.Host] | None = None
    ) -> None:
        """Tell a host which hosts there are."""
        hosts = tuple(seen or [it.host for it in self.nodes])
        node.quotas.note_hosts(hosts, self.now - node.slept)

    def configure(self, *customers: configs.Customer) -> None:
        """Tell all hosts of the customers."""
        self.customers = customers
        for node in self.nodes:
            node.quotas.note_customers(customers)

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Have something done then."""
        heapq.heappush(self._agenda, (when, next(self._order), act))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._agenda and self._agenda[0][0] <= until:
            when, _, act = heapq.heappop(self._agenda)
            self.now = max(self.now, when)
            act()
        self.now = until

    def ask(self, node: Node, customer: configs.Customer) -> None:
        """Bring a request to a host."""
        if not node.alive:
            return
        if self.now < node.busy:
            self.at(node.busy, lambda: self.ask(node, customer))
            return
        number = next(self._order)
        taken = make_taken(number, customer, self.now)
        charged = node.quotas.charge(customer, taken, self.now - node.slept)
        if not isinstance(charged, quota_uses.Waiting):
            self._note(taken, charged if charged is not taken else None)
        self._carry(node)

    def bring(
        self, when: float, number: int, customer: configs.Customer
    ) -> None:
        """Have a request come to a host then."""
        self.at(when, lambda: self.ask(self.nodes[number], customer))

    def count_most(self, customer: str) -> int:
        """Count the most requests that were sent in any window."""
        sent = sorted(
            it.decided for it in self.outcomes.get(customer, ()) if it.sent
        )
        return max(
            (
                sum(1 for it in sent if first <= it < first + TERMS.window)
                for first in sent
            ),
            default=0,
        )

    def count_refused(self, customer: str) -> int:
        """Count the requests that were refused."""
        return sum(1 for it in self.outcomes.get(customer, ()) if not it.sent)

    def _note(self, taken: asks.Taken, failure: Any) -> None:
        name = taken.request.customer
        arrived = taken.request.arrived
        wait = 0.0 if failure is None else failure.retry_after
        found = Outcome(arrived, self.now, failure is None, wait)
        self.outcomes.setdefault(name, []).append(found)

    def _carry(self, node: Node) -> None:
        """Do what a host asks for."""
        steady = self.now - node.slept
        start = node.start
        for taken, failure in node.quotas.take_decided():
            self._note(taken, failure)
        for wake in node.quotas.take_wakes(steady):
            late = self.random.random() * TIMER_LATE_S
            self._set_timer(node, start, wake + node.slept + late)
        for told in node.quotas.take_told():
            if isinstance(told, quota_words.Tell):
                self._send(node, told)

    def _beat(self, node: Node, start: int) -> None:
        if not node.alive or node.start != start:
            return
        if self.now < node.busy:
            self.at(node.busy, lambda: self._beat(node, start))
            return
        node.quotas.note_alive(self.now - node.slept)
        self.at(self.now + BEAT_S, lambda: self._beat(node, start))

    def _set_timer(self, node: Node, start: int, when: float) -> None:
        self.at(when, lambda: self._check(node, start))

    def _send(self, node: Node, told: quota_words.Tell) -> None:
        self.words += 1
        other = self._by_address[told.address]
        copies = 1 + (self.random.random() < self.network.doubled)
        if self.random.random() < self.network.lost:
            copies = 0
        if self.network.cut(node.host, other.host, self.now):
            copies = 0
        datagram = quota_codecs.write_word(told.word)
        heard = quota_words.Heard(
            quota_codecs.read_word(datagram), node.host.address
        )
        for _ in range(copies):
            delay = LEAST_DELAY_S + self.random.random() * self.network.delay
            self._post(other, heard, self.now + delay)

    def _post(self, node: Node, heard: quota_words.Heard, when: float) -> None:
        self.at(when, lambda: self._hear(node, heard))

    def _hear(self, node: Node, heard: quota_words.Heard) -> None:
        if not node.alive:
            return
        if self.now < node.busy:
            self._post(node, heard, node.busy)
            return
        node.quotas.hear(heard, self.now - node.slept)
        self._carry(node)

    def _check(self, node: Node, start: int) -> None:
        if not node.alive or node.start != start:
            return
        if self.now < node.busy:
            self.at(node.busy, lambda: self._check(node, start))
            return
        node.quotas.check(self.now - node.slept)
        self._carry(node)


def make_host(number: int) -> places.Host:
    """Make a host, one after the other in each data centre."""
    return places.Host(
        f'host-{number}', f'10.0.0.{number}:7000', CENTRES[number % 4]
    )


def make_taken(
    number: int, customer: configs.Customer, now: float
) -> asks.Taken:
    """Make a request that may be charged."""
    request = events.Request(
        f'request-{number}',
        'GET',
        '/one/1',
        'shop.example',
        (),
        b'',
        now,
        now + 1,
        customer=customer.name,
    )
    return asks.Taken(number, request, ROUTE, 1, 1)
