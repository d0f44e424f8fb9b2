"""Test how the bench computes figures from records."""

from bench import records

USAGE = records.Usage(10.0, 2.0, 1.0, 1.0, 50.0)
TARGETS = {
    'counts': {'received': 20},
    'runs': {'a': 1},
    'single_runs': {'a': 1},
    'after_leaving_s': {},
}


def make_record(name: str, at: float, **changes: object) -> records.Record:
    """Return a record that was due at `at` and took 0.1 s."""
    fields = {
        'class_name': 'gate-lookup',
        'request_id': name,
        'host': 0,
        'due': at,
        'sent': at,
        'done': at + 0.1,
        'deadline_s': 0.5,
        'shards': 10,
        'coverage': 1.0,
        'revision': 1,
    }
    return records.Record(**{**fields, **changes})  # type: ignore[arg-type]


def summarise(*found: records.Record) -> records.Figures:
    """Return the figures of these records."""
    return records.summarise('standard', found, TARGETS, USAGE)


def test_wait_before_sending_counts_as_latency() -> None:
    """Symptom: a stalled sender hides the latency that callers would see."""
    figures = summarise(make_record('b', 0.0, sent=2.0, done=2.1))
    assert figures.p50_ms > 2000
    assert figures.goodput == 0
    assert figures.limit


def test_refusal_of_a_request_that_ran_is_untrue() -> None:
    figures = summarise(
        make_record('a', 0.0, kind='overloaded', ran='no', coverage=0.0),
        make_record('b', 0.0, kind='overloaded', ran='no', coverage=0.0),
    )
    assert figures.refusals == {'overloaded': 2}
    assert figures.untrue_refusals == 1


def test_ids_that_are_asked_again_are_judged_as_a_whole() -> None:
    refused = make_record('a', 1.0, kind='overloaded', ran='no')
    unknown = make_record('a', 0.0, kind='outcome_unknown', ran='unknown')
    answered = make_record('a', 2.0)
    assert summarise(refused).untrue_ids == 1
    assert summarise(refused, answered).untrue_ids == 0
    assert summarise(refused, answered).doubtful_ids == 0
    assert summarise(refused, unknown).doubtful_ids == 1
    assert summarise(answered, make_record('b', 0.0)).untrue_answers == 1


def test_extra_load_counts_what_searchers_received() -> None:
    figures = summarise(make_record('a', 0.0))
    assert figures.extra_load == 1
    assert figures.cpu_us_per_sub_request == 100_000


def test_revert_is_seen_only_after_a_higher_answer() -> None:
    """Overlapping requests may be answered in any order, later ones not."""
    first = make_record('a', 0.0, revision=2)
    overlapping = make_record('b', 0.05, revision=1)
    other_host = make_record('c', 1.0, revision=1, host=1)
    reverted = make_record('d', 1.0, revision=1)
    assert not records.count_reverts([first, overlapping, other_host])
    assert records.count_reverts([first, overlapping, reverted]) == 1
