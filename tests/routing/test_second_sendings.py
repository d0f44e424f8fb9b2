"""Test which slow parts are worth a second sending."""

from hypothesis import given, strategies

from fuchsiahaven.routing import places, second_sendings

HOSTS = [
    places.Host(f'host-{number}', f'10.0.2.{number}:1', 'north')
    for number in range(4)
]


@given(
    strategies.lists(strategies.integers(0, 20), min_size=4, max_size=4),
    strategies.integers(0, 90),
)
def test_asks_as_few_hosts_as_it_takes(sizes: list[int], worth: int) -> None:
    """Symptom: a message to each of six hosts for what two would send.

    What this host sends itself takes no message and comes first; of the
    others, those that send most of the parts.
    """
    shared = {
        host: [f'{host.name} {place}' for place in range(size)]
        for host, size in zip(HOSTS, sizes, strict=True)
    }
    kept = second_sendings.keep_worth(HOSTS[0], shared, worth)
    assert sum(map(len, kept.values())) == min(worth, sum(sizes))
    assert all(services for services in kept.values())
    assert len(kept.get(HOSTS[0], ())) == min(worth, sizes[0])
    others = sorted(sizes[1:], reverse=True)
    fewest = 0
    while sum(others[:fewest]) < min(worth, sum(sizes)) - sizes[0]:
        fewest += 1
    assert len([host for host in kept if host != HOSTS[0]]) == fewest
