"""Choose the target that a part is sent to."""

import math
from collections.abc import Iterator, Sequence
from typing import Final

from fuchsiahaven.routing import asks, instances, standings, states, warmups

#: Estimates are spread by this share, so that hosts that know the same do not
#: all choose the same target.
SPREAD: Final = 0.2


def list_candidates(
    desk: states.Desk, service: str, part: asks.Part, now: float
) -> list[instances.Instance]:
    """List the targets that may be asked, without those taken for dead.

    Cold ones are listed where no warm one is left: they are slow, and fall
    over where too much comes at once.
    """
    alive = _list_alive(desk, service, part.tried, now)
    return warmups.prefer_warm(desk.warmups, alive, now)


def list_refusers(
    desk: states.Desk, service: str, part: asks.Part, now: float
) -> list[instances.Instance]:
    """List the targets that refused a part, but for the last one to do so.

    They are asked again where no other is left: a target may refuse some
    requests and take others, and a part that is lost counts in each answer.
    """
    return [
        one
        for one in _list_alive(desk, service, part.refusers[-1:], now)
        if one.name in part.refusers
    ]


def list_broken_off(
    desk: states.Desk, service: str, part: asks.Part, now: float
) -> list[instances.Instance]:
    """List the target that a part was lost at last, if it is alive.

    A route bounds to how many targets a part goes, and not how often.
    """
    ran = [it for it in part.tried if it not in part.refusers]
    return [
        one
        for one in _list_alive(desk, service, (), now)
        if one.name in ran[-1:]
    ]


def has_candidate(
    desk: states.Desk, service: str, part: asks.Part, now: float
) -> bool:
    """Tell whether any target may be asked, without looking at all of them."""
    return any(_find_alive(desk, service, part.tried, now))


def _list_alive(
    desk: states.Desk, service: str, left_out: Sequence[str], now: float
) -> list[instances.Instance]:
    return list(_find_alive(desk, service, left_out, now))


def _find_alive(
    desk: states.Desk, service: str, left_out: Sequence[str], now: float
) -> Iterator[instances.Instance]:
    silent = desk.centres.list_silent()
    for one in desk.directory.by_service.get(service, ()):
        if one.name in left_out or one.data_centre in silent:
            continue
        if not standings.is_dead(desk.standings.get(one.name), now):
            yield one


def choose(
    desk: states.Desk,
    candidates: Sequence[instances.Instance],
    now: float,
    *,
    once: bool,
    usual: float = math.inf,
) -> instances.Instance | None:
    """Choose the target that would answer soonest; None where there is none.

    What runs at most once (`once`) is no trial for a target that failed
    lately, unless no other is left. A far target that was not measured is
    taken to be as fast as the near one, or as `usual` where the near one is
    slower than that.
    """
    clean = [
        one for one in candidates if _is_clean(desk, one.name, now, once=once)
    ]
    usable = clean or candidates
    own = desk.host.data_centre
    near = _choose_soonest(
        desk, [one for one in usable if one.data_centre == own], now
    )
    far = _choose_soonest(
        desk, [one for one in usable if one.data_centre != own], now
    )
    if near is None or far is None:
        return near or far
    usual = min(usual, desk.standings.get(near.name).stats.latency)
    waits = _estimate_wait(desk, near, now)
    return far if _estimate_wait(desk, far, now, usual) < waits else near


def _choose_soonest(
    desk: states.Desk, candidates: Sequence[instances.Instance], now: float
) -> instances.Instance | None:
    best = None
    least = float('inf')
    for one in candidates:
        known = desk.standings.get(one.name)
        cost = standings.estimate(known, one, desk.host.data_centre, now)
        cost *= 1 + SPREAD * desk.draw()
        if cost < least:
            least = cost
            best = one
    return best


def _estimate_wait(
    desk: states.Desk,
    one: instances.Instance,
    now: float,
    usual: float = 0.0,
) -> float:
    known = desk.standings.get(one.name)
    own = desk.host.data_centre
    return standings.estimate_wait(known, one, own, now, usual)


def _is_clean(desk: states.Desk, name: str, now: float, *, once: bool) -> bool:
    known = desk.standings.get(name)
    record = known.stats.failure_record
    if not record.ejected_until:
        return not once or standings.measure_silence(known, now) is None
    return not once and now >= record.ejected_until and not known.aloft
