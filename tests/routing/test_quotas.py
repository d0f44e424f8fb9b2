"""Test that customers are limited to their quotas, over all hosts."""

from typing import Final

import hypothesis
import pytest
from hypothesis import strategies as some

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, deployments, quota_slots, quotas
from tests.routing import quota_simulation

LARGE: Final = quota_simulation.LARGE
SMALL: Final = quota_simulation.SMALL
#: Request rates of several times the quota.
HOT: Final = {LARGE: 45.0, SMALL: 3.0}
CALM: Final = {LARGE: 6.0, SMALL: 0.15}


def check_bounds(simulation: quota_simulation.Simulation) -> None:
    """Check that no customer exceeds what is tolerated in any window."""
    for customer in simulation.customers:
        max_count = simulation.count_max_admitted(customer)
        assert max_count <= simulation.compute_bound(customer), (
            customer.name,
            max_count,
        )


def test_refuses_nothing_below_the_quota() -> None:
    """Guard against refusals of requests within a customer's quota."""
    simulation = quota_simulation.Simulation(73)
    simulation.run_load(60.0, CALM)
    assert not simulation.refused


def test_limits_a_hot_customer_and_no_other() -> None:
    """Guard against one customer that uses the capacity of others."""
    simulation = quota_simulation.Simulation(73)
    simulation.run_load(20.0, {LARGE: 45.0, SMALL: 0.15})
    check_bounds(simulation)
    assert simulation.count_admitted(LARGE) >= 0.95 * LARGE.rate * 20
    refused = {it.customer for it in simulation.refused}
    assert refused == {LARGE.name}
    assert {it.failure.kind for it in simulation.refused} == {
        errors.Kind.OVER_QUOTA
    }
    waits = sorted(it.took for it in simulation.refused)
    assert waits[int(0.99 * len(waits))] < 0.025


