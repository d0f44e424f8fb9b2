"""Test how records are merged."""

from hypothesis import given, strategies

from fuchsiahaven.routing import merges


@given(
    strategies.lists(strategies.binary(max_size=100), max_size=6),
    strategies.integers(1, 10),
)
def test_merges_the_greatest_records(bodies: list[bytes], limit: int) -> None:
    """The result is descending and ignores incomplete records."""
    records = [
        body[start : start + 16]
        for body in bodies
        for start in range(0, len(body) // 16 * 16, 16)
    ]
    wanted = b''.join(sorted(records, reverse=True)[:limit])
    assert merges.merge_records(bodies, limit) == wanted
