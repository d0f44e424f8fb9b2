"""Take in how each sending ended: answer, refusal, fault, or never sent."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    admission,
    asks,
    crashes,
    endings,
    events,
    states,
    tries,
)

Actions = list[events.Action]

#: Targets are told whole milliseconds, and may be a little early.
EARLY_S: Final = 0.005
REFUSAL_REASONS: Final = {
    messages.RefusalReason.SHED: coverage.Reason.OVERLOADED,
    messages.RefusalReason.DEADLINE: coverage.Reason.TIMED_OUT,
}
FAULT_REASONS: Final = {
    messages.Fault.CONNECTION_LOST: coverage.Reason.UNREACHABLE,
    messages.Fault.TIMED_OUT: coverage.Reason.TIMED_OUT,
}


def take_answer(
    desk: states.Desk, event: events.Answered, now: float
) -> Actions:
    """Keep the first good answer to a part; try again after a bad one."""
    aloft = desk.aloft.pop(event.key, None)
    if aloft is None:
        return []
    desk.centres.note_heard(aloft.data_centre)
    answer = event.answer
    known = desk.standings
    if answer.status >= asks.FAILURES and _is_overdue(aloft, now):
        # It ran out of the time that it was given, which says how slow it is
        # and not that it fails.
        known.note_answered(aloft.instance, event.key, now, answer.load)
    elif answer.status >= asks.FAILURES:
        known.note_failed(aloft.instance, event.key, now)
    else:
        known.note_answered(aloft.instance, event.key, now, answer.load)
        _note_latency(desk, aloft, now)
    told: Actions = []
    if answer.status == asks.OK:
        told = crashes.note_success(desk, aloft.identity, event.key, now)
    crashes.end_trial(desk, aloft.identity, event.key, now)
    ask = find_open(desk, event.key)
    if ask is None:
        return told
    service = event.key.service
    part = land(ask, event.key)
    if _is_failure(ask, answer):
        _note_try(ask, event.key, aloft, f'status {answer.status}')
        ask.parts[service] = part._replace(
            failed=answer,
            may_have_run=True,
            reason=coverage.Reason.REFUSED,
        )
        return go_on(desk, ask, service, now)
    ask.parts[service] = part._replace(answer=answer)
    ask.open.discard(service)
    beaten = [
        events.Withdraw(events.FlightKey(ask.number, service, flight.number))
        for flight in part.flights
    ]
    return [*told, *beaten, *endings.settle(desk, ask, now)]


def take_refusal(
    desk: states.Desk, event: events.Refused, now: float
) -> Actions:
    """Ask another target, which any request may: this one has not run it."""
    aloft = desk.aloft.pop(event.key, None)
    if aloft is None:
        return []
    desk.centres.note_heard(aloft.data_centre)
    if event.reason is messages.RefusalReason.SHED and _is_overdue(aloft, now):
        # It waited in the queue until its time was over.
        event = event._replace(reason=messages.RefusalReason.DEADLINE)
    desk.standings.note_refused(aloft.instance, event, now)
    if event.reason is messages.RefusalReason.LEAVING:
        # Another process answers at this address, or this one is leaving.
        desk.standings.note_gone(aloft.instance, now)
    if event.reason is messages.RefusalReason.SHED:
        window = desk.windows.get(aloft.route, hedges.EMPTY)
        desk.windows[aloft.route] = hedges.record_shed(window)
    reason = REFUSAL_REASONS.get(event.reason, coverage.Reason.REFUSED)
    crashes.end_trial(desk, aloft.identity, event.key, now)
    ask = find_open(desk, event.key)
    if ask is None:
        return []
    _note_try(ask, event.key, aloft, f'refused {event.reason}')
    part = land(ask, event.key)
    ask.parts[event.key.service] = part._replace(
        reason=reason, refusers=(*part.refusers, aloft.instance)
    )
    return go_on(desk, ask, event.key.service, now)


def take_fault(desk: states.Desk, event: events.Broken, now: float) -> Actions:
    """Ask another target if the request may run twice."""
    aloft = desk.aloft.pop(event.key, None)
    if aloft is None:
        return []
    told: Actions | None = []
    if event.fault is messages.Fault.CONNECTION_LOST:
        desk.centres.note_failed(aloft.data_centre, aloft.instance)
        told = crashes.note_loss(desk, event.key, aloft, now)
    if told is not None:
        crashes.end_trial(desk, aloft.identity, event.key, now)
    desk.standings.note_broken(aloft.instance, event, now)
    ask = find_open(desk, event.key)
    if ask is None:
        return told or []
    _note_try(ask, event.key, aloft, f'broken {event.fault}')
    part = land(ask, event.key)
    ask.parts[event.key.service] = part._replace(
        reason=FAULT_REASONS.get(event.fault, coverage.Reason.BROKEN_ANSWER),
        may_have_run=True,
        doubted=told is None,
    )
    if told is None:
        return []
    return [*told, *go_on(desk, ask, event.key.service, now)]


def take_unsent(desk: states.Desk, event: events.Unsent, now: float) -> Actions:
    """Ask another target: nothing has left, so nothing counts as sent."""
    aloft = desk.aloft.pop(event.key, None)
    if aloft is None:
        return []
    service = event.key.service
    if event.unreachable:
        desk.centres.note_failed(aloft.data_centre, aloft.instance)
    desk.standings.note_unsent(aloft.instance, event, now)
    if aloft.extra:
        desk.find_budget(service).note_extra(now, -1)
    crashes.end_trial(desk, aloft.identity, event.key, now)
    ask = find_open(desk, event.key)
    if ask is None:
        return []
    _note_try(ask, event.key, aloft, 'not sent')
    part = land(ask, event.key)
    tried = part.tried
    if event.withdrawn:
        # Nothing is known against the target, which may be the last one left.
        tried = tuple(it for it in tried if it != aloft.instance)
    ask.parts[service] = part._replace(
        sent=part.sent - 1,
        tried=tried,
        reason=part.reason or coverage.Reason.UNREACHABLE,
    )
    refused = admission.refuse_late(desk, ask, now)
    if refused is not None:
        return refused
    return go_on(desk, ask, service, now)


def go_on(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> Actions:
    """Try a part again where that is allowed, and see whether this ends it."""
    actions = tries.send_again(desk, ask, service, now)
    return [*actions, *endings.settle(desk, ask, now)]


def find_open(desk: states.Desk, key: events.FlightKey) -> asks.Ask | None:
    """Find the ask that still waits for a part."""
    ask = desk.asks.get(key.ask)
    if ask is None or key.service not in ask.open:
        return None
    return ask


def _is_overdue(aloft: states.Aloft, now: float) -> bool:
    return now >= aloft.ends - EARLY_S


def _is_failure(ask: asks.Ask, answer: events.Answer) -> bool:
    if ask.gathers:
        return answer.status != asks.OK
    return answer.status >= asks.FAILURES


def land(ask: asks.Ask, key: events.FlightKey) -> asks.Part:
    """Return a part without a sending that has ended."""
    part = ask.parts[key.service]
    left = tuple(it for it in part.flights if it.number != key.number)
    return part._replace(flights=left)


def _note_try(
    ask: asks.Ask, key: events.FlightKey, aloft: states.Aloft, how: str
) -> None:
    ask.tries.append(f'{key.service} {aloft.instance} {aloft.purpose}: {how}')


def _note_latency(desk: states.Desk, aloft: states.Aloft, now: float) -> None:
    # Hedges and retries are left out: they go where answers come fast, and
    # would pull the delay after which to hedge down to themselves.
    if aloft.purpose is events.Purpose.FIRST:
        window = desk.windows.get(aloft.route, hedges.EMPTY)
        desk.windows[aloft.route] = hedges.record_latency(
            window, now - aloft.sent, policy=tries.HEDGING
        )
