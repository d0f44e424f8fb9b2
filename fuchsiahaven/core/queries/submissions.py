"""Admit queries, claim those that run at most once, and start them."""

from typing import Final

from fuchsiahaven.core import errors, policies, suspects
from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import (
    admission,
    completions,
    crashes,
    queues,
    replies,
    run_plans,
    scatter,
    states,
    tables,
    views,
)
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'submissions'
MS_PER_S: Final = 1000
NOT_READY_RETRY_AFTER_S: Final = 1.0
#: Short, because the load balancer sends the retry to another host.
STOPPING_RETRY_AFTER_S: Final = 0.1
OVERLOADED_RETRY_AFTER_S: Final = 0.1


def handle_submission(
    state: states.State, event: messages.QuerySubmitted, now: float
) -> list[messages.Action]:
    """Start, queue or refuse a submitted query."""
    request_class = states.find_class(state, event.query.class_name)
    failure = _find_failure(state, event.query, request_class)
    failure = failure or _find_quarantine_failure(state, event.query, now)
    if failure is not None or request_class is None:
        assert failure is not None
        return [messages.Reply(event.token, failure)]
    event = _cap_deadline(request_class, event)
    state.tables.queued_queries[event.token] = event
    match state.policy.admission:
        case policies.BoundedAdmission(max_running):
            return _admit_bounded(state, event, request_class, max_running, now)
        case policies.DeadlineAdmission():
            query = event.query
            entry = queues.Entry(
                event.token,
                request_class.priority
                if query.priority is None
                else query.priority,
                query.arrived_at,
                query.deadline,
                request_class.name,
            )
            key = views.get_admission_key(state, request_class)
            step = admission.offer(_get_admission(state, key), entry, now)
            return _apply_step(state, key, step, now)


def handle_finished(state: states.State, now: float) -> list[messages.Action]:
    """Record the finished queries and start queued ones."""
    actions: list[messages.Action] = []
    while state.tables.finished_queries:
        key, class_name, run_s, overloaded = state.tables.finished_queries.pop()
        step = admission.record_finish(
            _get_admission(state, key),
            now,
            run_s,
            overloaded=overloaded,
            class_name=class_name,
        )
        actions.extend(_apply_step(state, key, step, now))
    return actions


def start_queued(state: states.State, now: float) -> list[messages.Action]:
    """Start the queued queries that are due; refuse those that are late."""
    actions: list[messages.Action] = []
    if state.tables.queued_queries:
        for key, current in tuple(state.tables.admissions.items()):
            step = admission.start_queued(current, now)
            state.tables.admissions[key] = step.admission
            if step.started or step.refused:
                actions.extend(_apply_step(state, key, step, now))
    return actions


def remove_idle_admissions(state: states.State) -> None:
    """Remove idle admissions, as their class may have been removed."""
    admissions = state.tables.admissions
    idle = [key for key, it in admissions.items() if admission.is_idle(it)]
    for key in idle:
        admissions.pop(key)


def handle_claim_settled(
    state: states.State, event: messages.ClaimSettled, now: float
) -> list[messages.Action]:
    """Run a query whose claim was granted; reply to one whose claim was not."""
    admitted = state.tables.admitted_queries.get(event.token)
    if admitted is None:
        # The reply said that the query was not run, so it must not run now. If
        # its claim were kept, a repeated request would get an unknown outcome.
        if event.result is messages.ClaimResult.GRANTED:
            return [messages.ReleaseClaim(event.request_id)]
        return []
    if event.result is messages.ClaimResult.GRANTED:
        admitted = admitted._replace(claimed=True)
        state.tables.admitted_queries[event.token] = admitted
        run = run_plans.plan_run(
            state, admitted.submitted, admitted.request_class, now
        )
        run = run._replace(not_after_epoch=event.not_after_epoch)
        return completions.start_run(state, run, now)
    return replies.reply_without_claim(state, event, now)


def handle_claim_timeout(
    state: states.State, token: int, now: float
) -> list[messages.Action]:
    """Reply in time if the platform has not recorded the claim."""
    admitted = state.tables.admitted_queries.get(token)
    if admitted is None or admitted.claimed:
        return []
    failure = errors.make_failure(
        errors.Kind.PLATFORM_UNAVAILABLE,
        SOURCE,
        f'the claim took too long; {claims.MAYBE_CLAIMED_DETAIL}',
        retry_after=NOT_READY_RETRY_AFTER_S,
    )
    return replies.reply(state, token, failure, now)


