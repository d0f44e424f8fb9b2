"""Test the conversion of HTTP messages to and from events."""

from collections.abc import Mapping

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import headers, http_codecs
from fuchsiahaven.routing import events
from tests.routing import router_rig

SIGNED = {headers.SIGNATURE: 'abc', headers.REQUEST_ID: 'id-1'}
LONG_KEY = 'k' * 8192
KEY = 'wbr9bc582dm2buc7takh'
KEY_DIGEST = http_codecs.digest_key(KEY)
#: Digest of a key that is not valid UTF-8, which no configuration can hold.
NON_UTF8_DIGEST = request_identities.identify('', b'\xff\x00\x80').digest
(INSTANCE,) = router_rig.make_instances(['records'], 1)


def make_message(
    status: int, fields: Mapping[str, str], body: bytes = b''
) -> http_codecs.Message:
    """Make a received message."""
    return http_codecs.Message('/a/1?x=y', status, tuple(fields.items()), body)


def make_attempt(fields: Mapping[str, str]) -> events.SendAttempt:
    """Make an attempt of a request with the given fields."""
    message = make_message(0, fields)._replace(method='GET')
    request = http_codecs.decode_request(message, 50.0)
    key = events.AttemptKey(1, 'records', 1)
    return events.SendAttempt(
        key, INSTANCE, request, 51.0, fresh_connection=False
    )


def decode_answer(
    status: int, fields: Mapping[str, str]
) -> events.TargetAnswered | events.TargetRefused | events.AttemptBroken:
    """Decode an answer of a target."""
    return http_codecs.decode_answer(
        make_attempt({}), make_message(status, fields)
    )


def test_relays_a_request_without_hop_by_hop_fields() -> None:
    """Fields listed in `connection` are dropped too; others are unchanged."""
    attempt = make_attempt(
        {
            'host': 'Shop.Example:80',
            headers.REQUEST_ID: 'id-1',
            headers.DEADLINE_MS: '250',
            'connection': 'close, X-Mine',
            'x-mine': '1',
            'x-yours': '2',
            'keep-alive': 'timeout=3',
            headers.INSTANCE: 'forged',
        }
    )
    request = attempt.request
    assert (request.host, request.uri) == ('shop.example', '/a/1?x=y')
    assert request.deadline == pytest.approx(50.25)
    fields = http_codecs.encode_request_fields(attempt, 50.125)
    assert dict(fields) == {
        'host': 'Shop.Example:80',
        headers.REQUEST_ID: 'id-1',
        'x-yours': '2',
        headers.DEADLINE_MS: '125',
        headers.INSTANCE: INSTANCE.name,
    }


def test_sends_the_earlier_of_two_deadlines() -> None:
    """The attempt's deadline is earlier than the caller's, so it is sent."""
    attempt = make_attempt({headers.DEADLINE_MS: '9000'})
    assert (
        dict(http_codecs.encode_request_fields(attempt, 50.25))[
            headers.DEADLINE_MS
        ]
        == '750'
    )


def test_ignores_a_load_beyond_all_bounds() -> None:
    """Guard against an estimate that fails and leaves its attempt open.

    A number of 400 digits is too large for a float.
    """
    event = decode_answer(200, {**SIGNED, headers.LOAD: f'{"9" * 400},0,2'})
    assert isinstance(event, events.TargetAnswered)
    assert event.answer.load is None


def test_relays_an_answer_unchanged() -> None:
    """Status, body and signature are relayed; fields for this host are not."""
    fields = {
        **SIGNED,
        headers.LOAD: '3,1,8,100',
        'content-type': 'x/y',
        'connection': 'close',
    }
    event = decode_answer(200, fields)
    assert isinstance(event, events.TargetAnswered)
    assert event.answer.load == messages.Load(3, 1, 8)
    encoded = http_codecs.encode_outcome(events.RelayedAnswer(event.answer))
    assert dict(encoded.fields) == {**SIGNED, 'content-type': 'x/y'}


