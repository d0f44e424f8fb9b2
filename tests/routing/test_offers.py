"""Test that of hosts that are asked for a suspect request one tries it."""

import pytest

from fuchsiahaven.core import request_identities, suspects, trial_offers
from fuchsiahaven.routing import configs, events, places
from tests.routing import desk_rig

SHARDS = ('a', 'b', 'c')
SEARCH = desk_rig.make_route(configs.Gather(SHARDS, 2, 0.8))
ONE = request_identities.identify('shop.example', b'/search/1')
MOMENT = suspects.SuspectReport(ONE, 0, 1, 0.0, (), ('b',))
#: Hosts that go before and after the rig's own, for this request.
RANKED = sorted(
    (f'other-{number}' for number in range(20)),
    key=lambda it: trial_offers.wins_trial(ONE, desk_rig.HOST.name, it),
)
FIRST, LAST = RANKED[0], RANKED[-1]


def make(*news: suspects.SuspectReport) -> desk_rig.Rig:
    """Make a host among others that has heard of a moment, and more."""
    rig = desk_rig.Rig([SEARCH], desk_rig.make_instances(SHARDS, 3))
    others = [
        places.Host(name, '10.0.0.2:7000', 'north') for name in (FIRST, LAST)
    ]
    rig.post(events.Counted(3, (desk_rig.HOST, *others)))
    for one in news:
        rig.post(events.Suspected((one,)))
    rig.others.clear()
    return rig


def list_told(rig: desk_rig.Rig) -> list[suspects.SuspectReport]:
    """List what other hosts are told."""
    return [
        it.news
        for it in rig.others
        if isinstance(it, events.Suspicion) and it.passed_on
    ]


def test_tells_of_a_trial_before_it_begins() -> None:
    """Symptom: hosts asked at one moment end a target each."""
    rig = make(MOMENT)
    rig.ask()
    (told,) = list_told(rig)
    assert (told.host, told.crashes) == (desk_rig.HOST.name, 1)
    # A host of the version before refuses what is to wait.
    assert not told.wait_s
    assert not rig.take_sent()
    rig.pass_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.take_sent()
    assert trial.fresh
    assert len(list_told(rig)) == 1


@pytest.mark.parametrize('name', [FIRST, LAST])
def test_one_of_two_hosts_goes_on(name: str) -> None:
    """Both offer at once, and each hears of the other."""
    rig = make(MOMENT)
    rig.ask()
    rig.post(events.Suspected((MOMENT._replace(host=name),)))
    rig.pass_time(trial_offers.OFFER_WAIT_S)
    assert len(rig.take_sent()) == (name == LAST)


def test_goes_on_with_all_parts_once_another_host_cleared_it() -> None:
    """Nothing is tried twice, and nothing innocent is refused."""
    rig = make(MOMENT, MOMENT._replace(host=LAST))
    rig.ask()
    rig.pass_time(0.02)
    assert not rig.take_sent()
    rig.post(events.Suspected((suspects.SuspectReport(ONE, 1, 0, 0.0),)))
    rig.pass_time(0)
    assert len(rig.take_sent()) == len(SHARDS)


def test_does_not_wait_for_ever_for_another_host() -> None:
    """The host that offered to try it has died, or was cut off.

    Those that waited for it offer it again: they are not to go all at once.
    """
    rig = make(MOMENT, MOMENT._replace(host=FIRST))
    rig.ask()
    rig.pass_time(0.04)
    assert len(list_told(rig)) == 1
    assert not rig.take_sent()
    rig.pass_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.take_sent()
    rig.answer(trial)
    rig.pass_time(0)
    for send in rig.take_sent():
        rig.answer(send)
    assert isinstance(rig.take_outcome(), events.Merged)


def test_waits_for_no_host_once_it_is_late() -> None:
    """One host after the other offers to try it, and dies."""
    rig = make(MOMENT)
    rig.ask()
    for number in range(20):
        assert not rig.take_sent()
        name = RANKED[number]
        rig.post(events.Suspected((MOMENT._replace(host=name),)))
        rig.pass_time(0.005)
    rig.pass_time(0.001)
    assert len(rig.take_sent()) == 1


def test_hands_each_offer_on_once() -> None:
    """Symptom: two hosts offer, and a fleet tells itself of it all over again.

    Each is heard from many hosts, in turns, before and after one is left to
    the other.
    """
    for own in (desk_rig.HOST.name, FIRST):
        known = suspects.Suspects()
        known.merge_report(MOMENT, 50.0, own)
        known.offer_trial(ONE, 50.0)
        handed_on = 0
        for number in range(60):
            now = 50.001 + number / 1000
            news = MOMENT._replace(host=(LAST, RANKED[1])[number % 2])
            handed_on += known.is_new_report(news, now)
            known.merge_report(news, now, own)
        assert handed_on == 2


def test_does_not_wait_for_itself() -> None:
    """Its offer comes round to it once its trial has ended in a refusal."""
    rig = make(MOMENT)
    rig.ask()
    rig.pass_time(trial_offers.OFFER_WAIT_S)
    (trial,) = rig.take_sent()
    rig.desk.suspects.end_trial(ONE, trial.key)
    rig.post(events.Suspected((MOMENT._replace(host=desk_rig.HOST.name),)))
    assert not rig.desk.suspects.offers.compute_delay(ONE, 0.4, rig.now)


def test_what_was_under_way_waits_for_no_host() -> None:
    """Guard against innocent requests that are late where a rack died."""
    rig = make()
    rig.ask()
    lost, *others = rig.take_sent()
    for send in others:
        rig.answer(send)
    rig.post(events.Suspected((MOMENT._replace(host=FIRST),)))
    rig.end_target(lost)
    # The losses of a query are gathered, as without other hosts.
    rig.pass_time(0.005)
    (trial,) = rig.take_sent()
    assert trial.fresh
    assert not any(news.host for news in list_told(rig))


def test_a_fleet_of_one_waits_for_nobody() -> None:
    """There is nobody to hear of the trial."""
    rig = desk_rig.Rig([SEARCH], desk_rig.make_instances(SHARDS, 3))
    rig.post(events.Suspected((MOMENT,)))
    rig.ask()
    assert len(rig.take_sent()) == 1


def test_tells_of_few_first_trials() -> None:
    """A rack that dies makes many innocent requests suspect at once."""
    rig = make()
    count = 3 * suspects.REPORT_BURST
    for number in range(count):
        path = f'/search/{number}'
        identity = request_identities.identify('shop.example', path.encode())
        news = MOMENT._replace(identity=identity)
        rig.post(events.Suspected((news,)))
        rig.ask(path)
    assert len(list_told(rig)) == suspects.REPORT_BURST
    # What is not told of does not wait either.
    assert len(rig.take_sent()) == count - suspects.REPORT_BURST
