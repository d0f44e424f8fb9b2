"""Decide whether a part may be sent again: a hedge or a retry.

The shared bound on extra load and the needs of the query decide.
"""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.routing import (
    active_requests,
    chunk_assignments,
    configs,
    load_shares,
    states,
)

#: A part with more refusals is not sent again. A refused attempt has not run
#: and does not count towards the attempts of the route, but it is one more
#: arrival at the target.
MAX_REFUSALS: Final = 2
#: The budget is short while less than this fraction of a host's part is left.
SHORT_BUDGET_FRACTION: Final = 0.7
#: Name that stands for a target known only to a helper.
UNKNOWN_TARGET: Final = ''


def may_send_extra(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    *,
    reserve_fraction: float = 0,
) -> bool:
    """Return whether the route and the shared budget allow one more attempt.

    `reserve_fraction` is the fraction of the host's slack to leave unused.
    """
    part = active.parts[service]
    if not part.sent_count:
        # No attempt has reached a target, so this is the first arrival.
        return True
    # A helper sends each part once, even if it is refused.
    used = part.sent_count if active.is_delegated else part.used_attempts
    if used >= active.route.attempts:
        return False
    if len(part.refused_by) > MAX_REFUSALS:
        return False
    share = _find_share(router, active, service, now)
    remaining = router.get_budget(service).count_remaining(now, share)
    reserve = reserve_fraction * router.extra_load.slack / share.sharers
    return remaining >= 1 + reserve


def is_budget_short(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Return whether a part may be retried only if its query needs it.

    Never for the parts of a delegated request: the helper does not know what
    the query lacks.
    """
    if (
        not active.is_gather
        or active.is_delegated
        or not active.parts[service].sent_count
    ):
        return False
    share = _find_share(router, active, service, now)
    return router.get_budget(service).is_short(
        now, share, SHORT_BUDGET_FRACTION
    )


def order_replacements(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[str]:
    """Order the lost parts that may be sent again to save the answer.

    Deferred parts come first, each group by the budget left at its service.
    """
    lost = [it for it, part in active.parts.items() if part.lost]
    deferred = [
        it
        for it in lost
        if active.parts[it].deferred and may_send_extra(router, active, it, now)
    ]
    resendable = [
        it
        for it in lost
        if it not in deferred and may_resend(router, active, it, now)
    ]
    remaining = {it: count_remaining(router, active, it, now) for it in lost}
    return [
        *sorted(deferred, key=lambda it: remaining[it], reverse=True),
        *sorted(resendable, key=lambda it: remaining[it], reverse=True),
    ]


def may_resend(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Return whether a part may be sent again to the target that lost it.

    The target has reset the connection and is alive. Never if a helper sent
    the part before: it is not certain to which targets.
    """
    action = active.route.way
    if not isinstance(action, configs.Gather) or configs.is_wide(action):
        return False
    part = active.parts[service]
    if active.is_delegated or active.route.at_most_once or part.resent_count:
        return False
    if UNKNOWN_TARGET in part.tried_targets or part.failed_answer is not None:
        return False
    is_broken = part.reason is coverage.Reason.UNREACHABLE and part.may_have_run
    return is_broken and count_remaining(router, active, service, now) >= 1


def count_remaining(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> float:
    """Count the extra attempts that this host may send to a service now."""
    share = _find_share(router, active, service, now)
    return router.get_budget(service).count_remaining(now, share)


def _find_share(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> load_shares.Share:
    """Return this host's part of the bound on extra load of a service."""
    shares = router.controls.load_shares
    share = shares.find_share(now)
    action = active.route.way
    if (
        shares.is_starting(now)
        or not isinstance(action, configs.Gather)
        or service not in router.index.wide_shards
    ):
        return share
    centres = router.list_wide_centres()
    assigned = active.is_delegated
    if not assigned and router.host.data_centre in centres:
        assigned = _is_assigned(router, action, service)
    return share._replace(
        sharers=chunk_assignments.count_slack_sharers(
            len(centres), share.sharers, assigned=assigned
        )
    )


def _is_assigned(
    router: states.Router, gather: configs.Gather, service: str
) -> bool:
    """Return whether this host is assigned to the chunk of a shard.

    Called for each extra attempt, so the result is cached until the hosts
    change.
    """
    chunk = chunk_assignments.find_chunks(gather).get(service, service)
    cached = router.centre_health.assigned_chunks.get(chunk)
    if cached is not None:
        return cached
    chunk_key = chunk_assignments.ChunkKey(router.host.data_centre, chunk)
    hosts = router.centre_health.list_hosts(router.host.data_centre)
    assigned_hosts = chunk_assignments.rank_hosts(chunk_key, hosts)[
        : chunk_assignments.HOSTS_PER_CHUNK
    ]
    assigned = any(it.name == router.host.name for it in assigned_hosts)
    router.centre_health.assigned_chunks[chunk] = assigned
    return assigned