@pytest.mark.parametrize(
    ('status', 'fields'),
    [
        (200, {headers.REQUEST_ID: 'id-1'}),
        (200, {**SIGNED, 'content-encoding': 'gzip'}),
        (503, SIGNED),
        (429, SIGNED),
    ],
)
def test_rejects_an_unsigned_answer_or_unproven_promise(
    status: int, fields: Mapping[str, str]
) -> None:
    """Guard against telling a caller that its request did not run.

    After a success without signature, or a status that promises not run
    without the field that states it, the outcome is unknown.
    """
    event = decode_answer(status, fields)
    assert isinstance(event, events.AttemptBroken)
    assert event.fault is messages.Fault.MALFORMED


def test_decodes_a_refusal_that_states_not_run() -> None:
    """An overloaded target and a new process at its address did not run it."""
    shed = decode_answer(503, {headers.NOT_RUN: '1', headers.LOAD: '2,12,2'})
    assert isinstance(shed, events.TargetRefused)
    assert shed.reason is messages.RefusalReason.SHED
    misdirected = decode_answer(421, {})
    assert isinstance(misdirected, events.TargetRefused)
    assert misdirected.reason is messages.RefusalReason.LEAVING


@pytest.mark.parametrize(
    ('kind', 'ran', 'status'),
    [
        (errors.Kind.OVERLOADED, errors.Ran.NO, 503),
        (errors.Kind.OVERLOADED, errors.Ran.UNKNOWN, 502),
        (errors.Kind.INCOMPLETE, errors.Ran.YES, 502),
        (errors.Kind.TIMED_OUT, errors.Ran.YES, 504),
        (errors.Kind.TIMED_OUT, errors.Ran.NO, 503),
        (errors.Kind.NOT_FOUND, errors.Ran.NO, 404),
        (errors.Kind.NOT_READY, errors.Ran.NO, 503),
    ],
)
def test_a_not_run_status_is_sent_only_if_true(
    kind: errors.Kind, ran: errors.Ran, status: int
) -> None:
    """503 promises not run; another status is used where that is unknown."""
    failure = errors.make_failure(kind, 'test', retry_after=0.1, ran=ran)
    encoded = http_codecs.encode_failure(failure)
    assert encoded.status == status
    assert dict(encoded.fields)[headers.RETRY_AFTER] == '0.1'


def test_merged_answer_lists_its_part_signatures() -> None:
    """Signatures and the number of missing parts are in header fields."""
    merged = events.MergedAnswer(('a', 'b'), 1, b'x' * 16)
    fields = dict(http_codecs.encode_outcome(merged).fields)
    assert fields[headers.PART_SIGNATURES] == 'a, b'
    assert fields[headers.MISSING_PARTS] == '1'


def compute_identity(fields: Mapping[str, str], body: bytes = b'') -> object:
    """Return the identity of a request with these fields."""
    message = make_message(0, fields, body)._replace(method='GET')
    request = http_codecs.decode_request(message, 50.0)
    # A helper host computes the same identity from the delegated request.
    assert http_codecs.add_identity(request).identity == request.identity
    return request.identity


def test_identity_depends_on_caller_and_content() -> None:
    """A repeated request has another id, less time left and other fields."""
    first = {
        'host': 'Shop.Example:80',
        headers.REQUEST_ID: 'id-1',
        headers.DEADLINE_MS: '250',
    }
    repeated = {
        'host': 'shop.example',
        headers.REQUEST_ID: 'id-2',
        headers.DEADLINE_MS: '120',
        'connection': 'close',
    }
    assert compute_identity(first) == compute_identity(repeated)
    others = {
        compute_identity({**first, 'host': 'other.example'}),
        compute_identity({**first, headers.AUTHORIZATION: 'Token one'}),
        compute_identity({**first, headers.AUTHORIZATION: 'Token two'}),
        compute_identity(first, b'body'),
        compute_identity(first),
    }
    assert len(others) == 5