def test_retry_after_covers_the_wait_and_spreads_callers() -> None:
    """Guard against callers that all come back at once or too soon."""
    simulation = quota_simulation.Simulation(16)
    simulation.run_load(10.0, HOT)
    waits = [it.failure.retry_after for it in simulation.refused]
    assert all(waits)
    later_waits = [it for it in waits[len(waits) // 2 :] if it is not None]
    assert len(set(later_waits)) > len(later_waits) / 2
    # About 35 requests a second are refused and 10 are admitted.
    assert sum(later_waits) / len(later_waits) > 1


@pytest.mark.parametrize('rate', [2.0, 6.0])
def test_serves_customers_below_the_quota_after_all_hosts_died(
    rate: float,
) -> None:
    """Guard against refusals for a window after a restart of all hosts."""
    simulation = quota_simulation.Simulation(73)
    simulation.run_load(10.0, HOT)
    simulation.kill_all()
    restarted = simulation.now
    simulation.run_load(5.0, {LARGE: rate})
    check_bounds(simulation)
    refused = [it for it in simulation.refused if it.when > restarted]
    assert len(refused) <= 0.05 * rate * 5


def test_holds_when_all_hosts_are_killed_within_a_window() -> None:
    """Guard against a full set of tokens after each restart of the hosts."""
    simulation = quota_simulation.Simulation(73)
    for _ in range(2):
        simulation.run_load(2.0, HOT)
        simulation.kill_all()
    simulation.run_load(10.0, HOT)
    check_bounds(simulation)


def test_serves_both_sides_of_a_partition() -> None:
    """Guard against a data centre that has no holders while it is cut off."""
    simulation = quota_simulation.Simulation(73)
    simulation.run_load(10.0, CALM)
    simulation.cut_off('north')
    simulation.run_load(10.0, CALM)
    assert not simulation.refused


def test_holds_over_a_partition_while_a_customer_is_hot() -> None:
    """Guard against a whole quota on each side of a network partition."""
    simulation = quota_simulation.Simulation(73)
    for centres in (['north'], [], ['east', 'west'], []):
        simulation.cut_off(*centres)
        simulation.run_load(4.0, HOT)
    check_bounds(simulation)


def test_holds_when_each_host_is_isolated() -> None:
    """Guard against hosts that admit requests without a reply of a holder."""
    simulation = quota_simulation.Simulation(73)
    simulation.run_load(5.0, HOT)
    simulation.isolate(simulation.hosts)
    simulation.run_load(10.0, HOT)
    check_bounds(simulation)
    refusals = [it for it in simulation.refused if it.failure.kind is not None]
    assert all(it.took <= quotas.TOTAL_TIMEOUT_S + 0.001 for it in refusals)


def test_holds_when_all_hosts_are_asked_at_once() -> None:
    """Guard against one uncounted request at each host."""
    simulation = quota_simulation.Simulation(73)
    for host in simulation.hosts:
        simulation.request(SMALL, host)
    simulation.run_until(simulation.now + 1)
    check_bounds(simulation)


def test_an_unreachable_holder_causes_no_refusal() -> None:
    """Guard against a customer that depends on a single host."""
    simulation = quota_simulation.Simulation(16)
    for host in simulation.hosts[:2]:
        simulation.pause(host)
    simulation.run_load(10.0, CALM)
    assert not simulation.refused


def test_holds_when_a_holder_pauses_and_resumes() -> None:
    """Guard against requests that waited in a socket and are all granted."""
    simulation = quota_simulation.Simulation(16)
    for host in simulation.hosts[:4]:
        simulation.pause(host)
    simulation.run_load(5.0, HOT)
    for host in simulation.hosts[:4]:
        simulation.resume(host)
    simulation.run_load(5.0, HOT)
    check_bounds(simulation)


def test_refuses_little_over_a_lossy_network() -> None:
    """Guard against refusals due to lost or reordered messages."""
    simulation = quota_simulation.Simulation(73, loss=0.05, extra_delay=0.004)
    simulation.run_load(30.0, CALM)
    assert len(simulation.refused) <= 0.01 * simulation.count_admitted(LARGE)


def test_a_lower_limit_holds_after_one_window() -> None:
    """Guard against tokens of a higher limit that are granted later."""
    simulation = quota_simulation.Simulation(16)
    simulation.run_load(5.0, HOT)
    lower = LARGE._replace(rate=2.0, burst=1.0)
    simulation.configure((lower, SMALL))
    simulation.run_until(simulation.now + 5)
    simulation.admitted.clear()
    simulation.run_load(10.0, {lower: 30.0})
    assert simulation.count_max_admitted(lower) <= simulation.compute_bound(
        lower
    )


def test_returns_the_token_of_a_request_that_did_not_run() -> None:
    """Guard against tokens spent on requests that were refused later."""
    simulation = quota_simulation.Simulation(16, customers=(SMALL,))
    host = simulation.hosts[0]
    host_quotas = simulation._quotas[host.name]
    simulation.request(SMALL, host)
    simulation.run_until(simulation.now + 1)
    before = simulation.sent
    host_quotas.record_end(1, simulation.now, ran=False)
    simulation.request(SMALL, host)
    assert simulation.count_admitted(SMALL) == 2
    assert simulation.sent == before


def test_discards_a_pending_request_whose_caller_left() -> None:
    """Guard against requests that start after their caller has left."""
    simulation = quota_simulation.Simulation(16, customers=(SMALL,))
    for host in simulation.hosts:
        simulation.request(SMALL, host)
    for number, host in enumerate(simulation.hosts, 1):
        simulation._quotas[host.name].record_end(
            number, simulation.now, ran=False
        )
    admitted_count = len(simulation.admitted)
    simulation.run_until(simulation.now + 1)
    assert len(simulation.admitted) == admitted_count


def test_sends_no_messages_without_limits() -> None:
    """Guard against messages in deployments without limits."""
    free = configs.Customer('free')
    simulation = quota_simulation.Simulation(16, customers=(free,))
    simulation.run_load(5.0, {free: 20.0})
    assert not simulation.sent
    assert not simulation.refused


def test_prefetches_tokens_for_a_busy_customer() -> None:
    """Guard against one message for each request of a busy customer."""
    huge = configs.Customer('huge', (), None, 4000.0, 1000.0)
    simulation = quota_simulation.Simulation(8, customers=(huge,))
    simulation.run_load(2.0, {huge: 2000.0})
    assert not simulation.refused
    assert simulation.sent < simulation.count_admitted(huge)


class Faults:
    """Inject faults, with a bounded number of restarts of all hosts."""

    def __init__(self, simulation: quota_simulation.Simulation) -> None:
        """Start with a simulation without faults."""
        self.simulation = simulation
        self.restarts_left = 1

    def inject(self, step: str) -> None:
        """Inject one fault, or end one."""
        steps = {
            'cut north': lambda: self.simulation.cut_off('north'),
            'cut two': lambda: self.simulation.cut_off('east', 'south'),
            'reconnect': self.simulation.cut_off,
            'isolate': lambda: self.simulation.isolate(self._choose_hosts()),
            'rejoin': lambda: self.simulation.isolate([]),
            'kill all': self._kill_all,
            'kill one': lambda: self.simulation.start(self._choose_host()),
            'pause': self._pause_hosts,
            'resume': self._resume_hosts,
            'host lists differ': self._make_host_lists_differ,
            'host lists agree': self._make_host_lists_agree,
        }
        steps[step]()

    def _choose_host(self) -> deployments.Host:
        return self.simulation.random.choice(self.simulation.hosts)

    def _choose_hosts(self) -> list[deployments.Host]:
        return self.simulation.hosts[:: self.simulation.random.randint(2, 5)]

    def _kill_all(self) -> None:
        # Each restart of all hosts within a window adds its start tokens.
        if self.restarts_left:
            self.restarts_left -= 1
            self.simulation.kill_all()

    def _pause_hosts(self) -> None:
        for host in self._choose_hosts():
            self.simulation.pause(host)

    def _resume_hosts(self) -> None:
        for host in self.simulation.hosts:
            self.simulation.resume(host)

    def _make_host_lists_differ(self) -> None:
        removed = self._choose_host()
        remaining = tuple(it for it in self.simulation.hosts if it != removed)
        self.simulation.set_known_hosts(self._choose_host(), remaining)

    def _make_host_lists_agree(self) -> None:
        for host in self.simulation.hosts:
            self.simulation.set_known_hosts(host, tuple(self.simulation.hosts))


def test_holds_while_no_admitted_request_runs() -> None:
    """Guard against returned tokens that add up while no request runs."""
    simulation = quota_simulation.Simulation(16)
    end_time = simulation.now + 8
    while simulation.now < end_time:
        simulation.run_load(0.05, {LARGE: 300.0})
        for host in simulation.hosts:
            host_quotas = simulation._quotas[host.name]
            for number in tuple(host_quotas._spent):
                host_quotas.record_end(number, simulation.now, ran=False)
    simulation.admitted.clear()
    simulation.run_load(6.0, {LARGE: 300.0})
    check_bounds(simulation)


def test_holds_when_a_holder_leaves_and_comes_back_twice() -> None:
    """Guard against a former holder that goes on filling its bucket."""
    large = LARGE._replace(burst=100.0)
    simulation = quota_simulation.Simulation(16, customers=(large,))
    slots = quota_slots.split_quota(
        quota_slots.make_limit(large),
        quota_simulation.QUOTA,
        quota_simulation.CENTRES,
    )
    by_centre = {
        centre: [it for it in simulation.hosts if it.data_centre == centre]
        for centre in quota_simulation.CENTRES
    }
    removed = set(quota_slots.list_holders(large.name, slots, by_centre))
    remaining = tuple(it for it in simulation.hosts if it not in removed)
    for _ in range(2):
        simulation.run_load(2.0, {large: 300.0})
        for host in simulation.hosts:
            simulation.set_known_hosts(host, remaining)
        simulation.run_load(2.0, {large: 300.0})
        for host in simulation.hosts:
            simulation.set_known_hosts(host, tuple(simulation.hosts))
        simulation.run_until(simulation.now + 100)
    simulation.run_load(2.0, {large: 300.0})
    for host in simulation.hosts:
        simulation.set_known_hosts(host, remaining)
    simulation.run_load(3.0, {large: 300.0})
    check_bounds(simulation)


def test_a_host_without_a_host_list_grants_nothing() -> None:
    """Guard against hosts that all consider themselves holders at a start."""
    simulation = quota_simulation.Simulation(73)
    for host in simulation.hosts:
        simulation.set_known_hosts(host, ())
    simulation.run_load(5.0, HOT)
    assert not simulation.admitted


STEPS: Final = (
    'cut north',
    'cut two',
    'reconnect',
    'isolate',
    'rejoin',
    'kill all',
    'kill one',
    'pause',
    'resume',
    'host lists differ',
    'host lists agree',
)


@hypothesis.settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    some.lists(some.sampled_from(STEPS), min_size=1, max_size=10),
    some.integers(0, 2**16),
    some.sampled_from((8, 16, 73)),
    some.sampled_from((0.0, 0.1)),
)
def test_holds_in_any_order_of_failures(
    steps: list[str], seed: int, hosts: int, loss: float
) -> None:
    """Cover any order of partitions, kills, pauses and differing host lists."""
    simulation = quota_simulation.Simulation(hosts, seed, loss=loss)
    faults = Faults(simulation)
    for step in steps:
        faults.inject(step)
        simulation.run_load(simulation.random.uniform(0.2, 2.0), HOT)
    check_bounds(simulation)
