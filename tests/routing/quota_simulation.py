"""Simulate the quotas of many hosts over an unreliable network."""

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
    quota_messages,
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
#: Delay of a message: the least, and how much may be added to it at random.
MIN_NETWORK_DELAY_S: Final = 0.0005
MAX_EXTRA_DELAY_S: Final = 0.001


class Admitted(NamedTuple):
    """Hold when a request of a customer was admitted."""

    when: float
    customer: str


class Refused(NamedTuple):
    """Hold when, why and after how many seconds a request was refused."""

    when: float
    customer: str
    failure: errors.Failure
    took: float


class Simulation:
    """Own hosts, the network between them, and the decisions on requests."""

    def __init__(
        self,
        hosts: int = 16,
        seed: int = 1,
        *,
        loss: float = 0.0,
        extra_delay: float = MAX_EXTRA_DELAY_S,
        quota: deployments.QuotaTolerance = QUOTA,
        customers: tuple[configs.Customer, ...] = (LARGE, SMALL),
    ) -> None:
        """Start hosts and let them run for longer than a window."""
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
        self.customers = customers
        self.sent = 0
        self._quota = quota
        self._loss = loss
        self._extra_delay = extra_delay
        self._cut_pairs: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._paused: dict[str, list[quota_messages.MessageReceived]] = {}
        self._quotas: dict[str, quotas.Quotas] = {}
        self._start_ids = itertools.count(1)
        self._numbers = itertools.count(1)
        self._requests: dict[tuple[str, int], tuple[float, str]] = {}
        self._events: list[
            tuple[float, int, str, quota_messages.MessageReceived | None]
        ] = []
        self._order = itertools.count()
        for host in self.hosts:
            self.start(host)
        self.now += 2 * quota.window_s

    def start(self, host: deployments.Host) -> None:
        """Start a host without any state."""
        host_quotas = quotas.Quotas(host)
        host_quotas.settings = quotas.Settings(
            self._quota, CENTRES, next(self._start_ids)
        )
        host_quotas.update_customers(self.customers, self.now)
        host_quotas.update_hosts(tuple(self.hosts), self.now)
        self._quotas[host.name] = host_quotas
        self._paused.pop(host.name, None)

    def kill_all(self) -> None:
        """Kill and restart all hosts; messages in flight are lost."""
        self._events.clear()
        for host in self.hosts:
            self.start(host)

    def set_known_hosts(
        self, host: deployments.Host, hosts: tuple[deployments.Host, ...]
    ) -> None:
        """Set the hosts that a host knows."""
        self._quotas[host.name].update_hosts(hosts, self.now)

    def configure(self, customers: tuple[configs.Customer, ...]) -> None:
        """Send the customers of a new configuration to all hosts."""
        self.customers = customers
        for host_quotas in self._quotas.values():
            host_quotas.update_customers(customers, self.now)

    def cut_off(self, *centres: str) -> None:
        """Cut off these data centres from all others; reconnect the rest."""
        self._cut_pairs = {
            frozenset((one, other))
            for one in centres
            for other in CENTRES
            if one != other
        }

    def isolate(self, hosts: list[deployments.Host]) -> None:
        """Cut off these hosts from all others; reconnect the rest."""
        self._isolated = {host.name for host in hosts}

    def pause(self, host: deployments.Host) -> None:
        """Pause a host; messages to it wait in its socket."""
        if host.name not in self._paused:
            self._paused[host.name] = []

    def resume(self, host: deployments.Host) -> None:
        """Resume a paused host."""
        for event in self._paused.pop(host.name, []):
            self._handle_message(host.name, event)

    def request(
        self, customer: configs.Customer, host: deployments.Host
    ) -> None:
        """Send a request of a customer to a host."""
        if host.name in self._paused:
            return
        number = next(self._numbers)
        request = events.Request(
            f'id-{number}', 'GET', '/', 'shop.example', (), b'', 0, 0
        )
        routed = active_requests.RoutedRequest(number, request, ROUTE, 1, 1)
        self._requests[host.name, number] = (self.now, customer.name)
        host_quotas = self._quotas[host.name]
        result = host_quotas.charge(customer, routed, self.now)
        match result:
            case active_requests.RoutedRequest():
                self._record_decision(host.name, quotas.Decision(result, None))
            case errors.Failure():
                self._record_decision(
                    host.name, quotas.Decision(routed, result)
                )
        self._process_output(host.name)

    def run_load(
        self, seconds: float, rates: dict[configs.Customer, float]
    ) -> None:
        """Send requests to random hosts at these rates (per second)."""
        end_time = self.now + seconds
        total = sum(rates.values())
        while total:
            when = self.now + self.random.expovariate(total)
            if when > end_time:
                break
            self.run_until(when)
            customer = self.random.choices(list(rates), list(rates.values()))[0]
            self.request(customer, self.random.choice(self.hosts))
        self.run_until(end_time)

    def run_until(self, when: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= when:
            event_time, _, name, event = heapq.heappop(self._events)
            self.now = max(self.now, event_time)
            if event is None:
                if name not in self._paused:
                    self._quotas[name].expire_pending(self.now)
                    self._process_output(name)
            else:
                self._deliver(name, event)
        self.now = when

    def count_max_admitted(self, customer: configs.Customer) -> int:
        """Return the most admitted requests of a customer in any window."""
        times = sorted(
            it.when for it in self.admitted if it.customer == customer.name
        )
        max_count = 0
        first = 0
        for last, when in enumerate(times):
            while times[first] <= when - self._quota.window_s:
                first += 1
            max_count = max(max_count, last - first + 1)
        return max_count

    def compute_bound(self, customer: configs.Customer) -> float:
        """Return how many requests are tolerated in any window."""
        allowance = customer.rate * self._quota.window_s + customer.burst
        return allowance * (1 + self._quota.overage) + self._quota.slack

    def count_admitted(
        self, customer: configs.Customer, since: float = 0.0
    ) -> int:
        """Count the requests of a customer that were admitted since a time."""
        return sum(
            it.customer == customer.name and it.when >= since
            for it in self.admitted
        )

    def _deliver(
        self, name: str, event: quota_messages.MessageReceived
    ) -> None:
        held = self._paused.get(name)
        if held is None:
            self._handle_message(name, event)
        else:
            held.append(event)

    def _handle_message(
        self, name: str, event: quota_messages.MessageReceived
    ) -> None:
        self._quotas[name].handle_message(event, self.now)
        self._process_output(name)

    def _process_output(self, name: str) -> None:
        output = self._quotas[name].pop_output()
        for decision in output.decisions:
            self._record_decision(name, decision)
        for action in output.messages:
            self._send(name, action)
        if output.check_at is not None:
            self._schedule(output.check_at, name, None)

    def _record_decision(self, name: str, decision: quotas.Decision) -> None:
        started, customer = self._requests.pop((name, decision.routed.number))
        if decision.failure is None:
            self.admitted.append(Admitted(self.now, customer))
            return
        took = self.now - started
        self.refused.append(Refused(self.now, customer, decision.failure, took))

    def _send(self, name: str, action: quota_messages.SendMessage) -> None:
        self.sent += 1
        sender = next(it for it in self.hosts if it.name == name)
        receiver = next(it for it in self.hosts if it.address == action.address)
        pair = frozenset((sender.data_centre, receiver.data_centre))
        if pair in self._cut_pairs or self._isolated & {name, receiver.name}:
            return
        if self.random.random() < self._loss:
            return
        event = quota_messages.MessageReceived(action.message, sender.address)
        for _ in range(1 + (self.random.random() < self._loss)):
            delay = (
                MIN_NETWORK_DELAY_S + self._extra_delay * self.random.random()
            )
            self._schedule(self.now + delay, receiver.name, event)

    def _schedule(
        self,
        when: float,
        name: str,
        event: quota_messages.MessageReceived | None,
    ) -> None:
        heapq.heappush(self._events, (when, next(self._order), name, event))
