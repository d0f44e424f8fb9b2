"""Test how a host notices that a data centre has fallen silent."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    centre_health,
    configs,
    delegation_codecs,
    deployments,
    dispatch,
    events,
)
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 10, 0.85))


def make_rig() -> router_rig.Rig:
    """Make a host with four shards near and six in the south."""
    near = router_rig.make_instances(SHARDS[:4], 2)
    far = router_rig.make_instances(SHARDS[4:], 2, 'south')
    rig = router_rig.Rig([SEARCH], [*near, *far])
    review(rig, 0.1)
    return rig


def review(rig: router_rig.Rig, seconds: float) -> None:
    """Let time pass, with a review each tenth of a second."""
    for _ in range(round(seconds * 10)):
        rig.advance_time(0.1)
        rig.post(events.ReviewDue())


def test_excludes_a_data_centre_that_is_cut_off() -> None:
    """Symptom: for over a second callers wait at a host that cannot serve.

    The way to a data centre is lost and nothing is reset: each target there
    would be found out by a timeout of its own. A third of a second of silence
    of all of them is enough to refuse at once and to report not ready.
    """
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent():
        if send.instance.data_centre == 'north':
            rig.answer(send)
    review(rig, 0.4)
    assert dispatch.find_obstacle(rig.router, rig.now)
    rig.replies = []
    rig.pop_sent()
    rig.send_request()
    assert not rig.pop_sent()
    assert rig.replies


def test_uses_a_data_centre_again_after_the_first_contact() -> None:
    """A connection that can be had proves the way."""
    rig = make_rig()
    rig.send_request()
    sent = rig.pop_sent()
    review(rig, 0.4)
    far = [it for it in sent if it.instance.data_centre == 'south']
    rig.post(events.TargetConnected(far[0].instance.name))
    rig.send_request()
    assert any(it.instance.data_centre == 'south' for it in rig.pop_sent())


def test_takes_many_broken_connections_as_a_cut() -> None:
    """A cut that resets connections is seen without any wait."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent():
        if send.instance.data_centre == 'south':
            # No other connection can be had either.
            lost = messages.Fault.CONNECTION_LOST
            rig.post(events.AttemptBroken(send.key, lost))
    review(rig, 0.1)
    assert rig.router.centre_health.is_silent('south')


