"""Plan which parts of a query other hosts gather, and which ones."""

import collections
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    asks,
    choices,
    configs,
    duties,
    places,
    standings,
    states,
)

#: Fewer parts than this are asked for directly: the detour costs about as
#: many bytes as it saves, and a hop more.
FEWEST: Final = 4


class Plan(NamedTuple):
    """Name a helper and the parts that it is to gather."""

    helper: places.Host
    services: tuple[str, ...]


def plan(desk: states.Desk, ask: asks.Ask, now: float) -> list[Plan]:
    """Plan which parts of a query go through which helper."""
    way = ask.route.way
    if not isinstance(way, configs.Gather):
        return []
    centres = _list_centres(desk, ask, asks.list_open(ask), now)
    planned = []
    for duty, services in _share_out(desk, way, centres).items():
        if len(services) < FEWEST:
            continue
        helper = find_helper(desk, duty, now, wide=configs.is_wide(way))
        if helper is not None:
            planned.append(Plan(helper, tuple(services)))
    return planned


def _list_centres(
    desk: states.Desk, ask: asks.Ask, services: Iterable[str], now: float
) -> dict[str, set[str]]:
    """List in which data centres each part has targets that may be asked."""
    centres: dict[str, set[str]] = {}
    for service in services:
        part = ask.parts[service]
        found = choices.list_candidates(desk, service, part, now)
        centres[service] = {one.data_centre for one in found}
    return centres


def _share_out(
    desk: states.Desk, way: configs.Gather, centres: dict[str, set[str]]
) -> dict[duties.Duty, list[str]]:
    """Share parts out among duties; a few far ones go with the near ones."""
    near = desk.host.data_centre
    wide = configs.is_wide(way)
    chunks = duties.find_chunks(way)
    sizes = collections.Counter(
        centre for found in centres.values() for centre in found
    )
    shared: dict[duties.Duty, list[str]] = {}
    for service, found in centres.items():
        centre = near
        if near not in found:
            centre = _find_largest(sizes, found, near)
        elif not wide:
            continue
        duty = duties.Duty(centre, chunks[service] if wide else '')
        shared.setdefault(duty, []).append(service)
    if wide:
        _join_few(near, shared)
    return shared


def _find_largest(
    sizes: collections.Counter[str], found: set[str], near: str
) -> str:
    return max(found, key=lambda it: (sizes[it], it), default=near)


def _join_few(near: str, shared: dict[duties.Duty, list[str]]) -> None:
    for duty in tuple(shared):
        own = duties.Duty(near, duty.chunk)
        if duty != own and len(shared[duty]) < FEWEST and own in shared:
            shared[own].extend(shared.pop(duty))


def find_helper(
    desk: states.Desk,
    duty: duties.Duty,
    now: float,
    *,
    wide: bool,
    silent: places.Host | None = None,
) -> places.Host | None:
    """Find the host to ask; None where this one is to send for itself."""
    alive = [
        host
        for host in desk.hosts
        if not standings.is_dead(desk.helpers.get(host.name), now)
        and not desk.centres.is_silent(host.data_centre)
    ]
    if wide:
        ranked = duties.rank_hosts(duty, [*alive, desk.host])
        on_duty = [it for it in ranked[: duties.ON_DUTY] if it != silent]
        on_duty.append(desk.host)
        late = [it for it in on_duty if _is_late(desk, it, now)]
        chosen = next((it for it in on_duty if it not in late), on_duty[0])
        return None if chosen.name == desk.host.name else chosen
    near = [host for host in alive if host.data_centre == duty.data_centre]
    return _choose_helper(desk, near, now) if near else None


def _is_late(desk: states.Desk, host: places.Host, now: float) -> bool:
    known = desk.helpers.get(host.name)
    return standings.measure_silence(known, now) is not None


def _choose_helper(
    desk: states.Desk, helpers: list[places.Host], now: float
) -> places.Host:
    best = helpers[0]
    least = float('inf')
    for host in helpers:
        known = desk.helpers.get(host.name)
        cost = standings.estimate_helper(known, now)
        cost *= 1 + choices.SPREAD * desk.draw()
        if cost < least:
            least = cost
            best = host
    return best
