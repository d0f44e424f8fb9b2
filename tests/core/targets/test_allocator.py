"""Test the allocation of connections for any members and replicas."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from hypothesis import assume, given, settings, strategies

from fuchsiahaven.core.targets import allocator

MAX_HOSTS = 120
SALTS = strategies.integers(0, 10**6)


class Sizes(NamedTuple):
    """Hold the sizes of one case."""

    hosts: int
    replicas: int
    max_connections: int


@strategies.composite
def draw_sizes(draw: strategies.DrawFn) -> Sizes:
    """Draw hosts, replicas and the maximum, half the time at the limit."""
    replicas = draw(strategies.integers(1, 16))
    max_connections = draw(strategies.sampled_from((1, 2, 5, 25, 50, 110)))
    hosts = draw(strategies.integers(1, MAX_HOSTS))
    if draw(strategies.booleans()):
        fitting = (
            replicas
            * max_connections
            // min(allocator.WANTED_REPLICAS, replicas)
        )
        hosts = max(
            1, min(fitting, MAX_HOSTS) - draw(strategies.integers(0, 3))
        )
    return Sizes(hosts, replicas, max_connections)


def make_names(prefix: str, salt: int, count: int) -> list[str]:
    return [f'{prefix}{salt}-{number}' for number in range(count)]


def sum_connections(
    allocations: dict[str, allocator.Allocation],
) -> dict[str, int]:
    connections: collections.Counter[str] = collections.Counter()
    for allocation in allocations.values():
        connections.update(allocation)
    return connections


def count_gains(
    before: dict[str, allocator.Allocation],
    after: dict[str, allocator.Allocation],
) -> int:
    """Count the connections that hosts of `before` have more in `after`."""
    return sum(
        max(0, count - allocation.get(target, 0))
        for host, allocation in before.items()
        for target, count in after[host].items()
    )


def count_fewest_replicas(
    allocations: dict[str, allocator.Allocation], replicas: Sequence[str]
) -> int:
    """Count the replicas of the host that has the fewest."""
    return min(
        sum(bool(allocation.get(target)) for target in replicas)
        for allocation in allocations.values()
    )


@given(draw_sizes(), SALTS)
@settings(max_examples=150)
def test_each_host_gets_two_replicas_within_max_connections(
    sizes: Sizes, salt: int
) -> None:
    """Each host gets every shard if the connections suffice.

    Guards against a host that permanently answers without a shard: there are
    more hosts than connections to a replica, each host gets the replicas that
    it ranks highest and that have free connections, and the last hosts find
    free connections only at replicas that they have already.
    """
    hosts, replicas, max_connections = sizes
    shards = [make_names(name, salt, replicas) for name in ('a', 'b')]
    allocations = allocator.allocate(
        make_names('host', salt, hosts), shards, max_connections
    )
    wanted = min(allocator.WANTED_REPLICAS, replicas)
    enough = all(
        count_fewest_replicas(allocations, shard) >= wanted for shard in shards
    )
    assert enough is allocator.is_sufficient(hosts, replicas, max_connections)
    # The reserve is released only for hosts below their quota.
    connection_counts = sum_connections(allocations).values()
    needed = -(-hosts * wanted // replicas)
    usable = max_connections - allocator.compute_reserve(hosts, max_connections)
    assert max(connection_counts) <= max(usable, min(max_connections, needed))
    assert sum(
        max(0, connections - usable) for connections in connection_counts
    ) <= len(shards) * max(0, hosts * wanted - replicas * usable)


@given(draw_sizes(), SALTS)
@settings(max_examples=150)
def test_a_join_or_leave_moves_few_connections(sizes: Sizes, salt: int) -> None:
    shards = [make_names('target', salt, sizes.replicas)]
    names = make_names('host', salt, sizes.hosts)
    assume(
        allocator.is_sufficient(
            sizes.hosts + 1, sizes.replicas, sizes.max_connections
        )
    )
    before = allocator.allocate(names, shards, sizes.max_connections)
    after = allocator.allocate([*names, 'new'], shards, sizes.max_connections)
    allocation = after.pop('new')
    # If the reserve changes, one connection of each target moves as well;
    # docs/MEASUREMENTS.md has the usual figures.
    bound = 6 * sum(allocation.values())
    totals = {
        max(sum_connections(allocations).values())
        for allocations in (before, {**after, 'new': allocation})
    }
    bound += 2 * sizes.replicas * (len(totals) - 1)
    assert count_gains(before, after) <= bound
    assert count_gains(after, before) <= bound + sum(allocation.values())


def test_a_target_with_several_shards_has_one_maximum() -> None:
    pair = make_names('t', 0, 12)
    overlapping = [*pair[:6], *make_names('u', 0, 6)]
    names = make_names('host', 0, 110)
    allocations = allocator.allocate(names, [pair, pair, overlapping], 25)
    assert max(sum_connections(allocations).values()) <= 25
    assert (
        min(
            count_fewest_replicas(allocations, shard)
            for shard in (pair, overlapping)
        )
        >= 2
    )


def test_few_hosts_share_all_targets() -> None:
    targets = make_names('t', 0, 4)
    names = make_names('host', 0, 8)
    allocations = allocator.allocate(names, [targets[:2], targets[2:]], 25)
    assert set(allocations) == set(names)
    for allocation in allocations.values():
        assert allocation == dict.fromkeys(targets, 3)


@given(strategies.permutations(make_names('host', 0, 40)))
@settings(max_examples=20)
def test_every_host_computes_the_same_allocation(names: list[str]) -> None:
    shards = [make_names('a', 0, 4), make_names('b', 0, 5)]
    together = allocator.allocate(names, shards, 25)
    assert together == allocator.allocate(sorted(names), shards, 25)
    for shard in shards:
        separate = allocator.allocate(names, [reversed(shard)], 25)
        assert separate == {
            host: {
                name: allocation[name] for name in allocation if name in shard
            }
            for host, allocation in together.items()
        }
