"""Test loads on the decisions of many hosts at once, in simulated time."""

import contextlib

import pytest

from bench import model, shapes, targets, trial
from fuchsiahaven.routing import delegations

SEED = 1
SECONDS = 6.0
SHAPE = shapes.Shape(shards=60)


def test_answers_every_query_whole_while_nothing_happens() -> None:
    """Pauses of targets are met by second sendings, within the bound."""
    found = trial.play(
        trial.STANDS, trial.LOADS['paused'], SHAPE, SEED, SECONDS
    )
    assert found.worth > 0.98
    assert not found.failed
    assert found.p99 <= SHAPE.objective


def test_targets_that_lose_answers_fail_few_queries_of_many_hosts() -> None:
    """Symptom: a third of the queries fail while targets stand ready.

    Half of the targets lose two in five answers for four seconds. Each of 63
    hosts may repeat less than once in ten seconds by its own share of the
    bound; the hosts on duty, who see all parts of their chunk, may often.
    """
    load = targets.Load(pause=0.25, share=0.5, lost=0.4, begins=1, ends=5)
    found = trial.play(trial.STANDS, load, SHAPE, SEED, SECONDS)
    assert found.failed < 0.1
    assert found.worth > 0.85


def test_repeats_of_many_hosts_keep_the_bound() -> None:
    """Everything is slow: repeats stay within their share of the requests."""
    shape = SHAPE._replace(hosts=12, shards=45)
    load = targets.Load(work=0.15, share=1.0, slow=3.0)
    played = model.Fleet(shape, load, SEED).play(2)
    asked = len(played.endings)
    terms = shape.extra_load
    allowed = terms.fraction * asked * shape.shards + terms.slack * shape.shards
    assert played.repeats <= allowed


def test_a_query_that_ends_its_targets_stops_reaching_them() -> None:
    """Symptom: it comes again at any host, and ends targets all day."""
    shape = SHAPE._replace(hosts=12)
    load = targets.Load(deadly=0.1)
    found = trial.play(trial.STANDS, load, shape, SEED, 8)
    assert found.ends >= 3
    assert found.late <= 3


def test_plays_the_same_for_a_seed() -> None:
    """A trial can be told from another by the way alone."""
    load = trial.LOADS['slow']
    first, second = [
        trial.play(trial.STANDS, load, SHAPE, SEED, 2) for _ in range(2)
    ]
    assert first == second


def test_puts_a_way_in_force_and_takes_it_back() -> None:
    """A way is constants with other values."""
    usual = delegations.MAX_PART_SENDINGS
    with contextlib.ExitStack() as stack:
        trial.apply_way(f'delegations.MAX_PART_SENDINGS={usual + 4}', stack)
        assert delegations.MAX_PART_SENDINGS == usual + 4
    assert usual == delegations.MAX_PART_SENDINGS


@pytest.mark.parametrize(
    'way', ['nonsense', 'delegations.MAX_PART_SENDINGS', 'a=1']
)
def test_refuses_what_is_no_way(way: str) -> None:
    """A slip is told, and not played as what stands."""
    with contextlib.ExitStack() as stack, pytest.raises(ValueError, match='is'):
        trial.apply_way(way, stack)


def test_prints_middle_and_spread(capsys: pytest.CaptureFixture[str]) -> None:
    """One line for each way, with all figures."""
    trial.main(['stands', '--load', 'quiet', '--seeds', '2', '--seconds', '1'])
    titles, row, tail = capsys.readouterr().out.splitlines()
    assert 'worth' in titles
    assert row.startswith('stands')
    assert 'quiet, 2 seeds' in tail


def test_fast_queries_are_in_time_on_small_hosts() -> None:
    """Symptom: of 90 parts with an objective of 59 ms most come too late.

    Hosts of a third of a core take a fraction of a millisecond for each part
    and for each other host; targets pause for longer than the objective, and
    a quarter of them is slow.
    """
    load = targets.Load(work=0.0057, pause=0.12, every=3, share=0.25, slow=2.5)
    shape = shapes.Shape(
        hosts=99,
        objective=0.059,
        coverage=0.85,
        part=0.0002,
        share=0.0012,
        away=0.01,
    )
    found = trial.play(trial.STANDS, load, shape, SEED, 3)
    assert found.worth > 0.88
    assert not found.failed
