"""Take queries in, claim what runs at most once, and start them."""

from typing import Final

from fuchsiahaven.core import (
    configurations,
    endings,
    errors,
    messages,
    scatter,
    starts,
    states,
)

SOURCE: Final = 'submissions'
MILLISECONDS: Final = 1000
NOT_READY_RETRY_S: Final = 1.0
#: The balancer sends the next request to another host.
STOPPING_RETRY_S: Final = 0.1

Result = tuple[states.State, list[messages.Action]]


def submit(
    state: states.State, event: messages.Submitted, now: float
) -> Result:
    """Take one query in."""
    obstacle = _find_obstacle(state)
    if obstacle is not None:
        return state, [messages.Reply(event.token, obstacle)]
    policy = starts.find_class(state.configuration, event.query.class_name)
    if policy is None:
        failure = errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, event.query.class_name
        )
        return state, [messages.Reply(event.token, failure)]
    event = _cap_deadline(policy, event)
    if policy.repeat is configurations.Repeat.AT_MOST_ONCE:
        state.tables.claiming[event.token] = event
        query = event.query
        claim = messages.Claim(event.token, query.request_id, query.deadline)
        return state, [claim]
    return _start(state, event, now)


def _find_obstacle(state: states.State) -> errors.Failure | None:
    if state.stopping:
        return errors.make_failure(
            errors.Kind.STOPPING, SOURCE, retry_after=STOPPING_RETRY_S
        )
    if not state.configuration.revision:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=NOT_READY_RETRY_S,
        )
    return None


def _cap_deadline(
    policy: configurations.RequestClass, event: messages.Submitted
) -> messages.Submitted:
    query = event.query
    latest = query.arrived + policy.deadline_ms / MILLISECONDS
    if query.deadline <= latest:
        return event
    return event._replace(query=query._replace(deadline=latest))


def _start(
    state: states.State,
    event: messages.Submitted,
    now: float,
    not_after_epoch: float | None = None,
) -> Result:
    state, run = starts.open_run(state, event)
    if isinstance(run, errors.Failure):
        return state, [messages.Reply(event.token, run)]
    if not_after_epoch is not None:
        run = run._replace(not_after_epoch=not_after_epoch)
        state.tables.runs[run.number] = run
    due = states.DeadlineDue(run.number)
    state = states.set_timer(state, scatter.answer_time(run), due)
    actions = scatter.send_open_parts(state, run, now)
    actions.extend(endings.settle(state, run))
    return state, actions


def take_claim(
    state: states.State, event: messages.ClaimSettled, now: float
) -> Result:
    """Run what was claimed for this attempt; tell the others why not."""
    submitted = state.tables.claiming.pop(event.token, None)
    if submitted is None:
        return state, []
    match event.result:
        case messages.ClaimResult.GRANTED:
            return _start(state, submitted, now, event.not_after_epoch)
        case messages.ClaimResult.HELD:
            kind = errors.Kind.DUPLICATE_REQUEST
        case messages.ClaimResult.EXPIRED:
            kind = errors.Kind.REQUEST_EXPIRED
        case messages.ClaimResult.UNAVAILABLE:
            kind = errors.Kind.PLATFORM_UNAVAILABLE
    failure = errors.make_failure(kind, 'claims', event.detail)
    return state, [messages.Reply(event.token, failure)]
