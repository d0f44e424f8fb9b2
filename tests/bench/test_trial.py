"""Test the decisions of many hosts under load, in simulated time."""

import contextlib

import pytest

from bench import setups, simulation, targets, trial
from fuchsiahaven.routing import delegations

SEED = 1
SECONDS = 6.0
SETUP = setups.Setup(shards=60)


def test_answers_completely_while_targets_only_pause() -> None:
    """Hedges and retries within the limit make up for pauses of targets."""
    score = trial.run_variant(
        trial.UNCHANGED, trial.LOADS['paused'], SETUP, SEED, SECONDS
    )
    assert score.worth > 0.98
    assert not score.failed
    assert score.p99 <= SETUP.objective


def test_lost_answers_fail_few_queries_of_many_hosts() -> None:
    """Symptom: a third of the queries fail while targets are ready.

    Half of the targets lose two in five answers for four seconds. With an equal
    share of the extra load limit each of 63 hosts could retry less than once in
    ten seconds; the delegate hosts, which see all parts of their chunk, can
    retry often.
    """
    load = targets.TargetLoad(
        pause_s=0.25,
        troubled_fraction=0.5,
        lost_fraction=0.4,
        trouble_start=1,
        trouble_end=5,
    )
    score = trial.run_variant(trial.UNCHANGED, load, SETUP, SEED, SECONDS)
    assert score.failed < 0.1
    assert score.worth > 0.85


def test_extra_load_of_many_hosts_stays_within_its_limit() -> None:
    """All targets are slow: extra load stays within its limit."""
    setup = SETUP._replace(hosts=12, shards=45)
    load = targets.TargetLoad(
        work_s=0.15, troubled_fraction=1.0, slow_factor=3.0
    )
    result = simulation.Simulation(setup, load, SEED).run(2)
    queries = len(result.endings)
    limit = setup.extra_load
    allowed = (
        limit.fraction * queries * setup.shards + limit.slack * setup.shards
    )
    assert result.extra_attempts <= allowed


def test_deadly_query_stops_reaching_targets() -> None:
    """Symptom: the query is sent again to any host and crashes targets."""
    setup = SETUP._replace(hosts=12)
    load = targets.TargetLoad(deadly_fraction=0.1)
    score = trial.run_variant(trial.UNCHANGED, load, setup, SEED, 8)
    assert score.ends >= 3
    assert score.late <= 3


def test_same_seed_gives_the_same_score() -> None:
    """Scores of one seed differ only by the variant."""
    load = trial.LOADS['slow']
    first, second = [
        trial.run_variant(trial.UNCHANGED, load, SETUP, SEED, 2)
        for _ in range(2)
    ]
    assert first == second


def test_applies_and_restores_a_variant() -> None:
    """A variant changes constants until its stack ends."""
    usual = delegations.MAX_PART_SENDINGS
    with contextlib.ExitStack() as stack:
        trial.apply_variant(f'delegations.MAX_PART_SENDINGS={usual + 4}', stack)
        assert delegations.MAX_PART_SENDINGS == usual + 4
    assert usual == delegations.MAX_PART_SENDINGS


@pytest.mark.parametrize(
    'variant', ['nonsense', 'delegations.MAX_PART_SENDINGS', 'a=1']
)
def test_rejects_a_malformed_variant(variant: str) -> None:
    """A typing error is reported rather than run as the unchanged code."""
    with contextlib.ExitStack() as stack, pytest.raises(ValueError, match='is'):
        trial.apply_variant(variant, stack)


def test_prints_median_and_spread(capsys: pytest.CaptureFixture[str]) -> None:
    """The table has one row for each variant, with all figures."""
    trial.main(['stands', '--load', 'quiet', '--seeds', '2', '--seconds', '1'])
    titles, row, tail = capsys.readouterr().out.splitlines()
    assert 'worth' in titles
    assert row.startswith('stands')
    assert 'quiet, 2 seeds' in tail


def test_fast_queries_are_in_time_on_small_hosts() -> None:
    """Symptom: of 90 parts with an objective of 59 ms most are late.

    Hosts with a third of a core need a fraction of a millisecond per
    sub-request and per message to another host. Targets pause for longer than
    the objective, and a quarter of them is slow.
    """
    load = targets.TargetLoad(
        work_s=0.0057,
        pause_s=0.12,
        pause_interval_s=3,
        troubled_fraction=0.25,
        slow_factor=2.5,
    )
    setup = setups.Setup(
        hosts=99,
        objective=0.059,
        coverage=0.85,
        part_cost=0.0002,
        delegation_cost=0.0012,
        caller_delay=0.01,
    )
    score = trial.run_variant(trial.UNCHANGED, load, setup, SEED, 3)
    assert score.worth > 0.88
    assert not score.failed
