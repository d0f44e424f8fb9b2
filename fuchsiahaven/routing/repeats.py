"""Say whether a part may be sent again, by the shared bound and by need."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.routing import asks, configs, duties, states

#: Refusals of a part after which it is not sent again. What a target refuses
#: has not run and leaves the attempts that a route allows as they are, but it
#: is an arrival more there.
MOST_REFUSALS: Final = 2
#: Repeats are short while less than this part of what a host may send is left.
SHORT: Final = 0.7
#: Stands for a target that only another host knows.
UNKNOWN: Final = ''


def may_repeat(
    desk: states.Desk,
    ask: asks.Ask,
    service: str,
    now: float,
    *,
    kept: float = 0,
) -> bool:
    """Tell whether attempts and the shared budget allow one more sending."""
    part = ask.parts[service]
    if not part.sent:
        # Nothing has arrived anywhere, so this is the first arrival.
        return True
    # A helper sends each part once, whatever comes of it.
    used = part.sent if ask.assists else part.attempts
    if used >= ask.route.attempts:
        return False
    if len(part.refusers) > MOST_REFUSALS:
        return False
    sharers = _count_sharers(desk, ask, service)
    left = desk.find_budget(service).count_left(now, sharers)
    return left >= 1 + kept * desk.extra_load.slack / sharers


def are_short(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> bool:
    """Tell whether repeats of a part go only to queries that lack too much.

    A helper does not know what the query that it helps with lacks.
    """
    if not ask.gathers or ask.assists or not ask.parts[service].sent:
        return False
    sharers = _count_sharers(desk, ask, service)
    return desk.find_budget(service).is_short(now, sharers, SHORT)


def order_spared(desk: states.Desk, ask: asks.Ask, now: float) -> list[str]:
    """Order the parts that may be sent in place of others that are lost.

    Those set aside come first, and of these the one whose service has most
    repeats left.
    """
    lost = [it for it, part in ask.parts.items() if part.lost]
    spared = [
        it
        for it in lost
        if ask.parts[it].spared and may_repeat(desk, ask, it, now)
    ]
    insisted = [
        it for it in lost if it not in spared and may_insist(desk, ask, it, now)
    ]
    left = {it: count_left(desk, ask, it, now) for it in lost}
    return [
        *sorted(spared, key=lambda it: left[it], reverse=True),
        *sorted(insisted, key=lambda it: left[it], reverse=True),
    ]


def may_insist(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> bool:
    """Tell whether a target may get a part once more that it has lost.

    It has reset a connection and lives. Not where another host sent the part
    before: which targets it went to is not known for certain.
    """
    way = ask.route.way
    if not isinstance(way, configs.Gather) or configs.is_wide(way):
        return False
    part = ask.parts[service]
    if ask.assists or ask.route.at_most_once or part.asked_again:
        return False
    if UNKNOWN in part.tried or part.failed is not None:
        return False
    broke = part.reason is coverage.Reason.UNREACHABLE and part.may_have_run
    return broke and count_left(desk, ask, service, now) >= 1


def count_left(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> float:
    """Count the repeats that this host may send to a service now."""
    sharers = _count_sharers(desk, ask, service)
    return desk.find_budget(service).count_left(now, sharers)


def _count_sharers(desk: states.Desk, ask: asks.Ask, service: str) -> float:
    way = ask.route.way
    if not isinstance(way, configs.Gather) or service not in desk.index.wide:
        return desk.host_count
    centres = desk.find_wide_centres()
    on_duty = ask.assists
    if not on_duty and desk.host.data_centre in centres:
        on_duty = _is_on_duty(desk, way, service)
    return duties.count_slack_sharers(
        len(centres), desk.host_count, on_duty=on_duty
    )


def _is_on_duty(desk: states.Desk, way: configs.Gather, service: str) -> bool:
    """Tell whether this host gathers a shard for others.

    Asked for each repeat, and found out anew only where hosts come or go.
    """
    chunk = duties.find_chunks(way).get(service, service)
    known = desk.centres.on_duty.get(chunk)
    if known is not None:
        return known
    duty = duties.Duty(desk.host.data_centre, chunk)
    hosts = desk.centres.list_hosts(desk.host.data_centre)
    first = duties.rank_hosts(duty, hosts)[: duties.ON_DUTY]
    on_duty = any(it.name == desk.host.name for it in first)
    desk.centres.on_duty[chunk] = on_duty
    return on_duty
