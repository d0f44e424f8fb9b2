"""Take queries in, claim what runs at most once, and start them."""

from typing import Final

from fuchsiahaven.core import errors, policies, suspects
from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import (
    admission,
    crashes,
    endings,
    queues,
    replies,
    scatter,
    starts,
    states,
    tables,
    views,
)
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'submissions'
MILLISECONDS: Final = 1000
NOT_READY_RETRY_S: Final = 1.0
#: The balancer sends the next request to another host.
STOPPING_RETRY_S: Final = 0.1
OVERLOADED_RETRY_S: Final = 0.1


def submit(
    state: states.State, event: messages.Submitted, now: float
) -> list[messages.Action]:
    """Take one query in: start it, queue it or refuse it."""
    policy = states.find_class(state, event.query.class_name)
    obstacle = _find_obstacle(state, event.query, policy)
    obstacle = obstacle or _find_quarantine(state, event.query, now)
    if obstacle is not None or policy is None:
        assert obstacle is not None
        return [messages.Reply(event.token, obstacle)]
    event = _cap_deadline(policy, event)
    state.tables.waiting[event.token] = event
    match state.policy.admission:
        case policies.BoundedAdmission(queries):
            return _admit_bounded(state, event, policy, queries, now)
        case policies.DeadlineAdmission():
            query = event.query
            entry = queues.Entry(
                event.token,
                policy.priority if query.priority is None else query.priority,
                query.arrived,
                query.deadline,
                policy.name,
            )
            key = views.find_admission(state, policy)
            step = admission.offer(_find_admission(state, key), entry, now)
            return _take_step(state, key, step, now)


def go_on(state: states.State, now: float) -> list[messages.Action]:
    """Start what waits in the place of what has finished."""
    actions: list[messages.Action] = []
    while state.tables.finished:
        key, class_name, run_s, strained = state.tables.finished.pop()
        step = admission.finish(
            _find_admission(state, key),
            now,
            run_s,
            strained=strained,
            class_name=class_name,
        )
        actions.extend(_take_step(state, key, step, now))
    return actions


def start_due(state: states.State, now: float) -> list[messages.Action]:
    """Refuse what can no longer be in time; start what was spaced out."""
    actions: list[messages.Action] = []
    if state.tables.waiting:
        for key, admitted in tuple(state.tables.admitted.items()):
            step = admission.start(admitted, now)
            state.tables.admitted[key] = step.admission
            if step.started or step.refused:
                actions.extend(_take_step(state, key, step, now))
    return actions


def forget_idle(state: states.State) -> None:
    """Drop the admissions that nothing uses, as a change may have ended."""
    admitted = state.tables.admitted
    idle = [key for key, one in admitted.items() if admission.is_idle(one)]
    for key in idle:
        admitted.pop(key)


def take_claim(
    state: states.State, event: messages.ClaimSettled, now: float
) -> list[messages.Action]:
    """Run what was claimed for this attempt; tell the others why not."""
    begun = state.tables.begun.get(event.token)
    if begun is None:
        # The caller was told that it was not run, so it must never be; a
        # claim that stays would answer "unknown" to whoever asks again.
        if event.result is messages.ClaimResult.GRANTED:
            return [messages.Release(event.request_id)]
        return []
    if event.result is messages.ClaimResult.GRANTED:
        begun = begun._replace(claimed=True)
        state.tables.begun[event.token] = begun
        run = starts.open_run(state, begun.submitted, begun.policy, now)
        run = run._replace(not_after_epoch=event.not_after_epoch)
        return endings.begin(state, run, now)
    return replies.refuse_claim(state, event, now)


def give_up_claim(
    state: states.State, token: int, now: float
) -> list[messages.Action]:
    """Tell a caller in time that the platform did not record its claim."""
    begun = state.tables.begun.get(token)
    if begun is None or begun.claimed:
        return []
    failure = errors.make_failure(
        errors.Kind.PLATFORM_UNAVAILABLE,
        SOURCE,
        f'the claim took too long; {claims.MAY_STAND}',
        retry_after=NOT_READY_RETRY_S,
    )
    return replies.reply(state, token, failure, now)


