"""Plan which parts of a query other hosts gather, and which ones."""

import collections
import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import (
    active_requests,
    configs,
    deployments,
    duties,
    lags,
    states,
    target_health,
    target_selection,
)

#: Fewer parts than this are asked for directly: the detour costs about as
#: many bytes as it saves, and a hop more.
FEWEST: Final = 4
#: Data centres that hold this share of the shards of the one with the most
#: hold about as many: a few targets are always missing somewhere.
LARGE_SHARE: Final = 0.8


class Plan(NamedTuple):
    """Name a helper and the parts that it is to gather."""

    helper: deployments.Host
    services: tuple[str, ...]


def plan(
    desk: states.Router, ask: active_requests.ActiveRequest, now: float
) -> list[Plan]:
    """Plan which parts of a query go through which helper."""
    way = ask.route.way
    if not isinstance(way, configs.Gather):
        return []
    unsent = [
        it
        for it in active_requests.list_open_parts(ask)
        if not ask.parts[it].last_number
    ]
    centres = _list_centres(desk, ask, unsent, now)
    planned = []
    for duty, services in _share_out(desk, way, centres).items():
        if len(services) < FEWEST:
            continue
        helper = find_helper(desk, duty, now, wide=configs.is_wide(way))
        if helper is not None:
            planned.append(Plan(helper, tuple(services)))
    return planned


def _list_centres(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    services: Iterable[str],
    now: float,
) -> dict[str, set[str]]:
    """List in which data centres each part has targets that may be asked."""
    centres: dict[str, set[str]] = {}
    for service in services:
        part = ask.parts[service]
        found = target_selection.list_candidates(desk, service, part, now)
        centres[service] = {one.data_centre for one in found}
    return centres


def _share_out(
    desk: states.Router, way: configs.Gather, centres: dict[str, set[str]]
) -> dict[duties.Duty, list[str]]:
    """Share parts out among duties; near ones of a narrow query are not."""
    if configs.is_wide(way):
        return _share_out_all(desk.host, way, centres)
    sizes = collections.Counter(
        centre for found in centres.values() for centre in found
    )
    shared: dict[duties.Duty, list[str]] = {}
    for service, places_of in centres.items():
        if desk.host.data_centre not in places_of:
            centre = choose_centre(desk.host, places_of, sizes)
            shared.setdefault(duties.Duty(centre, ''), []).append(service)
    return shared


def _share_out_all(
    host: deployments.Host, way: configs.Gather, centres: dict[str, set[str]]
) -> dict[duties.Duty, list[str]]:
    """Share all parts out; a few far ones go with the near ones."""
    chunks = duties.find_chunks(way)
    order = rank_centres(host, centres)
    shared: dict[duties.Duty, list[str]] = {}
    for service, places_of in centres.items():
        duty = duties.Duty(_find_first(order, places_of), chunks[service])
        shared.setdefault(duty, []).append(service)
    _join_few(host.data_centre, shared)
    return shared


def _find_first(order: Sequence[str], found: Collection[str]) -> str:
    return next((centre for centre in order if centre in found), order[0])


def rank_centres(
    host: deployments.Host, centres: Mapping[str, Collection[str]]
) -> tuple[str, ...]:
    """Order data centres so that the first few have targets of all parts.

    `centres` maps each part to the data centres that have targets of it. The
    own one comes first, then always the one that adds most parts. Where two of
    five data centres hold each shard, parts taken by name alone spread over all
    four others in groups too small for a helper, and a third of all parts
    crossed one by one.
    """
    left = [found for found in centres.values() if found]
    order = [host.data_centre]
    left = [found for found in left if host.data_centre not in found]
    while left:
        best = _find_best(host, left)
        order.append(best)
        left = [found for found in left if best not in found]
    return tuple(order)


def _find_best(host: deployments.Host, left: Iterable[Collection[str]]) -> str:
    """Find the data centre that has targets of most parts.

    Hosts choose differently among equals, so that these share the load.
    """
    counts = collections.Counter(name for found in left for name in found)
    most = max(counts.values())
    best = [name for name, count in counts.items() if count == most]
    return rendezvous.rank(host.name, best)[0]


def choose_centre(
    host: deployments.Host, found: Collection[str], sizes: Mapping[str, int]
) -> str:
    """Choose the data centre that parts are gathered in, the own one if it can.

    Hosts without near targets spread over those that hold about as many
    shards as any (`sizes`). Were all of them to ask the same one, its hosts and
    targets would carry the queries of each data centre that has none.
    """
    if not found or host.data_centre in found:
        return host.data_centre
    most = max(sizes[centre] for centre in found)
    large = [it for it in found if sizes[it] >= LARGE_SHARE * most]
    return rendezvous.rank(host.name, large)[0]


