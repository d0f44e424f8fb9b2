"""Plan which parts of a query are delegated, and to which hosts."""

import collections
import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import (
    active_requests,
    chunk_assignments,
    configs,
    deployments,
    lags,
    states,
    target_health,
    target_selection,
)

#: Fewer parts than this are sent directly: delegating them costs about as
#: many bytes as it saves, and one more hop.
MIN_DELEGATED_PARTS: Final = 4
#: Data centres that hold this fraction of the shards of the largest one count
#: as equally large, because a few targets are always missing somewhere.
LARGE_CENTRE_FRACTION: Final = 0.8


class Plan(NamedTuple):
    """Assign parts of a query to the helper that gathers them."""

    helper: deployments.Host
    services: tuple[str, ...]


def plan_delegations(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[Plan]:
    """Return which unsent parts of a query go to which helper."""
    gather = active.route.way
    if not isinstance(gather, configs.Gather):
        return []
    unsent = [
        it
        for it in active_requests.list_open_parts(active)
        if not active.parts[it].last_number
    ]
    centres_by_part = _list_centres_by_part(router, active, unsent, now)
    plans = []
    for chunk_key, services in _group_parts(
        router, gather, centres_by_part
    ).items():
        if len(services) < MIN_DELEGATED_PARTS:
            continue
        helper = find_helper(
            router, chunk_key, now, wide=configs.is_wide(gather)
        )
        if helper is not None:
            plans.append(Plan(helper, tuple(services)))
    return plans


def _list_centres_by_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    services: Iterable[str],
    now: float,
) -> dict[str, set[str]]:
    """List the data centres with candidate targets of each part."""
    centres_by_part: dict[str, set[str]] = {}
    for service in services:
        part = active.parts[service]
        candidates = target_selection.list_candidates(
            router, service, part, now
        )
        centres_by_part[service] = {target.data_centre for target in candidates}
    return centres_by_part


def _group_parts(
    router: states.Router,
    gather: configs.Gather,
    centres_by_part: dict[str, set[str]],
) -> dict[chunk_assignments.ChunkKey, list[str]]:
    """Group the parts to be delegated by chunk and data centre.

    A narrow query sends the parts with near targets itself.
    """
    if configs.is_wide(gather):
        return _group_wide_parts(router.host, gather, centres_by_part)
    sizes = collections.Counter(
        centre for centres in centres_by_part.values() for centre in centres
    )
    groups: dict[chunk_assignments.ChunkKey, list[str]] = {}
    for service, part_centres in centres_by_part.items():
        if router.host.data_centre not in part_centres:
            centre = choose_centre(router.host, part_centres, sizes)
            groups.setdefault(
                chunk_assignments.ChunkKey(centre, ''), []
            ).append(service)
    return groups


def _group_wide_parts(
    host: deployments.Host,
    gather: configs.Gather,
    centres_by_part: dict[str, set[str]],
) -> dict[chunk_assignments.ChunkKey, list[str]]:
    """Group all parts; small remote groups are merged into near ones."""
    chunks = chunk_assignments.find_chunks(gather)
    order = rank_centres(host, centres_by_part)
    groups: dict[chunk_assignments.ChunkKey, list[str]] = {}
    for service, part_centres in centres_by_part.items():
        chunk_key = chunk_assignments.ChunkKey(
            _choose_first_centre(order, part_centres), chunks[service]
        )
        groups.setdefault(chunk_key, []).append(service)
    _merge_small_groups(host.data_centre, groups)
    return groups


def _choose_first_centre(
    order: Sequence[str], part_centres: Collection[str]
) -> str:
    return next(
        (centre for centre in order if centre in part_centres), order[0]
    )


def rank_centres(
    host: deployments.Host, centres_by_part: Mapping[str, Collection[str]]
) -> tuple[str, ...]:
    """Order data centres so that the first few have targets of all parts.

    `centres_by_part` maps each part to the data centres that have targets of
    it. The own data centre comes first, then repeatedly the one that covers
    most of the remaining parts. A choice by name alone fails where two of five
    data centres hold each shard: the parts spread over all four others in
    groups too small for a helper, and a third of all parts crosses data
    centres in single requests.
    """
    uncovered = [
        part_centres
        for part_centres in centres_by_part.values()
        if part_centres
    ]
    order = [host.data_centre]
    uncovered = [
        part_centres
        for part_centres in uncovered
        if host.data_centre not in part_centres
    ]
    while uncovered:
        best = _choose_best_centre(host, uncovered)
        order.append(best)
        uncovered = [
            part_centres
            for part_centres in uncovered
            if best not in part_centres
        ]
    return tuple(order)


def _choose_best_centre(
    host: deployments.Host, uncovered: Iterable[Collection[str]]
) -> str:
    """Return the data centre that has targets of most parts.

    Hosts break ties differently, which spreads the load over equal ones.
    """
    counts = collections.Counter(
        centre for part_centres in uncovered for centre in part_centres
    )
    max_count = max(counts.values())
    best = [centre for centre, count in counts.items() if count == max_count]
    return rendezvous.rank(host.name, best)[0]


