"""Test which slow parts of a wide query are hedged."""

from hypothesis import given, strategies

from fuchsiahaven.routing import deployments, wide_hedges

HOSTS = [
    deployments.Host(f'host-{number}', f'10.0.2.{number}:1', 'north')
    for number in range(4)
]


@given(
    strategies.lists(strategies.integers(0, 20), min_size=4, max_size=4),
    strategies.integers(0, 90),
)
def test_uses_as_few_helpers_as_possible(sizes: list[int], limit: int) -> None:
    """Symptom: six hosts get a message for parts that two could send.

    Parts that this host sends itself need no message and come first, then
    those of the hosts that send the most parts.
    """
    parts_by_host = {
        host: [f'{host.name} {number}' for number in range(size)]
        for host, size in zip(HOSTS, sizes, strict=True)
    }
    selected = wide_hedges.select_hedges(HOSTS[0], parts_by_host, limit)
    assert sum(map(len, selected.values())) == min(limit, sum(sizes))
    assert all(services for services in selected.values())
    assert len(selected.get(HOSTS[0], ())) == min(limit, sizes[0])
    others = sorted(sizes[1:], reverse=True)
    needed = 0
    while sum(others[:needed]) < min(limit, sum(sizes)) - sizes[0]:
        needed += 1
    assert len([host for host in selected if host != HOSTS[0]]) == needed
