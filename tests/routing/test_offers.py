"""Test that of hosts that are asked for a suspect request one tries it."""

import pytest

from fuchsiahaven.core import request_identities, suspects, trial_offers
from fuchsiahaven.routing import configs, deployments, events
from tests.routing import router_rig

SHARDS = ('a', 'b', 'c')
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 2, 0.8))
IDENTITY = request_identities.identify('shop.example', b'/search/1')
REPORT = suspects.SuspectReport(IDENTITY, 0, 1, 0.0, (), ('b',))
#: Hosts that go before and after the rig's own, for this request.
RANKED_HOSTS = sorted(
    (f'other-{number}' for number in range(20)),
    key=lambda it: trial_offers.wins_trial(IDENTITY, router_rig.HOST.name, it),
)
FIRST_HOST, LAST_HOST = RANKED_HOSTS[0], RANKED_HOSTS[-1]


def make_rig(*reports: suspects.SuspectReport) -> router_rig.Rig:
    """Make a host among others that has heard of a moment, and more."""
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS, 3))
    others = [
        deployments.Host(name, '10.0.0.2:7000', 'north')
        for name in (FIRST_HOST, LAST_HOST)
    ]
    rig.post(events.HostsChanged(3, (router_rig.HOST, *others)))
    for report in reports:
        rig.post(events.SuspectsReported((report,)))
    rig.other_actions.clear()
    return rig


def list_broadcast(rig: router_rig.Rig) -> list[suspects.SuspectReport]:
    """List what other hosts are told."""
    return [
        it.report
        for it in rig.other_actions
        if isinstance(it, events.SuspicionChanged) and it.broadcast
    ]


def test_announces_a_trial_before_it_begins() -> None:
    """Symptom: hosts asked at one moment end a target each."""
    rig = make_rig(REPORT)
    rig.send_request()
    (announced,) = list_broadcast(rig)
    assert (announced.host, announced.crashes) == (router_rig.HOST.name, 1)
    # A host of the version before refuses what is to wait.
    assert not announced.wait_s
    assert not rig.pop_sent()
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.pop_sent()
    assert trial.fresh_connection
    assert len(list_broadcast(rig)) == 1


@pytest.mark.parametrize('name', [FIRST_HOST, LAST_HOST])
def test_one_of_two_offering_hosts_proceeds(name: str) -> None:
    """Both offer at once, and each hears of the other."""
    rig = make_rig(REPORT)
    rig.send_request()
    rig.post(events.SuspectsReported((REPORT._replace(host=name),)))
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    assert len(rig.pop_sent()) == (name == LAST_HOST)


def test_sends_all_parts_once_another_host_cleared_it() -> None:
    """Nothing is tried twice, and nothing innocent is refused."""
    rig = make_rig(REPORT, REPORT._replace(host=LAST_HOST))
    rig.send_request()
    rig.advance_time(0.02)
    assert not rig.pop_sent()
    rig.post(
        events.SuspectsReported((suspects.SuspectReport(IDENTITY, 1, 0, 0.0),))
    )
    rig.advance_time(0)
    assert len(rig.pop_sent()) == len(SHARDS)


def test_waits_a_bounded_time_for_another_host() -> None:
    """The host that offered to try it has died, or was cut off.

    Those that waited for it offer it again: they are not to go all at once.
    """
    rig = make_rig(REPORT, REPORT._replace(host=FIRST_HOST))
    rig.send_request()
    rig.advance_time(0.04)
    assert len(list_broadcast(rig)) == 1
    assert not rig.pop_sent()
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.pop_sent()
    rig.answer(trial)
    rig.advance_time(0)
    for send in rig.pop_sent():
        rig.answer(send)
    assert isinstance(rig.pop_outcome(), events.MergedAnswer)


def test_does_not_wait_past_the_objective() -> None:
    """One host after the other offers to try it, and dies."""
    rig = make_rig(REPORT)
    rig.send_request()
    for number in range(20):
        assert not rig.pop_sent()
        name = RANKED_HOSTS[number]
        rig.post(events.SuspectsReported((REPORT._replace(host=name),)))
        rig.advance_time(0.005)
    rig.advance_time(0.001)
    assert len(rig.pop_sent()) == 1


def test_forwards_each_offer_once() -> None:
    """Symptom: two hosts offer, and a fleet tells itself of it all over again.

    Each is heard from many hosts, in turns, before and after one is left to
    the other.
    """
    for own_name in (router_rig.HOST.name, FIRST_HOST):
        suspect_table = suspects.Suspects()
        suspect_table.merge_report(REPORT, 50.0, own_name)
        suspect_table.offer_trial(IDENTITY, 50.0)
        forwarded = 0
        for number in range(60):
            now = 50.001 + number / 1000
            report = REPORT._replace(
                host=(LAST_HOST, RANKED_HOSTS[1])[number % 2]
            )
            forwarded += suspect_table.is_new_report(report, now)
            suspect_table.merge_report(report, now, own_name)
        assert forwarded == 2


def test_does_not_wait_for_its_own_offer() -> None:
    """Its offer comes round to it once its trial has ended in a refusal."""
    rig = make_rig(REPORT)
    rig.send_request()
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.pop_sent()
    rig.router.suspects.end_trial(IDENTITY, trial.key)
    rig.post(
        events.SuspectsReported((REPORT._replace(host=router_rig.HOST.name),))
    )
    assert not rig.router.suspects.offers.compute_delay(IDENTITY, 0.4, rig.now)


def test_active_requests_do_not_wait_for_other_hosts() -> None:
    """Guard against innocent requests that are late where a rack died."""
    rig = make_rig()
    rig.send_request()
    lost, *others = rig.pop_sent()
    for send in others:
        rig.answer(send)
    rig.post(events.SuspectsReported((REPORT._replace(host=FIRST_HOST),)))
    rig.end_target(lost)
    # The losses of a query are gathered, as without other hosts.
    rig.advance_time(0.005)
    (trial,) = rig.pop_sent()
    assert trial.fresh_connection
    assert not any(report.host for report in list_broadcast(rig))


def test_a_single_host_does_not_wait() -> None:
    """There is nobody to hear of the trial."""
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS, 3))
    rig.post(events.SuspectsReported((REPORT,)))
    rig.send_request()
    assert len(rig.pop_sent()) == 1


def test_bounds_announcements_of_first_trials() -> None:
    """A rack that dies makes many innocent requests suspect at once."""
    rig = make_rig()
    count = 3 * suspects.REPORT_BURST
    for number in range(count):
        path = f'/search/{number}'
        identity = request_identities.identify('shop.example', path.encode())
        report = REPORT._replace(identity=identity)
        rig.post(events.SuspectsReported((report,)))
        rig.send_request(path)
    assert len(list_broadcast(rig)) == suspects.REPORT_BURST
    # What is not told of does not wait either.
    assert len(rig.pop_sent()) == count - suspects.REPORT_BURST
