"""Test that only a valid answer to its own request is accepted."""

import json
from typing import Any, Final

import pytest

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import frames, target_protocol

TARGET: Final = configurations.Target('web-3/1', '10.0.0.1:1', 'Quilicura')
SEND: Final = messages.Send(
    messages.PartKey(7, 'web', 3, 1),
    TARGET,
    messages.PartRequest(
        'id-1', 'price-check', 'web', 3, 12, 1, {'text': 'oven'}, 100.5, False
    ),
)
BODY: Final = {
    'request_id': 'id-1',
    'group': 'web',
    'shard': 3,
    'snapshot': 12,
    'attempt': 1,
    'rows': [{'id': 'a', 'rank': 1.5}],
    'state': 'live',
    'load': {'in_flight': 1, 'queued': 0, 'slots': 2},
}
MAX_BODY_BYTES: Final = 2000
HEAD: Final = 'HTTP/1.1 200 OK\r\n'


def encode_response(body: str, *fields: str) -> bytes:
    """Encode a response as a target does."""
    lines = ''.join(f'{field}\r\n' for field in fields)
    return f'{HEAD}Content-Length: {len(body)}\r\n{lines}\r\n{body}'.encode()


def decode_response(data: bytes) -> messages.Event | messages.Fault | None:
    """Decode bytes as the loop does; None while incomplete."""
    try:
        frame = frames.decode_frame(data, MAX_BODY_BYTES)
    except frames.FrameError as error:
        return error.fault
    return None if frame is None else target_protocol.decode_search(SEND, frame)


def test_decodes_a_matching_answer() -> None:
    data = encode_response(json.dumps(BODY))
    answered = decode_response(data)
    assert isinstance(answered, messages.PartAnswered)
    assert answered.rows == ({'id': 'a', 'rank': 1.5},)
    assert answered.load == messages.Load(1, 0, 2)
    size = len(data)
    for end in range(size):
        assert decode_response(data[:end]) is None


@pytest.mark.parametrize(
    'change',
    [
        {'request_id': 'id-2'},
        {'attempt': 2},
        {'group': 'other'},
        {'shard': 4},
        {'snapshot': 13},
    ],
)
def test_rejects_an_answer_to_another_request(change: dict[str, Any]) -> None:
    """Reject the answer to another request, shard or snapshot.

    Guards against rows of another caller, shard or index version: a target
    mixes up two answers, and the bytes on a connection are accepted without
    a check.
    """
    failed = decode_response(encode_response(json.dumps({**BODY, **change})))
    assert failed == messages.PartFailed(
        SEND.part, TARGET.name, messages.Fault.MISMATCHED
    )


@pytest.mark.parametrize(
    'change',
    [
        {'rows': None},
        {'rows': [1]},
        {'rows': [{'id': 'a'}]},
        {'rows': [{'id': 1, 'rank': 1}]},
        {'rows': [{'id': 'a', 'rank': '1'}]},
        {'rows': [{'id': 'a', 'rank': float('nan')}]},
        {'rows': [{'id': 'a', 'rank': 10**400}]},
        {'state': 'well'},
        {'state': ['live']},
    ],
)
def test_rejects_a_malformed_answer(change: dict[str, Any]) -> None:
    failed = decode_response(encode_response(json.dumps({**BODY, **change})))
    assert failed == messages.PartFailed(
        SEND.part, TARGET.name, messages.Fault.MALFORMED
    )


@pytest.mark.parametrize(
    'body', ['', '[]', '{"a":', '\ud800', '[' * 1500, '{"rank": 1e999}']
)
def test_rejects_a_malformed_body(body: str) -> None:
    data = encode_response('?').replace(
        b'?', body.encode('utf-8', 'surrogatepass')
    )
    length = len(data.partition(b'\r\n\r\n')[2])
    data = data.replace(b'Length: 1', b'Length: %d' % length)
    failed = decode_response(data)
    assert isinstance(failed, messages.PartFailed)


@pytest.mark.parametrize(
    ('data', 'fault'),
    [
        (b'\x16\x03\x01\r\n\r\n', messages.Fault.MALFORMED),
        (b'x' * 20_000, messages.Fault.TOO_LARGE),
        (encode_response('x' * (MAX_BODY_BYTES + 1)), messages.Fault.TOO_LARGE),
        (
            encode_response('{}', 'Content-Encoding: gzip'),
            messages.Fault.MALFORMED,
        ),
        (
            encode_response('{}').replace(b'{}', b'{}HTTP'),
            messages.Fault.MALFORMED,
        ),
        (f'{HEAD}\r\n{{}}'.encode(), messages.Fault.MALFORMED),
    ],
    ids=['not http', 'head', 'oversized', 'compressed', 'trailing', 'endless'],
)
def test_rejects_a_malformed_frame(data: bytes, fault: messages.Fault) -> None:
    assert decode_response(data) is fault


def test_joins_chunks() -> None:
    text = json.dumps(BODY)
    half = len(text) // 2
    chunks = ''.join(
        f'{len(part):x}\r\n{part}\r\n' for part in (text[:half], text[half:])
    )
    data = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n'
    assert isinstance(decode_response(data.encode()), messages.PartAnswered)


@pytest.mark.parametrize(('ran', 'may_have_run'), [('no', 0), ('unknown', 1)])
def test_decodes_whether_a_refused_part_may_have_run(
    ran: str, may_have_run: int
) -> None:
    body = {
        'request_id': 'id-1',
        'attempt': 1,
        'ran': ran,
        'state': 'live',
        'reason': 'cancelled',
        'retry_after_ms': 50,
    }
    data = encode_response(json.dumps(body)).replace(b'200 OK', b'503 -')
    refused = decode_response(data)
    assert isinstance(refused, messages.PartRefused)
    assert refused.may_have_run == bool(may_have_run)
    assert refused.retry_after == 0.05


def test_sends_nothing_after_the_claim_expires() -> None:
    """Check the expiry of the claim again right before sending.

    Guards against a refund that runs twice: a host is paused between its
    claim and its send, the claim expires, the id runs elsewhere, and the
    host resumes. Checking the time at the grant alone is not enough.
    """
    expired = SEND.request._replace(at_most_once=True, not_after_epoch=1.0)
    assert not target_protocol.may_send(expired, 100.0)
    assert target_protocol.may_send(
        expired._replace(not_after_epoch=None), 100.0
    )
    assert not target_protocol.may_send(SEND.request, 100.5)
