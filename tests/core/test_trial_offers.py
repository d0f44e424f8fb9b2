"""Test which host runs the trial of a suspect request."""

from hypothesis import given, strategies

from fuchsiahaven.core import rates, request_identities, trial_offers

ONE = request_identities.identify('shop', b'one')
LOW_RATE = rates.Rate(1, 2)
MAX_WAIT_S = 0.4


def test_exactly_one_of_two_hosts_wins() -> None:
    """Guard against two hosts that both defer, or both run the trial."""
    for number in range(50):
        identity = request_identities.identify('shop', b'%d' % number)
        north = trial_offers.wins_trial(identity, 'north', 'south')
        assert north is not trial_offers.wins_trial(identity, 'south', 'north')


@given(strategies.lists(strategies.floats(0, 0.2), max_size=20))
def test_no_host_is_waited_for_beyond_the_limit(
    pauses: list[float],
) -> None:
    """Late or repeated notices do not extend the wait."""
    table = trial_offers.Offers(LOW_RATE)
    now = 50.0
    for pause in pauses:
        now += pause
        if table.is_new(ONE, 'north', now):
            table.defer_to(ONE, 'north', now)
    wait = table.compute_delay(ONE, MAX_WAIT_S, now)
    assert wait <= MAX_WAIT_S
    assert not table.compute_delay(ONE, MAX_WAIT_S, now + wait + 0.001)


def test_offers_once_and_waits_for_others() -> None:
    """The host's own offer stays valid until its trial starts."""
    table = trial_offers.Offers(LOW_RATE)
    assert table.make_offer(ONE, 50.0, first_crash=True)
    assert not table.make_offer(ONE, 50.001, first_crash=True)
    assert table.compute_delay(ONE, MAX_WAIT_S, 50.0) > 0
    assert not table.compute_delay(
        ONE, MAX_WAIT_S, 50.0 + trial_offers.OFFER_WAIT_S
    )
    table.withdraw_own_offer(ONE)
    assert not table.has_own_offer(ONE, 50.1)


def test_holds_no_more_than_its_bound() -> None:
    """Other hosts may announce any number of requests."""
    table = trial_offers.Offers(LOW_RATE)
    fingerprints = [
        request_identities.identify('shop', b'%d' % number)
        for number in range(2 * trial_offers.MAX_OFFERS)
    ]
    for identity in fingerprints:
        table.defer_to(identity, 'north', 50.0)
    kept = [
        it for it in fingerprints if table.compute_delay(it, MAX_WAIT_S, 50.0)
    ]
    assert len(kept) == trial_offers.MAX_OFFERS
    table.expire_offers(50.0 + trial_offers.OFFER_VALIDITY_S)
    assert not any(table.compute_delay(it, 9.0, 50.0) for it in fingerprints)
