"""Deal the connection seats of targets to the hosts that share them.

A target takes few connections and many hosts want some. Each host works out
the same deal from the same members, so that no host has to ask another. In a
data centre with no more hosts than a target has seats, all hosts share every
target. With more, each host is dealt some replicas of each shard: picked at
random, now and then a host would be left without a shard.
"""

import hashlib
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

#: For each this many hosts, one seat of a target is kept in reserve: while
#: members join, hosts that see different members count on different deals.
HOSTS_PER_RESERVED: Final = 25
#: The reserve takes at most one part in this many of a target's seats.
RESERVE_PART: Final = 5
#: With a second replica a host can go on, hedge and retry.
REPLICAS_WANTED: Final = 2

_DIGEST_BYTES: Final = 8
#: Weights are products modulo this prime: one multiplication for a pair of
#: host and target, where a digest would take most of the deal's time.
_PRIME_BITS: Final = 61
_PRIME: Final = 2**_PRIME_BITS - 1

Row = Mapping[str, int]


class _Pair(NamedTuple):
    target: str
    host: str


class _Shard(NamedTuple):
    """Hold a shard's replicas and their pairs with hosts, least weight first.

    `counts` is how many of the replicas each host holds.
    """

    replicas: tuple[str, ...]
    pairs: list[_Pair]
    counts: dict[str, int]


class _Table(NamedTuple):
    """Hold a deal of single seats while it is made.

    `homes` are the shards of each target, `free` its seats that are left.
    """

    hosts: tuple[str, ...]
    shards: list[_Shard]
    homes: Mapping[str, tuple[int, ...]]
    free: dict[str, int]
    held: dict[str, set[str]]


