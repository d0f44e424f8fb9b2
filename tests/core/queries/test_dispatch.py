"""Test the dispatch of one host from a query to its reply."""

import pytest

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import budgets, tables
from fuchsiahaven.core.targets import messages
from tests.core import rig

PARTIAL = configurations.RequestClass('price-check')
COMPLETE = PARTIAL._replace(
    name='gate-lookup', needs=configurations.Needs.COMPLETE
)
REFUND = COMPLETE._replace(
    name='refund',
    repeat=configurations.Repeat.AT_MOST_ONCE,
    fan_out=configurations.FanOut.KEYED,
)
SNAPSHOT_GONE = messages.RefusalReason.SNAPSHOT_GONE


def list_ids(outcome: messages.Answer | errors.Failure) -> set[object]:
    assert isinstance(outcome, messages.Answer)
    return {row['id'] for row in outcome.rows}


def get_failure(outcome: messages.Answer | errors.Failure) -> errors.Failure:
    assert isinstance(outcome, errors.Failure)
    return outcome


def test_a_query_is_answered_with_its_last_part() -> None:
    host = rig.Rig(PARTIAL)
    sends = host.submit()
    for send in sends[:-1]:
        host.answer(send, f'row-{send.part.shard}')
    assert not host.list_replies()
    host.answer(sends[-1], f'row-{sends[-1].part.shard}')
    (reply,) = host.list_replies()
    assert list_ids(reply.outcome) == {'row-0', 'row-1', 'row-2'}
    assert isinstance(reply.outcome, messages.Answer)
    assert reply.outcome.coverage.complete


def test_a_late_answer_is_not_used_for_the_next_query() -> None:
    """Answers to a query that has been replied to are dropped.

    Guards against rows of another caller's query: a partial answer is sent at
    the deadline, the missing shard answers during the next query of the same
    class, and answers are matched by shard alone.
    """
    host = rig.Rig(PARTIAL, shards=2)
    first = host.submit(token=1)
    host.answer(first[0], 'first-0')
    host.pass_time(1.0)
    second = host.submit(token=2)
    host.answer(first[1], 'stale-1')
    for send in second:
        host.answer(send, f'second-{send.part.shard}')
    first_reply, second_reply = host.list_replies()
    assert list_ids(first_reply.outcome) == {'first-0'}
    assert list_ids(second_reply.outcome) == {'second-0', 'second-1'}


def test_second_answer_to_a_part_is_dropped() -> None:
    """Each shard is used once even if two replicas answer.

    Guards against duplicate rows: a connection breaks, another replica answers,
    and the answer of the first attempt arrives as well.
    """
    host = rig.Rig(PARTIAL, shards=2)
    sends = host.submit()
    retry = rig.list_sends(host.fail(sends[0]))
    host.answer(retry[0], 'once')
    host.answer(sends[0], 'twice')
    host.answer(retry[0], 'thrice')
    host.answer(sends[1], 'other')
    (reply,) = host.list_replies()
    assert list_ids(reply.outcome) == {'once', 'other'}


def record_latencies(host: rig.Rig) -> None:
    """Let the host measure latencies of 10 ms."""
    for token in range(100, 250):
        sends = host.submit(token)
        host.pass_time(0.01)
        for send in sends:
            host.answer(send)


def test_a_slower_attempt_is_cancelled_and_its_answer_dropped() -> None:
    """The first answer of two attempts is used, and the other is cancelled.

    Guards against duplicate rows, and against slots of a slow target that are
    taken by abandoned sub-requests: the first attempt is slow, a hedge answers,
    and the first attempt is left running and answers too.
    """
    host = rig.Rig(PARTIAL, shards=2)
    record_latencies(host)
    sends = host.submit()
    hedges = rig.list_sends(host.pass_time(0.05))
    (hedge,) = (it for it in hedges if it.part.shard == 0)
    assert hedge.target.name != sends[0].target.name
    actions = host.answer(hedge, 'hedged')
    assert messages.Cancel(sends[0].part, sends[0].target.name) in actions
    assert not host.answer(sends[0], 'slower')
    host.answer(sends[1], 'first')
    assert list_ids(host.list_replies()[-1].outcome) == {'hedged', 'first'}


