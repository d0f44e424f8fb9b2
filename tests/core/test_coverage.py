"""Test what an answer states of its coverage."""

from fuchsiahaven.core import coverage

ANSWERED = {coverage.ShardKey('b', 0), coverage.ShardKey('b', 1)}


def test_what_nobody_accounted_for_is_missing() -> None:
    """Never tell a shard as covered that did not answer.

    Symptom: a price check is told as complete and lacks a shard.
    Sequence: a shard neither answers nor fails before the deadline.
    Cause: coverage worked out as "wanted, less the failures".
    """
    wanted = [
        coverage.Wanted('b', shard, shard * 100, shard * 100 + 100)
        for shard in range(4)
    ]
    wanted.append(coverage.want_group('a'))
    reasons = {coverage.ShardKey('b', 3): coverage.Reason.OVERLOADED}
    reasons[coverage.ShardKey('a', 0)] = coverage.Reason.NO_REPLICA
    stated = coverage.build(wanted, ANSWERED, reasons)
    assert stated.shards == 5
    assert stated.missing == (
        coverage.Missing('a', 0, 0, 65536, coverage.Reason.NO_REPLICA),
        coverage.Missing('b', 2, 200, 300, coverage.Reason.TIMED_OUT),
        coverage.Missing('b', 3, 300, 400, coverage.Reason.OVERLOADED),
    )
    assert not stated.complete


def test_complete_only_with_every_wanted_shard() -> None:
    wanted = [coverage.Wanted('b', shard, 0, 1) for shard in range(2)]
    assert coverage.build(wanted, ANSWERED, {}).complete
    assert not coverage.Coverage(
        3, coverage.build(wanted, ANSWERED, {}).covered, ()
    ).complete


def test_adjacent_shards_are_joined() -> None:
    wanted = [
        coverage.Wanted('b', 0, 0, 10),
        coverage.Wanted('b', 1, 10, 20),
        coverage.Wanted('b', 3, 30, 40),
        coverage.Wanted('c', 4, 40, 50),
    ]
    answered = {coverage.ShardKey(*part[:2]) for part in wanted}
    stated = coverage.build(wanted, answered, {})
    assert coverage.join_covered(stated) == (
        coverage.Span('b', ((0, 1), (3, 3)), ((0, 20), (30, 40))),
        coverage.Span('c', ((4, 4),), ((40, 50),)),
    )
