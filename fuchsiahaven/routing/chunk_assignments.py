"""Say which hosts gather which shards of a query over many.

A query over many shards costs the host that takes it a fraction of a
millisecond for each. Shards are cut into chunks, and each data centre has a
host for each chunk, so that the cost is shared, few hosts hold connections to
a target, and each of them sees enough of a target's answers to notice a pause.
"""

import functools
from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import capacities, configs, deployments

#: Shards of a chunk: few enough that a helper brings them in a few
#: milliseconds.
SHARDS_PER_CHUNK: Final = 15
#: Hosts of a data centre that may hold connections to the targets of a chunk:
#: the one on duty and the one that takes over from it.
HOSTS_PER_CHUNK: Final = 2
#: Part of the slack of repeats that the hosts on duty share.
ASSIGNED_SLACK_FRACTION: Final = 0.6
#: A version in force and the one before it name a few gathers each, and each
#: has a chunk for fifteen shards and data centre.
_MAX_CACHED_GATHERS: Final = 64
_MAX_CACHED_RANKINGS: Final = 4096


class ChunkKey(NamedTuple):
    """Name a chunk in a data centre."""

    data_centre: str
    chunk: str


@functools.lru_cache(maxsize=_MAX_CACHED_GATHERS)
def find_chunks(gather: configs.Gather) -> dict[str, str]:
    """Map each shard to its chunk, which is named by its first shard."""
    chunks = {}
    for position, shard in enumerate(gather.shards):
        chunks[shard] = gather.shards[position - position % SHARDS_PER_CHUNK]
    return chunks


def find_chunk(index: configs.Index, shard: str) -> str | None:
    """Find the chunk of a shard of wide queries; None for other services."""
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
    """Order the hosts of a data centre for a chunk, the one on duty first."""
    by_name = {
        host.name: host
        for host in hosts
        if host.data_centre == chunk_key.data_centre
    }
    cores = tuple([host.capacity for host in by_name.values()])
    ranked = _rank(chunk_key.chunk, tuple(by_name), cores)
    return [by_name[name] for name in ranked]


def count_slack_sharers(
    centre_count: int, host_count: int, *, assigned: bool
) -> float:
    """Count who shares the slack of repeats at the targets of wide queries.

    Those on duty, in so many data centres, have the larger part among them;
    the rest is for hosts that send directly because none on duty is left.
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
    """Count the hosts that share the connections to a service's targets."""
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
