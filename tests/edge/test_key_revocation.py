"""Test that every host refuses a revoked key in time."""

import random
from typing import Final

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import revision_messages
from fuchsiahaven.core.customers import freshness, proof_exchange
from tests.edge import revocation_model as model

HOST_COUNT: Final = 4
RUN_COUNT: Final = 150
STEP_COUNT: Final = 250


def run_random_step(
    simulation: model.Simulation, rng: random.Random, isolated: frozenset[int]
) -> None:
    """Run a random event; isolated hosts reach only each other."""
    simulation.now += rng.expovariate(8)
    index, other = rng.sample(range(HOST_COUNT), 2)
    can_reach = (index in isolated) == (other in isolated)
    match rng.randrange(16):
        case 0 | 1 | 2 if index not in isolated:
            simulation.read_platform(index, reads_manifest=rng.random() < 0.5)
        case 3 | 4 | 5 if can_reach:
            simulation.request_proof(index, other)
        case 6 if can_reach:
            simulation.push_patch(index, other)
        case 7 if rng.random() < 0.1:
            simulation.restart(index)
        case 8:
            simulation.commit_change(revoke=rng.random() < 0.3)
        case 9:
            # Answers may arrive out of order.
            simulation.advance_call(rng.randrange(100))
        case _:
            simulation.advance_call(0)


def read_all(simulation: model.Simulation, count: int = HOST_COUNT) -> None:
    """Let every host read twice: the first reading finds customers."""
    for index in range(count):
        for _ in range(2):
            simulation.read_platform(index, reads_manifest=True)
            while simulation.calls:
                simulation.advance_call(0)


@pytest.mark.parametrize('first', range(0, RUN_COUNT, 10))
def test_no_host_accepts_a_revoked_key(first: int) -> None:
    """Guard against a host without contact, or one that trusts its proof.

    Calls are sent, served and answered in any order and with any delay. A
    paused host is one that receives nothing.
    """
    for seed in range(first, first + 10):
        rng = random.Random(seed)
        simulation = model.Simulation(HOST_COUNT)
        read_all(simulation)
        isolated = frozenset(
            rng.sample(range(HOST_COUNT), rng.randrange(HOST_COUNT))
        )
        for step in range(STEP_COUNT):
            run_random_step(
                simulation,
                rng,
                isolated if step > STEP_COUNT // 4 else frozenset(),
            )
            simulation.check_keys()


def test_connected_hosts_accept_a_valid_key() -> None:
    """Guard against a bound that is met by refusing every key."""
    simulation = model.Simulation(HOST_COUNT)
    read_all(simulation)
    assert all(host.accepts_key() for host in simulation.hosts)
    for _ in range(20):
        simulation.now += 0.08 * model.REVOKE_S
        simulation.read_platform(0, reads_manifest=False)
        simulation.advance_call(0)
        simulation.advance_call(0)
        for index in range(1, HOST_COUNT):
            simulation.request_proof(index, index - 1)
            simulation.advance_call(0)
            simulation.advance_call(0)
        assert all(host.accepts_key() for host in simulation.hosts)


def test_isolated_host_refuses_keys_with_a_retry_time() -> None:
    simulation = model.Simulation(HOST_COUNT)
    read_all(simulation)
    simulation.now += model.REVOKE_S
    host = simulation.hosts[0]
    refused = host.authenticator.admit(model.QUERY, model.CREDENTIALS)
    assert isinstance(refused, errors.Failure)
    assert refused.kind is errors.Kind.STALE_KEYS
    assert refused.ran is errors.Ran.NO
    assert refused.retry_after
    assert host.authenticator.compute_wait()


def test_restored_platform_proves_nothing() -> None:
    """Guard against a platform restored from before the revocation."""
    simulation = model.Simulation(HOST_COUNT)
    copy = simulation.stored
    simulation.commit_change(revoke=False)
    read_all(simulation)
    simulation.stored = copy
    simulation.now += 3.0
    read_all(simulation)
    age = simulation.hosts[0].authenticator.freshness.compute_age()
    assert age == 3.0
    simulation.stored = model.StoredConfiguration(
        2, copy.configuration._replace(revision=3)
    )
    read_all(simulation)
    assert simulation.hosts[0].authenticator.freshness.compute_age() == 0


def test_reused_revision_proves_nothing_after_a_gap() -> None:
    """Guard against a platform that was restored and changed again."""
    simulation = model.Simulation(1)
    host, copy = simulation.hosts[0], simulation.stored
    simulation.commit_change(revoke=False)
    read_all(simulation, count=1)
    known_revision = simulation.stored.revision
    simulation.stored = copy
    simulation.commit_change(revoke=True)
    assert simulation.stored.revision == known_revision
    for _ in range(20):
        simulation.now += 0.08 * model.REVOKE_S
        urgent = host.authenticator.freshness.compute_urgent_delay() <= 0
        host.handle_event(revision_messages.CheckRequested(urgent))
        # No contact until the keys reach half of their maximum age.
        if urgent:
            simulation.read_platform(
                0, reads_manifest=host.state.last_read is None
            )
        while simulation.calls:
            simulation.advance_call(0)
        simulation.check_keys()
    assert not host.accepts_key()


def test_without_a_bound_all_keys_are_trusted() -> None:
    simulation = model.Simulation(1)
    authenticator = simulation.hosts[0].authenticator
    authenticator.freshness.revoke_s = None
    simulation.read_platform(0, reads_manifest=True)
    simulation.advance_call(0)
    simulation.advance_call(0)
    simulation.now += 1e6
    assert authenticator.make_proof_answer() is None
    assert simulation.hosts[0].accepts_key()
    assert authenticator.read_clock() == float('-inf')


def test_asks_parents_in_the_tree_first() -> None:
    """Guard against a host that keeps asking a member that is gone."""
    order = tuple(f'h{index}' for index in range(110))
    members_asked = [
        proof_exchange.find_member_to_ask(order, 'h109', 2, it)
        for it in range(5)
    ]
    assert members_asked == ['h27', 'h6', 'h1', 'h0', 'h27']
    assert proof_exchange.find_member_to_ask(order, 'h2', 2, 0) == 'h0'
    assert proof_exchange.find_member_to_ask(order, 'h1', 2, 0) is None
    assert proof_exchange.find_member_to_ask(order, 'other', 2, 0) is None


def test_rejects_a_lead_longer_than_the_exchange() -> None:
    """Guard against a faulty member whose proof never expires."""
    answer = proof_exchange.ProofAnswer(
        freshness.Proof(9.0, freshness.NO_ERA), 1, 'ab'
    )
    body = proof_exchange.encode_answer(answer)
    assert proof_exchange.decode_answer(body, 10.0) == answer
    assert proof_exchange.decode_answer(body, 1.0) is None
    for malformed in (b'', b'{}', b'[]', b'{"lead":"x","stamp":[1,"a"]}'):
        assert proof_exchange.decode_answer(malformed, 1.0) is None
    assert (
        proof_exchange.decode_answer(b'{"lead":1e999,"stamp":[1,"a"]}', 1.0)
        is None
    )


def test_rejects_numbers_too_large_for_a_float() -> None:
    """Guard against an answer that ends the thread requesting proofs."""
    assert (
        proof_exchange.decode_answer(b'{"lead":0,"stamp":[1e999,"a"]}', 1.0)
        is None
    )
    malformed = '{{"lead":{0},"stamp":[1,"a"]}}'.format(10**400)
    assert proof_exchange.decode_answer(malformed.encode(), 1.0) is None
