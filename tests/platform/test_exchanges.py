"""Test how HTTP messages and the events of the decisions translate."""

from collections.abc import Mapping

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import exchanges, headers
from fuchsiahaven.routing import events
from tests.routing import router_rig

SIGNED = {headers.SIGNATURE: 'abc', headers.REQUEST_ID: 'id-1'}
LONG = 'k' * 8192
KEY = 'wbr9bc582dm2buc7takh'
SHOWN = exchanges.digest_key(KEY)
#: What bytes that are no text are digested to; no configuration can hold it.
NO_TEXT = request_identities.identify('', b'\xff\x00\x80').digest
(INSTANCE,) = router_rig.make_instances(['records'], 1)


def make_message(
    status: int, fields: Mapping[str, str], body: bytes = b''
) -> exchanges.Message:
    """Make a message that was received."""
    return exchanges.Message('/a/1?x=y', status, tuple(fields.items()), body)


def make_send(fields: Mapping[str, str]) -> events.SendAttempt:
    """Make a sending of a request with the fields given."""
    message = make_message(0, fields)._replace(method='GET')
    request = exchanges.read_request(message, 50.0)
    key = events.AttemptKey(1, 'records', 1)
    return events.SendAttempt(
        key, INSTANCE, request, 51.0, fresh_connection=False
    )


def read(
    status: int, fields: Mapping[str, str]
) -> events.TargetAnswered | events.TargetRefused | events.AttemptBroken:
    """Read an answer of a target."""
    return exchanges.read_answer(make_send({}), make_message(status, fields))


def test_passes_a_request_on_but_for_what_concerns_one_connection() -> None:
    """Fields that the connection names go as well; the rest is unchanged."""
    send = make_send(
        {
            'host': 'Shop.Example:80',
            headers.REQUEST_ID: 'id-1',
            headers.DEADLINE: '250',
            'connection': 'close, X-Mine',
            'x-mine': '1',
            'x-yours': '2',
            'keep-alive': 'timeout=3',
            headers.INSTANCE: 'forged',
        }
    )
    request = send.request
    assert (request.host, request.uri) == ('shop.example', '/a/1?x=y')
    assert request.deadline == pytest.approx(50.25)
    written = exchanges.write_request(send, 50.125)
    assert dict(written) == {
        'host': 'Shop.Example:80',
        headers.REQUEST_ID: 'id-1',
        'x-yours': '2',
        headers.DEADLINE: '125',
        headers.INSTANCE: INSTANCE.name,
    }


def test_hands_a_target_no_more_time_than_the_route_allows() -> None:
    """The ask ends before the caller's deadline: that counts."""
    send = make_send({headers.DEADLINE: '9000'})
    assert dict(exchanges.write_request(send, 50.25))[headers.DEADLINE] == '750'


def test_takes_an_answer_as_it_is() -> None:
    """Status, body and signature go on; what speaks to this host does not."""
    fields = {
        **SIGNED,
        headers.LOAD: '3,1,8,100',
        'content-type': 'x/y',
        'connection': 'close',
    }
    event = read(200, fields)
    assert isinstance(event, events.TargetAnswered)
    assert event.answer.load == messages.Load(3, 1, 8)
    written = exchanges.write_outcome(events.RelayedAnswer(event.answer))
    assert dict(written.fields) == {**SIGNED, 'content-type': 'x/y'}


@pytest.mark.parametrize(
    ('status', 'fields'),
    [
        (200, {headers.REQUEST_ID: 'id-1'}),
        (200, {**SIGNED, 'content-encoding': 'gzip'}),
        (503, SIGNED),
        (429, SIGNED),
    ],
)
def test_takes_no_answer_that_promises_or_proves_too_little(
    status: int, fields: Mapping[str, str]
) -> None:
    """Symptom: a caller is told not run by a target that has not said so.

    A success without signature, or a promise without the target's word for
    it, leaves the outcome unknown.
    """
    event = read(status, fields)
    assert isinstance(event, events.AttemptBroken)
    assert event.fault is messages.Fault.MALFORMED


def test_takes_a_refusal_only_with_the_word_for_it() -> None:
    """Full, and another process at the address: neither has run it."""
    full = read(503, {headers.NOT_RUN: '1', headers.LOAD: '2,12,2'})
    assert isinstance(full, events.TargetRefused)
    assert full.reason is messages.RefusalReason.SHED
    other = read(421, {})
    assert isinstance(other, events.TargetRefused)
    assert other.reason is messages.RefusalReason.LEAVING


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
def test_promises_only_what_is_true(
    kind: errors.Kind, ran: errors.Ran, status: int
) -> None:
    """503 says not run; where that is not known another status is used."""
    failure = errors.make_failure(kind, 'test', retry_after=0.1, ran=ran)
    written = exchanges.write_failure(failure)
    assert written.status == status
    assert dict(written.fields)[headers.RETRY_AFTER] == '0.1'


