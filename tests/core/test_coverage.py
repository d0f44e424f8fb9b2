"""Test the coverage that an answer states."""

from fuchsiahaven.core import coverage

ANSWERED = {coverage.ShardKey('b', 0), coverage.ShardKey('b', 1)}


def test_unaccounted_shards_are_missing() -> None:
    """Guard against a shard that is reported covered without an answer.

    A shard neither answers nor fails before the deadline. If coverage is
    computed as the wanted shards less the failed ones, a price check that
    lacks the shard is reported as complete.
    """
    wanted = [
        coverage.WantedRange('b', shard, shard * 100, shard * 100 + 100)
        for shard in range(4)
    ]
    wanted.append(coverage.make_group_range('a'))
    reasons = {coverage.ShardKey('b', 3): coverage.Reason.OVERLOADED}
    reasons[coverage.ShardKey('a', 0)] = coverage.Reason.NO_REPLICA
    built = coverage.build_coverage(wanted, ANSWERED, reasons)
    assert built.shards == 5
    assert built.missing == (
        coverage.MissingRange('a', 0, 0, 65536, coverage.Reason.NO_REPLICA),
        coverage.MissingRange('b', 2, 200, 300, coverage.Reason.TIMED_OUT),
        coverage.MissingRange('b', 3, 300, 400, coverage.Reason.OVERLOADED),
    )
    assert not built.complete


def test_complete_only_with_every_wanted_shard() -> None:
    wanted = [coverage.WantedRange('b', shard, 0, 1) for shard in range(2)]
    assert coverage.build_coverage(wanted, ANSWERED, {}).complete
    assert not coverage.Coverage(
        3, coverage.build_coverage(wanted, ANSWERED, {}).covered, ()
    ).complete


def test_adjacent_shards_are_joined() -> None:
    wanted = [
        coverage.WantedRange('b', 0, 0, 10),
        coverage.WantedRange('b', 1, 10, 20),
        coverage.WantedRange('b', 3, 30, 40),
        coverage.WantedRange('c', 4, 40, 50),
    ]
    answered = {coverage.ShardKey(*part[:2]) for part in wanted}
    built = coverage.build_coverage(wanted, answered, {})
    assert coverage.join_ranges(built) == (
        coverage.Span('b', ((0, 1), (3, 3)), ((0, 20), (30, 40))),
        coverage.Span('c', ((4, 4),), ((40, 50),)),
    )
