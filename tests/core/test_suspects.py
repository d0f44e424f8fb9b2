"""Test what speaks against a request, and what clears it."""

from hypothesis import given, strategies

from fuchsiahaven.core import identities, suspects

ONE = identities.identify('shop', b'one')
SENDING = 'sending'


def crash(
    sent: float, lost: float, target: str = 'a-0', sending: str = SENDING
) -> suspects.Crash:
    """Make the end of a target under a sending."""
    return suspects.Crash('a', target, sending, sent, lost)


def suspect(moments: int) -> suspects.Suspects:
    """Make a table in which so many moments speak against ONE, 10 s apart."""
    known = suspects.Suspects()
    for number in range(moments):
        sent = 10.0 * number
        assert known.note_crash(ONE, crash(sent, sent + 1), sent + 1)
    return known


def test_counts_all_targets_of_one_moment_once() -> None:
    """Symptom: a rack dies, and what many ask for is refused for minutes."""
    known = suspects.Suspects()
    assert known.note_crash(ONE, crash(1.0, 2.0), 2.0)
    for number in range(20):
        late = crash(1.5, 2.0 + number / 100, f'a-{number}')
        assert not known.note_crash(ONE, late, 3.0)
    # What arrives where a target has ended is lost at once.
    assert not known.note_crash(ONE, crash(2.001, 2.003), 3.0)
    assert known.find_gate(ONE, 3.0) is suspects.Gate.TRIAL


def test_quarantines_after_three_moments_and_longer_each_time() -> None:
    """Each failed trial costs a target."""
    known = suspect(2)
    assert known.find_gate(ONE, 11.5) is suspects.Gate.CLOSED
    assert known.find_gate(ONE, 12.1) is suspects.Gate.TRIAL
    known = suspect(3)
    assert known.count_wait(ONE, 21.0) == suspects.QUARANTINE_S
    known = suspect(4)
    assert known.count_wait(ONE, 31.0) == 2 * suspects.QUARANTINE_S
    assert suspect(30).count_wait(ONE, 291.0) == suspects.LONGEST_S


def test_allows_one_trial_at_a_time_and_not_for_ever() -> None:
    """A trial at a target that is paused is not waited for."""
    known = suspect(1)
    known.begin_trial(ONE, SENDING, 5.0)
    assert known.find_gate(ONE, 5.5) is suspects.Gate.HELD
    assert known.find_gate(ONE, 6.1) is suspects.Gate.TRIAL
    assert known.end_trial(ONE, SENDING)
    assert known.find_gate(ONE, 5.5) is suspects.Gate.TRIAL


def test_counts_a_trial_over_an_open_connection_however_short() -> None:
    """A request may end its target as soon as it arrives."""
    known = suspect(1)
    known.begin_trial(ONE, SENDING, 1.0)
    assert known.note_crash(ONE, crash(1.0, 1.001), 1.002)


def test_success_clears_where_targets_ended() -> None:
    """What ends the targets of one shard may well run at those of others."""
    known = suspect(2)
    assert not known.note_success(ONE, 'other', 'another')
    assert known.note_success(ONE, 'a', 'another')
    assert known.find_gate(ONE, 11.1) is suspects.Gate.OPEN
    # Older news does not raise the suspicion again.
    old = suspects.News(ONE, 0, 2, 1.0)
    assert not known.merge(old, 11.2, 'host')
    assert known.note_crash(ONE, crash(12, 13), 13.0)


def test_trials_of_two_hosts_do_not_give_way_to_each_other() -> None:
    """Symptom: hosts asked at one moment never try, and refuse for ever."""
    gave_way = 0
    for own, other in (('north', 'south'), ('south', 'north')):
        known = suspect(2)
        known.begin_trial(ONE, SENDING, 12.5)
        news = suspects.News(ONE, 0, 2, suspects.TRIAL_S, host=other)
        gave_way += known.merge(news, 12.6, own)
    assert gave_way == 1


def test_one_customer_pushes_out_nobody_else() -> None:
    """One that sends many such requests loses its own oldest ones."""
    known = suspects.Suspects()
    known.note_crash(ONE, crash(1, 2), 2.0)
    for number in range(3 * suspects.MOST):
        identity = identities.identify('loud', b'%d' % number)
        known.note_crash(identity, crash(number, number + 1), number + 1.0)
    kept = [news.identity.customer for news in known.list_all(0)]
    assert kept.count('loud') == suspects.MOST_OF_CUSTOMER
    assert 'shop' in kept


def test_holds_no_more_than_the_bound_of_all_customers() -> None:
    """The least suspected request of whoever has most makes room."""
    known = suspects.Suspects()
    for number in range(2 * suspects.MOST):
        identity = identities.identify(f'shop {number // 20}', b'%d' % number)
        known.note_crash(identity, crash(number, number + 1), number + 1.0)
    assert len(known.list_all(0)) == suspects.MOST


def test_passes_few_first_suspicions_on() -> None:
    """A rack that dies brings up hundreds, nearly all of innocent requests."""
    known = suspects.Suspects()
    passed = 0
    for number in range(200):
        identity = identities.identify('shop', b'%d' % number)
        known.note_crash(identity, crash(1, 2), 2.0)
        passed += known.pass_on(identity, 2.0)
    assert passed == suspects.PASSED_AT_ONCE


def test_forgets_what_has_not_come_again() -> None:
    """Suspicion expires."""
    known = suspect(1)
    known.forget_old(suspects.REMEMBER_S)
    assert known.list_all(0)
    known.forget_old(2 + suspects.REMEMBER_S)
    assert not known.list_all(0)


NEWS = strategies.builds(
    suspects.News,
    strategies.just(ONE),
    strategies.integers(0, 3),
    strategies.integers(0, 6),
    strategies.floats(0, 1000),
)


@given(strategies.lists(NEWS, max_size=8))
def test_news_mean_the_same_in_any_order(
    told: list[suspects.News],
) -> None:
    """Symptom: hosts that heard the same hold different things against it."""
    ranks = []
    for order in (told, list(reversed(told))):
        known = suspects.Suspects()
        for news in order:
            known.merge(news, 1.0, 'host')
        held = known.tell(ONE, 1.0)
        ranks.append(None if held is None else held.rank)
    assert ranks[0] == ranks[1]


@given(strategies.lists(NEWS, max_size=8))
def test_nothing_told_holds_a_request_for_longer_than_stated(
    told: list[suspects.News],
) -> None:
    """Spoilt news does not bar a request for good."""
    known = suspects.Suspects()
    for news in told:
        known.merge(news, 1.0, 'host')
    assert known.count_wait(ONE, 1.0) <= suspects.LONGEST_S
    crashes = max((it.rank for it in told), default=(0, 0))[1]
    if crashes < suspects.MOST_CRASHES:
        assert known.count_wait(ONE, 1.0) <= suspects.TRIAL_S