def test_at_most_once_request_is_never_hedged() -> None:
    host = rig.Rig(REFUND)
    for token in range(100, 250):
        host.submit(token, key='pass-17')
        (send,) = grant_claim(host, token)
        host.pass_time(0.01)
        host.answer(send)
    host.submit(key='pass-17')
    assert len(grant_claim(host)) == 1
    assert not rig.list_sends(host.pass_time(0.5))


def test_a_lost_snapshot_restarts_the_whole_query() -> None:
    """The whole query is restarted on the newer snapshot.

    Guards against rows of two index versions in one answer: shard 0 answers
    from snapshot 1, the replicas of shard 1 have replaced it by snapshot 2 and
    refuse, and only the refused shard is retried on snapshot 2.
    """
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.submit()
    host.answer(sends[0], 'old-0')
    host.report_all(2, sequence=2)
    other = rig.list_sends(host.refuse(sends[1], SNAPSHOT_GONE))
    newer = rig.list_sends(host.refuse(other[0], SNAPSHOT_GONE))
    assert [send.request.snapshot for send in newer] == [2, 2]
    assert not host.answer(sends[0], 'old-0')
    for send in newer:
        host.answer(send, f'new-{send.part.shard}')
    (reply,) = host.list_replies()
    assert list_ids(reply.outcome) == {'new-0', 'new-1'}
    assert isinstance(reply.outcome, messages.Answer)
    assert reply.outcome.snapshots == {'web': 2}


def test_a_failure_after_a_restart_reports_the_earlier_run() -> None:
    """Parts that ran on the older snapshot count as run.

    Guards against a `not run` failure for a query that searchers have run:
    shard 0 answers, the snapshot of shard 1 is gone, the query is restarted,
    every replica refuses the newer snapshot, and only the last run is checked.
    """
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.submit()
    host.answer(sends[0], 'old-0')
    host.report_all(2, sequence=2)
    other = rig.list_sends(host.refuse(sends[1], SNAPSHOT_GONE))
    newer = rig.list_sends(host.refuse(other[0], SNAPSHOT_GONE))
    while newer and not host.list_replies():
        leaving = messages.RefusalReason.LEAVING
        newer.extend(rig.list_sends(host.refuse(newer.pop(0), leaving)))
    (reply,) = host.list_replies()
    assert get_failure(reply.outcome).ran is errors.Ran.YES


def test_a_lost_snapshot_without_a_newer_one_fails_at_once() -> None:
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.submit()
    other = rig.list_sends(host.refuse(sends[1], SNAPSHOT_GONE))
    host.refuse(other[0], SNAPSHOT_GONE)
    (reply,) = host.list_replies()
    assert get_failure(reply.outcome).kind is errors.Kind.NO_SNAPSHOT


def test_a_complete_class_gets_an_error_and_no_partial_answer() -> None:
    """A query that needs all parts fails at its first missing part.

    Guards against callers that wait for their deadline or get an incomplete
    answer: both replicas of a shard fail, and missing parts are checked only
    at the deadline.
    """
    host = rig.Rig(COMPLETE, shards=3)
    sends = host.submit()
    host.answer(sends[0], 'row-0')
    retry = rig.list_sends(host.fail(sends[1]))
    actions = host.fail(retry[0])
    (reply,) = host.list_replies()
    failure = get_failure(reply.outcome)
    assert failure.kind is errors.Kind.INCOMPLETE
    assert failure.ran is errors.Ran.YES
    assert failure.retry_after
    cancels = [it for it in actions if isinstance(it, messages.Cancel)]
    assert [cancel.part for cancel in cancels] == [sends[2].part]


def test_a_partial_answer_lists_the_missing_parts() -> None:
    host = rig.Rig(PARTIAL, shards=3)
    sends = host.submit()
    host.answer(sends[0], 'row-0')
    retry = rig.list_sends(host.fail(sends[1]))
    host.fail(retry[0])
    assert not host.list_replies()
    host.pass_time(1.0)
    (reply,) = host.list_replies()
    assert isinstance(reply.outcome, messages.Answer)
    reasons = {
        part.shard: part.reason for part in reply.outcome.coverage.missing
    }
    assert reasons == {
        1: coverage.Reason.UNREACHABLE,
        2: coverage.Reason.TIMED_OUT,
    }


