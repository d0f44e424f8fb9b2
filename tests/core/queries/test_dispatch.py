"""Test one host's decisions from a query to its one answer."""

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
GONE = messages.RefusalReason.SNAPSHOT_GONE


def ids(outcome: messages.Answer | errors.Failure) -> set[object]:
    assert isinstance(outcome, messages.Answer)
    return {row['id'] for row in outcome.rows}


def fail(outcome: messages.Answer | errors.Failure) -> errors.Failure:
    assert isinstance(outcome, errors.Failure)
    return outcome


def test_answer_leaves_with_its_last_part() -> None:
    host = rig.Rig(PARTIAL)
    sends = host.ask()
    for send in sends[:-1]:
        host.answer(send, f'row-{send.part.shard}')
    assert not host.replies()
    host.answer(sends[-1], f'row-{sends[-1].part.shard}')
    (reply,) = host.replies()
    assert ids(reply.outcome) == {'row-0', 'row-1', 'row-2'}
    assert isinstance(reply.outcome, messages.Answer)
    assert reply.outcome.coverage.complete


def test_late_answer_does_not_enter_the_next_query() -> None:
    """Drop what arrives for a query that has been answered.

    Symptom: a caller sees rows of another caller's query.
    Sequence: the deadline passes, a partial answer leaves; the missing
    shard answers while the next query of the same class waits for it.
    Cause: answers are matched by shard alone.
    """
    host = rig.Rig(PARTIAL, shards=2)
    first = host.ask(token=1)
    host.answer(first[0], 'first-0')
    host.pass_time(1.0)
    second = host.ask(token=2)
    host.answer(first[1], 'stale-1')
    for send in second:
        host.answer(send, f'second-{send.part.shard}')
    one, two = host.replies()
    assert ids(one.outcome) == {'first-0'}
    assert ids(two.outcome) == {'second-0', 'second-1'}


def test_second_answer_to_a_part_is_dropped() -> None:
    """Count each shard once, although two replicas have answered.

    Symptom: listings appear twice in one answer.
    Sequence: a connection breaks, another replica answers; the first
    attempt's answer crosses and arrives as well.
    Cause: rows are appended as they come.
    """
    host = rig.Rig(PARTIAL, shards=2)
    sends = host.ask()
    again = rig.find_sends(host.lose(sends[0]))
    host.answer(again[0], 'once')
    host.answer(sends[0], 'twice')
    host.answer(again[0], 'thrice')
    host.answer(sends[1], 'other')
    (reply,) = host.replies()
    assert ids(reply.outcome) == {'once', 'other'}


def learn_latency(host: rig.Rig) -> None:
    """Let the host see that answers take 10 ms."""
    for token in range(100, 250):
        sends = host.ask(token)
        host.pass_time(0.01)
        for send in sends:
            host.answer(send)


def test_beaten_attempt_is_cancelled_and_its_answer_dropped() -> None:
    """Take the first answer of two attempts, and cancel the other.

    Symptom: rows appear twice, or a straggler's slots fill with work that
    nobody waits for.
    Sequence: a first try takes long, a hedge answers, the first answers too.
    Cause: an attempt is not ended with its part.
    """
    host = rig.Rig(PARTIAL, shards=2)
    learn_latency(host)
    sends = host.ask()
    hedges = rig.find_sends(host.pass_time(0.05))
    (hedge,) = (one for one in hedges if one.part.shard == 0)
    assert hedge.target.name != sends[0].target.name
    done = host.answer(hedge, 'hedged')
    assert messages.Cancel(sends[0].part, sends[0].target.name) in done
    assert not host.answer(sends[0], 'beaten')
    host.answer(sends[1], 'first')
    assert ids(host.replies()[-1].outcome) == {'hedged', 'first'}


def test_at_most_once_request_is_never_hedged() -> None:
    host = rig.Rig(REFUND)
    for token in range(100, 250):
        host.ask(token, key='pass-17')
        (send,) = grant(host, token)
        host.pass_time(0.01)
        host.answer(send)
    host.ask(key='pass-17')
    assert len(grant(host)) == 1
    assert not rig.find_sends(host.pass_time(0.5))


