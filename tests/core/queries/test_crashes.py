"""Test that queries under which targets end are held back."""

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import crashes
from fuchsiahaven.core.targets import messages
from tests.core import rig

PARTIAL = configurations.RequestClass('price-check')


def ask_twice(host: rig.Rig) -> list[messages.Send]:
    """Ask a query under which its first target and the next one end."""
    (first,) = host.ask(token=1)
    (second,) = rig.find_sends(host.end_target(first))
    host.end_target(second)
    return host.ask(token=2)


def test_refuses_a_query_that_ended_target_after_target() -> None:
    """Guard against callers' repeats that end the targets that are left."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    assert not ask_twice(host)
    outcome = host.replies()[-1].outcome
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.QUARANTINED
    assert outcome.ran is errors.Ran.NO
    assert outcome.retry_after


def test_serves_another_query_meanwhile() -> None:
    """Guard against callers who pay for what somebody else asks."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    ask_twice(host)
    query = messages.Query(
        'id-3', PARTIAL.name, {'text': 'fryer'}, None, host.now, host.now + 1
    )
    assert rig.find_sends(host.tell(messages.Submitted(3, query)))


def test_a_reset_connection_speaks_against_no_query() -> None:
    """Guard against quarantines for targets that live on."""
    host = rig.Rig(PARTIAL, shards=1, replicas=6)
    for token in range(6):
        (send,) = host.ask(token=token)
        (again,) = rig.find_sends(host.lose(send))
        host.answer(again, 'row')
    assert all(isinstance(it.outcome, messages.Answer) for it in host.replies())


def test_tries_one_part_at_a_time_and_goes_on_after_it_ran() -> None:
    """Guard against a rack that dies under a query many callers ask."""
    host = rig.Rig(PARTIAL, shards=3)
    sends = host.ask()
    host.answer(sends[0], 'row-0')
    trials = rig.find_sends(host.end_target(sends[1]))
    assert len(trials) == 1
    assert not rig.find_sends(host.end_target(sends[2]))
    done = host.answer(trials[0], 'row-1')
    assert not host.replies()
    (last,) = rig.find_sends([*done, *host.pass_time(0.1)])
    host.answer(last, 'row-2')
    outcome = host.replies()[-1].outcome
    assert isinstance(outcome, messages.Answer)
    assert outcome.coverage.complete
    host.check_idle()


def test_goes_on_where_nobody_tells_whether_the_target_ended() -> None:
    """Guard against parts that wait for word that never comes."""
    host = rig.Rig(PARTIAL, shards=1)
    (send,) = host.ask()
    lost = messages.Fault.CONNECTION_LOST
    broken = messages.Broken(send.part, send.target.name, lost)
    assert not rig.find_sends(host.tell(broken))
    (again,) = rig.find_sends(host.pass_time(crashes.LOOK_S + 0.001))
    host.answer(again, 'row')
    host.check_idle()