HELD = messages.ClaimSettled(1, messages.ClaimResult.HELD)
EXPIRED = HELD._replace(result=messages.ClaimResult.EXPIRED)


def grant_claim(host: rig.Rig, token: int = 1) -> list[messages.Send]:
    """Grant a claim; return the sub-requests that follow."""
    settled = messages.ClaimSettled(
        token, messages.ClaimResult.GRANTED, not_after_epoch=5.0
    )
    return rig.list_sends(host.handle(settled))


def test_the_claim_precedes_the_first_sub_request() -> None:
    host = rig.Rig(REFUND)
    assert not host.submit(key='pass-17')
    (send,) = grant_claim(host)
    assert send.request.at_most_once
    assert send.request.not_after_epoch == 5.0
    actions = host.answer(send, 'refunded')
    kinds = [type(action) for action in actions]
    assert kinds == [messages.Reply, messages.RecordOutcome]


def test_unknown_outcome_ends_an_at_most_once_request() -> None:
    """An at-most-once request is not retried if it may have run.

    Guards against a refund that is made twice: the connection breaks after the
    request was sent, and the attempt is retried like that of a search.
    """
    host = rig.Rig(REFUND)
    host.submit(key='pass-17')
    (send,) = grant_claim(host)
    actions = host.fail(send)
    (reply,) = host.list_replies()
    failure = get_failure(reply.outcome)
    assert failure.kind is errors.Kind.OUTCOME_UNKNOWN
    assert failure.ran is errors.Ran.UNKNOWN
    assert actions == [reply]


def test_an_at_most_once_request_is_retried_after_a_refusal() -> None:
    host = rig.Rig(REFUND)
    host.submit(key='pass-17')
    (send,) = grant_claim(host)
    actions = host.refuse(send, messages.RefusalReason.LEAVING)
    (other,) = rig.list_sends(actions)
    assert other.target.name != send.target.name
    actions = host.refuse(other, messages.RefusalReason.LEAVING)
    (reply,) = host.list_replies()
    assert get_failure(reply.outcome).ran is errors.Ran.NO
    assert messages.ReleaseClaim('id-1') in actions


def test_a_claim_granted_too_late_is_not_run() -> None:
    """A query whose claim is granted after its deadline is not run.

    Guards against a refund that is made after its caller got `not run`: the
    platform is slow, the deadline passes, then the claim is granted and starts
    the query although it has been replied to.
    """
    host = rig.Rig(REFUND)
    host.submit(key='pass-17')
    host.pass_time(1.0)
    (reply,) = host.list_replies()
    assert get_failure(reply.outcome).kind is errors.Kind.PLATFORM_UNAVAILABLE
    assert get_failure(reply.outcome).ran is errors.Ran.NO
    late = messages.ClaimSettled(
        1, messages.ClaimResult.GRANTED, request_id='id-1'
    )
    assert host.handle(late) == [messages.ReleaseClaim('id-1')]


@pytest.mark.parametrize(
    ('settled', 'kind', 'ran'),
    [
        (HELD, errors.Kind.DUPLICATE_REQUEST, errors.Ran.UNKNOWN),
        (
            HELD._replace(start_expired=True),
            errors.Kind.OUTCOME_UNKNOWN,
            errors.Ran.UNKNOWN,
        ),
        (
            HELD._replace(start_expired=True, completed=True),
            errors.Kind.DUPLICATE_REQUEST,
            errors.Ran.YES,
        ),
        (EXPIRED, errors.Kind.REQUEST_EXPIRED, errors.Ran.NO),
        (
            EXPIRED._replace(start_expired=True),
            errors.Kind.REQUEST_EXPIRED,
            errors.Ran.UNKNOWN,
        ),
    ],
)
def test_a_settled_claim_is_reported_with_its_true_outcome(
    settled: messages.ClaimSettled, kind: errors.Kind, ran: errors.Ran
) -> None:
    """A claimed request is reported as run or not run only if that is certain.

    Guards against a refund that is made a second time by hand: its first
    attempt ended without an answer, the caller repeats the request, and a held
    or expired claim is reported as not run.
    """
    host = rig.Rig(REFUND)
    host.submit(key='pass-17')
    host.handle(settled)
    (reply,) = host.list_replies()
    assert get_failure(reply.outcome).kind is kind
    assert get_failure(reply.outcome).ran is ran