def choose_centre(
    host: deployments.Host,
    candidates: Collection[str],
    sizes: Mapping[str, int],
) -> str:
    """Choose the data centre to gather a part in, if possible the own one.

    `sizes` counts the shards of each data centre. Hosts without near targets
    spread over the data centres that are about as large as the largest. If all
    of them chose the same one, its hosts and targets would carry the queries of
    every data centre without targets.
    """
    if not candidates or host.data_centre in candidates:
        return host.data_centre
    max_size = max(sizes[centre] for centre in candidates)
    large = [
        it for it in candidates if sizes[it] >= LARGE_CENTRE_FRACTION * max_size
    ]
    return rendezvous.rank(host.name, large)[0]


def _merge_small_groups(
    own_centre: str, groups: dict[chunk_assignments.ChunkKey, list[str]]
) -> None:
    for chunk_key in tuple(groups):
        own_key = chunk_assignments.ChunkKey(own_centre, chunk_key.chunk)
        if (
            chunk_key != own_key
            and len(groups[chunk_key]) < MIN_DELEGATED_PARTS
            and own_key in groups
        ):
            groups[own_key].extend(groups.pop(chunk_key))


def find_second_centre(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    silent_centre: str,
    now: float,
) -> str:
    """Choose the data centre whose hosts send a hedge or a retry of a part.

    Hosts beside an untried target already have connections to it. From
    elsewhere the sending would have to open one first, which takes 6 ms of an
    objective of 72 ms. `silent_centre` is the data centre of a helper that was
    asked for the part and has not reported on it.
    """
    part = active.parts[service]
    candidates = target_selection.list_candidates(router, service, part, now)
    candidate_centres = {target.data_centre for target in candidates}
    if router.host.data_centre not in candidate_centres:
        candidate_centres = (
            candidate_centres - {silent_centre} or candidate_centres
        )
    return choose_centre(
        router.host, candidate_centres, dict.fromkeys(candidate_centres, 1)
    )


def find_second_helper(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    *,
    excluded: deployments.Host | None = None,
    silent_centre: str = '',
) -> deployments.Host | None:
    """Find the host that sends a hedge or a retry; None for this host.

    It is assigned to the chunk in a data centre with an untried target, and is
    not `excluded`. `silent_centre` is the data centre of a helper that has not
    reported.
    """
    assert isinstance(active.route.way, configs.Gather)
    centre = find_second_centre(router, active, service, silent_centre, now)
    chunk = chunk_assignments.find_chunks(active.route.way)[service]
    chunk_key = chunk_assignments.ChunkKey(centre, chunk)
    return find_helper(router, chunk_key, now, wide=True, excluded=excluded)


def find_helper(
    router: states.Router,
    chunk_key: chunk_assignments.ChunkKey,
    now: float,
    *,
    wide: bool,
    excluded: deployments.Host | None = None,
) -> deployments.Host | None:
    """Find the helper to ask; None if this host has to send the parts."""
    if wide:
        excluded_name = excluded.name if excluded else ''
        assigned = [
            it
            for it in _list_assigned(router, chunk_key, now)
            if it.name != excluded_name
        ]
        assigned.append(router.host)
        silent = [it for it in assigned if _is_silent(router, it, now)]
        responsive = [it for it in assigned if it not in silent] or assigned
        chosen = _choose_by_lag(router, responsive, now)
        return None if chosen.name == router.host.name else chosen
    alive = [
        host
        for host in router.centre_health.list_hosts(chunk_key.data_centre)
        if host.name != router.host.name and _is_alive(router, host, now)
    ]
    return _choose_helper(router, alive, now) if alive else None


def _list_assigned(
    router: states.Router, chunk_key: chunk_assignments.ChunkKey, now: float
) -> list[deployments.Host]:
    """List the hosts assigned to a chunk; dead ones are replaced by the next.

    All hosts are ranked whether alive or not, because that ranking is cached
    and only the first few hosts have to be checked.
    """
    ranked = chunk_assignments.rank_hosts(
        chunk_key, router.centre_health.list_hosts(chunk_key.data_centre)
    )
    alive = (
        host
        for host in ranked
        if host.name == router.host.name or _is_alive(router, host, now)
    )
    return list(itertools.islice(alive, chunk_assignments.HOSTS_PER_CHUNK))


def _is_alive(
    router: states.Router, host: deployments.Host, now: float
) -> bool:
    if router.centre_health.is_silent(host.data_centre):
        return False
    return not target_health.is_excluded(
        router.helper_health.get(host.name), now
    )


def _choose_by_lag(
    router: states.Router, assigned: Sequence[deployments.Host], now: float
) -> deployments.Host:
    """Choose a host, moving some work of a lagging one to the next."""
    first, *others = assigned
    lag = router.controls.lags.get_lag(first.name, now)
    if not lag or not others or others[0].name == router.host.name:
        return first
    other_lag = router.controls.lags.get_lag(others[0].name, now)
    is_handed_over = router.draw() < lags.compute_handover(lag, other_lag)
    return others[0] if is_handed_over else first


def _is_silent(
    router: states.Router, host: deployments.Host, now: float
) -> bool:
    health = router.helper_health.get(host.name)
    return target_health.measure_silence(health, now) is not None


def _choose_helper(
    router: states.Router, helpers: list[deployments.Host], now: float
) -> deployments.Host:
    best = helpers[0]
    min_cost = float('inf')
    for host in helpers:
        health = router.helper_health.get(host.name)
        cost = target_health.estimate_gather_cost(health, now)
        cost *= 1 + target_selection.ESTIMATE_SPREAD_FRACTION * router.draw()
        if cost < min_cost:
            min_cost = cost
            best = host
    return best
