"""Test which requests become suspect, and what clears them."""

from hypothesis import given, strategies

from fuchsiahaven.core import request_identities, suspects

ONE = request_identities.identify('shop', b'one')
ATTEMPT = 'sending'


def make_crash(
    sent_at: float, lost_at: float, target: str = 'a-0', attempt: str = ATTEMPT
) -> suspects.Crash:
    """Make the crash of a target during an attempt."""
    return suspects.Crash('a', target, attempt, sent_at, lost_at)


def make_suspects(crash_count: int) -> suspects.Suspects:
    """Make a table in which ONE has so many crashes, 10 s apart."""
    table = suspects.Suspects()
    for number in range(crash_count):
        sent = 10.0 * number
        assert table.record_crash(ONE, make_crash(sent, sent + 1), sent + 1)
    return table


def test_counts_simultaneous_crashes_once() -> None:
    """Guard against a failed rack that quarantines a popular request."""
    table = suspects.Suspects()
    assert table.record_crash(ONE, make_crash(1.0, 2.0), 2.0)
    for number in range(20):
        late = make_crash(1.5, 2.0 + number / 100, f'a-{number}')
        assert not table.record_crash(ONE, late, 3.0)
    # A request to a target that has already crashed is lost at once.
    assert not table.record_crash(ONE, make_crash(2.001, 2.003), 3.0)
    assert table.get_permission(ONE, 3.0) is suspects.SendPermission.TRIAL


def test_quarantines_after_three_crashes_and_longer_each_time() -> None:
    """Each failed trial costs a target, so the next one is delayed longer."""
    table = make_suspects(2)
    assert table.get_permission(ONE, 11.5) is suspects.SendPermission.BLOCKED
    assert table.get_permission(ONE, 12.1) is suspects.SendPermission.TRIAL
    table = make_suspects(3)
    assert table.compute_wait(ONE, 21.0) == suspects.MIN_QUARANTINE_S
    table = make_suspects(4)
    assert table.compute_wait(ONE, 31.0) == 2 * suspects.MIN_QUARANTINE_S
    assert (
        make_suspects(30).compute_wait(ONE, 291.0) == suspects.MAX_QUARANTINE_S
    )


def test_allows_one_trial_at_a_time_until_its_timeout() -> None:
    """The timeout bounds the wait for a trial at a suspended target."""
    table = make_suspects(1)
    table.start_trial(ONE, ATTEMPT, 5.0)
    assert table.get_permission(ONE, 5.5) is suspects.SendPermission.AFTER_TRIAL
    assert table.get_permission(ONE, 6.1) is suspects.SendPermission.TRIAL
    assert table.end_trial(ONE, ATTEMPT)
    assert table.get_permission(ONE, 5.5) is suspects.SendPermission.TRIAL


def test_counts_a_short_trial_over_an_open_connection() -> None:
    """A request may crash its target as soon as it arrives."""
    table = make_suspects(1)
    table.start_trial(ONE, ATTEMPT, 1.0)
    assert table.record_crash(ONE, make_crash(1.0, 1.001), 1.002)


def test_success_clears_only_services_with_crashes() -> None:
    """A request that crashes the targets of one shard may run on others."""
    table = make_suspects(2)
    assert not table.record_success(ONE, 'other', 'another')
    assert table.record_success(ONE, 'a', 'another')
    assert (
        table.get_permission(ONE, 11.1) is suspects.SendPermission.UNRESTRICTED
    )
    # An older report does not restore the suspicion.
    old = suspects.News(ONE, 0, 2, 1.0)
    assert not table.merge_report(old, 11.2, 'host')
    assert table.record_crash(ONE, make_crash(12, 13), 13.0)


def test_exactly_one_of_two_trials_gives_way() -> None:
    """Guard against hosts that defer to each other and refuse for ever."""
    gave_way = 0
    for own, other in (('north', 'south'), ('south', 'north')):
        table = make_suspects(2)
        table.start_trial(ONE, ATTEMPT, 12.5)
        report = suspects.News(ONE, 0, 2, suspects.TRIAL_TIMEOUT_S, host=other)
        gave_way += table.merge_report(report, 12.6, own)
    assert gave_way == 1


def test_one_customer_evicts_nobody_else() -> None:
    """A customer with too many suspects loses its own oldest ones."""
    table = suspects.Suspects()
    table.record_crash(ONE, make_crash(1, 2), 2.0)
    for number in range(3 * suspects.MAX_SUSPECTS):
        identity = request_identities.identify('loud', b'%d' % number)
        table.record_crash(
            identity, make_crash(number, number + 1), number + 1.0
        )
    kept = [report.identity.customer for report in table.list_reports(0)]
    assert kept.count('loud') == suspects.MAX_CUSTOMER_SUSPECTS
    assert 'shop' in kept


def test_holds_no_more_than_the_bound_of_all_customers() -> None:
    """The customer with the most suspects loses its least suspected one."""
    table = suspects.Suspects()
    for number in range(2 * suspects.MAX_SUSPECTS):
        identity = request_identities.identify(
            f'shop {number // 20}', b'%d' % number
        )
        table.record_crash(
            identity, make_crash(number, number + 1), number + 1.0
        )
    assert len(table.list_reports(0)) == suspects.MAX_SUSPECTS


def test_limits_reports_of_first_crashes() -> None:
    """A rack that fails causes hundreds, nearly all of innocent requests."""
    table = suspects.Suspects()
    admitted = 0
    for number in range(200):
        identity = request_identities.identify('shop', b'%d' % number)
        table.record_crash(identity, make_crash(1, 2), 2.0)
        admitted += table.admit_report(identity, 2.0)
    assert admitted == suspects.REPORT_BURST


def test_forgets_expired_suspicions() -> None:
    """Suspects expire after `SUSPICION_LIFETIME_S`."""
    table = make_suspects(1)
    table.expire_suspects(suspects.SUSPICION_LIFETIME_S)
    assert table.list_reports(0)
    table.expire_suspects(2 + suspects.SUSPICION_LIFETIME_S)
    assert not table.list_reports(0)


REPORTS = strategies.builds(
    suspects.News,
    strategies.just(ONE),
    strategies.integers(0, 3),
    strategies.integers(0, 6),
    strategies.floats(0, 1000),
)


@given(strategies.lists(REPORTS, max_size=8))
def test_reports_merge_alike_in_any_order(
    reports: list[suspects.News],
) -> None:
    """Guard against hosts that differ after receiving the same reports."""
    ranks = []
    for order in (reports, list(reversed(reports))):
        table = suspects.Suspects()
        for report in order:
            table.merge_report(report, 1.0, 'host')
        merged = table.make_report(ONE, 1.0)
        ranks.append(None if merged is None else merged.rank)
    assert ranks[0] == ranks[1]


@given(strategies.lists(REPORTS, max_size=8))
def test_no_report_blocks_a_request_beyond_the_bound(
    reports: list[suspects.News],
) -> None:
    """A faulty report does not block a request for ever."""
    table = suspects.Suspects()
    for report in reports:
        table.merge_report(report, 1.0, 'host')
    assert table.compute_wait(ONE, 1.0) <= suspects.MAX_QUARANTINE_S
    crashes = max((it.rank for it in reports), default=(0, 0))[1]
    if crashes < suspects.MIN_QUARANTINE_CRASHES:
        assert table.compute_wait(ONE, 1.0) <= suspects.TRIAL_TIMEOUT_S