@pytest.mark.parametrize('fault', list(messages.Fault))
def test_a_failed_part_is_retried_on_another_target(
    fault: messages.Fault,
) -> None:
    host = rig.Rig(PARTIAL, shards=1)
    (send,) = host.submit()
    (other,) = rig.list_sends(host.fail(send, fault))
    assert other.target.name != send.target.name
    host.answer(other, 'row')
    assert list_ids(host.list_replies()[0].outcome) == {'row'}


def test_lower_revision_changes_nothing() -> None:
    host = rig.Rig(PARTIAL)
    empty = configurations.Configuration(1)
    host.handle(messages.ConfigurationReceived(empty))
    host.handle(messages.ConfigurationReceived(empty._replace(revision=0)))
    assert host.submit()


def test_pending_claims_do_not_delay_searches() -> None:
    """Queries that need a claim have an admission of their own.

    Guards against searches that are refused while the platform is slow:
    refunds wait for their claims until their deadline and fill the window that
    they share with lookups of the same group.
    """
    host = rig.Rig(PARTIAL, other_classes=(REFUND,))
    for token in range(100, 120):
        host.submit(token, key='pass-17', class_name=REFUND.name)
    assert host.submit(1)


def test_a_failing_target_is_ejected_until_it_answers() -> None:
    """A target whose sub-requests keep failing is ejected.

    Guards against queries that lose time on a failing replica: three
    connections to it break at once, the other replica is busy, and the failing
    one is preferred because it has nothing in flight.
    """
    host = rig.Rig(PARTIAL, shards=1)
    allocate_all_connections(host)
    sends = submit_many(host, range(1, 8))
    failing = sends[0].target.name
    for send in sends:
        if send.target.name == failing:
            (other,) = rig.list_sends(host.fail(send))
            host.answer(other)
        else:
            host.answer(send)
    host.pass_time(0.5)
    sends = submit_many(host, range(10, 18))
    assert failing not in {send.target.name for send in sends}
    host.pass_time(0.6)
    for send in sends:
        host.answer(send)
    sends = submit_many(host, range(20, 24))
    assert [send.target.name for send in sends].count(failing) == 1


def submit_many(host: rig.Rig, tokens: range) -> list[messages.Send]:
    """Submit queries and leave them open; return their sub-requests."""
    return [send for token in tokens for send in host.submit(token)]


def test_a_slow_hedge_is_hedged_once_more() -> None:
    """A part is hedged again if its first attempt and its hedge are slow.

    Guards against one slow query in eight with 5 % slow answers although every
    slow part is hedged: both replicas of a shard have an attempt in flight, and
    hedges are sent only to replicas that were not tried.
    """
    host = rig.Rig(PARTIAL, shards=2)
    allocate_all_connections(host)
    record_latencies(host)
    sends = host.submit()
    attempts = [
        send.part.attempt
        for _ in range(4)
        for send in rig.list_sends(host.pass_time(0.05))
        if send.part.shard == 0
    ]
    assert attempts == [2, 3]
    actions = host.answer(sends[0])
    cancels = [it for it in actions if isinstance(it, messages.Cancel)]
    assert [cancel.part.attempt for cancel in cancels] == [2, 3]


def test_a_frozen_target_is_ejected() -> None:
    """A target that accepts every request and answers none is ejected.

    Guards against half of all refunds ending with unknown outcome for hours:
    one of two replicas freezes, no connection breaks, and each of its requests
    ends at its deadline, which is not much longer than an answer takes. Only
    broken connections count as failures.
    """
    host = rig.Rig(REFUND, shards=1)
    allocate_all_connections(host)
    for token in range(100, 150):
        (send,) = submit_refunds(host, range(token, token + 1))
        host.pass_time(0.4)
        host.answer(send)
    sends = submit_refunds(host, range(1, 13))
    frozen = sends[0].target.name
    host.pass_time(0.4)
    for send in sends:
        if send.target.name != frozen:
            host.answer(send)
    host.pass_time(0.6)
    for send in sends:
        if send.target.name == frozen:
            host.fail(send)
    sends = submit_refunds(host, range(20, 28))
    assert sends
    assert frozen not in {send.target.name for send in sends}


