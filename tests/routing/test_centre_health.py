"""Test how a host detects that a data centre is silent."""

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
    """Advance the time, with a review each tenth of a second."""
    for _ in range(round(seconds * 10)):
        rig.advance_time(0.1)
        rig.post(events.ReviewDue())


def test_excludes_a_data_centre_that_is_cut_off() -> None:
    """Guard against callers that wait over a second at a host that is cut off.

    The path to a data centre is lost without resets, so each target there would
    be detected by a time-out of its own. A third of a second of silence of all
    of them is enough to refuse at once and to report not ready.
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
    """A connection proves that the data centre can be reached."""
    rig = make_rig()
    rig.send_request()
    sent = rig.pop_sent()
    review(rig, 0.4)
    far = [it for it in sent if it.instance.data_centre == 'south']
    rig.post(events.TargetConnected(far[0].instance.name))
    rig.send_request()
    assert any(it.instance.data_centre == 'south' for it in rig.pop_sent())


def test_takes_many_broken_connections_as_a_cut() -> None:
    """A cut that resets connections is detected without any wait."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent():
        if send.instance.data_centre == 'south':
            # No other connection can be opened either.
            lost = messages.Fault.CONNECTION_LOST
            rig.post(events.AttemptBroken(send.key, lost))
    review(rig, 0.1)
    assert rig.router.centre_health.is_silent('south')


def test_does_not_take_one_silent_target_as_a_cut() -> None:
    """The other targets there answer."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent()[:-1]:
        rig.answer(send)
    review(rig, 1)
    assert not rig.router.centre_health.list_silent()


def test_does_not_judge_others_after_its_own_suspension() -> None:
    """Guard against a suspended host that refuses all requests on resuming.

    The answers that arrived meanwhile have not been read yet.
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
    """Guard against unanswered queries in a data centre that is cut off.

    Each of 21 hosts gets a query every two seconds and spends the hedges of its
    first few on unreachable targets. The hosts assigned to a chunk know it
    after the first query.
    """
    rig = make_wide_rig()
    rig.send_request()
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    report = events.DelegationReport(
        (), b'', (), (), is_last=False, silent_centres=('south',)
    )
    rig.post(events.DelegationReportReceived(delegates[0].key, report))
    assert rig.router.centre_health.is_silent('south')
    # Hints are not passed on, and expire unless they are repeated.
    assert not rig.router.centre_health.list_observed()
    review(rig, centre_health.HINT_LIFETIME_S + 0.2)
    assert not rig.router.centre_health.is_silent('south')


def test_ignores_hints_of_hosts_in_other_data_centres() -> None:
    """The north may reach what the south does not."""
    rig = router_rig.Rig(
        [SEARCH], router_rig.make_instances(SHARDS, 2, 'south')
    )
    far = deployments.Host('far', '10.0.8.1:7000', 'south')
    rig.post(events.HostsChanged(2, (router_rig.HOST, far)))
    rig.send_request()
    (delegate,) = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    report = events.DelegationReport(
        (), b'', (), (), is_last=False, silent_centres=('north', 'west')
    )
    rig.post(events.DelegationReportReceived(delegate.key, report))
    assert not rig.router.centre_health.list_silent()


def test_a_delegate_reports_silent_data_centres() -> None:
    """They are part of delegation reports, encoded and decoded."""
    rig = make_wide_rig()
    for name in ('a', 'b', 'c'):
        rig.router.centre_health.record_sent('south', name, rig.now)
    review(rig, 0.5)
    assert rig.router.centre_health.list_observed() == {'south'}
    request = events.Request('id', 'GET', '/', '', (), b'', rig.now, rig.now)
    delegated = events.DelegatedRequest(
        request, 'r', 0.1, 5, WIDE[:2], rig.now + 1
    )
    rig.other_actions = []
    rig.post(events.DelegatedRequestReceived(99, delegated))
    for send in rig.pop_sent():
        rig.answer(send)
    (action,) = [
        it
        for it in rig.other_actions
        if isinstance(it, events.SendDelegationReport)
    ]
    line = delegation_codecs.encode_report(action.report)
    assert delegation_codecs.decode_report(line).silent_centres == ('south',)


def measure_part_timeout(rig: router_rig.Rig) -> float:
    """Return how long the parts that were just delegated may take."""
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    rig.other_actions = []
    return delegates[0].delegated.deadline - rig.now


def test_waits_longer_for_a_paused_target_while_others_are_cut_off() -> None:
    """Guard against failed queries that the near targets could answer alone.

    A target pauses for 250 ms. Its part used to end shortly after the objective
    so that another target could be used, but none can be reached. If only one
    of two other data centres is cut off, there are targets in the other.
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
    """Have two hosts of the own data centre report silent data centres."""
    for host in NEAR_HOSTS:
        health.update_report(
            centre_health.SilenceReport(host, 'north', silent), now
        )


def silence_south(health: centre_health.CentreHealth) -> None:
    """Have a host itself detect by 5.5 s that the south is silent."""
    health.review(4.9)
    for name in ('a', 'b', 'c'):
        health.record_sent('south', name, 4.9)
    for tenth in range(50, 56):
        health.review(tenth / 10)


def test_applies_silence_reports_until_they_are_withdrawn() -> None:
    """Guard against starting queries that cannot become complete.

    Hosts with few requests do not notice by themselves that a data centre is
    silent.
    """
    health = centre_health.CentreHealth('north')
    health.review(5.0)
    report_silent(health, 5.0, 'south', 'west', 'north')
    assert health.list_silent() == {'south', 'west'}
    # It was not observed by this host, so it does not report it.
    assert not health.list_unreported(5.0)
    report_silent(health, 6.0, 'west')
    assert health.list_silent() == {'west'}
    for tenth in range(51, 95):
        health.review(tenth / 10)
    assert not health.list_silent()


def test_ignores_the_silence_report_of_a_single_host() -> None:
    """Guard against excluding the targets of a data centre that is up.

    One host has sent to three targets there, all of which were gone.
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
    """Hosts that are cut off exclude no data centre for the others."""
    health = centre_health.CentreHealth('north')
    health.review(5.0)
    health.record_contact('south')
    report_silent(health, 5.1, 'south')
    assert not health.is_silent('south')
    # The reports count once the last contact is old enough.
    for tenth in range(52, 62):
        health.review(tenth / 10)
    assert health.is_silent('south')
    health.record_contact('south')
    assert not health.is_silent('south')


def test_sends_no_silence_report_that_two_hosts_have_sent() -> None:
    """The reports of two hosts are enough for their data centre."""
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
    """Guard against hosts that stay unready for seconds after a cut.

    They get no requests, and open no connection that would show it.
    """
    health = centre_health.CentreHealth('north')
    silence_south(health)
    assert health.list_observed() == {'south'}
    report_silent(health, 5.6, 'south')
    health.update_report(
        centre_health.SilenceReport('host-2', 'north', ()), 5.7
    )
    assert not health.list_silent()
