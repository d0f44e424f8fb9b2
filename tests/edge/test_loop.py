"""Test how the dispatch loop ends."""

import queue
import time

import pytest

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import states
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import loop

REFUND = configurations.RequestClass(
    'refund', 60_000, repeat=configurations.Repeat.AT_MOST_ONCE
)
GROUP = configurations.Group('desk', (), ())
CONFIGURATION = configurations.Configuration(
    1,
    (GROUP,),
    (configurations.Selector('refund', 'refund', ''),),
    (REFUND,),
)


def ask(dispatcher: loop.Loop) -> loop.ReplyQueue:
    reply_to: loop.ReplyQueue = queue.SimpleQueue()
    arrived = time.monotonic()
    query = messages.Query('id', 'refund', {}, None, arrived, arrived + 60)
    dispatcher.post(loop.Asked(query, reply_to))
    return reply_to


def test_failed_loop_leaves_no_caller_waiting() -> None:
    """Tell every caller at once when the loop has failed.

    Symptom: a host answers nothing, and its callers wait for minutes.
    Sequence: an error of the program ends the loop while queries wait.
    Cause: replies come from the loop alone.
    """

    def fail(action: loop.ClaimAction) -> None:
        raise ZeroDivisionError

    state = states.make_state('Odori', float)
    bounds = loop.Settings(answer_bytes=1000, probe_s=1, connect_s=1)
    dispatcher = loop.Loop(state, bounds, fail)
    dispatcher.post(messages.ConfigurationReceived(CONFIGURATION))
    waiting = ask(dispatcher)
    with pytest.raises(ZeroDivisionError):
        dispatcher.run()
    late = ask(dispatcher)
    for reply_to, ran in ((waiting, errors.Ran.UNKNOWN), (late, errors.Ran.NO)):
        failure = reply_to.get_nowait().outcome
        assert isinstance(failure, errors.Failure)
        assert failure.kind is errors.Kind.INTERNAL
        assert failure.ran is ran


def test_shows_what_is_quarantined() -> None:
    """Symptom: operators see refusals, and not of what."""
    state = states.make_state('Odori', float)
    identity = request_identities.identify('refund', b'one')
    news = suspects.News(
        identity, 0, suspects.MIN_QUARANTINE_CRASHES, 60.0, ('t1',)
    )
    state.tables.suspects.merge_report(news, time.monotonic(), 'host')
    bounds = loop.Settings(answer_bytes=1000, probe_s=1, connect_s=1)
    dispatcher = loop.Loop(state, bounds, lambda action: None)
    assert not dispatcher.sample.quarantined
    # It looks at itself in its first turn, and ends with that.
    dispatcher.post(loop.Closed())
    dispatcher.run()
    (held,) = dispatcher.sample.quarantined
    assert held.identity == identity
