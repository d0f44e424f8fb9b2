"""Test that each check of the soak fails where its promise is broken."""

import pytest

from bench.soak import checks, customers, quotas, targets

SETS = (('a1', 'a2', 'a3'), ('b1', 'b2'))


def make_search(
    services: tuple[str, ...], missing: int, **changed: object
) -> checks.Seen:
    """Make an answer over shards that keeps every promise, then change it."""
    records = [
        it for name in services for it in targets.make_records('id-1', name)
    ]
    fields = {
        'fuchsiahaven-part-signatures': ', '.join(
            f'id-1.{name}' for name in services
        ),
        'fuchsiahaven-missing-parts': str(missing),
    }
    body = b''.join(sorted(records, reverse=True)[: checks.LIMIT])
    seen = checks.Seen(
        'id-1',
        'search',
        checks.OK,
        fields,
        body,
        1.0,
        1.1,
        stopping=False,
        read=True,
    )
    return seen._replace(**changed)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ('services', 'missing'),
    [(('a1', 'a2', 'a3'), 0), (('a1', 'a3'), 1), (('b2',), 1)],
)
def test_finds_nothing_in_a_true_answer(
    services: tuple[str, ...], missing: int
) -> None:
    """Whole answers and honest parts pass."""
    seen = make_search(services, missing)
    assert not checks.check(seen, SETS, targets.Ledger())


@pytest.mark.parametrize(
    ('seen', 'fault'),
    [
        (make_search(('a1', 'b1'), 1), 'no single version'),
        (make_search(('a1', 'a2'), 0), 'no single version'),
        (make_search(('a1', 'a1', 'a2'), 0), 'a part twice'),
        (make_search(('a1',), 2, body=b'x' * 48), 'greatest records'),
        (make_search(('a1',), 2, request_id='id-2'), 'another request'),
        (make_search(('a1',), 2, status=0, stopping=True), 'planned stop'),
    ],
)
def test_finds_a_broken_promise(seen: checks.Seen, fault: str) -> None:
    """Mixed versions, false counts, doubled parts, other records, cuts."""
    faults = checks.check(seen, SETS, targets.Ledger())
    assert any(fault in it for it in faults)


def test_finds_what_ran_twice_or_in_spite_of_a_refusal() -> None:
    """A request that may run once ran two times; a refused one ran."""
    ledger = targets.Ledger()
    ledger.counts['id-1'] = 2
    seen = make_search(('a1',), 2, kind='once', status=502)
    assert checks.check(seen, SETS, ledger) == ['ran 2 times']
    ledger.counts['id-1'] = 1
    refused = seen._replace(status=503)
    assert checks.check(refused, SETS, ledger) == ['told 503 and has run']


def test_finds_work_at_a_target_that_has_left() -> None:
    """Work soon after the word is allowed, later work is not."""
    ledger = targets.Ledger()
    ledger.runs.append(targets.Run('id-1', 'i-1', 12.0))
    assert not checks.check_leaving(ledger, {'i-1': 9.0}, 4.0)
    assert checks.check_leaving(ledger, {'i-1': 7.0}, 4.0)


def test_finds_another_answer_to_a_single_request() -> None:
    """The signature and the body have to be those of the request."""
    body = b''.join(targets.make_records('id-1', 'c1'))
    fields = {'fuchsiahaven-response-signature': 'id-1.c1'}
    seen = make_search(('a1',), 2, kind='one', fields=fields, body=body)
    assert not checks.check(seen, SETS, targets.Ledger())
    other = seen._replace(request_id='id-9')
    assert checks.check(other, SETS, targets.Ledger())


@pytest.mark.parametrize(
    ('shown', 'customer', 'status', 'fault'),
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
def test_finds_a_request_that_is_not_its_customers(
    shown: str, customer: str, status: int, fault: str
) -> None:
    """Other names, valid keys refused, strangers served."""
    ledger = targets.Ledger()
    if shown or status == checks.OK:
        ledger.customers['id-1'] = {shown}
    seen = make_search(('a1',), 2, customer=customer, status=status)
    faults = customers.check_all([seen], ledger)
    assert bool(faults) == bool(fault)
    assert fault in ' '.join(faults)


def test_finds_a_key_at_a_target() -> None:
    """Whatever else the request was."""
    ledger = targets.Ledger()
    fields = {'fuchsiahaven-request-id': 'id-1', 'authorization': 'Token k'}
    ledger.note(fields, 'i-1')
    assert customers.check_all([], ledger) == ['id-1 was shown a key']


def make_hot(
    count: int, ledger: targets.Ledger, *, pace: float, status: int = checks.OK
) -> list[checks.Seen]:
    """Make requests of the hot customer that run on two targets each."""
    found = []
    for number in range(count):
        seen = make_search((), 0)._replace(
            request_id=f'h-{number}',
            customer=quotas.HOT,
            sent=number * pace,
            ended=number * pace + 0.1,
            status=status,
        )
        found.append(seen)
        for name in ('t-1', 't-2'):
            run = targets.Run(seen.request_id, name, seen.sent + 0.05)
            ledger.runs.append(run)
    return found


def test_counts_a_request_once_and_by_windows() -> None:
    """What a quota allows passes, however often its parts run."""
    ledger = targets.Ledger()
    seen = make_hot(40, ledger, pace=1 / quotas.RATE)
    assert not quotas.check(seen, ledger, 0.0)
    assert quotas.count_most(seen, ledger) == quotas.RATE * quotas.WINDOW_S


def test_finds_more_in_a_window_than_is_tolerated() -> None:
    ledger = targets.Ledger()
    most = int(quotas.count_allowed())
    seen = make_hot(most, ledger, pace=0.001)
    assert not quotas.check(seen, ledger, 0.0)
    seen = make_hot(most + 1, targets.Ledger(), pace=0.001)
    ledger.runs.append(targets.Run(seen[-1].request_id, 't-1', 0.1))
    assert 'ran in a window' in quotas.check(seen, ledger, 0.0)[0]


def test_finds_a_refused_request_that_has_run_and_one_without_a_quota() -> None:
    ledger = targets.Ledger()
    seen = make_hot(1, ledger, pace=1.0, status=429)
    ledger.counts['h-0'] += 1
    assert 'has run' in quotas.check(seen, ledger, 9.0)[0]
    other = seen[0]._replace(request_id='id-9', customer='shop')
    assert 'no quota' in quotas.check([other], ledger, 9.0)[0]


def test_finds_customers_that_are_not_served_when_all_is_well() -> None:
    """A hot customer starves neither itself nor others."""
    ledger = targets.Ledger()
    seen = make_hot(40, ledger, pace=1 / quotas.RATE, status=429)
    assert 'served when all is well' in quotas.check(seen, ledger, 0.0)[-1]
    other = seen[-1]._replace(customer='shop')
    assert customers.check_served([other], other.sent - 1)
    assert not customers.check_served([other], other.sent)
    assert not customers.check_served(seen, 0.0)
