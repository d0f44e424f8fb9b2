"""Test the merge of rows."""

import itertools

from hypothesis import given, strategies

from fuchsiahaven.core.queries import merges

ROWS = strategies.fixed_dictionaries(
    {'rank': strategies.integers(0, 3), 'id': strategies.sampled_from('abcd')}
)


@given(
    strategies.lists(strategies.lists(ROWS)),
    strategies.none() | strategies.integers(0, 8),
)
def test_merge_keeps_the_first_by_rank_then_id(
    parts: list[list[merges.Row]], limit: int | None
) -> None:
    rows = sorted(
        itertools.chain(*parts), key=lambda row: (row['rank'], row['id'])
    )
    assert merges.merge_rows(parts, limit) == tuple(rows[:limit])