def _join_few(near: str, shared: dict[duties.Duty, list[str]]) -> None:
    for duty in tuple(shared):
        own = duties.Duty(near, duty.chunk)
        if duty != own and len(shared[duty]) < FEWEST and own in shared:
            shared[own].extend(shared.pop(duty))


def find_second_centre(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    service: str,
    silent: str,
    now: float,
) -> str:
    """Find the data centre whose hosts are to send a part a second time.

    Those where a target is that was not tried know it and have connections to
    it; from elsewhere a second sending would open one first, which takes 6 ms
    of 72. `silent` is the data centre of a host that was asked for the part
    and has told nothing.
    """
    part = ask.parts[service]
    candidates = target_selection.list_candidates(desk, service, part, now)
    found = {one.data_centre for one in candidates}
    if desk.host.data_centre not in found:
        found = found - {silent} or found
    return choose_centre(desk.host, found, dict.fromkeys(found, 1))


def find_second_helper(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    service: str,
    now: float,
    *,
    passed: deployments.Host | None = None,
    silent: str = '',
) -> deployments.Host | None:
    """Find the host that is to send a part again; None for this one.

    It is on duty where a target is that was not tried, and not the one that is
    `passed` over. `silent` is the data centre of a host that has told nothing.
    """
    assert isinstance(ask.route.way, configs.Gather)
    centre = find_second_centre(desk, ask, service, silent, now)
    chunk = duties.find_chunks(ask.route.way)[service]
    duty = duties.Duty(centre, chunk)
    return find_helper(desk, duty, now, wide=True, silent=passed)


def find_helper(
    desk: states.Router,
    duty: duties.Duty,
    now: float,
    *,
    wide: bool,
    silent: deployments.Host | None = None,
) -> deployments.Host | None:
    """Find the host to ask; None where this one is to send for itself."""
    if wide:
        passed = silent.name if silent else ''
        on_duty = [
            it for it in _list_on_duty(desk, duty, now) if it.name != passed
        ]
        on_duty.append(desk.host)
        late = [it for it in on_duty if _is_late(desk, it, now)]
        prompt = [it for it in on_duty if it not in late] or on_duty
        chosen = _prefer_prompt(desk, prompt, now)
        return None if chosen.name == desk.host.name else chosen
    near = [
        host
        for host in desk.centre_health.list_hosts(duty.data_centre)
        if host.name != desk.host.name and _is_alive(desk, host, now)
    ]
    return _choose_helper(desk, near, now) if near else None


def _list_on_duty(
    desk: states.Router, duty: duties.Duty, now: float
) -> list[deployments.Host]:
    """List the hosts on duty; those after them take the place of the dead.

    All hosts are ranked, whoever of them is alive: that is known already, and
    only the first few have to be looked at.
    """
    ranked = duties.rank_hosts(
        duty, desk.centre_health.list_hosts(duty.data_centre)
    )
    alive = (
        host
        for host in ranked
        if host.name == desk.host.name or _is_alive(desk, host, now)
    )
    return list(itertools.islice(alive, duties.ON_DUTY))


def _is_alive(desk: states.Router, host: deployments.Host, now: float) -> bool:
    if desk.centre_health.is_silent(host.data_centre):
        return False
    return not target_health.is_excluded(desk.helper_health.get(host.name), now)


def _prefer_prompt(
    desk: states.Router, on_duty: Sequence[deployments.Host], now: float
) -> deployments.Host:
    """Leave some work of a host that is behind to the next one on duty."""
    first, *others = on_duty
    behind = desk.controls.lags.get_lag(first.name, now)
    if not behind or not others or others[0].name == desk.host.name:
        return first
    other = desk.controls.lags.get_lag(others[0].name, now)
    given = desk.draw() < lags.compute_handover(behind, other)
    return others[0] if given else first


def _is_late(desk: states.Router, host: deployments.Host, now: float) -> bool:
    known = desk.helper_health.get(host.name)
    return target_health.measure_silence(known, now) is not None


def _choose_helper(
    desk: states.Router, helpers: list[deployments.Host], now: float
) -> deployments.Host:
    best = helpers[0]
    least = float('inf')
    for host in helpers:
        known = desk.helper_health.get(host.name)
        cost = target_health.estimate_gather_cost(known, now)
        cost *= 1 + target_selection.ESTIMATE_SPREAD_FRACTION * desk.draw()
        if cost < least:
            least = cost
            best = host
    return best
