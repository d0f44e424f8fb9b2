"""Test that each check of the soak test reports a broken guarantee."""

import pytest

from bench.soak import checks, customers, quotas, targets

SHARD_SETS = (('a1', 'a2', 'a3'), ('b1', 'b2'))


def make_search(
    services: tuple[str, ...], missing: int, **changed: object
) -> checks.Observation:
    """Return a correct answer over shards with some fields changed."""
    records = [
        it for name in services for it in targets.make_records('id-1', name)
    ]
    fields = {
        'fuchsiahaven-part-signatures': ', '.join(
            f'id-1.{name}' for name in services
        ),
        'fuchsiahaven-missing-parts': str(missing),
    }
    body = b''.join(sorted(records, reverse=True)[: checks.MAX_RECORDS])
    observed = checks.Observation(
        'id-1',
        'search',
        checks.OK,
        fields,
        body,
        1.0,
        1.1,
        stopping=False,
        was_read=True,
    )
    return observed._replace(**changed)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ('services', 'missing'),
    [(('a1', 'a2', 'a3'), 0), (('a1', 'a3'), 1), (('b2',), 1)],
)
def test_accepts_a_true_answer(services: tuple[str, ...], missing: int) -> None:
    """Complete answers and correct partial answers pass."""
    observed = make_search(services, missing)
    assert not checks.check(observed, SHARD_SETS, targets.RunLog())


@pytest.mark.parametrize(
    ('observed', 'violation'),
    [
        (make_search(('a1', 'b1'), 1), 'no single version'),
        (make_search(('a1', 'a2'), 0), 'no single version'),
        (make_search(('a1', 'a1', 'a2'), 0), 'a part twice'),
        (make_search(('a1',), 2, body=b'x' * 48), 'greatest records'),
        (make_search(('a1',), 2, request_id='id-2'), 'another request'),
        (make_search(('a1',), 2, status=0, stopping=True), 'planned stop'),
    ],
)
def test_reports_an_untrue_answer(
    observed: checks.Observation, violation: str
) -> None:
    """Mixed versions, wrong counts, repeated parts, other records and cuts."""
    violations = checks.check(observed, SHARD_SETS, targets.RunLog())
    assert any(violation in it for it in violations)


def test_reports_a_second_run_and_a_run_after_refusal() -> None:
    """An at-most-once request ran twice, and a refused one ran."""
    run_log = targets.RunLog()
    run_log.counts['id-1'] = 2
    observed = make_search(('a1',), 2, kind='once', status=502)
    assert checks.check(observed, SHARD_SETS, run_log) == ['ran 2 times']
    run_log.counts['id-1'] = 1
    refused = observed._replace(status=503)
    assert checks.check(refused, SHARD_SETS, run_log) == [
        'refused with 503 and has run'
    ]


def test_reports_work_at_a_target_that_has_left() -> None:
    """Work soon after a target left is allowed, later work is not."""
    run_log = targets.RunLog()
    run_log.runs.append(targets.Run('id-1', 'i-1', 12.0))
    assert not checks.check_leaving(run_log, {'i-1': 9.0}, 4.0)
    assert checks.check_leaving(run_log, {'i-1': 7.0}, 4.0)


def test_reports_an_answer_to_another_request() -> None:
    """The signature and the body must belong to the request."""
    body = b''.join(targets.make_records('id-1', 'c1'))
    fields = {'fuchsiahaven-response-signature': 'id-1.c1'}
    observed = make_search(('a1',), 2, kind='one', fields=fields, body=body)
    assert not checks.check(observed, SHARD_SETS, targets.RunLog())
    other = observed._replace(request_id='id-9')
    assert checks.check(other, SHARD_SETS, targets.RunLog())


