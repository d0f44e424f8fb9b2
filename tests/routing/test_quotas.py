"""Test that customers keep to their quotas, over all hosts."""

from typing import Final

import hypothesis
import pytest
from hypothesis import strategies as some

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, deployments, quota_slots, quotas
from tests.routing import quota_model

LARGE: Final = quota_model.LARGE
SMALL: Final = quota_model.SMALL
#: Beyond its quota, as many times as a hot customer asks for.
HOT: Final = {LARGE: 45.0, SMALL: 3.0}
CALM: Final = {LARGE: 6.0, SMALL: 0.15}


def check_bounds(world: quota_model.World) -> None:
    """Check that no customer had more than is tolerated in any window."""
    for customer in world.customers:
        most = world.count_most(customer)
        assert most <= world.count_bound(customer), (customer.name, most)


def test_refuses_nothing_below_the_quota() -> None:
    """Guard against refusals that cost a customer what it has paid for."""
    world = quota_model.World(73)
    world.play(60.0, CALM)
    assert not world.refused


def test_serves_a_hot_customer_at_its_quota_and_others_as_ever() -> None:
    """Guard against one customer that takes what others are to have."""
    world = quota_model.World(73)
    world.play(20.0, {LARGE: 45.0, SMALL: 0.15})
    check_bounds(world)
    assert world.count(LARGE) >= 0.95 * LARGE.rate * 20
    refused = {it.customer for it in world.refused}
    assert refused == {LARGE.name}
    assert {it.failure.kind for it in world.refused} == {errors.Kind.OVER_QUOTA}
    waits = sorted(it.took for it in world.refused)
    assert waits[int(0.99 * len(waits))] < 0.025