def test_lost_snapshot_restarts_without_mixing() -> None:
    """Restart the whole query on the newer snapshot.

    Symptom: one answer holds rows of two index versions.
    Sequence: shard 0 answers from snapshot 1; shard 1's replicas have
    dropped it for snapshot 2 and refuse.
    Cause: the refused shard alone is asked again on the newer snapshot.
    """
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.ask()
    host.answer(sends[0], 'old-0')
    host.hold(2, sequence=2)
    other = rig.find_sends(host.refuse(sends[1], GONE))
    newer = rig.find_sends(host.refuse(other[0], GONE))
    assert [send.request.snapshot for send in newer] == [2, 2]
    assert not host.answer(sends[0], 'old-0')
    for send in newer:
        host.answer(send, f'new-{send.part.shard}')
    (reply,) = host.replies()
    assert ids(reply.outcome) == {'new-0', 'new-1'}
    assert isinstance(reply.outcome, messages.Answer)
    assert reply.outcome.snapshots == {'web': 2}


def test_failure_after_a_restart_tells_what_ran_before_it() -> None:
    """Count what ran for the older snapshot as run.

    Symptom: a caller is told `not run`, and searchers have run its query.
    Sequence: shard 0 answers; shard 1's snapshot has gone, so the query
    starts again; every replica refuses the newer one.
    Cause: each run of a query is looked at for itself.
    """
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.ask()
    host.answer(sends[0], 'old-0')
    host.hold(2, sequence=2)
    other = rig.find_sends(host.refuse(sends[1], GONE))
    newer = rig.find_sends(host.refuse(other[0], GONE))
    while newer and not host.replies():
        leaving = messages.RefusalReason.LEAVING
        newer.extend(rig.find_sends(host.refuse(newer.pop(0), leaving)))
    (reply,) = host.replies()
    assert fail(reply.outcome).ran is errors.Ran.YES


def test_lost_snapshot_without_newer_is_told_at_once() -> None:
    host = rig.Rig(COMPLETE, shards=2)
    sends = host.ask()
    other = rig.find_sends(host.refuse(sends[1], GONE))
    host.refuse(other[0], GONE)
    (reply,) = host.replies()
    assert fail(reply.outcome).kind is errors.Kind.NO_SNAPSHOT


def test_complete_class_gets_an_error_and_no_short_list() -> None:
    """Fail a class that needs all at its first lost part, and at once.

    Symptom: a gate waits for its deadline, or sees a short holder list.
    Sequence: both replicas of a shard break; the others have answered.
    Cause: missing parts are only looked at when the deadline comes.
    """
    host = rig.Rig(COMPLETE, shards=3)
    sends = host.ask()
    host.answer(sends[0], 'row-0')
    again = rig.find_sends(host.lose(sends[1]))
    done = host.lose(again[0])
    (reply,) = host.replies()
    failure = fail(reply.outcome)
    assert failure.kind is errors.Kind.INCOMPLETE
    assert failure.ran is errors.Ran.YES
    assert failure.retry_after
    cancels = [one for one in done if isinstance(one, messages.Cancel)]
    assert [cancel.part for cancel in cancels] == [sends[2].part]


def test_partial_answer_names_what_is_missing() -> None:
    host = rig.Rig(PARTIAL, shards=3)
    sends = host.ask()
    host.answer(sends[0], 'row-0')
    again = rig.find_sends(host.lose(sends[1]))
    host.lose(again[0])
    assert not host.replies()
    host.pass_time(1.0)
    (reply,) = host.replies()
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


def grant(host: rig.Rig, token: int = 1) -> list[messages.Send]:
    """Grant a claim; return the sub-requests that follow."""
    settled = messages.ClaimSettled(
        token, messages.ClaimResult.GRANTED, not_after_epoch=5.0
    )
    return rig.find_sends(host.tell(settled))


