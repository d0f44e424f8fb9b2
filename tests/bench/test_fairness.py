"""Test the service of customers that share overloaded targets."""

import functools

import pytest

from bench import fairness, setups, simulation, targets

#: The normal traffic of three customers; the last has the shortest objective.
HOT = setups.Flow('hot', 6.0, 0.2, 2.5, 0.95)
CALM = setups.Flow('calm', 16.0, 0.2, 2.5, 0.95)
URGENT = setups.Flow('urgent', 14.0, 0.05, 1.0, 0.85, 0, 0.33)
#: Processor costs as of hosts with half a core; targets have two slots each.
SETUP = setups.Setup(
    hosts=73, part_cost=0.0002, delegation_cost=0.0012, caller_delay=0.01
)
LOAD = targets.TargetLoad(work_s=0.02, pause_s=0.12, pause_interval_s=3)
BURST_START = 2.0
BURST_S = 5.0
RECOVERY_S = 2.0
SEEDS = (1, 2, 3)


@functools.lru_cache(maxsize=8)
def simulate(
    flows: tuple[setups.Flow, ...], load: targets.TargetLoad, seconds: float
) -> simulation.Result:
    """Simulate each seed; return the combined result."""
    setup = SETUP._replace(flows=flows)
    results = [
        simulation.Simulation(setup, load, it).run(seconds) for it in SEEDS
    ]
    endings = tuple(it for one in results for it in one.endings)
    repeats = sum(one.extra_attempts for one in results)
    return simulation.Result(endings, repeats, 0)


@pytest.mark.parametrize('times', [4.0, 7.0])
def test_a_hot_customer_starves_nobody(times: float) -> None:
    """Symptom: queries fail while another customer sends many times more."""
    ends = BURST_START + 4
    hot = HOT._replace(
        burst_factor=times, burst_start=BURST_START, burst_end=ends
    )
    baseline = simulate((HOT, CALM, URGENT), LOAD, ends)
    overloaded = simulate((hot, CALM, URGENT), LOAD, ends)
    for flow in (CALM, URGENT):
        without = fairness.summarise_customer(baseline, flow, BURST_START, ends)
        beside = fairness.summarise_customer(
            overloaded, flow, BURST_START, ends
        )
        assert beside.served_fraction >= 0.99
        assert beside.p99_s <= flow.timeout / 4
        assert beside.in_time_fraction >= 0.8 * without.in_time_fraction


#: A customer without a quota, beside many small ones.
LARGE_CUSTOMER = HOT._replace(
    rate=12.0,
    burst_factor=7.0,
    burst_start=BURST_START,
    burst_end=BURST_START + 4,
)
SMALL_CUSTOMERS = tuple(
    HOT._replace(customer=f'small {number}', rate=0.5) for number in range(20)
)


def test_customer_without_a_quota_starves_nobody() -> None:
    """Symptom: most queries are of one customer, and those of others fail."""
    overloaded = simulate(
        (LARGE_CUSTOMER, CALM, URGENT, *SMALL_CUSTOMERS),
        LOAD,
        LARGE_CUSTOMER.burst_end,
    )
    for flow in (CALM, URGENT):
        beside = fairness.summarise_customer(
            overloaded, flow, BURST_START, LARGE_CUSTOMER.burst_end
        )
        assert beside.served_fraction >= 0.99


def test_many_small_customers_are_not_starved() -> None:
    """Symptom: customers with a query per two seconds are never scheduled."""
    overloaded = simulate(
        (LARGE_CUSTOMER, CALM, URGENT, *SMALL_CUSTOMERS),
        LOAD,
        LARGE_CUSTOMER.burst_end,
    )
    outcomes = [
        fairness.summarise_customer(
            overloaded, it, BURST_START, LARGE_CUSTOMER.burst_end
        )
        for it in SMALL_CUSTOMERS
    ]
    requests = sum(it.requests for it in outcomes)
    assert (
        sum(it.served_fraction * it.requests for it in outcomes)
        >= 0.99 * requests
    )


def test_goodput_survives_a_burst_on_slow_targets() -> None:
    """Symptom: with more queries, fewer than before are answered in time.

    For five seconds the rate is 2.4 times as high, while one target in six
    takes eight times as long.
    """
    ends = BURST_START + BURST_S
    load = LOAD._replace(
        troubled_fraction=0.16,
        slow_factor=8.0,
        trouble_start=BURST_START,
        trouble_end=ends,
    )
    flows = (HOT, CALM, URGENT)
    burst = tuple(
        it._replace(burst_factor=2.4, burst_start=BURST_START, burst_end=ends)
        for it in flows
    )
    baseline = simulate(flows, load, ends)
    overloaded = simulate(burst, load, ends + RECOVERY_S + 3)
    for flow in flows:
        without = fairness.summarise_customer(baseline, flow, BURST_START, ends)
        during = fairness.summarise_customer(
            overloaded, flow, BURST_START, ends
        )
        after = fairness.summarise_customer(
            overloaded, flow, ends + RECOVERY_S, 99
        )
        assert (
            during.in_time_fraction * during.requests
            >= without.in_time_fraction * without.requests
        )
        assert after.served_fraction >= 0.99
        assert after.in_time_fraction >= without.in_time_fraction


#: Half of the targets take twelve times as long for eight seconds.
SLOW_TARGETS = targets.TargetLoad(
    troubled_fraction=0.5, slow_factor=12.0, trouble_start=1.0, trouble_end=9.0
)
LIGHT_FLOWS = (
    CALM._replace(rate=6.0),
    URGENT._replace(rate=6.0, objective=0.1),
)


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_queries_lose_least_and_service_recovers(seed: int) -> None:
    """Symptom: capacity goes to queries that can wait, and delays persist."""
    setup = SETUP._replace(hosts=24, shards=30, flows=LIGHT_FLOWS)
    result = simulation.Simulation(setup, SLOW_TARGETS, seed).run(
        SLOW_TARGETS.trouble_end + 4
    )
    calm, urgent = (
        fairness.summarise_customer(
            result, it, SLOW_TARGETS.trouble_start, SLOW_TARGETS.trouble_end
        )
        for it in LIGHT_FLOWS
    )
    assert urgent.served_fraction >= calm.served_fraction
    assert urgent.in_time_fraction > calm.in_time_fraction
    for flow in LIGHT_FLOWS:
        after = fairness.summarise_customer(
            result, flow, SLOW_TARGETS.trouble_end + RECOVERY_S, 99
        )
        assert after.served_fraction >= 0.99
        assert after.in_time_fraction >= 0.99
