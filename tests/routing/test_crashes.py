"""Test what is told of requests under way at targets that end."""

import pytest

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, events, places
from tests.routing import desk_rig

LOST = messages.Fault.CONNECTION_LOST
SINGLE = desk_rig.make_route(configs.Single('records'))


def make() -> tuple[desk_rig.Rig, events.Send]:
    """Make a host that has sent one request."""
    targets = desk_rig.make_instances(['records'], 3)
    rig = desk_rig.Rig([SINGLE], targets)
    rig.ask()
    (send,) = rig.take_sent()
    return rig, send


def list_crashes(rig: desk_rig.Rig) -> list[events.Crash]:
    """List what was told."""
    return [it for it in rig.others if isinstance(it, events.Crash)]


def test_tells_what_ran_at_a_target_that_ended() -> None:
    """Symptom: targets end, and no line says under which request."""
    rig, send = make()
    rig.now += 0.02
    rig.post(events.Broken(send.key, LOST))
    assert not list_crashes(rig)
    rig.post(events.Ended(send.instance.name))
    (crash,) = list_crashes(rig)
    assert crash.target == send.instance.name
    assert crash.request_id == send.request.request_id
    assert crash.digest == send.request.identity.digest
    assert (crash.purpose, crash.sending) == (events.Purpose.FIRST, 1)
    assert crash.took == pytest.approx(0.02)


def test_tells_of_a_loss_after_the_end_is_known() -> None:
    """Connections of a target that ended are lost one after the other."""
    rig, send = make()
    rig.now += 0.02
    rig.post(events.Ended(send.instance.name))
    rig.post(events.Broken(send.key, LOST))
    assert len(list_crashes(rig)) == 1


def test_tells_nothing_of_a_reset_connection() -> None:
    """A target that accepts the next connection has not ended."""
    rig, send = make()
    rig.post(events.Broken(send.key, LOST))
    rig.post(events.Reached(send.instance.name))
    rig.post(events.Ended(send.instance.name))
    assert not list_crashes(rig)


def test_tells_nothing_of_a_target_that_was_leaving() -> None:
    """A planned stop may cut what takes too long."""
    rig, send = make()
    rig.direct(desk_rig.make_instances(['records'], 3)[1:])
    rig.post(events.Broken(send.key, LOST))
    rig.post(events.Ended(send.instance.name))
    assert not list_crashes(rig)


def test_tells_of_a_target_that_started_again_under_its_id() -> None:
    """Its port is open again before anybody asks."""
    rig, send = make()
    rig.post(events.Broken(send.key, LOST))
    again = [
        one._replace(name=f'{one.name}@7', born=7)
        if one.name == send.instance.name
        else one
        for one in desk_rig.make_instances(['records'], 3)
    ]
    rig.direct(again)
    assert len(list_crashes(rig)) == 1


def test_forgets_what_it_was_never_told_of() -> None:
    """An end that is noticed much later has another cause."""
    rig, send = make()
    rig.post(events.Broken(send.key, LOST))
    rig.now += 6
    rig.post(events.Reviewed())
    rig.post(events.Ended(send.instance.name))
    assert not list_crashes(rig)


def test_a_helper_sends_what_waited_itself() -> None:
    """Guard against parts that hosts hand to each other in a circle.

    A host that knows something against a query is asked to gather its parts: it
    tries one, and sends the others once that has run.
    """
    shards = tuple(f'shard-{number:02}' for number in range(60))
    search = desk_rig.make_route(configs.Gather(shards, 2, 0.8))
    rig = desk_rig.Rig([search], desk_rig.make_instances(shards))
    other = places.Host('host-2', '10.0.0.2:7000', 'north')
    rig.post(events.Counted(2, (desk_rig.HOST, other)))
    identity = request_identities.identify('shop.example', b'/search/1')
    news = suspects.SuspectReport(identity, 0, 1, 0.0, (), (shards[7],))
    rig.post(events.Suspected((news,)))
    request = events.Request(
        'id-1',
        'GET',
        '/search/1',
        'shop.example',
        (),
        b'',
        rig.now,
        rig.now + 1,
        identity=identity,
    )
    assist = events.Assist(
        request, 'route', 0.1, 2, shards, rig.now + 0.5, counts=True
    )
    rig.post(events.Assisted(1, assist))
    (trial,) = rig.take_sent()
    assert trial.key.service == shards[7]
    assert trial.fresh
    rig.answer(trial)
    rig.pass_time(0.001)
    assert len(rig.take_sent()) == len(shards) - 1
    assert not any(isinstance(it, events.Delegate) for it in rig.others)


def test_a_part_that_was_taken_back_is_sent_after_the_trial() -> None:
    """Guard against a part that is lost because it waited for a connection.

    Its first target cannot be reached. The request becomes suspect at another
    shard while the part waits at its second target, the only one left.
    """
    search = desk_rig.make_route(configs.Gather(('a', 'b'), 2, 1.0))
    rig = desk_rig.Rig([search], desk_rig.make_instances(('a', 'b')))
    rig.ask()
    first, other = rig.take_sent()
    rig.fail_to_send(first)
    (second,) = rig.take_sent()
    rig.now += 0.02
    rig.end_target(other)
    assert events.Withdraw(second.key) in rig.others
    rig.fail_to_send(second, unreachable=False, withdrawn=True)
    rig.pass_time(0.01)
    assert not rig.replies
    (trial,) = rig.take_sent()
    rig.answer(trial)
    rig.pass_time(0.001)
    (last,) = rig.take_sent()
    rig.answer(last)
    assert isinstance(rig.take_outcome(), events.Merged)
    assert {trial.instance.name, last.instance.name} == {
        second.instance.name,
        *[
            it.name
            for it in desk_rig.make_instances(['b'])
            if it.name != other.instance.name
        ],
    }
