"""Hold back queries under which targets end."""

import json
from typing import Final

from fuchsiahaven.core import policies, request_identities, suspects
from fuchsiahaven.core.queries import queries, states, tables
from fuchsiahaven.core.targets import messages

#: How long a part waits for word of its target, in seconds: a connection takes
#: a round trip and what the target needs to accept it.
LOOK_S: Final = 0.05


def name_query(query: messages.Query) -> request_identities.Identity:
    """Name what a query asks for; it is the same under each request id."""
    asked = json.dumps([dict(query.terms), query.key], sort_keys=True)
    return request_identities.identify(query.class_name, asked.encode())


def find_gate(
    state: states.State, query: messages.Query, now: float
) -> suspects.SendPermission:
    """Say how the parts of a query may be sent now."""
    once = isinstance(state.policy.attempts, policies.SingleAttempt)
    if once or not _has_crashes(state):
        return suspects.SendPermission.UNRESTRICTED
    return state.tables.suspects.get_permission(name_query(query), now)


def note_loss(
    state: states.State,
    run: queries.Run,
    event: messages.Broken,
    sent: float,
    now: float,
) -> None:
    """Take in a part that was lost with its connection."""
    loss = tables.Loss(name_query(run.query), event.part, sent, now)
    state.tables.losses.setdefault(event.target, []).append(loss)
    due = tables.DoubtDue(event.target, event.part)
    states.set_timer(state, now + LOOK_S, due)


def take_look(
    state: states.State, event: messages.Looked, now: float
) -> list[messages.PartKey]:
    """Take in whether a target has ended; return what was lost there."""
    losses = state.tables.losses.pop(event.target, [])
    known = state.tables.suspects
    for loss in losses if event.ended else ():
        state.tables.counts[tables.Count.CRASHED] += 1
        crash = suspects.Crash(
            _name_service(loss.part),
            event.target,
            loss.part,
            loss.sent,
            loss.lost,
        )
        known.record_crash(loss.identity, crash, now)
    for lost in losses:
        known.end_trial(lost.identity, lost.part)
    known.expire_suspects(now)
    return [waiting.part for waiting in losses]


def stop_doubting(state: states.State, due: tables.DoubtDue) -> bool:
    """Take out a loss of whose target nobody has told; tell if there is one."""
    losses = state.tables.losses.get(due.target, [])
    found = [loss for loss in losses if loss.part == due.part]
    for loss in found:
        losses.remove(loss)
        state.tables.suspects.end_trial(loss.identity, loss.part)
    if not losses:
        state.tables.losses.pop(due.target, None)
    return bool(found)


def begin_trial(
    state: states.State,
    run: queries.Run,
    actions: list[messages.Action],
    now: float,
) -> None:
    """Take in that a part is sent as the one trial of its query."""
    for action in actions:
        if isinstance(action, messages.Send):
            identity = name_query(run.query)
            state.tables.suspects.start_trial(identity, action.part, now)


def note_answer(
    state: states.State, run: queries.Run, part: messages.PartKey
) -> None:
    """Take in that a target has run a part to its end."""
    if _has_crashes(state):
        identity = name_query(run.query)
        known = state.tables.suspects
        known.record_success(identity, _name_service(part), part)


def end_trial(
    state: states.State, run: queries.Run, part: messages.PartKey
) -> None:
    """Take in that an attempt has ended, in whatever way."""
    if _has_crashes(state):
        state.tables.suspects.end_trial(name_query(run.query), part)


def _name_service(part: messages.PartKey) -> str:
    return f'{part.group}/{part.shard}'


def _has_crashes(state: states.State) -> bool:
    return state.tables.counts[tables.Count.CRASHED] > 0
