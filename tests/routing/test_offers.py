"""Test that only one of several hosts tries a suspect request."""

import pytest

from fuchsiahaven.core import request_identities, suspects, trial_offers
from fuchsiahaven.routing import configs, deployments, events
from tests.routing import router_rig

SHARDS = ('a', 'b', 'c')
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 2, 0.8))
IDENTITY = request_identities.identify('shop.example', b'/search/1')
REPORT = suspects.News(IDENTITY, 0, 1, 0.0, (), ('b',))
#: Other hosts: first those with precedence over the rig's host for the request.
RANKED_HOSTS = sorted(
    (f'other-{number}' for number in range(20)),
    key=lambda it: trial_offers.wins_trial(IDENTITY, router_rig.HOST.name, it),
)
FIRST_HOST, LAST_HOST = RANKED_HOSTS[0], RANKED_HOSTS[-1]


def make_rig(*reports: suspects.News) -> router_rig.Rig:
    """Make a rig with two other hosts that has received these reports."""
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


def list_broadcast(rig: router_rig.Rig) -> list[suspects.News]:
    """List the reports broadcast to other hosts."""
    return [
        it.report
        for it in rig.other_actions
        if isinstance(it, events.SuspicionChanged) and it.broadcast
    ]


def test_announces_a_trial_before_it_begins() -> None:
    """Symptom: hosts that get a request at once crash a target each."""
    rig = make_rig(REPORT)
    rig.send_request()
    (announced,) = list_broadcast(rig)
    assert (announced.host, announced.crashes) == (router_rig.HOST.name, 1)
    # Hosts of the previous version would refuse a request with a wait.
    assert not announced.wait
    assert not rig.pop_sent()
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.pop_sent()
    assert trial.fresh_connection
    assert len(list_broadcast(rig)) == 1


@pytest.mark.parametrize('name', [FIRST_HOST, LAST_HOST])
def test_one_of_two_offering_hosts_proceeds(name: str) -> None:
    """Both hosts offer a trial at once, and each receives the other's offer."""
    rig = make_rig(REPORT)
    rig.send_request()
    rig.post(events.SuspectsReported((REPORT._replace(host=name),)))
    rig.advance_time(trial_offers.OFFER_WAIT_S)
    assert len(rig.pop_sent()) == (name == LAST_HOST)


def test_sends_all_parts_once_another_host_cleared_it() -> None:
    """The cleared request is neither tried again nor refused."""
    rig = make_rig(REPORT, REPORT._replace(host=LAST_HOST))
    rig.send_request()
    rig.advance_time(0.02)
    assert not rig.pop_sent()
    rig.post(events.SuspectsReported((suspects.News(IDENTITY, 1, 0, 0.0),)))
    rig.advance_time(0)
    assert len(rig.pop_sent()) == len(SHARDS)


def test_waits_a_bounded_time_for_another_host() -> None:
    """The host that offered the trial has died, or was cut off.

    The hosts that waited for it offer a trial again, so that they do not all
    start at once.
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
    """One host after the other offers a trial, and dies."""
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
    """Symptom: the hosts forward the offers of two hosts over and over.

    Each offer arrives from many hosts, in turns with the other one, before and
    after one of the two has precedence.
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
    """Its offer is forwarded back to it after its trial was refused."""
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
    """Guard against harmless requests that are late after a rack failure."""
    rig = make_rig()
    rig.send_request()
    lost, *others = rig.pop_sent()
    for send in others:
        rig.answer(send)
    rig.post(events.SuspectsReported((REPORT._replace(host=FIRST_HOST),)))
    rig.end_target(lost)
    # The lost parts of a query are gathered, as on a single host.
    rig.advance_time(0.005)
    (trial,) = rig.pop_sent()
    assert trial.fresh_connection
    assert not any(report.host for report in list_broadcast(rig))


def test_a_single_host_does_not_wait() -> None:
    """There is no other host to offer the trial to."""
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS, 3))
    rig.post(events.SuspectsReported((REPORT,)))
    rig.send_request()
    assert len(rig.pop_sent()) == 1


def test_bounds_announcements_of_first_trials() -> None:
    """A rack failure makes many harmless requests suspect at once."""
    rig = make_rig()
    count = 3 * suspects.REPORT_BURST
    for number in range(count):
        path = f'/search/{number}'
        identity = request_identities.identify('shop.example', path.encode())
        report = REPORT._replace(identity=identity)
        rig.post(events.SuspectsReported((report,)))
        rig.send_request(path)
    assert len(list_broadcast(rig)) == suspects.REPORT_BURST
    # Requests whose trial is not announced do not wait either.
    assert len(rig.pop_sent()) == count - suspects.REPORT_BURST
