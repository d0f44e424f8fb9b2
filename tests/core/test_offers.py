"""Test which of the hosts that are asked for a suspect request goes on."""

from hypothesis import given, strategies

from fuchsiahaven.core import identities, offers, rates

ONE = identities.identify('shop', b'one')
FEW = rates.Rate(1, 2)
PATIENCE_S = 0.4


def test_exactly_one_of_two_hosts_goes_first() -> None:
    """Symptom: both give way to each other, or neither does."""
    for number in range(50):
        identity = identities.identify('shop', b'%d' % number)
        north = offers.goes_first(identity, 'north', 'south')
        assert north is not offers.goes_first(identity, 'south', 'north')


@given(strategies.lists(strategies.floats(0, 0.2), max_size=20))
def test_no_host_is_waited_for_longer_than_stated(
    pauses: list[float],
) -> None:
    """What is heard later than it was said, or twice, bars nothing."""
    known = offers.Offers(FEW)
    now = 50.0
    for pause in pauses:
        now += pause
        if known.is_new(ONE, 'north', now):
            known.leave_to(ONE, 'north', now)
    wait = known.count_delay(ONE, PATIENCE_S, now)
    assert wait <= PATIENCE_S
    assert not known.count_delay(ONE, PATIENCE_S, now + wait + 0.001)


def test_offers_once_and_waits_for_others() -> None:
    """Its own offer stands until the trial begins."""
    known = offers.Offers(FEW)
    assert known.make(ONE, 50.0, first=True)
    assert not known.make(ONE, 50.001, first=True)
    assert known.count_delay(ONE, PATIENCE_S, 50.0) > 0
    assert not known.count_delay(ONE, PATIENCE_S, 50.0 + offers.OFFER_S)
    known.withdraw(ONE)
    assert not known.is_own(ONE, 50.1)


def test_holds_no_more_than_its_bound() -> None:
    """Hosts may tell of any number of requests."""
    known = offers.Offers(FEW)
    many = [
        identities.identify('shop', b'%d' % number)
        for number in range(2 * offers.MOST)
    ]
    for identity in many:
        known.leave_to(identity, 'north', 50.0)
    held = [it for it in many if known.count_delay(it, PATIENCE_S, 50.0)]
    assert len(held) == offers.MOST
    known.forget_old(50.0 + offers.VALID_S)
    assert not any(known.count_delay(it, 9.0, 50.0) for it in many)