def test_claim_goes_before_the_first_byte() -> None:
    host = rig.Rig(REFUND)
    assert not host.ask(key='pass-17')
    (send,) = grant(host)
    assert send.request.at_most_once
    assert send.request.not_after_epoch == 5.0
    done = host.answer(send, 'refunded')
    kinds = [type(action) for action in done]
    assert kinds == [messages.Reply, messages.Record]


def test_unknown_outcome_ends_an_at_most_once_request() -> None:
    """Never ask a second replica once the first may have run.

    Symptom: a refund lands twice.
    Sequence: the connection breaks after the request was sent.
    Cause: a broken attempt is retried like that of a search.
    """
    host = rig.Rig(REFUND)
    host.ask(key='pass-17')
    (send,) = grant(host)
    done = host.lose(send)
    (reply,) = host.replies()
    failure = fail(reply.outcome)
    assert failure.kind is errors.Kind.OUTCOME_UNKNOWN
    assert failure.ran is errors.Ran.UNKNOWN
    assert done == [reply]


def test_at_most_once_request_moves_on_after_a_refusal() -> None:
    host = rig.Rig(REFUND)
    host.ask(key='pass-17')
    (send,) = grant(host)
    done = host.refuse(send, messages.RefusalReason.LEAVING)
    (other,) = rig.find_sends(done)
    assert other.target.name != send.target.name
    done = host.refuse(other, messages.RefusalReason.LEAVING)
    (reply,) = host.replies()
    assert fail(reply.outcome).ran is errors.Ran.NO
    assert messages.Release('id-1') in done


def test_claim_that_comes_too_late_is_not_run() -> None:
    """Tell `not run` in time, and keep to it when the claim comes late.

    Symptom: a refund that was refused as not run lands all the same.
    Sequence: the platform is slow; the caller's deadline passes; then the
    claim is granted.
    Cause: the grant starts the query whoever still waits for it.
    """
    host = rig.Rig(REFUND)
    host.ask(key='pass-17')
    host.pass_time(1.0)
    (reply,) = host.replies()
    assert fail(reply.outcome).kind is errors.Kind.PLATFORM_UNAVAILABLE
    assert fail(reply.outcome).ran is errors.Ran.NO
    late = messages.ClaimSettled(
        1, messages.ClaimResult.GRANTED, request_id='id-1'
    )
    assert host.tell(late) == [messages.Release('id-1')]


@pytest.mark.parametrize(
    ('settled', 'kind', 'ran'),
    [
        (HELD, errors.Kind.DUPLICATE_REQUEST, errors.Ran.UNKNOWN),
        (
            HELD._replace(over=True),
            errors.Kind.OUTCOME_UNKNOWN,
            errors.Ran.UNKNOWN,
        ),
        (
            HELD._replace(over=True, done=True),
            errors.Kind.DUPLICATE_REQUEST,
            errors.Ran.YES,
        ),
        (EXPIRED, errors.Kind.REQUEST_EXPIRED, errors.Ran.NO),
        (
            EXPIRED._replace(over=True),
            errors.Kind.REQUEST_EXPIRED,
            errors.Ran.UNKNOWN,
        ),
    ],
)
def test_claim_that_ends_is_told_for_what_it_is(
    settled: messages.ClaimSettled, kind: errors.Kind, ran: errors.Ran
) -> None:
    """Never tell a claimed request as done or as not run on a guess.

    Symptom: a refund is given by hand a second time. Sequence: its first
    attempt ended without an answer; the caller asks again. Cause: a held
    claim, or one from long ago, is told as a plain refusal.
    """
    host = rig.Rig(REFUND)
    host.ask(key='pass-17')
    host.tell(settled)
    (reply,) = host.replies()
    assert fail(reply.outcome).kind is kind
    assert fail(reply.outcome).ran is ran


