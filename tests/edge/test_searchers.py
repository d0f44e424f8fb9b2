"""Test that only the answer to what was asked is taken for one."""

import json
from typing import Any, Final

import pytest

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import frames, searchers

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
LIMIT: Final = 2000
HEAD: Final = 'HTTP/1.1 200 OK\r\n'


def write(body: str, *fields: str) -> bytes:
    """Write an answer as a target does."""
    lines = ''.join(f'{field}\r\n' for field in fields)
    return f'{HEAD}Content-Length: {len(body)}\r\n{lines}\r\n{body}'.encode()


def read(data: bytes) -> messages.Event | messages.Fault | None:
    """Read bytes as the loop does; None while the answer is not whole."""
    try:
        frame = frames.cut_frame(data, LIMIT)
    except frames.FrameError as error:
        return error.fault
    return None if frame is None else searchers.read_search(SEND, frame)


def test_right_answer_is_taken() -> None:
    data = write(json.dumps(BODY))
    answered = read(data)
    assert isinstance(answered, messages.PartAnswered)
    assert answered.rows == ({'id': 'a', 'rank': 1.5},)
    assert answered.load == messages.Load(1, 0, 2)
    size = len(data)
    for end in range(size):
        assert read(data[:end]) is None


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
def test_answer_to_another_request_is_dropped(change: dict[str, Any]) -> None:
    """Drop what answers another request, shard or snapshot.

    Symptom: rows of another caller, shard or index version in an answer.
    Sequence: a target mixes up two answers.
    Cause: whatever comes back on a connection is taken for its answer.
    """
    dropped = read(write(json.dumps({**BODY, **change})))
    assert dropped == messages.PartFailed(
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
def test_malformed_answer_is_dropped(change: dict[str, Any]) -> None:
    dropped = read(write(json.dumps({**BODY, **change})))
    assert dropped == messages.PartFailed(
        SEND.part, TARGET.name, messages.Fault.MALFORMED
    )


@pytest.mark.parametrize(
    'body', ['', '[]', '{"a":', '\ud800', '[' * 1500, '{"rank": 1e999}']
)
def test_garbage_is_dropped(body: str) -> None:
    data = write('?').replace(b'?', body.encode('utf-8', 'surrogatepass'))
    length = len(data.partition(b'\r\n\r\n')[2])
    data = data.replace(b'Length: 1', b'Length: %d' % length)
    broken = read(data)
    assert isinstance(broken, messages.PartFailed)


@pytest.mark.parametrize(
    ('data', 'fault'),
    [
        (b'\x16\x03\x01\r\n\r\n', messages.Fault.MALFORMED),
        (b'x' * 20_000, messages.Fault.TOO_LARGE),
        (write('x' * (LIMIT + 1)), messages.Fault.TOO_LARGE),
        (write('{}', 'Content-Encoding: gzip'), messages.Fault.MALFORMED),
        (write('{}').replace(b'{}', b'{}HTTP'), messages.Fault.MALFORMED),
        (f'{HEAD}\r\n{{}}'.encode(), messages.Fault.MALFORMED),
    ],
    ids=['not http', 'head', 'oversized', 'compressed', 'trailing', 'endless'],
)
def test_bad_frame_is_dropped(data: bytes, fault: messages.Fault) -> None:
    assert read(data) is fault


def test_chunks_are_joined() -> None:
    text = json.dumps(BODY)
    half = len(text) // 2
    chunks = ''.join(
        f'{len(part):x}\r\n{part}\r\n' for part in (text[:half], text[half:])
    )
    data = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n'
    assert isinstance(read(data.encode()), messages.PartAnswered)


@pytest.mark.parametrize(('ran', 'may_have_run'), [('no', 0), ('unknown', 1)])
def test_refusal_says_whether_it_may_have_run(
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
    data = write(json.dumps(body)).replace(b'200 OK', b'503 -')
    refused = read(data)
    assert isinstance(refused, messages.PartRefused)
    assert refused.may_have_run == bool(may_have_run)
    assert refused.retry_after == 0.05


def test_paused_host_does_not_send_after_its_claim() -> None:
    """Look at the clock once more right before sending.

    Symptom: a refund runs twice.
    Sequence: a host is paused between its claim and its sending; the claim
    ends; the id runs elsewhere; the host wakes.
    Cause: the time is checked only when the claim is granted.
    """
    late = SEND.request._replace(at_most_once=True, not_after_epoch=1.0)
    assert not searchers.may_start(late, 100.0)
    assert searchers.may_start(late._replace(not_after_epoch=None), 100.0)
    assert not searchers.may_start(SEND.request, 100.5)
