"""Test that requests carry their customer's name and never its key."""

from typing import Final

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import headers, http_codecs
from fuchsiahaven.routing import (
    active_requests,
    admission,
    configs,
    customers,
    delegation_codecs,
    deployments,
    events,
)
from tests.routing import router_rig

KEY: Final = 'wbr9bc582dm2buc7takh'
OTHER_KEY: Final = 'k-2'
SHOP: Final = configs.Customer('shop', (http_codecs.digest_key(KEY),))
BANK: Final = configs.Customer('bank', (http_codecs.digest_key(OTHER_KEY),))
SHARDS: Final = tuple(f'shard-{number:02}' for number in range(10))
RECORDS: Final = ('records',)
SINGLE: Final = router_rig.make_route(configs.Single('records'), prefix='/one/')
SEARCH: Final = router_rig.make_route(configs.Gather(SHARDS, 2, 0.8))
PUBLIC: Final = router_rig.make_route(
    configs.Single('records'), prefix='/public/'
)._replace(public=True)
ROUTES: Final = (SINGLE, SEARCH, PUBLIC)
HELPER: Final = deployments.Host('host-9', '10.0.9.1:7000', 'south')


def make_rig(
    known_customers: tuple[configs.Customer, ...] | None = (SHOP, BANK),
    data_centre: str = 'north',
) -> router_rig.Rig:
    """Make a host with two customers by default."""
    targets = router_rig.make_instances((*SHARDS, *RECORDS), 3, data_centre)
    rig = router_rig.Rig((), targets)
    rig.configure(2, ROUTES, known_customers)
    return rig


def make_request(
    rig: router_rig.Rig, path: str, *keys: str, request_id: str = 'id-1'
) -> events.Request:
    """Make a request whose caller sends these keys."""
    fields = [
        ('host', 'shop.example'),
        (headers.REQUEST_ID, request_id),
        (headers.DEADLINE_MS, '800'),
        (headers.CUSTOMER, 'forged'),
        *[(headers.AUTHORIZATION, f'Token {key}') for key in keys],
    ]
    message = http_codecs.Message(path, 0, tuple(fields), b'', 'GET')
    return http_codecs.decode_request(message, rig.now)


def pop_refusal(rig: router_rig.Rig) -> tuple[int, events.RequestSummary]:
    """Return the status and the summary of the one refusal."""
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert not rig.pop_sent()
    return http_codecs.encode_failure(outcome).status, rig.summaries.pop()


def check_sent_customer(rig: router_rig.Rig, send: events.SendAttempt) -> str:
    """Return the customer that a target gets; check that it gets no key."""
    fields = http_codecs.encode_request_fields(send, rig.now)
    assert KEY not in str(fields)
    assert headers.AUTHORIZATION not in dict(fields)
    assert sum(1 for name, _ in fields if name == headers.CUSTOMER) < 2
    return dict(fields).get(headers.CUSTOMER, '')


def test_sends_targets_the_name_in_place_of_the_key() -> None:
    """Guard against keys that readers of a target's log could use."""
    rig = make_rig()
    rig.submit(make_request(rig, '/one/1', KEY))
    (send,) = rig.pop_sent()
    assert check_sent_customer(rig, send) == 'shop'
    rig.answer(send)
    assert rig.summaries.pop().customer == 'shop'


def test_names_the_customer_on_hedges_and_retries() -> None:
    """Each hedge and each retry is a copy of the first request."""
    rig = make_rig()
    rig.submit(make_request(rig, '/one/1', KEY))
    rig.advance_time(0.09)
    first, second = rig.pop_sent()
    assert (
        check_sent_customer(rig, first),
        check_sent_customer(rig, second),
    ) == ('shop', 'shop')
    rig.submit(make_request(rig, '/one/2', KEY, request_id='id-2'))
    (send,) = rig.pop_sent()
    rig.refuse(send)
    (first_retry,) = rig.pop_sent()
    assert check_sent_customer(rig, first_retry) == 'shop'
    rig.break_attempt(first_retry, messages.Fault.MALFORMED)
    for retry in rig.pop_sent():
        assert check_sent_customer(rig, retry) == 'shop'


def test_names_the_customer_at_each_shard() -> None:
    """All parts of a query are requests of its customer."""
    rig = make_rig()
    rig.submit(make_request(rig, '/search/1', KEY))
    sent = rig.pop_sent()
    assert {check_sent_customer(rig, send) for send in sent} == {'shop'}
    assert len(sent) == len(SHARDS)


