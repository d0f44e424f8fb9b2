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
HOSTS_PER_RESERVED_CONNECTION: Final = 25
#: The reserve takes at most one part in this many of a target's seats.
MAX_RESERVE_DIVISOR: Final = 5
#: With a second replica a host can go on, hedge and retry.
WANTED_REPLICAS: Final = 2

_DIGEST_BYTES: Final = 8
#: Weights are products modulo this prime: one multiplication for a pair of
#: host and target, where a digest would take most of the deal's time.
_PRIME_BITS: Final = 61
_PRIME: Final = 2**_PRIME_BITS - 1

Allocation = Mapping[str, int]


class _Pair(NamedTuple):
    target: str
    host: str


class _Shard(NamedTuple):
    """Hold a shard's replicas and their pairs with hosts, least weight first.

    `counts` is how many of the replicas each host holds.
    """

    replicas: tuple[str, ...]
    pairs: list[_Pair]
    replica_counts: dict[str, int]


class _Draft(NamedTuple):
    """Hold a deal of single seats while it is made.

    `homes` are the shards of each target, `free` its seats that are left.
    """

    hosts: tuple[str, ...]
    shards: list[_Shard]
    shards_of: Mapping[str, tuple[int, ...]]
    free_connections: dict[str, int]
    targets_of: dict[str, set[str]]


