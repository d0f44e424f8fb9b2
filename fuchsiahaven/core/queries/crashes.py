"""Hold back queries that crash the targets that run them."""

import json
from typing import Final

from fuchsiahaven.core import policies, request_identities, suspects
from fuchsiahaven.core.queries import runs, states, tables
from fuchsiahaven.core.targets import messages

#: How long a part whose connection was lost waits for the check of its target:
#: a round trip and the time that the target needs to accept a connection.
TARGET_CHECK_TIMEOUT_S: Final = 0.05


def identify_query(query: messages.Query) -> request_identities.Identity:
    """Return the identity of a query's content, whatever its request id."""
    content = json.dumps([dict(query.terms), query.key], sort_keys=True)
    return request_identities.identify(query.class_name, content.encode())


def get_permission(
    state: states.State, query: messages.Query, now: float
) -> suspects.SendPermission:
    """Return how the parts of a query may be sent now."""
    is_single_attempt = isinstance(
        state.policy.attempts, policies.SingleAttempt
    )
    if is_single_attempt or not _has_crashes(state):
        return suspects.SendPermission.UNRESTRICTED
    return state.tables.suspects.get_permission(identify_query(query), now)


def record_loss(
    state: states.State,
    run: runs.Run,
    event: messages.PartFailed,
    sent_at: float,
    now: float,
) -> None:
    """Record a part whose connection was lost, and set its check timer."""
    loss = tables.Loss(identify_query(run.query), event.part, sent_at, now)
    state.tables.losses.setdefault(event.target, []).append(loss)
    timer = tables.TargetCheckTimer(event.target, event.part)
    states.set_timer(state, now + TARGET_CHECK_TIMEOUT_S, timer)


def handle_target_checked(
    state: states.State, event: messages.TargetChecked, now: float
) -> list[messages.PartKey]:
    """Record whether a target has exited; return the parts lost there."""
    losses = state.tables.losses.pop(event.target, [])
    suspect_requests = state.tables.suspects
    for loss in losses if event.exited else ():
        state.tables.counts[tables.Count.CRASHED] += 1
        crash = suspects.Crash(
            _format_service(loss.part),
            event.target,
            loss.part,
            loss.sent_at,
            loss.lost_at,
        )
        suspect_requests.record_crash(loss.identity, crash, now)
    for checked in losses:
        suspect_requests.end_trial(checked.identity, checked.part)
    suspect_requests.expire_suspects(now)
    return [it.part for it in losses]


def expire_loss(state: states.State, timer: tables.TargetCheckTimer) -> bool:
    """Remove a loss whose check timed out; return whether it was there."""
    losses = state.tables.losses.get(timer.target, [])
    expired = [loss for loss in losses if loss.part == timer.part]
    for loss in expired:
        losses.remove(loss)
        state.tables.suspects.end_trial(loss.identity, loss.part)
    if not losses:
        state.tables.losses.pop(timer.target, None)
    return bool(expired)


def start_trial(
    state: states.State,
    run: runs.Run,
    actions: list[messages.Action],
    now: float,
) -> None:
    """Record that a part is sent as the only trial of its query."""
    for action in actions:
        if isinstance(action, messages.Send):
            identity = identify_query(run.query)
            state.tables.suspects.start_trial(identity, action.part, now)


def record_answer(
    state: states.State, run: runs.Run, part: messages.PartKey
) -> None:
    """Record that a target has run a part to completion."""
    if _has_crashes(state):
        identity = identify_query(run.query)
        suspect_requests = state.tables.suspects
        suspect_requests.record_success(identity, _format_service(part), part)


def end_trial(
    state: states.State, run: runs.Run, part: messages.PartKey
) -> None:
    """Record that an attempt has ended, whatever its result."""
    if _has_crashes(state):
        state.tables.suspects.end_trial(identify_query(run.query), part)


def _format_service(part: messages.PartKey) -> str:
    return f'{part.group}/{part.shard}'


def _has_crashes(state: states.State) -> bool:
    return state.tables.counts[tables.Count.CRASHED] > 0