@pytest.mark.parametrize('fault', list(messages.Fault))
def test_broken_answer_is_asked_elsewhere(fault: messages.Fault) -> None:
    host = rig.Rig(PARTIAL, shards=1)
    (send,) = host.ask()
    (other,) = rig.find_sends(host.lose(send, fault))
    assert other.target.name != send.target.name
    host.answer(other, 'row')
    assert ids(host.replies()[0].outcome) == {'row'}


def test_lower_revision_changes_nothing() -> None:
    host = rig.Rig(PARTIAL)
    empty = configurations.Configuration(1)
    host.tell(messages.Configured(empty))
    host.tell(messages.Configured(empty._replace(revision=0)))
    assert host.ask()


def test_claims_that_wait_do_not_hold_up_searches() -> None:
    """Admit what needs a claim apart from what does not.

    Symptom: while the platform is slow, searches are refused too.
    Sequence: refunds wait for their claims until their deadline and take
    every place there is to run; lookups of the same group queue behind.
    Cause: one count of running queries for both.
    """
    host = rig.Rig(PARTIAL, others=(REFUND,))
    for token in range(100, 120):
        host.ask(token, key='pass-17', class_name=REFUND.name)
    assert host.ask(1)


def test_a_lost_target_is_left_out_until_it_has_answered() -> None:
    """Eject a target whose sub-requests break, one after another.

    Symptom: a share of all queries meets the lost replica and loses time.
    Sequence: three connections to one target break, and fail at once; the
    other replica is busy.
    Cause: with nothing in flight the lost target looks like the best choice.
    """
    host = rig.Rig(PARTIAL, shards=1)
    take_seats(host)
    sends = ask_many(host, range(1, 8))
    lost = sends[0].target.name
    for send in sends:
        if send.target.name == lost:
            (other,) = rig.find_sends(host.lose(send))
            host.answer(other)
        else:
            host.answer(send)
    host.pass_time(0.5)
    sends = ask_many(host, range(10, 18))
    assert lost not in {send.target.name for send in sends}
    host.pass_time(0.6)
    for send in sends:
        host.answer(send)
    sends = ask_many(host, range(20, 24))
    assert [send.target.name for send in sends].count(lost) == 1


def ask_many(host: rig.Rig, tokens: range) -> list[messages.Send]:
    """Ask queries that stay open; return their sub-requests."""
    return [send for token in tokens for send in host.ask(token)]


def test_a_hedge_that_is_slow_too_gets_one_more() -> None:
    """Hedge a part again where first try and hedge are both slow.

    Symptom: with 5 % of answers slow, one query in eight is slow though every
    slow part was hedged.
    Sequence: both replicas of a shard have been asked, neither has answered.
    Cause: a hedge went only to replicas that had not been asked.
    """
    host = rig.Rig(PARTIAL, shards=2)
    take_seats(host)
    learn_latency(host)
    sends = host.ask()
    attempts = [
        send.part.attempt
        for _ in range(4)
        for send in rig.find_sends(host.pass_time(0.05))
        if send.part.shard == 0
    ]
    assert attempts == [2, 3]
    done = host.answer(sends[0])
    cancels = [one for one in done if isinstance(one, messages.Cancel)]
    assert [cancel.part.attempt for cancel in cancels] == [2, 3]


def test_a_frozen_target_is_left_out() -> None:
    """Leave out a target that accepts everything and answers nothing.

    Symptom: refunds time out with unknown outcome, one in two, for hours.
    Sequence: one of two replicas freezes; nothing breaks; each request
    that it gets is given up at its deadline, which is not much longer than
    an answer takes.
    Cause: only broken connections counted as failures.
    """
    host = rig.Rig(REFUND, shards=1)
    take_seats(host)
    for token in range(100, 150):
        (send,) = ask_refunds(host, range(token, token + 1))
        host.pass_time(0.4)
        host.answer(send)
    sends = ask_refunds(host, range(1, 13))
    frozen = sends[0].target.name
    host.pass_time(0.4)
    for send in sends:
        if send.target.name != frozen:
            host.answer(send)
    host.pass_time(0.6)
    for send in sends:
        if send.target.name == frozen:
            host.lose(send)
    sends = ask_refunds(host, range(20, 28))
    assert sends
    assert frozen not in {send.target.name for send in sends}