@pytest.mark.parametrize('path', ['/search/1', '/search/2?a=b'])
@pytest.mark.parametrize(
    ('keys', 'public', 'expected'),
    [
        ((KEY,), False, 'shop'),
        ((KEY,), True, 'shop'),
        (('strange',), True, ''),
        ((), True, ''),
        ((KEY, KEY), True, ''),
    ],
)
def test_a_helper_gets_the_name_and_no_key(
    path: str, keys: tuple[str, ...], public: bool, expected: str
) -> None:
    """Guard against a quarantine that other hosts cannot apply.

    The delegating host and its helper have to compute the same identity of a
    request, though only one of them has the key.
    """
    rig = make_rig(data_centre='south')
    routes = (SEARCH._replace(public=public),)
    rig.configure(3, routes, (SHOP, BANK))
    rig.post(events.HostsChanged(2, (router_rig.HOST, HELPER)))
    rig.submit(make_request(rig, path, *keys))
    (delegate,) = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    text = delegation_codecs.encode_request(delegate.delegated, rig.now)
    assert KEY.encode() not in text
    assert b'strange' not in text
    assert b'authorization' not in text
    delegated = delegation_codecs.decode_request(text, rig.now)
    request = http_codecs.add_identity(delegated.request)
    assert request.customer == expected
    assert request.identity == delegate.delegated.request.identity

    helper = make_rig()
    helper.post(
        events.DelegatedRequestReceived(1, delegated._replace(request=request))
    )
    sent = helper.pop_sent()
    assert {check_sent_customer(helper, send) for send in sent} == {expected}


@pytest.mark.parametrize(
    ('keys', 'reason'),
    [
        ((), customers.RefusalReason.NONE),
        (('strange',), customers.RefusalReason.UNKNOWN),
        ((KEY, KEY), customers.RefusalReason.UNUSABLE),
    ],
)
def test_refuses_requests_without_a_customer(
    keys: tuple[str, ...], reason: str
) -> None:
    """The log holds the route and the reason, the answer only the status."""
    rig = make_rig()
    rig.submit(make_request(rig, '/one/1', *keys))
    status, summary = pop_refusal(rig)
    assert status == 401
    assert (summary.route, summary.why) == ('route /one/', reason)
    assert KEY not in str(summary)
    assert 'strange' not in str(summary)


def test_refuses_a_key_that_a_configuration_removed() -> None:
    """A key that is added again is valid again."""
    rig = make_rig()
    rig.configure(3, ROUTES, (SHOP._replace(keys=()), BANK))
    rig.submit(make_request(rig, '/one/1', KEY))
    assert pop_refusal(rig)[0] == 401
    rig.configure(4, ROUTES, (SHOP, BANK))
    rig.submit(make_request(rig, '/one/1', KEY))
    assert [check_sent_customer(rig, send) for send in rig.pop_sent()] == [
        'shop'
    ]


def test_requires_keys_after_the_last_customer_is_removed() -> None:
    """Guard against open access after the last customer is removed."""
    rig = make_rig(())
    rig.submit(make_request(rig, '/one/1', KEY))
    assert pop_refusal(rig)[0] == 401


@pytest.mark.parametrize('keys', [(), ('strange',), (KEY, KEY)])
def test_a_public_route_requires_no_key(keys: tuple[str, ...]) -> None:
    """An unknown key is neither refused nor forwarded."""
    rig = make_rig()
    rig.submit(make_request(rig, '/public/1', *keys))
    (send,) = rig.pop_sent()
    assert check_sent_customer(rig, send) == ''


def test_is_not_ready_without_a_configuration() -> None:
    """Guard against permanent refusals of valid keys.

    A host that has just started answers with a Retry-After.
    """
    rig = router_rig.Rig((), ())
    rig.router.index = configs.build_index(configs.EMPTY_CONFIGURATION)
    rig.submit(make_request(rig, '/one/1', KEY))
    status, summary = pop_refusal(rig)
    assert (status, summary.result) == (503, errors.Kind.NOT_READY)


def test_reports_a_missing_route_before_a_missing_key() -> None:
    """A request without a route is refused without a check of its key."""
    rig = make_rig()
    rig.submit(make_request(rig, '/none/1'))
    assert pop_refusal(rig)[0] == 404


def test_identities_of_requests_differ_by_customer() -> None:
    """Guard against a request of one customer that is quarantined for all."""
    rig = make_rig()
    identities = set()
    for key in (KEY, OTHER_KEY):
        rig.submit(make_request(rig, '/one/1', key))
        (send,) = rig.pop_sent()
        identities.add(send.request.identity)
        assert send.request.identity.customer in {'shop', 'bank'}
    assert len(identities) == 2


@pytest.mark.parametrize(('priority', 'expected'), [(None, 1), (0, 0), (5, 5)])
def test_puts_a_customers_priority_before_the_routes(
    priority: int | None, expected: int
) -> None:
    """A customer without a priority has that of its route."""
    rig = make_rig((SHOP._replace(priority=priority),))
    event = events.RequestReceived(7, make_request(rig, '/one/1', KEY))
    routed = admission.admit(rig.router, event, rig.now)
    assert isinstance(routed, active_requests.RoutedRequest)
    assert routed.priority == expected


def test_forwards_the_key_without_customers() -> None:
    """Without customers the key is a matter between caller and target."""
    rig = make_rig(None)
    rig.submit(make_request(rig, '/one/1', KEY))
    (send,) = rig.pop_sent()
    fields = dict(http_codecs.encode_request_fields(send, rig.now))
    assert fields[headers.AUTHORIZATION] == f'Token {KEY}'
    assert headers.CUSTOMER not in fields
    rig.answer(send)
    summary = rig.summaries.pop()
    assert (summary.customer, summary.why) == ('', '')
