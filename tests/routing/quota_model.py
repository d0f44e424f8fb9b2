"""Play the quotas of many hosts over a network that loses and delays."""

import heapq
import itertools
import random
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    active_requests,
    configs,
    deployments,
    events,
    quota_words,
    quotas,
)

CENTRES: Final = ('north', 'east', 'south', 'west')
QUOTA: Final = deployments.QuotaTolerance(5.0, 0.1, 20.0)
LARGE: Final = configs.Customer('large', (), None, 10.0, 10.0)
SMALL: Final = configs.Customer('small', (), None, 0.3, 1.0)
ROUTE: Final = configs.Route(
    'one',
    'shop.example',
    '/',
    configurations.Repeat.IDEMPOTENT,
    1.0,
    0.1,
    2,
    1,
    configs.Single('records'),
)
#: One way between hosts, in seconds: at least, and how much more at most.
WAY_S: Final = 0.0005
MORE_S: Final = 0.001


class Admitted(NamedTuple):
    """Hold when a request of a customer was taken in."""

    when: float
    customer: str


class Refused(NamedTuple):
    """Hold when and how a request of a customer was refused."""

    when: float
    customer: str
    failure: errors.Failure
    took: float


class World:
    """Own hosts, the network between them, and what became of requests."""

    def __init__(
        self,
        hosts: int = 16,
        seed: int = 1,
        *,
        loss: float = 0.0,
        more: float = MORE_S,
        quota: deployments.QuotaTolerance = QUOTA,
        known: tuple[configs.Customer, ...] = (LARGE, SMALL),
    ) -> None:
        """Start hosts that have run for longer than a window."""
        self.now = 100.0
        self.random = random.Random(seed)
        self.admitted: list[Admitted] = []
        self.refused: list[Refused] = []
        self.hosts = [
            deployments.Host(
                f'host-{number:02}',
                f'10.0.{number // 200}.{number % 200}:7000',
                CENTRES[number % len(CENTRES)],
            )
            for number in range(hosts)
        ]
        self.customers = known
        self.sent = 0
        self._quota = quota
        self._loss = loss
        self._more = more
        self._cuts: set[frozenset[str]] = set()
        self._alone: set[str] = set()
        self._frozen: dict[str, list[quota_words.Heard]] = {}
        self._lives: dict[str, quotas.Quotas] = {}
        self._starts = itertools.count(1)
        self._numbers = itertools.count(1)
        self._asked: dict[tuple[str, int], tuple[float, str]] = {}
        self._due: list[tuple[float, int, str, quota_words.Heard | None]] = []
        self._order = itertools.count()
        for host in self.hosts:
            self.start(host)
        self.now += 2 * quota.window_s

    def start(self, host: deployments.Host) -> None:
        """Start a host anew: it knows nothing of before."""
        life = quotas.Quotas(host)
        life.terms = quotas.Terms(self._quota, CENTRES, next(self._starts))
        life.note_customers(self.customers, self.now)
        life.note_hosts(tuple(self.hosts), self.now)
        self._lives[host.name] = life
        self._frozen.pop(host.name, None)

    def kill_all(self) -> None:
        """Kill and start all hosts; what was under way is lost."""
        self._due.clear()
        for host in self.hosts:
            self.start(host)

    def tell_hosts(
        self, host: deployments.Host, known: tuple[deployments.Host, ...]
    ) -> None:
        """Have a host know of these hosts only."""
        self._lives[host.name].note_hosts(known, self.now)

    def configure(self, known: tuple[configs.Customer, ...]) -> None:
        """Bring a configuration to all hosts."""
        self.customers = known
        for life in self._lives.values():
            life.note_customers(known, self.now)

    def cut(self, *centres: str) -> None:
        """Cut these data centres off from all others, and no others."""
        self._cuts = {
            frozenset((one, other))
            for one in centres
            for other in CENTRES
            if one != other
        }

    def isolate(self, hosts: list[deployments.Host]) -> None:
        """Cut these hosts off from all others."""
        self._alone = {host.name for host in hosts}

    def freeze(self, host: deployments.Host) -> None:
        """Have a host stand still; what comes waits in its socket."""
        if host.name not in self._frozen:
            self._frozen[host.name] = []

    def thaw(self, host: deployments.Host) -> None:
        """Have a host go on."""
        for heard in self._frozen.pop(host.name, []):
            self._hear(host.name, heard)

    def ask(self, customer: configs.Customer, host: deployments.Host) -> None:
        """Bring a request of a customer to a host."""
        if host.name in self._frozen:
            return
        number = next(self._numbers)
        request = events.Request(
            f'id-{number}', 'GET', '/', 'shop.example', (), b'', 0, 0
        )
        taken = active_requests.RoutedRequest(number, request, ROUTE, 1, 1)
        self._asked[host.name, number] = (self.now, customer.name)
        life = self._lives[host.name]
        done = life.charge(customer, taken, self.now)
        match done:
            case active_requests.RoutedRequest():
                self._settle(host.name, quotas.Decided(done, None))
            case errors.Failure():
                self._settle(host.name, quotas.Decided(taken, done))
        self._take_news(host.name)

    def play(
        self, seconds: float, rates: dict[configs.Customer, float]
    ) -> None:
        """Bring requests at random hosts at these rates for so long."""
        ends = self.now + seconds
        total = sum(rates.values())
        while total:
            when = self.now + self.random.expovariate(total)
            if when > ends:
                break
            self.run_to(when)
            customer = self.random.choices(list(rates), list(rates.values()))[0]
            self.ask(customer, self.random.choice(self.hosts))
        self.run_to(ends)

    def run_to(self, when: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= when:
            moment, _, name, heard = heapq.heappop(self._due)
            self.now = max(self.now, moment)
            if heard is None:
                if name not in self._frozen:
                    self._lives[name].check(self.now)
                    self._take_news(name)
            else:
                self._bring(name, heard)
        self.now = when

    def count_most(self, customer: configs.Customer) -> int:
        """Count the most requests of a customer in any window."""
        times = sorted(
            it.when for it in self.admitted if it.customer == customer.name
        )
        most = 0
        first = 0
        for last, when in enumerate(times):
            while times[first] <= when - self._quota.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def count_bound(self, customer: configs.Customer) -> float:
        """Count the requests that are tolerated in any window."""
        allowed = customer.rate * self._quota.window_s + customer.burst
        return allowed * (1 + self._quota.overage) + self._quota.slack

    def count(self, customer: configs.Customer, since: float = 0.0) -> int:
        """Count the requests of a customer that were taken in since."""
        return sum(
            it.customer == customer.name and it.when >= since
            for it in self.admitted
        )

    def _bring(self, name: str, heard: quota_words.Heard) -> None:
        waiting = self._frozen.get(name)
        if waiting is None:
            self._hear(name, heard)
        else:
            waiting.append(heard)

    def _hear(self, name: str, heard: quota_words.Heard) -> None:
        self._lives[name].hear(heard, self.now)
        self._take_news(name)

    def _take_news(self, name: str) -> None:
        news = self._lives[name].take_news()
        for decided in news.decided:
            self._settle(name, decided)
        for told in news.told:
            self._send(name, told)
        if news.due is not None:
            self._add(news.due, name, None)

    def _settle(self, name: str, decided: quotas.Decided) -> None:
        began, customer = self._asked.pop((name, decided.taken.number))
        if decided.failure is None:
            self.admitted.append(Admitted(self.now, customer))
            return
        took = self.now - began
        self.refused.append(Refused(self.now, customer, decided.failure, took))

    def _send(self, name: str, told: quota_words.Tell) -> None:
        self.sent += 1
        sender = next(it for it in self.hosts if it.name == name)
        to = next(it for it in self.hosts if it.address == told.address)
        pair = frozenset((sender.data_centre, to.data_centre))
        if pair in self._cuts or self._alone & {name, to.name}:
            return
        if self.random.random() < self._loss:
            return
        heard = quota_words.Heard(told.word, sender.address)
        for _ in range(1 + (self.random.random() < self._loss)):
            way = WAY_S + self._more * self.random.random()
            self._add(self.now + way, to.name, heard)

    def _add(
        self, when: float, name: str, heard: quota_words.Heard | None
    ) -> None:
        heapq.heappush(self._due, (when, next(self._order), name, heard))