def find_reserve(hosts: int, cap: int) -> int:
    """Return how many of a target's connections nobody is dealt."""
    wanted = -(-hosts // HOSTS_PER_RESERVED)
    return min(wanted, max(1, cap // RESERVE_PART), cap - 1)


def is_enough(hosts: int, replicas: int, cap: int) -> bool:
    """Tell whether each host gets two replicas of a shard, or the only one.

    Exact where targets that have one shard in common have all in common.
    """
    wanted = min(REPLICAS_WANTED, replicas)
    return hosts * wanted <= replicas * min(cap, hosts)


def deal(
    hosts: Iterable[str], shards: Iterable[Iterable[str]], cap: int
) -> dict[str, Row]:
    """Deal the seats of some shards' targets: by host, then target.

    `shards` lists the replicas of each shard, `cap` is what one target takes.
    Shards without a target in common do not touch each other's deal, so they
    may be dealt by separate calls.
    """
    names = tuple(sorted(set(hosts)))
    replicas = [tuple(sorted(set(shard))) for shard in shards]
    weights = _weigh((*names, *itertools.chain(*replicas)))
    usable = cap - find_reserve(len(names), cap)
    if len(names) <= usable:
        return _share(names, replicas, usable, weights)
    table = _make_table(names, replicas, usable, weights)
    _deal_wanted(table)
    for shard in table.shards:
        _fill_up(table, shard)
    _give_up_reserve(table, cap)
    _deal_wanted(table)
    return {host: dict.fromkeys(sorted(table.held[host]), 1) for host in names}


def _share(
    hosts: Sequence[str],
    shards: Iterable[Sequence[str]],
    usable: int,
    weights: Mapping[str, int],
) -> dict[str, Row]:
    # The seats that do not divide go to other hosts at each target, so that
    # a member more or less moves no seats but its own.
    rows: dict[str, dict[str, int]] = {host: {} for host in hosts}
    each, over = divmod(usable, max(1, len(hosts)))
    for target in sorted(set(itertools.chain(*shards))):
        for place, pair in enumerate(_rank((target,), hosts, weights)):
            rows[pair.host][target] = each + (place < over)
    return dict(rows)


def _weigh(names: Iterable[str]) -> dict[str, int]:
    weights = {}
    for name in names:
        digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
        weights[name] = int.from_bytes(digest.digest(), 'big')
    return weights


def _rank(
    targets: Sequence[str], hosts: Sequence[str], weights: Mapping[str, int]
) -> list[_Pair]:
    factors = [weights[host] for host in hosts]
    products = [
        weights[target] * factor % _PRIME
        for target in targets
        for factor in factors
    ]
    pairs = list(map(_Pair._make, itertools.product(targets, hosts)))
    order = sorted(range(len(pairs)), key=products.__getitem__)
    return [pairs[place] for place in order]


def _make_table(
    hosts: tuple[str, ...],
    shards: Sequence[tuple[str, ...]],
    usable: int,
    weights: Mapping[str, int],
) -> _Table:
    homes: dict[str, tuple[int, ...]] = {}
    for number, shard in enumerate(shards):
        for target in shard:
            homes[target] = (*homes.get(target, ()), number)
    made = [
        _Shard(
            replicas, _rank(replicas, hosts, weights), dict.fromkeys(hosts, 0)
        )
        for replicas in shards
    ]
    held: dict[str, set[str]] = {host: set() for host in hosts}
    return _Table(hosts, made, homes, dict.fromkeys(homes, usable), held)


def _fill(table: _Table, shard: _Shard, quota: int) -> None:
    """Deal by weight until each host has its quota or no seat is left."""
    for pair in shard.pairs:
        if (
            shard.counts[pair.host] < quota
            and table.free[pair.target]
            and pair.target not in table.held[pair.host]
        ):
            _change(table, pair, 1)


def _deal_wanted(table: _Table) -> None:
    for quota in range(1, REPLICAS_WANTED + 1):
        for shard in table.shards:
            _fill(table, shard, quota)
            _repair(table, shard, quota)


def _give_up_reserve(table: _Table, cap: int) -> None:
    """Free as much of the reserve as the hosts left short need."""
    hosts = len(table.hosts)
    usable = cap - find_reserve(hosts, cap)
    for shard in table.shards:
        wanted = min(REPLICAS_WANTED, len(shard.replicas))
        needed = -(-hosts * wanted // len(shard.replicas))
        for target in shard.replicas:
            more = min(cap, needed) - usable
            table.free[target] = max(table.free[target], more)


def _fill_up(table: _Table, shard: _Shard) -> None:
    """Deal what is left, evenly: a third replica before anyone's fourth."""
    quota = REPLICAS_WANTED
    while any(table.free[target] for target in shard.replicas):
        quota += 1
        if quota > len(shard.replicas):
            break
        _fill(table, shard, quota)


def _repair(table: _Table, shard: _Shard, quota: int) -> None:
    """Swap seats for the hosts that the deal by weight left short."""
    wanted = min(quota, len(shard.replicas))
    if not any(table.free[target] for target in shard.replicas):
        # Every replica is dealt out whole, so nobody can move.
        return
    for host in table.hosts:
        for _ in range(wanted - shard.counts[host]):
            _swap(table, shard, host)


def _swap(table: _Table, shard: _Shard, host: str) -> None:
    """Give a host a full target's seat whose holder can move to a free one.

    A host that is short holds every replica with a free seat. Such a replica
    has fewer hosts than a full one, so some host of the full one lacks it.
    """
    free = [target for target in shard.replicas if table.free[target]]
    for pair in reversed(shard.pairs):
        taken = pair.target not in table.held[pair.host]
        if taken or pair.target in table.held[host]:
            continue
        for target in free:
            if _may_move(table, pair, target):
                _change(table, pair, -1)
                _change(table, pair._replace(target=target), 1)
                _change(table, pair._replace(host=host), 1)
                return


def _may_move(table: _Table, pair: _Pair, target: str) -> bool:
    # A move between targets of different shards would take one away.
    same_shards = table.homes[target] == table.homes[pair.target]
    return same_shards and target not in table.held[pair.host]


def _change(table: _Table, pair: _Pair, seats: int) -> None:
    table.free[pair.target] -= seats
    if seats > 0:
        table.held[pair.host].add(pair.target)
    else:
        table.held[pair.host].remove(pair.target)
    for number in table.homes[pair.target]:
        table.shards[number].counts[pair.host] += seats
