"""Reply once to each admitted query, and record or release its claim."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import outcomes, records, states, tables
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'claims'
RETRY_AFTER_S: Final = 1.0
CLAIM_FAILURE_KINDS: Final = {
    messages.ClaimResult.HELD: errors.Kind.DUPLICATE_REQUEST,
    messages.ClaimResult.EXPIRED: errors.Kind.REQUEST_EXPIRED,
    messages.ClaimResult.UNAVAILABLE: errors.Kind.PLATFORM_UNAVAILABLE,
}


def reply(
    state: states.State,
    token: int,
    outcome: outcomes.Outcome,
    now: float,
    *,
    overloaded: bool = False,
    replayed: bool = False,
) -> list[messages.Action]:
    """Reply to an admitted query, unless it has been replied to before."""
    admitted = state.tables.admitted_queries.pop(token, None)
    if admitted is None:
        return []
    state.tables.finished_queries.append(
        tables.FinishedQuery(
            admitted.admission_key,
            admitted.request_class.name,
            now - admitted.started_at,
            overloaded,
        )
    )
    action = messages.Reply(token, outcome, replayed)
    claim_update = None if replayed else build_claim_update(admitted, outcome)
    return [action] if claim_update is None else [action, claim_update]


def build_claim_update(
    admitted: tables.AdmittedQuery, outcome: outcomes.Outcome
) -> messages.RecordOutcome | messages.ReleaseClaim | None:
    """Return the action that records the outcome of a claim or releases it.

    An unknown outcome is not recorded: the claim alone is kept, and a caller
    that repeats the request gets an unknown outcome.
    """
    if not admitted.claimed:
        return None
    request_id = admitted.submitted.query.request_id
    if isinstance(outcome, messages.Answer):
        customer = admitted.submitted.query.customer
        return messages.RecordOutcome(
            request_id, records.encode_answer(outcome, customer)
        )
    if outcome.ran is errors.Ran.NO:
        return messages.ReleaseClaim(request_id)
    return None


def reply_without_claim(
    state: states.State, event: messages.ClaimSettled, now: float
) -> list[messages.Action]:
    """Reply with the recorded answer, or with why the request was not run."""
    recorded = _find_recorded(state, event)
    if recorded is not None:
        return reply(state, event.token, recorded, now, replayed=True)
    kind = CLAIM_FAILURE_KINDS[event.result]
    if event.start_expired and kind is errors.Kind.DUPLICATE_REQUEST:
        kind = kind if event.completed else errors.Kind.OUTCOME_UNKNOWN
    ran = _find_ran(event)
    failure = errors.make_failure(
        kind,
        SOURCE,
        event.detail,
        retry_after=RETRY_AFTER_S
        if errors.KIND_PROPERTIES[kind].retryable
        else None,
        ran=ran,
    )
    return reply(state, event.token, failure, now)


def _find_recorded(
    state: states.State, event: messages.ClaimSettled
) -> messages.Answer | None:
    """Find the recorded answer; None if it is another customer's."""
    admitted = state.tables.admitted_queries.get(event.token)
    if event.outcome is None or admitted is None:
        return None
    return records.decode_answer(
        event.outcome, admitted.submitted.query.customer
    )


def _find_ran(event: messages.ClaimSettled) -> errors.Ran | None:
    """Return whether the request ran; None for the default of the kind."""
    if event.completed:
        return errors.Ran.YES
    if event.result is messages.ClaimResult.EXPIRED and event.start_expired:
        # Its claim may have expired. If the reply said that it did not run,
        # the caller would send it with a new id, although it may have run
        # under this one.
        return errors.Ran.UNKNOWN
    return None