def test_says_when_there_is_room_and_spreads_callers() -> None:
    """Guard against callers that all come back at one moment, or too soon."""
    world = quota_model.World(16)
    world.play(10.0, HOT)
    waits = [it.failure.retry_after for it in world.refused]
    assert all(waits)
    late = [it for it in waits[len(waits) // 2 :] if it is not None]
    assert len(set(late)) > len(late) / 2
    # Some 35 a second are turned away and 10 a second have room.
    assert sum(late) / len(late) > 1


@pytest.mark.parametrize('rate', [2.0, 6.0])
def test_serves_customers_below_the_quota_after_all_hosts_died(
    rate: float,
) -> None:
    """Guard against a window of refusals after each restart of all."""
    world = quota_model.World(73)
    world.play(10.0, HOT)
    world.kill_all()
    began = world.now
    world.play(5.0, {LARGE: rate})
    check_bounds(world)
    refused = [it for it in world.refused if it.when > began]
    assert len(refused) <= 0.05 * rate * 5


def test_holds_when_all_hosts_are_killed_within_a_window() -> None:
    """Guard against tokens that count anew for each life of the hosts."""
    world = quota_model.World(73)
    for _ in range(2):
        world.play(2.0, HOT)
        world.kill_all()
    world.play(10.0, HOT)
    check_bounds(world)


def test_serves_both_sides_of_a_cut() -> None:
    """Guard against a data centre without holders while it is cut off."""
    world = quota_model.World(73)
    world.play(10.0, CALM)
    world.cut('north')
    world.play(10.0, CALM)
    assert not world.refused


def test_holds_over_a_cut_while_a_customer_is_hot() -> None:
    """Guard against two sides that both give the whole quota."""
    world = quota_model.World(73)
    for centres in (['north'], [], ['east', 'west'], []):
        world.cut(*centres)
        world.play(4.0, HOT)
    check_bounds(world)


def test_holds_when_each_host_is_alone() -> None:
    """Guard against hosts that give what they cannot ask for."""
    world = quota_model.World(73)
    world.play(5.0, HOT)
    world.isolate(world.hosts)
    world.play(10.0, HOT)
    check_bounds(world)
    alone = [it for it in world.refused if it.failure.kind is not None]
    assert all(it.took <= quotas.PATIENCE_S + 0.001 for it in alone)


def test_holds_when_all_hosts_are_asked_at_once() -> None:
    """Guard against one request at each host that nobody has counted."""
    world = quota_model.World(73)
    for host in world.hosts:
        world.ask(SMALL, host)
    world.run_to(world.now + 1)
    check_bounds(world)


def test_a_holder_that_is_gone_costs_no_refusal() -> None:
    """Guard against a customer that depends on one host."""
    world = quota_model.World(16)
    for host in world.hosts[:2]:
        world.freeze(host)
    world.play(10.0, CALM)
    assert not world.refused


def test_holds_when_a_holder_stands_still_and_goes_on() -> None:
    """Guard against questions of long ago that are answered at once."""
    world = quota_model.World(16)
    for host in world.hosts[:4]:
        world.freeze(host)
    world.play(5.0, HOT)
    for host in world.hosts[:4]:
        world.thaw(host)
    world.play(5.0, HOT)
    check_bounds(world)


def test_loses_little_over_a_bad_network() -> None:
    """Guard against refusals for words that were lost or overtaken."""
    world = quota_model.World(73, loss=0.05, more=0.004)
    world.play(30.0, CALM)
    assert len(world.refused) <= 0.01 * world.count(LARGE)


def test_a_lower_limit_binds_after_one_window() -> None:
    """Guard against tokens of a higher limit that are given later."""
    world = quota_model.World(16)
    world.play(5.0, HOT)
    lower = LARGE._replace(rate=2.0, burst=1.0)
    world.configure((lower, SMALL))
    world.run_to(world.now + 5)
    world.admitted.clear()
    world.play(10.0, {lower: 30.0})
    assert world.count_most(lower) <= world.count_bound(lower)


def test_a_request_that_did_not_run_costs_nothing() -> None:
    """Guard against a customer that pays for what was refused."""
    world = quota_model.World(16, known=(SMALL,))
    host = world.hosts[0]
    life = world._lives[host.name]
    world.ask(SMALL, host)
    world.run_to(world.now + 1)
    before = world.sent
    life.end(1, world.now, ran=False)
    world.ask(SMALL, host)
    assert world.count(SMALL) == 2
    assert world.sent == before


def test_a_caller_that_leaves_while_it_waits_is_forgotten() -> None:
    """Guard against requests that begin after their caller has left."""
    world = quota_model.World(16, known=(SMALL,))
    for host in world.hosts:
        world.ask(SMALL, host)
    for number, host in enumerate(world.hosts, 1):
        world._lives[host.name].end(number, world.now, ran=False)
    begun = len(world.admitted)
    world.run_to(world.now + 1)
    assert len(world.admitted) == begun


def test_says_nothing_without_limits() -> None:
    """Guard against messages where no customer has a limit."""
    free = configs.Customer('free')
    world = quota_model.World(16, known=(free,))
    world.play(5.0, {free: 20.0})
    assert not world.sent
    assert not world.refused


def test_asks_less_often_for_a_customer_that_asks_much() -> None:
    """Guard against one question a request where there are very many."""
    huge = configs.Customer('huge', (), None, 4000.0, 1000.0)
    world = quota_model.World(8, known=(huge,))
    world.play(2.0, {huge: 2000.0})
    assert not world.refused
    assert world.sent < world.count(huge)


class Day:
    """Own a world, and how many more restarts of all may come in it."""

    def __init__(self, world: quota_model.World) -> None:
        """Take a world in which all is well."""
        self.world = world
        self.lives = 1

    def take_step(self, step: str) -> None:
        """Let one thing happen."""
        steps = {
            'cut north': lambda: self.world.cut('north'),
            'cut two': lambda: self.world.cut('east', 'south'),
            'heal': self.world.cut,
            'alone': lambda: self.world.isolate(self._list_some()),
            'together': lambda: self.world.isolate([]),
            'kill all': self._kill_all,
            'kill one': lambda: self.world.start(self._pick()),
            'freeze': self._freeze,
            'thaw': self._thaw,
            'views differ': self._have_views_differ,
            'views agree': self._have_views_agree,
        }
        steps[step]()

    def _pick(self) -> deployments.Host:
        return self.world.random.choice(self.world.hosts)

    def _list_some(self) -> list[deployments.Host]:
        return self.world.hosts[:: self.world.random.randint(2, 5)]

    def _kill_all(self) -> None:
        # A further restart of all within a window may add as much again.
        if self.lives:
            self.lives -= 1
            self.world.kill_all()

    def _freeze(self) -> None:
        for host in self._list_some():
            self.world.freeze(host)

    def _thaw(self) -> None:
        for host in self.world.hosts:
            self.world.thaw(host)

    def _have_views_differ(self) -> None:
        gone = self._pick()
        left = tuple(it for it in self.world.hosts if it != gone)
        self.world.tell_hosts(self._pick(), left)

    def _have_views_agree(self) -> None:
        for host in self.world.hosts:
            self.world.tell_hosts(host, tuple(self.world.hosts))


def test_holds_over_an_outage_in_which_nothing_runs() -> None:
    """Guard against tokens that are given back for as long as nothing runs."""
    world = quota_model.World(16)
    ends = world.now + 8
    while world.now < ends:
        world.play(0.05, {LARGE: 300.0})
        for host in world.hosts:
            life = world._lives[host.name]
            for number in tuple(life._paid):
                life.end(number, world.now, ran=False)
    world.admitted.clear()
    world.play(6.0, {LARGE: 300.0})
    check_bounds(world)


def test_holds_when_a_holder_leaves_and_comes_back_twice() -> None:
    """Guard against a former holder that has saved tokens up meanwhile."""
    large = LARGE._replace(burst=100.0)
    world = quota_model.World(16, known=(large,))
    slots = quota_slots.split(
        quota_slots.find_limit(large), quota_model.QUOTA, quota_model.CENTRES
    )
    by_centre = {
        centre: [it for it in world.hosts if it.data_centre == centre]
        for centre in quota_model.CENTRES
    }
    gone = set(quota_slots.list_holders(large.name, slots, by_centre))
    left = tuple(it for it in world.hosts if it not in gone)
    for _ in range(2):
        world.play(2.0, {large: 300.0})
        for host in world.hosts:
            world.tell_hosts(host, left)
        world.play(2.0, {large: 300.0})
        for host in world.hosts:
            world.tell_hosts(host, tuple(world.hosts))
        world.run_to(world.now + 100)
    world.play(2.0, {large: 300.0})
    for host in world.hosts:
        world.tell_hosts(host, left)
    world.play(3.0, {large: 300.0})
    check_bounds(world)


def test_a_host_that_knows_no_other_gives_nothing() -> None:
    """Guard against hosts that all take themselves for holders at a start."""
    world = quota_model.World(73)
    for host in world.hosts:
        world.tell_hosts(host, ())
    world.play(5.0, HOT)
    assert not world.admitted


STEPS: Final = (
    'cut north',
    'cut two',
    'heal',
    'alone',
    'together',
    'kill all',
    'kill one',
    'freeze',
    'thaw',
    'views differ',
    'views agree',
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
def test_keeps_to_the_bound_in_any_order_of_failures(
    steps: list[str], seed: int, hosts: int, loss: float
) -> None:
    """Guard against any order of cuts, kills, freezes and views that differ."""
    world = quota_model.World(hosts, seed, loss=loss)
    day = Day(world)
    for step in steps:
        day.take_step(step)
        world.play(world.random.uniform(0.2, 2.0), HOT)
    check_bounds(world)