def test_an_at_most_once_request_is_not_used_as_a_trial() -> None:
    """Only a request that may run twice is sent as the trial of a target.

    Guards against one refund per second that ends with unknown outcome: the
    ejection time of a target is over, it still fails, and the trial is a
    refund.
    """
    host = rig.Rig(REFUND, shards=1, other_classes=(PARTIAL,))
    allocate_all_connections(host)
    (first,) = submit_refunds(host, range(1, 2))
    failing = first.target.name
    host.answer(first)
    for token in range(2, 20):
        for send in host.submit(token, class_name=PARTIAL.name):
            if send.target.name == failing:
                host.fail(send)
            else:
                host.pass_time(0.01)
                host.answer(send)
    host.pass_time(1.2)
    assert failing not in {
        send.target.name for send in submit_refunds(host, range(20, 23))
    }


def submit_refunds(host: rig.Rig, tokens: range) -> list[messages.Send]:
    """Submit at-most-once requests and grant their claims."""
    sends: list[messages.Send] = []
    for token in tokens:
        host.submit(token, key='pass-17', class_name=REFUND.name)
        sends.extend(grant_claim(host, token))
    return sends


def allocate_all_connections(host: rig.Rig) -> None:
    """Let the host use every connection of its targets."""
    host.handle(messages.MembersChanged(('host-0',), 'host-0'))
    host.pass_time(20.0)


def test_a_target_with_a_new_address_is_another_process() -> None:
    """A target is probed again after its address changed.

    Guards against requests to an address that another process uses now: a
    target is replaced under its name, the configuration has the new address,
    and the state of the target is kept by name alone.
    """
    host = rig.Rig(PARTIAL, shards=1, replicas=1)
    (group,) = host.configuration.groups
    (before,) = group.targets
    after = before._replace(address='10.0.9.9:1')
    changed = host.configuration._replace(
        revision=2, groups=(group._replace(targets=(after,)),)
    )
    actions = host.handle(messages.ConfigurationReceived(changed))
    assert messages.LimitConnections(before, 0) in actions
    assert not host.submit(token=1)
    assert messages.Probe(after) in host.pass_time(0.3)
    host.report(0, 0, 1)
    (send,) = host.submit(token=2)
    assert send.target == after


def test_a_shed_part_is_retried_once_the_budget_allows() -> None:
    """A shed part is retried as soon as the budget allows, until its deadline.

    Guards against missing shards in a burst: sheds use up the budget, the next
    part is shed and marked as missing at once, although 20 ms later other
    queries have added a token.
    """
    host = rig.Rig(PARTIAL, shards=1)
    class_group = tables.ClassGroup(PARTIAL.name, 'web')
    spent = budgets.Budget(0.05, 0.1, tokens=0.0)
    host._state.tables.budgets[class_group] = spent
    (send,) = host.submit(1)
    assert not host.refuse(send, messages.RefusalReason.SHED)
    for token in range(200, 207):
        (other,) = host.submit(token)
        host.answer(other)
    (retry,) = rig.list_sends(host.pass_time(0.05))
    assert retry.part.run_number == send.part.run_number
    host.answer(retry, 'late')
    assert list_ids(host.list_replies()[-1].outcome) == {'late'}


def test_a_query_that_crashes_targets_reaches_few_of_them() -> None:
    """Guard against a query that crashes every target that runs it.

    Submitted twice, it crashes three targets; at most three more get it.
    """
    host = rig.Rig(PARTIAL, shards=1, replicas=12)
    crashed = 0
    for token in (1, 2, 3):
        sends = host.submit(token=token)
        while sends:
            crashed += len(sends)
            sends = [
                retry
                for send in sends
                for retry in rig.list_sends(host.crash_target(send))
            ]
    assert crashed <= 6
