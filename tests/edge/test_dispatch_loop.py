"""Test the end and the status of the dispatch loop."""

import queue
import time

import pytest

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import states
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import dispatch_loop

REFUND = configurations.RequestClass(
    'refund', 60_000, repeat=configurations.Repeat.AT_MOST_ONCE
)
GROUP = configurations.Group('catalogo', (), ())
CONFIGURATION = configurations.Configuration(
    1,
    (GROUP,),
    (configurations.Selector('refund', 'refund', ''),),
    (REFUND,),
)


def submit_query(
    dispatcher: dispatch_loop.DispatchLoop,
) -> dispatch_loop.ReplyQueue:
    reply_to: dispatch_loop.ReplyQueue = queue.SimpleQueue()
    arrived = time.monotonic()
    query = messages.Query('id', 'refund', {}, None, arrived, arrived + 60)
    dispatcher.post(dispatch_loop.QueryReceived(query, reply_to))
    return reply_to


def test_failed_loop_replies_to_every_caller() -> None:
    """Reply to every caller at once when the loop has failed.

    Guards against callers that wait for minutes: an unexpected error ends
    the loop, which alone sends replies, while queries are pending.
    """

    def fail(action: dispatch_loop.ClaimAction) -> None:
        raise ZeroDivisionError

    state = states.make_state('Odori', float)
    settings = dispatch_loop.Settings(
        max_answer_bytes=1000, probe_timeout_s=1, connect_timeout_s=1
    )
    dispatcher = dispatch_loop.DispatchLoop(state, settings, fail)
    dispatcher.post(messages.ConfigurationReceived(CONFIGURATION))
    before_failure = submit_query(dispatcher)
    with pytest.raises(ZeroDivisionError):
        dispatcher.run()
    after_failure = submit_query(dispatcher)
    for reply_to, ran in (
        (before_failure, errors.Ran.UNKNOWN),
        (after_failure, errors.Ran.NO),
    ):
        failure = reply_to.get_nowait().outcome
        assert isinstance(failure, errors.Failure)
        assert failure.kind is errors.Kind.INTERNAL
        assert failure.ran is ran


def test_reports_quarantined_queries() -> None:
    """Guard against refusals whose query operators cannot see."""
    state = states.make_state('Odori', float)
    identity = request_identities.identify('refund', b'one')
    report = suspects.News(
        identity, 0, suspects.MIN_QUARANTINE_CRASHES, 60.0, ('t1',)
    )
    state.tables.suspects.merge_report(report, time.monotonic(), 'host')
    settings = dispatch_loop.Settings(
        max_answer_bytes=1000, probe_timeout_s=1, connect_timeout_s=1
    )
    dispatcher = dispatch_loop.DispatchLoop(
        state, settings, lambda action: None
    )
    assert not dispatcher.status.quarantined
    # The loop updates its status in its first iteration, then stops.
    dispatcher.post(dispatch_loop.StopRequested())
    dispatcher.run()
    (quarantined,) = dispatcher.status.quarantined
    assert quarantined.identity == identity
