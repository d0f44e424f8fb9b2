"""Assign chunks of shards to the hosts that gather them for wide queries.

A query over many shards costs the host that receives it a fraction of a
millisecond for each shard. Shards are split into chunks, and each data centre
assigns hosts to each chunk. This shares the cost, keeps the number of hosts
with connections to a target low, and lets each of them see enough answers of a
target to notice that it is paused.
"""

import functools
from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import capacities, configs, deployments

#: Few enough that a helper gathers the shards of a chunk in a few milliseconds.
SHARDS_PER_CHUNK: Final = 15
#: Hosts of a data centre that may hold connections to the targets of a chunk:
#: the first assigned host and the one that replaces it.
HOSTS_PER_CHUNK: Final = 2
#: Fraction of the slack of extra load that the assigned hosts share.
ASSIGNED_SLACK_FRACTION: Final = 0.6
#: The configuration in force and the one before it hold a few gathers each, and
#: each gather has one chunk for fifteen shards in each data centre.
_MAX_CACHED_GATHERS: Final = 64
_MAX_CACHED_RANKINGS: Final = 4096


class ChunkKey(NamedTuple):
    """Identify a chunk of shards in a data centre.

    `chunk` is the first shard of the chunk, empty for narrow queries.
    """

    data_centre: str
    chunk: str


@functools.lru_cache(maxsize=_MAX_CACHED_GATHERS)
def find_chunks(gather: configs.Gather) -> dict[str, str]:
    """Map each shard to the first shard of its chunk, which identifies it."""
    chunks = {}
    for position, shard in enumerate(gather.shards):
        chunks[shard] = gather.shards[position - position % SHARDS_PER_CHUNK]
    return chunks


def find_chunk(index: configs.Index, shard: str) -> str | None:
    """Find the chunk of a shard of a wide query; None for other services."""
    if shard not in index.wide_shards:
        return None
    actions = (route.way for route in index.configuration.routes)
    for action in actions:
        if isinstance(action, configs.Gather) and configs.is_wide(action):
            chunk = find_chunks(action).get(shard)
            if chunk is not None:
                return chunk
    return None


def rank_hosts(
    chunk_key: ChunkKey, hosts: Sequence[deployments.Host]
) -> list[deployments.Host]:
    """Rank the hosts of a data centre for a chunk, the assigned ones first."""
    by_name = {
        host.name: host
        for host in hosts
        if host.data_centre == chunk_key.data_centre
    }
    cores = tuple([host.capacity for host in by_name.values()])
    ranked = _rank(chunk_key.chunk, tuple(by_name), cores)
    return [by_name[name] for name in ranked]


def count_slack_sharers(
    centre_count: int, host_count: float, *, assigned: bool
) -> float:
    """Count the hosts that share the slack of extra load of a wide shard.

    The result is the number of equal shares that the slack is divided into.
    The assigned hosts of all data centres share the larger fraction of it. The
    rest is for hosts that send directly because no assigned host is left.
    """
    if not assigned:
        return host_count / (1 - ASSIGNED_SLACK_FRACTION)
    return HOSTS_PER_CHUNK * max(1, centre_count) / ASSIGNED_SLACK_FRACTION


def count_sharers(
    service: str,
    wide_services: frozenset[str],
    hosts: Sequence[deployments.Host],
    host_count: int,
) -> int:
    """Count the hosts that may open connections to a service's targets."""
    if service not in wide_services:
        return host_count
    centres = {host.data_centre for host in hosts}
    return min(host_count, HOSTS_PER_CHUNK * max(1, len(centres)))


@functools.lru_cache(maxsize=_MAX_CACHED_RANKINGS)
def _rank(
    key: str, names: tuple[str, ...], cores: tuple[float, ...]
) -> tuple[str, ...]:
    weights = capacities.compute_weights(cores)
    return rendezvous.rank_weighted(key, zip(names, weights, strict=True))