def test_identity_does_not_reveal_the_key() -> None:
    """Guard against a customer's key in the log, which has the identity."""
    message = make_message(
        0, {headers.AUTHORIZATION: 'Token secret', 'host': 'a'}
    )
    request = http_codecs.decode_request(message, 50.0)
    assert 'secret' not in str(request.identity)


@pytest.mark.parametrize(
    ('values', 'expected'),
    [
        ([f'Token {KEY}'], KEY_DIGEST),
        ([f'token {KEY}'], KEY_DIGEST),
        ([f'TOKEN {KEY}'], KEY_DIGEST),
        ([f' \tToken \t {KEY} \t'], KEY_DIGEST),
        (['Token cl\xc3\xa9'], http_codecs.digest_key('cl\xe9')),
        (['Token \xff\x00\x80'], NON_UTF8_DIGEST),
        ([f'Token {LONG_KEY}'], ''),
        ([KEY], ''),
        (['Token'], ''),
        (['Token '], ''),
        ([''], ''),
        (['   '], ''),
        ([f'Bearer {KEY}'], ''),
        ([f'Token{KEY}'], ''),
        ([f'Token {KEY} {KEY}'], ''),
        ([f'Token {KEY}, Token {KEY}'], ''),
        ([f'Token\xa0{KEY}'], ''),
        ([f'Token {KEY}', f'Token {KEY}'], ''),
        ([f'Token {KEY}', 'Bearer x'], ''),
        ([], ''),
    ],
)
def test_decodes_the_only_key_of_a_request(
    values: list[str], expected: str
) -> None:
    """Any other value has no key, and raises no exception."""
    fields = tuple((headers.AUTHORIZATION, value) for value in values)
    message = http_codecs.Message('/a/1', 0, fields, b'', 'GET')
    assert http_codecs.decode_request(message, 50.0).key_digest == expected


@given(strategies.lists(strategies.binary(max_size=40), max_size=3))
def test_any_authorization_bytes_are_a_key_or_none(values: list[bytes]) -> None:
    """Guard against an answer 500 for invalid bytes of a caller."""
    raw = [(headers.AUTHORIZATION.encode(), value) for value in values]
    fields = http_codecs.decode_fields(raw)
    message = http_codecs.Message('/a/1', 0, fields, b'', 'GET')
    assert len(http_codecs.decode_request(message, 50.0).key_digest) in {
        0,
        len(KEY_DIGEST),
    }


def test_drops_a_customer_name_sent_by_a_caller() -> None:
    """Guard against a caller that claims to be another customer."""
    raw = [
        (b'Fuchsiahaven-Tenant', b'bank'),
        (b'FUCHSIAHAVEN-TENANT', b'shop'),
        (b'X-Mine', b'1'),
    ]
    fields = http_codecs.decode_fields(raw)
    message = http_codecs.Message('/a/1', 0, fields, b'', 'GET')
    request = http_codecs.decode_request(message, 50.0)
    assert request.fields == (('x-mine', '1'),)


def test_encodes_a_non_ascii_customer_name() -> None:
    """Guard against an exception for each request of such a customer."""
    attempt = make_attempt({})
    named = attempt._replace(
        request=attempt.request._replace(customer='Cl\xe9')
    )
    encoded = dict(http_codecs.encode_request_fields(named, 50.0))
    assert encoded[headers.CUSTOMER].encode('latin-1') == b'Cl\xc3\xa9'


def test_relays_credentials_where_no_key_is_required() -> None:
    """A deployment without customers may use the field for itself."""
    fields = {headers.AUTHORIZATION: 'Basic abc', 'host': 'shop.example'}
    encoded = dict(
        http_codecs.encode_request_fields(make_attempt(fields), 50.0)
    )
    assert encoded[headers.AUTHORIZATION] == 'Basic abc'
    hop_by_hop = {**fields, 'connection': 'authorization'}
    encoded = dict(
        http_codecs.encode_request_fields(make_attempt(hop_by_hop), 50.0)
    )
    assert headers.AUTHORIZATION not in encoded