def test_does_not_take_one_silent_target_as_a_cut() -> None:
    """The others there answer."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent()[:-1]:
        rig.answer(send)
    review(rig, 1)
    assert not rig.router.centre_health.list_silent()


def test_does_not_judge_others_after_its_own_suspension() -> None:
    """Symptom: a host that was suspended refuses everybody when it wakes.

    The answers that came meanwhile have yet to be read.
    """
    health = centre_health.CentreHealth('north')
    health.review(0.0)
    for name in ('a', 'b', 'c', 'd'):
        health.record_sent('south', name, 0.05)
    assert not health.review(4.0)
    health.record_contact('south')
    assert not health.review(4.1)


HELPERS = [
    deployments.Host(f'host-{number}', f'10.0.9.{number}:7000', 'north')
    for number in range(2, 9)
]
WIDE = tuple(f'wide-{number:02}' for number in range(45))


def make_wide_rig() -> router_rig.Rig:
    """Make a host with a near and a far target of each of many shards."""
    route = router_rig.make_route(configs.Gather(WIDE, 5, 0.9))
    near = router_rig.make_instances(WIDE, 1)
    far = [
        instance._replace(name=f'{instance.name}-far', data_centre='south')
        for instance in near
    ]
    rig = router_rig.Rig([route], [*near, *far])
    rig.post(events.HostsChanged(8, (router_rig.HOST, *HELPERS)))
    review(rig, 0.1)
    return rig


def test_learns_of_a_silent_data_centre_from_a_delegate() -> None:
    """Symptom: inside a data centre that is cut off queries end unanswered.

    Each of 21 hosts takes a query each two seconds, and spends the second
    sendings of its first few on targets of which nothing can be heard. Those
    on duty know it after the first one.
    """
    rig = make_wide_rig()
    rig.send_request()
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    share = events.DelegationReport(
        (), b'', (), (), is_last=False, silent_centres=('south',)
    )
    rig.post(events.DelegationReportReceived(delegates[0].key, share))
    assert rig.router.centre_health.is_silent('south')
    # Nobody's word is passed on, and it is forgotten where nobody repeats it.
    assert not rig.router.centre_health.list_observed()
    review(rig, centre_health.HINT_LIFETIME_S + 0.2)
    assert not rig.router.centre_health.is_silent('south')


def test_ignores_hints_of_hosts_in_other_data_centres() -> None:
    """What the south does not reach the north may reach."""
    rig = router_rig.Rig(
        [SEARCH], router_rig.make_instances(SHARDS, 2, 'south')
    )
    far = deployments.Host('far', '10.0.8.1:7000', 'south')
    rig.post(events.HostsChanged(2, (router_rig.HOST, far)))
    rig.send_request()
    (delegate,) = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    share = events.DelegationReport(
        (), b'', (), (), is_last=False, silent_centres=('north', 'west')
    )
    rig.post(events.DelegationReportReceived(delegate.key, share))
    assert not rig.router.centre_health.list_silent()


def test_a_delegate_reports_silent_data_centres() -> None:
    """The word goes with the shares, and survives the way."""
    rig = make_wide_rig()
    for name in ('a', 'b', 'c'):
        rig.router.centre_health.record_sent('south', name, rig.now)
    review(rig, 0.5)
    assert rig.router.centre_health.list_observed() == {'south'}
    request = events.Request('id', 'GET', '/', '', (), b'', rig.now, rig.now)
    assist = events.DelegatedRequest(
        request, 'r', 0.1, 5, WIDE[:2], rig.now + 1
    )
    rig.other_actions = []
    rig.post(events.DelegatedRequestReceived(99, assist))
    for send in rig.pop_sent():
        rig.answer(send)
    (give,) = [
        it
        for it in rig.other_actions
        if isinstance(it, events.SendDelegationReport)
    ]
    line = delegation_codecs.encode_report(give.share)
    assert delegation_codecs.decode_report(line).silent_centres == ('south',)


def measure_part_timeout(rig: router_rig.Rig) -> float:
    """Find how long the parts that were just asked for may take."""
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    rig.other_actions = []
    return delegates[0].assist.deadline - rig.now


def test_waits_longer_for_a_paused_target_while_others_are_cut_off() -> None:
    """Symptom: queries fail that the near targets alone could answer.

    A target pauses for 250 ms. Its part was ended shortly after the objective
    so that another target could be asked, and none can be reached. Where one
    of two other data centres is cut off there are targets in the other.
    """
    rig = make_wide_rig()
    rig.send_request()
    measure_part_timeout(rig)
    west = deployments.Host('far', '10.0.8.1:7000', 'west')
    south = west._replace(name='farther', data_centre='south')
    rig.post(events.HostsChanged(9, (router_rig.HOST, *HELPERS, south, west)))
    rig.router.centre_health.update_hints(('south',), rig.now)
    rig.send_request()
    usual = measure_part_timeout(rig)
    rig.router.centre_health.update_hints(('south', 'west'), rig.now)
    rig.send_request()
    assert measure_part_timeout(rig) > 2 * usual


NEAR_HOSTS = ('host-2', 'host-3')


def report_silent(
    health: centre_health.CentreHealth, now: float, *silent: str
) -> None:
    """Have two hosts beside this one tell what they hear nothing of."""
    for host in NEAR_HOSTS:
        health.update_report(
            centre_health.SilenceReport(host, 'north', silent), now
        )


def silence_south(health: centre_health.CentreHealth) -> None:
    """Have a host notice by itself that the south is silent, at 5.5 s."""
    health.review(4.9)
    for name in ('a', 'b', 'c'):
        health.record_sent('south', name, 4.9)
    for tenth in range(50, 56):
        health.review(tenth / 10)


def test_applies_silence_reports_until_they_are_withdrawn() -> None:
    """Symptom: hosts that are asked little begin what cannot be whole."""
    health = centre_health.CentreHealth('north')
    health.review(5.0)
    report_silent(health, 5.0, 'south', 'west', 'north')
    assert health.list_silent() == {'south', 'west'}
    # It is not this host's own finding, and is not told on.
    assert not health.list_unreported(5.0)
    report_silent(health, 6.0, 'west')
    assert health.list_silent() == {'west'}
    for tenth in range(51, 95):
        health.review(tenth / 10)
    assert not health.list_silent()


def test_ignores_the_silence_report_of_a_single_host() -> None:
    """Symptom: the targets of a data centre that lives are left out.

    One host has asked three targets there, and all three were gone.
    """
    health = centre_health.CentreHealth('north')
    health.review(5.0)
    health.update_report(
        centre_health.SilenceReport('host-2', 'north', ('south',)), 5.0
    )
    assert not health.list_silent()
    health.update_report(
        centre_health.SilenceReport('host-3', 'north', ('west',)), 5.1
    )
    assert not health.list_silent()


def test_ignores_silence_reports_after_a_recent_contact() -> None:
    """Hosts whose own way is lost do not empty their data centre."""
    health = centre_health.CentreHealth('north')
    health.review(5.0)
    health.record_contact('south')
    report_silent(health, 5.1, 'south')
    assert not health.is_silent('south')
    # The word stands; it counts once nothing has been heard for long enough.
    for tenth in range(52, 62):
        health.review(tenth / 10)
    assert health.is_silent('south')
    health.record_contact('south')
    assert not health.is_silent('south')


def test_sends_no_silence_report_that_two_hosts_have_sent() -> None:
    """The word of two hosts is enough for all beside them."""
    health = centre_health.CentreHealth('north')
    silence_south(health)
    assert health.list_unreported(5.6) == {'south'}
    health.update_report(
        centre_health.SilenceReport('host-2', 'north', ('south',)), 5.6
    )
    assert health.list_unreported(5.6) == {'south'}
    report_silent(health, 5.6, 'south')
    assert not health.list_unreported(5.6)
    assert health.list_unreported(
        5.6 + centre_health.REPORT_LIFETIME_S / 2
    ) == {'south'}


def test_uses_a_data_centre_again_after_the_contact_of_a_near_host() -> None:
    """Symptom: some hosts stay unready for seconds after a cut.

    They are sent nothing, and open no connection by which they would notice.
    """
    health = centre_health.CentreHealth('north')
    silence_south(health)
    assert health.list_observed() == {'south'}
    report_silent(health, 5.6, 'south')
    health.update_report(
        centre_health.SilenceReport('host-2', 'north', ()), 5.7
    )
    assert not health.list_silent()
