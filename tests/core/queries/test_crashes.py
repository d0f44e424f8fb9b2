"""Test that queries that crash targets are held back."""

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import crashes
from fuchsiahaven.core.targets import messages
from tests.core import rig

PARTIAL = configurations.RequestClass('price-check')


def submit_twice(host: rig.Rig) -> list[messages.Send]:
    """Submit a query that crashes two targets, then submit it again."""
    (first,) = host.submit(token=1)
    (second,) = rig.list_sends(host.crash_target(first))
    host.crash_target(second)
    return host.submit(token=2)


def test_refuses_a_query_that_crashed_several_targets() -> None:
    """Guard against callers that crash the remaining targets by retrying."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    assert not submit_twice(host)
    outcome = host.list_replies()[-1].outcome
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.QUARANTINED
    assert outcome.ran is errors.Ran.NO
    assert outcome.retry_after


def test_serves_other_queries_during_a_quarantine() -> None:
    """Guard against a quarantine that affects queries with other content."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    submit_twice(host)
    query = messages.Query(
        'id-3', PARTIAL.name, {'text': 'fryer'}, None, host.now, host.now + 1
    )
    assert rig.list_sends(host.handle(messages.QuerySubmitted(3, query)))


def test_a_reset_connection_is_not_counted_as_a_crash() -> None:
    """Guard against a quarantine where no target has exited."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    for token in range(6):
        (send,) = host.submit(token=token)
        (retry,) = rig.list_sends(host.fail(send))
        host.answer(retry, 'row')
    assert all(
        isinstance(it.outcome, messages.Answer) for it in host.list_replies()
    )


def test_sends_one_trial_part_and_the_rest_after_its_answer() -> None:
    """Guard against holding back a query that only seems to crash targets.

    If a rack fails, this is so for the queries that many callers send.
    """
    host = rig.Rig(PARTIAL, shards=3)
    sends = host.submit()
    host.answer(sends[0], 'row-0')
    trials = rig.list_sends(host.crash_target(sends[1]))
    assert len(trials) == 1
    assert not rig.list_sends(host.crash_target(sends[2]))
    actions = host.answer(trials[0], 'row-1')
    assert not host.list_replies()
    (last,) = rig.list_sends([*actions, *host.pass_time(0.1)])
    host.answer(last, 'row-2')
    outcome = host.list_replies()[-1].outcome
    assert isinstance(outcome, messages.Answer)
    assert outcome.coverage.complete
    host.check_idle()


def test_retries_when_the_target_check_times_out() -> None:
    """Guard against parts that wait for a target check that never ends."""
    host = rig.Rig(PARTIAL, shards=1)
    (send,) = host.submit()
    lost = messages.Fault.CONNECTION_LOST
    broken = messages.PartFailed(send.part, send.target.name, lost)
    assert not rig.list_sends(host.handle(broken))
    (retry,) = rig.list_sends(
        host.pass_time(crashes.TARGET_CHECK_TIMEOUT_S + 0.001)
    )
    host.answer(retry, 'row')
    host.check_idle()
