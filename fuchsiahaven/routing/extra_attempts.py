"""Say whether a part may be sent again, by the shared bound and by need."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.routing import (
    active_requests,
    chunk_assignments,
    configs,
    states,
)

#: Refusals of a part after which it is not sent again. What a target refuses
#: has not run and leaves the attempts that a route allows as they are, but it
#: is an arrival more there.
MAX_REFUSALS: Final = 2
#: Repeats are short while less than this part of what a host may send is left.
SHORT_BUDGET_FRACTION: Final = 0.7
#: Stands for a target that only another host knows.
UNKNOWN_TARGET: Final = ''


def may_send_extra(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    *,
    reserve_fraction: float = 0,
) -> bool:
    """Tell whether attempts and the shared budget allow one more sending."""
    part = active.parts[service]
    if not part.sent_count:
        # Nothing has arrived anywhere, so this is the first arrival.
        return True
    # A helper sends each part once, whatever comes of it.
    used = part.sent_count if active.is_delegated else part.used_attempts
    if used >= active.route.attempts:
        return False
    if len(part.refused_by) > MAX_REFUSALS:
        return False
    sharers = _count_sharers(router, active, service)
    remaining = router.get_budget(service).count_remaining(now, sharers)
    return remaining >= 1 + reserve_fraction * router.extra_load.slack / sharers


def is_budget_short(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Tell whether repeats of a part go only to queries that lack too much.

    A helper does not know what the query that it helps with lacks.
    """
    if (
        not active.is_gather
        or active.is_delegated
        or not active.parts[service].sent_count
    ):
        return False
    sharers = _count_sharers(router, active, service)
    return router.get_budget(service).is_short(
        now, sharers, SHORT_BUDGET_FRACTION
    )


def order_replacements(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[str]:
    """Order the parts that may be sent in place of others that are lost.

    Those set aside come first, and of these the one whose service has most
    repeats left.
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
    """Tell whether a target may get a part once more that it has lost.

    It has reset a connection and lives. Not where another host sent the part
    before: which targets it went to is not known for certain.
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
    """Count the repeats that this host may send to a service now."""
    sharers = _count_sharers(router, active, service)
    return router.get_budget(service).count_remaining(now, sharers)


def _count_sharers(
    router: states.Router, active: active_requests.ActiveRequest, service: str
) -> float:
    action = active.route.way
    if (
        not isinstance(action, configs.Gather)
        or service not in router.index.wide_shards
    ):
        return router.host_count
    centres = router.list_wide_centres()
    on_duty = active.is_delegated
    if not on_duty and router.host.data_centre in centres:
        on_duty = _is_on_duty(router, action, service)
    return chunk_assignments.count_slack_sharers(
        len(centres), router.host_count, assigned=on_duty
    )


def _is_on_duty(
    router: states.Router, gather: configs.Gather, service: str
) -> bool:
    """Tell whether this host gathers a shard for others.

    Asked for each repeat, and found out anew only where hosts come or go.
    """
    chunk = chunk_assignments.find_chunks(gather).get(service, service)
    cached = router.centre_health.on_duty.get(chunk)
    if cached is not None:
        return cached
    chunk_key = chunk_assignments.ChunkKey(router.host.data_centre, chunk)
    hosts = router.centre_health.list_hosts(router.host.data_centre)
    first = chunk_assignments.rank_hosts(chunk_key, hosts)[
        : chunk_assignments.HOSTS_PER_CHUNK
    ]
    on_duty = any(it.name == router.host.name for it in first)
    router.centre_health.on_duty[chunk] = on_duty
    return on_duty
