"""Allocate the connections of targets to the hosts that share them.

A target accepts few connections, and many hosts need some. Each host computes
the same allocation from the same members, without asking other hosts. If there
are no more hosts than usable connections of a target, all hosts share every
target. Otherwise each host gets connections to some replicas of each shard. A
random choice would now and then leave a host without a shard.
"""

import hashlib
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

#: One connection of each target is reserved for this many hosts: while members
#: join, hosts that see different members compute different allocations.
HOSTS_PER_RESERVED_CONNECTION: Final = 25
#: At most one in this many connections of a target is reserved.
MAX_RESERVE_DIVISOR: Final = 5
#: For each host and shard: a second replica allows failover, hedges and
#: retries.
WANTED_REPLICAS: Final = 2

_DIGEST_BYTES: Final = 8
#: The weight of a pair of host and target is a product modulo this prime. It
#: takes one multiplication; a digest would take most of the allocation's time.
_PRIME_BITS: Final = 61
_PRIME: Final = 2**_PRIME_BITS - 1

Allocation = Mapping[str, int]


class _Pair(NamedTuple):
    target: str
    host: str


class _Shard(NamedTuple):
    """Hold a shard's replicas and their pairs with hosts, by rising weight.

    `replica_counts` is the number of replicas allocated to each host.
    """

    replicas: tuple[str, ...]
    pairs: list[_Pair]
    replica_counts: dict[str, int]


class _Draft(NamedTuple):
    """Hold an allocation of single connections while it is computed.

    `shards_of` are the shards of each target, `free_connections` the
    connections that it has left, `targets_of` the targets of each host.
    """

    hosts: tuple[str, ...]
    shards: list[_Shard]
    shards_of: Mapping[str, tuple[int, ...]]
    free_connections: dict[str, int]
    targets_of: dict[str, set[str]]


def compute_reserve(hosts: int, max_connections: int) -> int:
    """Return how many connections of a target are kept unallocated."""
    wanted = -(-hosts // HOSTS_PER_RESERVED_CONNECTION)
    return min(
        wanted,
        max(1, max_connections // MAX_RESERVE_DIVISOR),
        max_connections - 1,
    )


def is_sufficient(hosts: int, replicas: int, max_connections: int) -> bool:
    """Return whether each host gets two replicas of a shard, or the only one.

    Exact if targets that share one shard share all their shards.
    """
    wanted = min(WANTED_REPLICAS, replicas)
    return hosts * wanted <= replicas * min(max_connections, hosts)


def allocate(
    hosts: Iterable[str], shards: Iterable[Iterable[str]], max_connections: int
) -> dict[str, Allocation]:
    """Allocate the connections of some shards' targets, by host and target.

    `shards` lists the replicas of each shard, `max_connections` is the number
    that one target accepts. Shards without a common target don't affect each
    other's allocation and may be allocated by separate calls.
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
    # The remainder goes to different hosts at each target, so that a join or
    # leave moves no connections but those of the host itself.
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
    """Allocate by weight until each host has its quota or none are left."""
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
    """Release as much of the reserve as hosts below their quota need."""
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
    """Allocate the rest evenly: every host a third replica, then a fourth."""
    quota = WANTED_REPLICAS
    while any(draft.free_connections[target] for target in shard.replicas):
        quota += 1
        if quota > len(shard.replicas):
            break
        _fill_quota(draft, shard, quota)


def _repair_quota(draft: _Draft, shard: _Shard, quota: int) -> None:
    """Swap connections for the hosts below their quota."""
    wanted = min(quota, len(shard.replicas))
    if not any(draft.free_connections[target] for target in shard.replicas):
        # No replica has a free connection, so none can be swapped.
        return
    for host in draft.hosts:
        for _ in range(wanted - shard.replica_counts[host]):
            _swap_connection(draft, shard, host)


def _swap_connection(draft: _Draft, shard: _Shard, host: str) -> None:
    """Move another host to a free replica and give its connection to `host`.

    A host below its quota has every replica with a free connection. Such a
    replica has fewer hosts than a full one, so some host of the full one can
    move to it.
    """
    available = [
        target for target in shard.replicas if draft.free_connections[target]
    ]
    for pair in reversed(shard.pairs):
        unallocated = pair.target not in draft.targets_of[pair.host]
        if unallocated or pair.target in draft.targets_of[host]:
            continue
        for target in available:
            if _may_move(draft, pair, target):
                _change_connections(draft, pair, -1)
                _change_connections(draft, pair._replace(target=target), 1)
                _change_connections(draft, pair._replace(host=host), 1)
                return


def _may_move(draft: _Draft, pair: _Pair, target: str) -> bool:
    # If the targets had different shards, a move would take a shard away.
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
