"""Give each admitted query its one reply, and keep what must be kept."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import outcomes, records, states, tables
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'claims'
RETRY_S: Final = 1.0
CLAIM_KINDS: Final = {
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
    strained: bool = False,
    replayed: bool = False,
) -> list[messages.Action]:
    """Reply to an admitted query; nothing where it has had its reply."""
    begun = state.tables.begun.pop(token, None)
    if begun is None:
        return []
    state.tables.finished.append(
        tables.Finished(
            begun.admitted_by, begun.policy.name, now - begun.began, strained
        )
    )
    answer = messages.Reply(token, outcome, replayed)
    kept = None if replayed else keep(begun, outcome)
    return [answer] if kept is None else [answer, kept]


def keep(
    begun: tables.Begun, outcome: outcomes.Outcome
) -> messages.Record | messages.Release | None:
    """Say what is to be kept of a claimed query.

    An unknown outcome is not recorded: the claim alone stands, and says to
    whoever asks again that the outcome is unknown.
    """
    if not begun.claimed:
        return None
    request_id = begun.submitted.query.request_id
    if isinstance(outcome, messages.Answer):
        customer = begun.submitted.query.customer
        return messages.Record(request_id, records.write(outcome, customer))
    if outcome.ran is errors.Ran.NO:
        return messages.Release(request_id)
    return None


def refuse_claim(
    state: states.State, event: messages.ClaimSettled, now: float
) -> list[messages.Action]:
    """Tell a caller why its request was not run, or what it had brought."""
    recorded = _find_recorded(state, event)
    if recorded is not None:
        return reply(state, event.token, recorded, now, replayed=True)
    kind = CLAIM_KINDS[event.result]
    if event.over and kind is errors.Kind.DUPLICATE_REQUEST:
        kind = kind if event.done else errors.Kind.OUTCOME_UNKNOWN
    ran = _say_ran(event)
    failure = errors.make_failure(
        kind,
        SOURCE,
        event.detail,
        retry_after=RETRY_S if errors.KIND_PROPERTIES[kind].retryable else None,
        ran=ran,
    )
    return reply(state, event.token, failure, now)


def _find_recorded(
    state: states.State, event: messages.ClaimSettled
) -> messages.Answer | None:
    """Find the recorded answer; nothing where it is another customer's."""
    begun = state.tables.begun.get(event.token)
    if event.outcome is None or begun is None:
        return None
    return records.read(event.outcome, begun.submitted.query.customer)


def _say_ran(event: messages.ClaimSettled) -> errors.Ran | None:
    """Say what the table of failures does not: None where it does."""
    if event.done:
        return errors.Ran.YES
    if event.result is messages.ClaimResult.EXPIRED and event.over:
        # Its claim may be gone by now. Told as not run, it would be sent with
        # a new id, although it may have run under this one.
        return errors.Ran.UNKNOWN
    return None