def test_at_most_once_request_is_no_trial() -> None:
    """Let a request that may run twice find out whether a target is back.

    Symptom: each second one refund ends with unknown outcome.
    Sequence: a target was ejected, its time is over, it still fails.
    Cause: the trial that may end the ejection is a refund.
    """
    host = rig.Rig(REFUND, shards=1, others=(PARTIAL,))
    take_seats(host)
    (first,) = ask_refunds(host, range(1, 2))
    lost = first.target.name
    host.answer(first)
    for token in range(2, 20):
        for send in host.ask(token, class_name=PARTIAL.name):
            if send.target.name == lost:
                host.lose(send)
            else:
                host.pass_time(0.01)
                host.answer(send)
    host.pass_time(1.2)
    assert lost not in {
        send.target.name for send in ask_refunds(host, range(20, 23))
    }


def ask_refunds(host: rig.Rig, tokens: range) -> list[messages.Send]:
    """Ask requests that run at most once, each granted its claim."""
    sends: list[messages.Send] = []
    for token in tokens:
        host.ask(token, key='pass-17', class_name=REFUND.name)
        sends.extend(grant(host, token))
    return sends


def take_seats(host: rig.Rig) -> None:
    """Let the host use every seat at its targets."""
    host.tell(messages.MembersChanged(('host-0',), 'host-0'))
    host.pass_time(20.0)


def test_target_with_a_new_address_is_another_process() -> None:
    """Ask anew what a target holds once its name has another address.

    Symptom: requests go to an address that another process has now.
    Sequence: a target is replaced under its name; the configuration brings
    the new address.
    Cause: what is known of a target is kept by its name alone.
    """
    host = rig.Rig(PARTIAL, shards=1, replicas=1)
    (group,) = host.configuration.groups
    (before,) = group.targets
    after = before._replace(address='10.0.9.9:1')
    changed = host.configuration._replace(
        revision=2, groups=(group._replace(targets=(after,)),)
    )
    done = host.tell(messages.Configured(changed))
    assert messages.Allot(before, 0) in done
    assert not host.ask(token=1)
    assert messages.Probe(after) in host.pass_time(0.3)
    host.report(0, 0, 1)
    (send,) = host.ask(token=2)
    assert send.target == after


def test_a_shed_part_waits_for_the_budget() -> None:
    """Keep a part that was shed until a retry may leave, or the deadline.

    Symptom: in a burst answers miss shards that are free a moment later.
    Sequence: so many parts are shed that the budget is spent; the next one
    is shed; 20 ms later other queries have earned a token.
    Cause: a part without a token was given up at once.
    """
    host = rig.Rig(PARTIAL, shards=1)
    kind = tables.ClassGroup(PARTIAL.name, 'web')
    spent = budgets.Budget(0.05, 0.1, tokens=0.0)
    host._state.tables.budgets[kind] = spent
    (send,) = host.ask(1)
    assert not host.refuse(send, messages.RefusalReason.SHED)
    for token in range(200, 207):
        (other,) = host.ask(token)
        host.answer(other)
    (again,) = rig.find_sends(host.pass_time(0.05))
    assert again.part.query == send.part.query
    host.answer(again, 'late')
    assert ids(host.replies()[-1].outcome) == {'late'}


def test_a_query_that_ends_its_targets_reaches_few_more() -> None:
    """Guard against a query that ends, one after the other, whatever runs it.

    Asked twice, it ends three targets; at most three more get it.
    """
    host = rig.Rig(PARTIAL, shards=1, replicas=12)
    lost = 0
    for token in (1, 2, 3):
        sends = host.ask(token=token)
        while sends:
            lost += len(sends)
            sends = [
                again
                for send in sends
                for again in rig.find_sends(host.end_target(send))
            ]
    assert lost <= 6