@pytest.mark.parametrize(
    ('shown', 'customer', 'status', 'violation'),
    [
        ('shop', 'shop', 200, ''),
        ('', '', 401, ''),
        ('bank', 'shop', 200, 'targets were shown'),
        ('', 'shop', 200, 'targets were shown'),
        ('shop', 'shop', 401, 'a valid key is refused'),
        ('bank', '', 502, 'ran with an unknown key'),
        ('', '', 200, 'ran with an unknown key'),
    ],
)
def test_reports_a_request_of_the_wrong_customer(
    shown: str, customer: str, status: int, violation: str
) -> None:
    """Other customers, refused valid keys, and served unknown keys."""
    run_log = targets.RunLog()
    if shown or status == checks.OK:
        run_log.customers['id-1'] = {shown}
    observed = make_search(('a1',), 2, customer=customer, status=status)
    violations = customers.check_all([observed], run_log)
    assert bool(violations) == bool(violation)
    assert violation in ' '.join(violations)


def test_reports_a_key_sent_to_a_target() -> None:
    """A request with a key is reported whatever its other fields are."""
    run_log = targets.RunLog()
    fields = {'fuchsiahaven-request-id': 'id-1', 'authorization': 'Token k'}
    run_log.record_run(fields, 'i-1')
    assert customers.check_all([], run_log) == ['id-1 was shown a key']


def make_hot_requests(
    count: int,
    run_log: targets.RunLog,
    *,
    interval_s: float,
    status: int = checks.OK,
) -> list[checks.Observation]:
    """Return requests of the hot customer that run on two targets each."""
    observations = []
    for number in range(count):
        observed = make_search((), 0)._replace(
            request_id=f'h-{number}',
            customer=quotas.HOT_CUSTOMER,
            sent_at=number * interval_s,
            ended_at=number * interval_s + 0.1,
            status=status,
        )
        observations.append(observed)
        for name in ('t-1', 't-2'):
            run = targets.Run(
                observed.request_id, name, observed.sent_at + 0.05
            )
            run_log.runs.append(run)
    return observations


def test_counts_a_request_once_and_by_windows() -> None:
    """Requests within the quota pass, however many targets run parts."""
    run_log = targets.RunLog()
    observations = make_hot_requests(
        40, run_log, interval_s=1 / quotas.QUOTA_PER_S
    )
    assert not quotas.check(observations, run_log, 0.0)
    assert (
        quotas.count_most_in_window(observations, run_log)
        == quotas.QUOTA_PER_S * quotas.WINDOW_S
    )


def test_reports_more_than_a_window_allows() -> None:
    run_log = targets.RunLog()
    allowed = int(quotas.count_allowed())
    observations = make_hot_requests(allowed, run_log, interval_s=0.001)
    assert not quotas.check(observations, run_log, 0.0)
    observations = make_hot_requests(
        allowed + 1, targets.RunLog(), interval_s=0.001
    )
    run_log.runs.append(targets.Run(observations[-1].request_id, 't-1', 0.1))
    assert 'ran in a window' in quotas.check(observations, run_log, 0.0)[0]


def test_reports_refusals_that_ran_or_had_no_quota() -> None:
    run_log = targets.RunLog()
    observations = make_hot_requests(1, run_log, interval_s=1.0, status=429)
    run_log.counts['h-0'] += 1
    assert 'has run' in quotas.check(observations, run_log, 9.0)[0]
    other = observations[0]._replace(request_id='id-9', customer='shop')
    assert 'no quota' in quotas.check([other], run_log, 9.0)[0]


def test_reports_unserved_customers_after_recovery() -> None:
    """Unserved requests after recovery are reported, of either customer."""
    run_log = targets.RunLog()
    observations = make_hot_requests(
        40, run_log, interval_s=1 / quotas.QUOTA_PER_S, status=429
    )
    assert (
        'served after recovery' in quotas.check(observations, run_log, 0.0)[-1]
    )
    other = observations[-1]._replace(customer='shop')
    assert customers.check_served([other], other.sent_at - 1)
    assert not customers.check_served([other], other.sent_at)
    assert not customers.check_served(observations, 0.0)