def _find_failure(
    state: states.State,
    query: messages.Query,
    request_class: configurations.RequestClass | None,
) -> errors.Failure | None:
    if state.stopping:
        return errors.make_failure(
            errors.Kind.STOPPING, SOURCE, retry_after=STOPPING_RETRY_AFTER_S
        )
    lacks_customer = state.configuration.customers and not query.admitted
    if not state.configuration.revision or lacks_customer:
        # A query that arrived before callers needed keys must not run under a
        # configuration that requires them.
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=NOT_READY_RETRY_AFTER_S,
        )
    if request_class is None:
        return errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, query.class_name
        )
    if (
        request_class.fan_out is configurations.FanOut.KEYED
        and query.key is None
    ):
        return errors.make_failure(
            errors.Kind.BAD_REQUEST, SOURCE, 'the class needs a key'
        )
    return None


def _find_quarantine_failure(
    state: states.State, query: messages.Query, now: float
) -> errors.Failure | None:
    """Return the failure for a quarantined query; None if it may be sent."""
    if (
        crashes.get_permission(state, query, now)
        is not suspects.SendPermission.BLOCKED
    ):
        return None
    identity = crashes.identify_query(query)
    wait_s = state.tables.suspects.compute_wait(identity, now)
    return errors.make_failure(
        errors.Kind.QUARANTINED, SOURCE, identity.digest, retry_after=wait_s
    )


def _cap_deadline(
    request_class: configurations.RequestClass, event: messages.QuerySubmitted
) -> messages.QuerySubmitted:
    query = event.query
    latest_deadline = query.arrived_at + request_class.deadline_ms / MS_PER_S
    if query.deadline <= latest_deadline:
        return event
    return event._replace(query=query._replace(deadline=latest_deadline))


def _admit_bounded(
    state: states.State,
    event: messages.QuerySubmitted,
    request_class: configurations.RequestClass,
    max_running: int,
    now: float,
) -> list[messages.Action]:
    if len(state.tables.admitted_queries) < max_running:
        key = views.get_admission_key(state, request_class)
        return _start_query(state, key, event.token, now)
    state.tables.queued_queries.pop(event.token)
    failure = errors.make_failure(
        errors.Kind.OVERLOADED, SOURCE, retry_after=OVERLOADED_RETRY_AFTER_S
    )
    return [messages.Reply(event.token, failure)]


def _get_admission(
    state: states.State, key: tables.AdmissionKey
) -> admission.Admission:
    return state.tables.admissions.get(key, admission.EMPTY)


def _apply_step(
    state: states.State,
    key: tables.AdmissionKey,
    step: admission.Step,
    now: float,
) -> list[messages.Action]:
    state.tables.admissions[key] = step.admission
    actions: list[messages.Action] = []
    for token, failure in step.refused:
        state.tables.queued_queries.pop(token)
        actions.append(messages.Reply(token, failure))
    for entry in step.started:
        actions.extend(_start_query(state, key, entry.token, now))
    start_at = admission.find_next_start(step.admission)
    if start_at is not None and start_at > now:
        states.set_timer(state, start_at, tables.StartTimer())
    return actions


def _start_query(
    state: states.State, key: tables.AdmissionKey, token: int, now: float
) -> list[messages.Action]:
    submitted = state.tables.queued_queries.pop(token)
    query = submitted.query
    request_class = states.find_class(state, query.class_name)
    if request_class is None:
        # A configuration change has removed the class meanwhile.
        failure = errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, query.class_name
        )
        state.tables.finished_queries.append(
            tables.FinishedQuery(key, query.class_name, 0.0, overloaded=False)
        )
        return [messages.Reply(token, failure)]
    state.tables.admitted_queries[token] = tables.AdmittedQuery(
        submitted, request_class, key, now
    )
    run = run_plans.plan_run(state, submitted, request_class, now)
    if request_class.repeat is not configurations.Repeat.AT_MOST_ONCE:
        return completions.start_run(state, run, now)
    timer = tables.ClaimTimer(token)
    states.set_timer(state, scatter.compute_answer_time(run), timer)
    return [messages.Claim(token, query.request_id, query.deadline)]