def _find_obstacle(
    state: states.State,
    query: messages.Query,
    policy: configurations.RequestClass | None,
) -> errors.Failure | None:
    if state.stopping:
        return errors.make_failure(
            errors.Kind.STOPPING, SOURCE, retry_after=STOPPING_RETRY_S
        )
    keyed = state.configuration.customers and not query.admitted
    if not state.configuration.revision or keyed:
        # A query that was taken in before its caller needed a key must not run
        # by what is in force now.
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=NOT_READY_RETRY_S,
        )
    if policy is None:
        return errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, query.class_name
        )
    if policy.fan_out is configurations.FanOut.KEYED and query.key is None:
        return errors.make_failure(
            errors.Kind.BAD_REQUEST, SOURCE, 'the class needs a key'
        )
    return None


def _find_quarantine(
    state: states.State, query: messages.Query, now: float
) -> errors.Failure | None:
    """Refuse a query that is not to be sent now."""
    if (
        crashes.find_gate(state, query, now)
        is not suspects.SendPermission.BLOCKED
    ):
        return None
    identity = crashes.name_query(query)
    wait = state.tables.suspects.compute_wait(identity, now)
    return errors.make_failure(
        errors.Kind.QUARANTINED, SOURCE, identity.digest, retry_after=wait
    )


def _cap_deadline(
    policy: configurations.RequestClass, event: messages.Submitted
) -> messages.Submitted:
    query = event.query
    latest = query.arrived + policy.deadline_ms / MILLISECONDS
    if query.deadline <= latest:
        return event
    return event._replace(query=query._replace(deadline=latest))


def _admit_bounded(
    state: states.State,
    event: messages.Submitted,
    policy: configurations.RequestClass,
    bound: int,
    now: float,
) -> list[messages.Action]:
    if len(state.tables.begun) < bound:
        key = views.find_admission(state, policy)
        return _start(state, key, event.token, now)
    state.tables.waiting.pop(event.token)
    failure = errors.make_failure(
        errors.Kind.OVERLOADED, SOURCE, retry_after=OVERLOADED_RETRY_S
    )
    return [messages.Reply(event.token, failure)]


def _find_admission(
    state: states.State, key: tables.AdmissionKey
) -> admission.Admission:
    return state.tables.admitted.get(key, admission.EMPTY)


def _take_step(
    state: states.State,
    key: tables.AdmissionKey,
    step: admission.Step,
    now: float,
) -> list[messages.Action]:
    state.tables.admitted[key] = step.admission
    actions: list[messages.Action] = []
    for token, failure in step.refused:
        state.tables.waiting.pop(token)
        actions.append(messages.Reply(token, failure))
    for entry in step.started:
        actions.extend(_start(state, key, entry.token, now))
    due = admission.next_start(step.admission)
    if due is not None and due > now:
        states.set_timer(state, due, tables.StartDue())
    return actions


def _start(
    state: states.State, key: tables.AdmissionKey, token: int, now: float
) -> list[messages.Action]:
    submitted = state.tables.waiting.pop(token)
    query = submitted.query
    policy = states.find_class(state, query.class_name)
    if policy is None:
        # A change of the configuration has removed it meanwhile.
        failure = errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, query.class_name
        )
        state.tables.finished.append(
            tables.Finished(key, query.class_name, 0.0, strained=False)
        )
        return [messages.Reply(token, failure)]
    state.tables.begun[token] = tables.Begun(submitted, policy, key, now)
    run = starts.open_run(state, submitted, policy, now)
    if policy.repeat is not configurations.Repeat.AT_MOST_ONCE:
        return endings.begin(state, run, now)
    due = tables.ClaimDue(token)
    states.set_timer(state, scatter.answer_time(run), due)
    return [messages.Claim(token, query.request_id, query.deadline)]
