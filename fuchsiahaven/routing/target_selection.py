"""Choose the target to which a part is sent."""

import math
from collections.abc import Iterator, Sequence
from typing import Final

from fuchsiahaven.routing import (
    active_requests,
    instances,
    states,
    target_health,
    warmups,
)

#: Random increase of estimates, so that hosts with the same measurements do not
#: all choose the same target.
ESTIMATE_SPREAD_FRACTION: Final = 0.2


def list_candidates(
    router: states.Router, service: str, part: active_requests.Part, now: float
) -> list[instances.Instance]:
    """List the live targets that a part was not sent to yet.

    Cold targets are listed only if there is no warm one: they are slow, and
    fail under too many requests at once.
    """
    alive = _list_alive(router, service, part.tried_targets, now)
    return warmups.prefer_warm(router.warmups, alive, now)


def list_refusing(
    router: states.Router, service: str, part: active_requests.Part, now: float
) -> list[instances.Instance]:
    """List the targets that refused a part, except the last one to do so.

    They are used again if no other target is left: a target may refuse some
    requests and accept others, and a lost part is missing in the answer.
    """
    return [
        instance
        for instance in _list_alive(router, service, part.refused_by[-1:], now)
        if instance.name in part.refused_by
    ]


def list_last_broken(
    router: states.Router, service: str, part: active_requests.Part, now: float
) -> list[instances.Instance]:
    """List the target that lost a part last, if it is alive.

    A route bounds to how many targets a part is sent, and not how often.
    """
    ran = [it for it in part.tried_targets if it not in part.refused_by]
    return [
        instance
        for instance in _list_alive(router, service, (), now)
        if instance.name in ran[-1:]
    ]


def has_candidate(
    router: states.Router, service: str, part: active_requests.Part, now: float
) -> bool:
    """Return whether there is a candidate, and stop at the first one."""
    return any(_iterate_alive(router, service, part.tried_targets, now))


def _list_alive(
    router: states.Router, service: str, excluded: Sequence[str], now: float
) -> list[instances.Instance]:
    return list(_iterate_alive(router, service, excluded, now))


def _iterate_alive(
    router: states.Router, service: str, excluded: Sequence[str], now: float
) -> Iterator[instances.Instance]:
    silent = router.centre_health.list_silent()
    for instance in router.directory.by_service.get(service, ()):
        if instance.name in excluded or instance.data_centre in silent:
            continue
        if not target_health.is_excluded(
            router.target_health.get(instance.name), now
        ):
            yield instance


def choose_target(
    router: states.Router,
    candidates: Sequence[instances.Instance],
    now: float,
    *,
    at_most_once: bool,
    usual_latency: float = math.inf,
) -> instances.Instance | None:
    """Choose the target expected to answer first; None without candidates.

    A request that runs `at_most_once` does not serve as a trial for a target
    that failed recently, unless no other target is left. A target of another
    data centre that was not measured is assumed to be as fast as the near one,
    or to take `usual_latency` seconds if the near one is slower than that.
    """
    trusted = [
        instance
        for instance in candidates
        if _is_trusted(router, instance.name, now, at_most_once=at_most_once)
    ]
    usable = trusted or candidates
    own_centre = router.host.data_centre
    near = _choose_fastest(
        router,
        [instance for instance in usable if instance.data_centre == own_centre],
        now,
    )
    far = _choose_fastest(
        router,
        [instance for instance in usable if instance.data_centre != own_centre],
        now,
    )
    if near is None or far is None:
        return near or far
    usual_latency = min(
        usual_latency, router.target_health.get(near.name).stats.latency
    )
    near_wait = _estimate_wait(router, near, now)
    return (
        far
        if _estimate_wait(router, far, now, usual_latency) < near_wait
        else near
    )


def _choose_fastest(
    router: states.Router, candidates: Sequence[instances.Instance], now: float
) -> instances.Instance | None:
    best = None
    best_cost = float('inf')
    for instance in candidates:
        health = router.target_health.get(instance.name)
        cost = target_health.estimate_cost(
            health, instance, router.host.data_centre, now
        )
        cost *= 1 + ESTIMATE_SPREAD_FRACTION * router.draw()
        if cost < best_cost:
            best_cost = cost
            best = instance
    return best


def _estimate_wait(
    router: states.Router,
    instance: instances.Instance,
    now: float,
    usual_latency: float = 0.0,
) -> float:
    health = router.target_health.get(instance.name)
    own_centre = router.host.data_centre
    return target_health.estimate_queue_cost(
        health, instance, own_centre, now, usual_latency
    )


def _is_trusted(
    router: states.Router, name: str, now: float, *, at_most_once: bool
) -> bool:
    health = router.target_health.get(name)
    record = health.stats.failure_record
    if not record.ejected_until:
        return (
            not at_most_once
            or target_health.measure_silence(health, now) is None
        )
    return (
        not at_most_once
        and now >= record.ejected_until
        and not health.in_flight
    )