def compute_reserve(hosts: int, max_connections: int) -> int:
    """Return how many of a target's connections nobody is dealt."""
    wanted = -(-hosts // HOSTS_PER_RESERVED_CONNECTION)
    return min(
        wanted,
        max(1, max_connections // MAX_RESERVE_DIVISOR),
        max_connections - 1,
    )


def is_sufficient(hosts: int, replicas: int, max_connections: int) -> bool:
    """Tell whether each host gets two replicas of a shard, or the only one.

    Exact where targets that have one shard in common have all in common.
    """
    wanted = min(WANTED_REPLICAS, replicas)
    return hosts * wanted <= replicas * min(max_connections, hosts)


def allocate(
    hosts: Iterable[str], shards: Iterable[Iterable[str]], max_connections: int
) -> dict[str, Allocation]:
    """Deal the seats of some shards' targets: by host, then target.

    `shards` lists the replicas of each shard, `cap` is what one target takes.
    Shards without a target in common do not touch each other's deal, so they
    may be dealt by separate calls.
    """
    names = tuple(sorted(set(hosts)))
    replicas = [tuple(sorted(set(shard))) for shard in shards]
    weights = _hash_names((*names, *itertools.chain(*replicas)))
    usable = max_connections - compute_reserve(len(names), max_connections)
    if len(names) <= usable:
        return _divide_evenly(names, replicas, usable, weights)
    draft = _make_draft(names, replicas, usable, weights)
    _allocate_wanted(draft)
    for shard in draft.shards:
        _allocate_rest(draft, shard)
    _release_reserve(draft, max_connections)
    _allocate_wanted(draft)
    return {
        host: dict.fromkeys(sorted(draft.targets_of[host]), 1) for host in names
    }


def _divide_evenly(
    hosts: Sequence[str],
    shards: Iterable[Sequence[str]],
    usable: int,
    weights: Mapping[str, int],
) -> dict[str, Allocation]:
    # The seats that do not divide go to other hosts at each target, so that
    # a member more or less moves no seats but its own.
    allocations: dict[str, dict[str, int]] = {host: {} for host in hosts}
    base, remainder = divmod(usable, max(1, len(hosts)))
    for target in sorted(set(itertools.chain(*shards))):
        for position, pair in enumerate(_rank_pairs((target,), hosts, weights)):
            allocations[pair.host][target] = base + (position < remainder)
    return dict(allocations)


def _hash_names(names: Iterable[str]) -> dict[str, int]:
    weights = {}
    for name in names:
        digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
        weights[name] = int.from_bytes(digest.digest(), 'big')
    return weights


def _rank_pairs(
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
    return [pairs[position] for position in order]


def _make_draft(
    hosts: tuple[str, ...],
    replica_sets: Sequence[tuple[str, ...]],
    usable: int,
    weights: Mapping[str, int],
) -> _Draft:
    shards_of: dict[str, tuple[int, ...]] = {}
    for number, shard in enumerate(replica_sets):
        for target in shard:
            shards_of[target] = (*shards_of.get(target, ()), number)
    shards = [
        _Shard(
            replicas,
            _rank_pairs(replicas, hosts, weights),
            dict.fromkeys(hosts, 0),
        )
        for replicas in replica_sets
    ]
    targets_of: dict[str, set[str]] = {host: set() for host in hosts}
    return _Draft(
        hosts, shards, shards_of, dict.fromkeys(shards_of, usable), targets_of
    )


def _fill_quota(draft: _Draft, shard: _Shard, quota: int) -> None:
    """Deal by weight until each host has its quota or no seat is left."""
    for pair in shard.pairs:
        if (
            shard.replica_counts[pair.host] < quota
            and draft.free_connections[pair.target]
            and pair.target not in draft.targets_of[pair.host]
        ):
            _change_connections(draft, pair, 1)


def _allocate_wanted(draft: _Draft) -> None:
    for quota in range(1, WANTED_REPLICAS + 1):
        for shard in draft.shards:
            _fill_quota(draft, shard, quota)
            _repair_quota(draft, shard, quota)


def _release_reserve(draft: _Draft, max_connections: int) -> None:
    """Free as much of the reserve as the hosts left short need."""
    hosts = len(draft.hosts)
    usable = max_connections - compute_reserve(hosts, max_connections)
    for shard in draft.shards:
        wanted = min(WANTED_REPLICAS, len(shard.replicas))
        needed = -(-hosts * wanted // len(shard.replicas))
        for target in shard.replicas:
            extra = min(max_connections, needed) - usable
            draft.free_connections[target] = max(
                draft.free_connections[target], extra
            )


def _allocate_rest(draft: _Draft, shard: _Shard) -> None:
    """Deal what is left, evenly: a third replica before anyone's fourth."""
    quota = WANTED_REPLICAS
    while any(draft.free_connections[target] for target in shard.replicas):
        quota += 1
        if quota > len(shard.replicas):
            break
        _fill_quota(draft, shard, quota)


def _repair_quota(draft: _Draft, shard: _Shard, quota: int) -> None:
    """Swap seats for the hosts that the deal by weight left short."""
    wanted = min(quota, len(shard.replicas))
    if not any(draft.free_connections[target] for target in shard.replicas):
        # Every replica is dealt out whole, so nobody can move.
        return
    for host in draft.hosts:
        for _ in range(wanted - shard.replica_counts[host]):
            _swap_connection(draft, shard, host)


def _swap_connection(draft: _Draft, shard: _Shard, host: str) -> None:
    """Give a host a full target's seat whose holder can move to a free one.

    A host that is short holds every replica with a free seat. Such a replica
    has fewer hosts than a full one, so some host of the full one lacks it.
    """
    available = [
        target for target in shard.replicas if draft.free_connections[target]
    ]
    for pair in reversed(shard.pairs):
        released = pair.target not in draft.targets_of[pair.host]
        if released or pair.target in draft.targets_of[host]:
            continue
        for target in available:
            if _may_move(draft, pair, target):
                _change_connections(draft, pair, -1)
                _change_connections(draft, pair._replace(target=target), 1)
                _change_connections(draft, pair._replace(host=host), 1)
                return


def _may_move(draft: _Draft, pair: _Pair, target: str) -> bool:
    # A move between targets of different shards would take one away.
    same_shards = draft.shards_of[target] == draft.shards_of[pair.target]
    return same_shards and target not in draft.targets_of[pair.host]


def _change_connections(draft: _Draft, pair: _Pair, change: int) -> None:
    draft.free_connections[pair.target] -= change
    if change > 0:
        draft.targets_of[pair.host].add(pair.target)
    else:
        draft.targets_of[pair.host].remove(pair.target)
    for number in draft.shards_of[pair.target]:
        draft.shards[number].replica_counts[pair.host] += change
