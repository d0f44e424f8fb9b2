"""Test the crash reports on requests running at targets that exit."""

import pytest

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, deployments, events
from tests.routing import router_rig

CONNECTION_LOST = messages.Fault.CONNECTION_LOST
SINGLE = router_rig.make_route(configs.Single('records'))


def make_rig() -> tuple[router_rig.Rig, events.SendAttempt]:
    """Make a rig that has sent one request."""
    targets = router_rig.make_instances(['records'], 3)
    rig = router_rig.Rig([SINGLE], targets)
    rig.send_request()
    (send,) = rig.pop_sent()
    return rig, send


def list_crashes(rig: router_rig.Rig) -> list[events.CrashReport]:
    """List the crash reports."""
    return [
        it for it in rig.other_actions if isinstance(it, events.CrashReport)
    ]


def test_reports_requests_running_at_an_exited_target() -> None:
    """Symptom: targets crash, and no log line names the request."""
    rig, send = make_rig()
    rig.now += 0.02
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    assert not list_crashes(rig)
    rig.post(events.TargetExited(send.instance.name))
    (crash,) = list_crashes(rig)
    assert crash.target == send.instance.name
    assert crash.request_id == send.request.request_id
    assert crash.digest == send.request.identity.digest
    assert (crash.purpose, crash.sending) == (events.Purpose.FIRST, 1)
    assert crash.took == pytest.approx(0.02)


def test_reports_a_loss_after_the_exit_is_known() -> None:
    """The connections of an exited target are lost one after the other."""
    rig, send = make_rig()
    rig.now += 0.02
    rig.post(events.TargetExited(send.instance.name))
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    assert len(list_crashes(rig)) == 1


def test_does_not_report_a_reset_connection() -> None:
    """A target that accepts the next connection has not exited."""
    rig, send = make_rig()
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    rig.post(events.TargetConnected(send.instance.name))
    rig.post(events.TargetExited(send.instance.name))
    assert not list_crashes(rig)


def test_does_not_report_a_leaving_target() -> None:
    """A planned stop may cut off requests that take too long."""
    rig, send = make_rig()
    rig.replace_targets(router_rig.make_instances(['records'], 3)[1:])
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    rig.post(events.TargetExited(send.instance.name))
    assert not list_crashes(rig)


def test_reports_a_target_restarted_under_its_id() -> None:
    """Its port is open again before it can be checked."""
    rig, send = make_rig()
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    restarted = [
        instance._replace(name=f'{instance.name}@7', born=7)
        if instance.name == send.instance.name
        else instance
        for instance in router_rig.make_instances(['records'], 3)
    ]
    rig.replace_targets(restarted)
    assert len(list_crashes(rig)) == 1


def test_expires_losses_without_an_exit() -> None:
    """An exit detected much later has another cause."""
    rig, send = make_rig()
    rig.post(events.AttemptBroken(send.key, CONNECTION_LOST))
    rig.now += 6
    rig.post(events.ReviewDue())
    rig.post(events.TargetExited(send.instance.name))
    assert not list_crashes(rig)


def test_a_helper_does_not_delegate_waiting_parts() -> None:
    """Guard against parts that hosts delegate to each other in a circle.

    A host for which a query is suspect is asked to gather its parts: it tries
    one, and sends the others itself once that one has run.
    """
    shards = tuple(f'shard-{number:02}' for number in range(60))
    search = router_rig.make_route(configs.Gather(shards, 2, 0.8))
    rig = router_rig.Rig([search], router_rig.make_instances(shards))
    other = deployments.Host('host-2', '10.0.0.2:7000', 'north')
    rig.post(events.HostsChanged(2, (router_rig.HOST, other)))
    identity = request_identities.identify('shop.example', b'/search/1')
    report = suspects.News(identity, 0, 1, 0.0, (), (shards[7],))
    rig.post(events.SuspectsReported((report,)))
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
    delegated = events.DelegatedRequest(
        request, 'route', 0.1, 2, shards, rig.now + 0.5, counts_load=True
    )
    rig.post(events.DelegatedRequestReceived(1, delegated))
    (trial,) = rig.pop_sent()
    assert trial.key.service == shards[7]
    assert trial.fresh_connection
    rig.answer(trial)
    rig.advance_time(0.001)
    assert len(rig.pop_sent()) == len(shards) - 1
    assert not any(isinstance(it, events.Delegate) for it in rig.other_actions)


def test_sends_a_withdrawn_part_after_the_trial() -> None:
    """Guard against a part that is lost because it waited for a connection.

    Its first target cannot be reached. The request becomes suspect at another
    shard while the part waits for a connection to its second target, the only
    one left, and the attempt is withdrawn.
    """
    search = router_rig.make_route(configs.Gather(('a', 'b'), 2, 1.0))
    rig = router_rig.Rig([search], router_rig.make_instances(('a', 'b')))
    rig.send_request()
    first, other = rig.pop_sent()
    rig.fail_to_send(first)
    (second,) = rig.pop_sent()
    rig.now += 0.02
    rig.end_target(other)
    assert events.WithdrawAttempt(second.key) in rig.other_actions
    rig.fail_to_send(second, unreachable=False, withdrawn=True)
    rig.advance_time(0.01)
    assert not rig.replies
    (trial,) = rig.pop_sent()
    rig.answer(trial)
    rig.advance_time(0.001)
    (last,) = rig.pop_sent()
    rig.answer(last)
    assert isinstance(rig.pop_outcome(), events.MergedAnswer)
    assert {trial.instance.name, last.instance.name} == {
        second.instance.name,
        *[
            it.name
            for it in router_rig.make_instances(['b'])
            if it.name != other.instance.name
        ],
    }
