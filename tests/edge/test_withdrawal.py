"""Check that a key that was taken away is dead on every host in time."""

import random
from typing import Final

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import revision_messages as wording
from fuchsiahaven.core.customers import freshness, proof_exchange
from tests.edge import withdrawal_model as model

HOSTS: Final = 4
RUNS: Final = 150
STEPS: Final = 250


def take_step(
    world: model.World, drawn: random.Random, cut: frozenset[int]
) -> None:
    """Let something happen; hosts that are cut off meet each other alone."""
    world.now += drawn.expovariate(8)
    place, other = drawn.sample(range(HOSTS), 2)
    met = (place in cut) == (other in cut)
    match drawn.randrange(16):
        case 0 | 1 | 2 if place not in cut:
            world.read(place, whole=drawn.random() < 0.5)
        case 3 | 4 | 5 if met:
            world.ask(place, other)
        case 6 if met:
            world.push(place, other)
        case 7 if drawn.random() < 0.1:
            world.restart(place)
        case 8:
            world.change(withdraw=drawn.random() < 0.3)
        case 9:
            # Of two answers that are on their way the later may come first.
            world.go_on(drawn.randrange(100))
        case _:
            world.go_on(0)


def read_all(world: model.World, count: int = HOSTS) -> None:
    """Let every host read the platform, twice: the first shows customers."""
    for place in range(count):
        for _ in range(2):
            world.read(place, whole=True)
            while world.calls:
                world.go_on(0)


@pytest.mark.parametrize('first', range(0, RUNS, 10))
def test_no_host_takes_a_dead_key(first: int) -> None:
    """Guard against a host that is out of touch, or told by such a one.

    Calls leave, are served and arrive in any order and after any time; a host
    that stands still is one to which nothing arrives.
    """
    for seed in range(first, first + 10):
        drawn = random.Random(seed)
        world = model.World(HOSTS)
        read_all(world)
        cut = frozenset(drawn.sample(range(HOSTS), drawn.randrange(HOSTS)))
        for step in range(STEPS):
            take_step(world, drawn, cut if step > STEPS // 4 else frozenset())
            world.check()


def test_hosts_in_touch_take_a_good_key() -> None:
    """Guard against a bound that is kept by refusing everybody."""
    world = model.World(HOSTS)
    read_all(world)
    assert all(host.admits() for host in world.hosts)
    for _ in range(20):
        world.now += 0.08 * model.REVOKE_S
        world.read(0, whole=False)
        world.go_on(0)
        world.go_on(0)
        for place in range(1, HOSTS):
            world.ask(place, place - 1)
            world.go_on(0)
            world.go_on(0)
        assert all(host.admits() for host in world.hosts)


def test_a_host_alone_refuses_keys_and_says_when_to_come_back() -> None:
    world = model.World(HOSTS)
    read_all(world)
    world.now += model.REVOKE_S
    host = world.hosts[0]
    refused = host.door.admit(model.QUERY, model.SHOWN)
    assert isinstance(refused, errors.Failure)
    assert refused.kind is errors.Kind.STALE_KEYS
    assert refused.ran is errors.Ran.NO
    assert refused.retry_after
    assert host.door.find_wait()


def test_a_platform_that_came_back_older_proves_nothing() -> None:
    """Guard against a copy that lacks the withdrawal."""
    world = model.World(HOSTS)
    copy = world.held
    world.change(withdraw=False)
    read_all(world)
    world.held = copy
    world.now += 3.0
    read_all(world)
    age = world.hosts[0].door.freshness.compute_age()
    assert age == 3.0
    world.held = model.Held(2, copy.configuration._replace(revision=3))
    read_all(world)
    assert world.hosts[0].door.freshness.compute_age() == 0


def test_a_number_that_is_reached_again_proves_nothing_after_a_gap() -> None:
    """Guard against a platform that came back older and was changed since."""
    world = model.World(1)
    host, copy = world.hosts[0], world.held
    world.change(withdraw=False)
    read_all(world, count=1)
    known = world.held.number
    world.held = copy
    world.change(withdraw=True)
    assert world.held.number == known
    for _ in range(20):
        world.now += 0.08 * model.REVOKE_S
        urgent = host.door.freshness.compute_urgent_delay() <= 0
        host.tell(wording.CheckRequested(urgent))
        # Out of touch until the knowledge is half as old as it may be.
        if urgent:
            world.read(0, whole=host.state.last_read is None)
        while world.calls:
            world.go_on(0)
        world.check()
    assert not host.admits()


def test_without_a_bound_nothing_is_asked_or_refused() -> None:
    world = model.World(1)
    door = world.hosts[0].door
    door.freshness.revoke_s = None
    world.read(0, whole=True)
    world.go_on(0)
    world.go_on(0)
    world.now += 1e6
    assert door.prove() is None
    assert world.hosts[0].admits()
    assert door.read_clock() == float('-inf')


def test_each_host_asks_up_the_tree_and_then_the_others() -> None:
    """Guard against a host that asks one that is gone for ever."""
    order = tuple(f'h{number}' for number in range(110))
    last = [
        proof_exchange.find_member_to_ask(order, 'h109', 2, it)
        for it in range(5)
    ]
    assert last == ['h27', 'h6', 'h1', 'h0', 'h27']
    assert proof_exchange.find_member_to_ask(order, 'h2', 2, 0) == 'h0'
    assert proof_exchange.find_member_to_ask(order, 'h1', 2, 0) is None
    assert proof_exchange.find_member_to_ask(order, 'other', 2, 0) is None


def test_a_lead_beyond_the_exchange_is_no_proof() -> None:
    """Guard against a wild member that makes others trust keys for ever."""
    told = proof_exchange.ProofAnswer(
        freshness.Proof(9.0, freshness.NO_ERA), 1, 'ab'
    )
    body = proof_exchange.encode_answer(told)
    assert proof_exchange.decode_answer(body, 10.0) == told
    assert proof_exchange.decode_answer(body, 1.0) is None
    for spoilt in (b'', b'{}', b'[]', b'{"lead":"x","stamp":[1,"a"]}'):
        assert proof_exchange.decode_answer(spoilt, 1.0) is None
    assert (
        proof_exchange.decode_answer(b'{"lead":1e999,"stamp":[1,"a"]}', 1.0)
        is None
    )


def test_a_number_that_is_too_large_ends_no_thread() -> None:
    """Guard against a host that asks nobody any more after one answer."""
    assert (
        proof_exchange.decode_answer(b'{"lead":0,"stamp":[1e999,"a"]}', 1.0)
        is None
    )
    spoilt = '{{"lead":{0},"stamp":[1,"a"]}}'.format(10**400)
    assert proof_exchange.decode_answer(spoilt.encode(), 1.0) is None