def test_states_which_parts_an_answer_holds() -> None:
    """Signatures and the number missing stand in the head."""
    merged = events.MergedAnswer(('a', 'b'), 1, b'x' * 16)
    fields = dict(exchanges.write_outcome(merged).fields)
    assert fields[headers.PARTS] == 'a, b'
    assert fields[headers.MISSING] == '1'


def identify(fields: Mapping[str, str], body: bytes = b'') -> object:
    """Return the identity of a request with these fields."""
    message = make_message(0, fields, body)._replace(method='GET')
    request = exchanges.read_request(message, 50.0)
    # A host that gathers parts works it out from what it was passed.
    assert exchanges.identify(request).identity == request.identity
    return request.identity


def test_names_a_request_by_who_asks_and_what_for() -> None:
    """A repeat comes under another id, with less time left, over any way."""
    first = {
        'host': 'Shop.Example:80',
        headers.REQUEST_ID: 'id-1',
        headers.DEADLINE: '250',
    }
    again = {
        'host': 'shop.example',
        headers.REQUEST_ID: 'id-2',
        headers.DEADLINE: '120',
        'connection': 'close',
    }
    assert identify(first) == identify(again)
    others = {
        identify({**first, 'host': 'other.example'}),
        identify({**first, headers.KEY: 'Token one'}),
        identify({**first, headers.KEY: 'Token two'}),
        identify(first, b'body'),
        identify(first),
    }
    assert len(others) == 5


def test_does_not_name_a_customer_by_its_key() -> None:
    """Symptom: a key that opens everything stands in the log."""
    message = make_message(0, {headers.KEY: 'Token secret', 'host': 'a'})
    request = exchanges.read_request(message, 50.0)
    assert 'secret' not in str(request.identity)


@pytest.mark.parametrize(
    ('told', 'wanted'),
    [
        ([f'Token {KEY}'], SHOWN),
        ([f'token {KEY}'], SHOWN),
        ([f'TOKEN {KEY}'], SHOWN),
        ([f' \tToken \t {KEY} \t'], SHOWN),
        (['Token cl\xc3\xa9'], exchanges.digest_key('cl\xe9')),
        (['Token \xff\x00\x80'], NO_TEXT),
        ([f'Token {LONG}'], ''),
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
def test_reads_the_one_key_that_is_shown(told: list[str], wanted: str) -> None:
    """Any other field shows no key, and is no error of the program."""
    fields = tuple((headers.KEY, it) for it in told)
    message = exchanges.Message('/a/1', 0, fields, b'', 'GET')
    assert exchanges.read_request(message, 50.0).key_digest == wanted


@given(strategies.lists(strategies.binary(max_size=40), max_size=3))
def test_whatever_is_shown_is_a_key_or_none(told: list[bytes]) -> None:
    """Symptom: a caller's bytes end in an answer 500."""
    raw = [(headers.KEY.encode(), it) for it in told]
    fields = exchanges.read_fields(raw)
    message = exchanges.Message('/a/1', 0, fields, b'', 'GET')
    assert len(exchanges.read_request(message, 50.0).key_digest) in {
        0,
        len(SHOWN),
    }


def test_drops_the_name_of_a_customer_that_a_caller_sends() -> None:
    """Symptom: a caller is taken for another customer by the target."""
    raw = [
        (b'Fuchsiahaven-Tenant', b'bank'),
        (b'FUCHSIAHAVEN-TENANT', b'shop'),
        (b'X-Mine', b'1'),
    ]
    fields = exchanges.read_fields(raw)
    message = exchanges.Message('/a/1', 0, fields, b'', 'GET')
    request = exchanges.read_request(message, 50.0)
    assert request.fields == (('x-mine', '1'),)


def test_writes_the_name_of_a_customer_as_text_in_any_language() -> None:
    """Symptom: requests of a customer end in an error of the program."""
    send = make_send({})
    named = send._replace(request=send.request._replace(customer='Cl\xe9'))
    written = dict(exchanges.write_request(named, 50.0))
    assert written[headers.CUSTOMER].encode('latin-1') == b'Cl\xc3\xa9'


def test_passes_credentials_on_where_nobody_needs_a_key() -> None:
    """What a deployment without customers sends stays as it was."""
    fields = {headers.KEY: 'Basic abc', 'host': 'shop.example'}
    written = dict(exchanges.write_request(make_send(fields), 50.0))
    assert written[headers.KEY] == 'Basic abc'
    named = {**fields, 'connection': 'authorization'}
    written = dict(exchanges.write_request(make_send(named), 50.0))
    assert headers.KEY not in written
