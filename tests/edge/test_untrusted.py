"""Fuzz every decoder of data from callers, targets, members and platform.

A decoder returns a value that the decision logic accepts, or raises its own
exception. Any other exception would end the reading thread. No decoder exceeds
its memory limit.
"""

import contextlib
import copy
import functools
import json
import math
import operator
import tracemalloc
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.claims import claim_codecs, claims
from fuchsiahaven.core.configuration import (
    configurations,
    manifests,
    patches,
    revision_messages,
    revisions,
)
from fuchsiahaven.core.members import (
    gossip_codecs,
    member_messages,
    member_states,
    members,
    membership,
    patch_codecs,
)
from fuchsiahaven.core.queries import records
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    caller_replies,
    caller_requests,
    frames,
    store_answers,
    target_protocol,
)
from tests.core import rig

ID: Final = '017f22e2-79b0-7cc3-98c4-dc0c0c07398f'
CLASS: Final = configurations.RequestClass('price-check')
BOUNDS: Final = caller_requests.BodyBounds(8, 100)
MEMBER: Final = ['quilicura-02', '10.0.0.2:7002', 1, 'alive']
STAMP: Final = [1, 'ab']
LOAD: Final = {'in_flight': 1, 'queued': 0, 'slots': 2}
HOLDING: Final = {'snapshot': 2, 'shard': 0, 'shards': 3, 'low': 0, 'high': 9}
HEALTH: Final = {
    'name': 'web-0/0',
    'state': 'live',
    'started_epoch': 2.0,
    'sequence': 7,
    'load': LOAD,
    'holdings': [HOLDING],
}
ANSWER: Final = {
    'request_id': 'id-1',
    'group': 'web',
    'shard': 0,
    'snapshot': 1,
    'attempt': 1,
    'rows': [{'id': 'a', 'rank': 1.5}],
    'state': 'live',
    'load': LOAD,
}
REFUSAL: Final = {
    'request_id': 'id-1',
    'attempt': 1,
    'ran': 'no',
    'reason': 'shed',
    'state': 'live',
    'retry_after_ms': 50,
}
GROUP: Final = configurations.Group(
    'web',
    (('tier', 'gold'),),
    (configurations.Target('web-0/0', '10.0.0.1:1', 'Quilicura'),),
)
CONFIGURATION: Final = configurations.Configuration(
    1,
    (GROUP,),
    (configurations.Selector('price-check', 'price-check', 'tier=gold'),),
    (CLASS,),
)
DECODED_ANSWER: Final = messages.Answer(
    ID,
    ({'id': 'a', 'rank': 1.5},),
    {'web': 1},
    coverage.build_coverage(
        (
            coverage.WantedRange('web', 0, 0, 9),
            coverage.WantedRange('web', 1, 9, 10),
        ),
        {coverage.ShardKey('web', 0)},
        {},
    ),
    1,
)
ENCODED: Final = manifests.encode(CONFIGURATION)
assert isinstance(ENCODED, manifests.Encoded)
LEDGER: Final = claims.Ledger({ID: claims.Claim('n', 9.0)}, 0)


class Reader(NamedTuple):
    """Hold a decoder, what it may raise, and an example it accepts."""

    name: str
    read: Callable[[bytes], object]
    example: Any
    refusal: type[Exception] = NotImplementedError


def read_request(body: bytes) -> object:
    query = caller_requests.decode_query(body, BOUNDS, lambda: ID, 100.0)
    return rig.Rig(CLASS).handle(messages.QuerySubmitted(1, query))


def read_answer(body: bytes, status: int = 200) -> object:
    host = rig.Rig(CLASS)
    send = host.submit()[0]
    frame = frames.Frame(status, body, closes=False)
    return host.handle(target_protocol.decode_search(send, frame))


def read_refusal(body: bytes) -> object:
    return read_answer(body, 503)


def read_health(body: bytes) -> object:
    host = rig.Rig(CLASS)
    target = configurations.Target('web-0/0', '10.0.0.0:1', rig.DATA_CENTRE)
    frame = frames.Frame(200, body, closes=False)
    host.handle(target_protocol.decode_probe(messages.Probe(target), frame))
    return host.submit()


def read_gossip(body: bytes) -> object:
    gossip = gossip_codecs.decode_gossip(body)
    if gossip is None:
        return None
    own_member = members.Member('h1', '10.0.0.1:1', 1, members.Standing.ALIVE)
    state = membership.start(
        own_member, 'Quilicura', member_states.Timings(), (), 0
    )
    received = member_messages.RequestReceived(1, gossip)
    actions = membership.handle_event(state, received, 1, float)[1]
    for action in actions:
        if isinstance(action, member_messages.Respond):
            gossip_codecs.encode_gossip(action.gossip)
    return gossip


def read_patches(body: bytes) -> object:
    message = patch_codecs.decode_patches(body)
    state = revisions.start('h1', 0, revisions.Timings())
    for patch in message.patches if message else ():
        pushed = revision_messages.PatchReceived('h2', patch)
        state = revisions.handle_event(state, pushed, 1, float)[0]
    return patch_codecs.encode_patches(message) if message else None


def read_batch(body: bytes) -> object:
    batch = claim_codecs.decode_batch(body)
    steps = batch.steps if batch else ()
    applied = claims.apply_steps(claims.EMPTY_LEDGER, steps)
    return claims.decode_ledger(claims.encode_ledger(applied.ledger))


def read_verdicts(body: bytes) -> object:
    return claim_codecs.decode_results(body, (claims.Attempt(ID, 'n', 9.0),))


def read_ledger(body: bytes) -> object:
    ledger = claims.decode_ledger(body.decode('utf-8', 'replace'))
    assert all(
        math.isfinite(it.not_after_epoch) for it in ledger.claims.values()
    )
    return claims.encode_ledger(ledger)


def read_manifest(body: bytes) -> object:
    decoded = manifests.decode(body.decode('utf-8', 'replace'))
    if isinstance(decoded, errors.Failure):
        return decoded
    for request_class in decoded.configuration.classes:
        assert 0 <= request_class.hedge_share <= 1
    return manifests.encode(decoded.configuration, decoded.entries)


def read_record(body: bytes) -> object:
    decoded = records.decode_answer(body.decode('utf-8', 'replace'))
    if decoded is None:
        return None
    reply = messages.Reply(1, decoded, replayed=True)
    return caller_replies.encode_reply(decoded.request_id, reply)


STEP: Final = {
    'kind': 'attempt',
    'request_id': ID,
    'nonce': 'n',
    'not_after_epoch': 9.0,
}
VERDICT: Final = {
    'nonce': 'n',
    'kind': 'attempt',
    'result': 'held',
    'held': ['n', 9.0, 0, None],
    'maybe_written': False,
    'detail': '',
}
HOST: Final = {
    'name': 'h1',
    'kind': 'entry',
    'address': '10.0.0.1:1',
    'data_centre': 'Odori',
    'state': 'live',
}
READERS: Final = (
    Reader(
        'request',
        read_request,
        {
            'class': 'price-check',
            'request_id': ID,
            'deadline_ms': 800,
            'key': 'pass-17',
            'query': {'text': 'combi oven', 'limit': 20},
        },
        caller_requests.Refusal,
    ),
    Reader('answer', read_answer, ANSWER),
    Reader('refusal', read_refusal, REFUSAL),
    Reader('health', read_health, HEALTH),
    Reader(
        'gossip',
        read_gossip,
        {
            'sender': MEMBER,
            'data_centre': 'Quilicura',
            'stamp': STAMP,
            'digest': 'ab',
            'news': [MEMBER],
            'relay': MEMBER,
            'reached': True,
        },
    ),
    Reader(
        'patches',
        read_patches,
        json.loads(
            patch_codecs.encode_patches(
                patch_codecs.PatchMessage(
                    'h2',
                    (
                        patches.diff(
                            patches.EMPTY,
                            patches.stamp_configuration(CONFIGURATION),
                        ),
                    ),
                )
            )
        ),
    ),
    Reader('batch', read_batch, {'key': 'claims/0/0', 'steps': [STEP]}),
    Reader('verdicts', read_verdicts, {'settled': [VERDICT]}),
    Reader(
        'ledger',
        read_ledger,
        json.loads(claims.encode_ledger(LEDGER)),
        claims.MalformedLedger,
    ),
    Reader(
        'manifest',
        read_manifest,
        json.loads(ENCODED.text),
    ),
    Reader(
        'record', read_record, json.loads(records.encode_answer(DECODED_ANSWER))
    ),
    Reader(
        'entry',
        lambda body: store_answers.decode_entry(body, 'k'),
        {'key': 'k', 'value': 'v', 'revision': 3},
        store_answers.MalformedAnswer,
    ),
    Reader(
        'keys',
        store_answers.decode_keys,
        {'keys': [{'key': 'k', 'revision': 3}]},
        store_answers.MalformedAnswer,
    ),
    Reader(
        'hosts',
        store_answers.decode_hosts,
        {'hosts': [HOST], 'age_s': 4.0},
        store_answers.MalformedAnswer,
    ),
)

#: Values that often break parsers and comparisons.
HOSTILE_VALUES: Final[tuple[Any, ...]] = (
    None,
    True,
    math.nan,
    math.inf,
    -1,
    0.5,
    10**400,
    '',
    '\ud800',
    'x\r\ny',
    [],
    {},
    [[]],
)
VALUES: Final = st.recursive(
    st.sampled_from(HOSTILE_VALUES) | st.integers() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=4,
)


def list_paths(node: Any, parent_path: tuple[Any, ...] = ()) -> list[Any]:
    """List the paths to every value in a body."""
    if not isinstance(node, dict | list):
        return [parent_path]
    keys = node if isinstance(node, dict) else range(len(node))
    return [
        parent_path,
        *(
            path
            for key in keys
            for path in list_paths(node[key], (*parent_path, key))
        ),
    ]


def replace_value(body: Any, path: tuple[Any, ...], value: Any) -> bytes:
    """Encode a body with the value at one path replaced."""
    copied = [copy.deepcopy(body)]
    *parent_path, last_key = (0, *path)
    functools.reduce(operator.getitem, parent_path, copied)[last_key] = value
    return json.dumps(copied[0]).encode()


@pytest.mark.parametrize('reader', READERS, ids=lambda reader: reader.name)
def test_accepts_or_refuses_any_value(reader: Reader) -> None:
    assert reader.read(json.dumps(reader.example).encode()) is not None
    for path in list_paths(reader.example):
        for value in HOSTILE_VALUES:
            with contextlib.suppress(reader.refusal):
                reader.read(replace_value(reader.example, path, value))


@pytest.mark.parametrize('reader', READERS, ids=lambda reader: reader.name)
@given(st.data())
def test_accepts_or_refuses_any_body(
    reader: Reader, data: st.DataObject
) -> None:
    paths = st.sampled_from(list_paths(reader.example))
    altered = st.builds(replace_value, st.just(reader.example), paths, VALUES)
    body = data.draw(st.binary() | altered)
    with contextlib.suppress(reader.refusal):
        reader.read(body[: data.draw(st.integers(0, len(body)))])


@pytest.mark.parametrize('reader', READERS, ids=lambda reader: reader.name)
def test_refuses_a_deeply_nested_body(reader: Reader) -> None:
    """Refuse a body nested deeper than the interpreter's recursion limit.

    Guards against a task that ends on a few kilobytes of opening brackets:
    the parser raises an error that is no ValueError and is not caught.
    """
    with contextlib.suppress(reader.refusal):
        reader.read(b'[' * 100_000)


@given(
    st.binary()
    | st.builds(
        b'HTTP/1.1 %d x\r\n%b: %b\r\n\r\n%b'.__mod__,
        st.tuples(
            st.integers(0, 999),
            st.sampled_from((b'Content-Length', b'Transfer-Encoding', b'x')),
            st.sampled_from((b'3', b'-1', b'9' * 5000, b'chunked', b'')),
            st.sampled_from((b'', b'abc', b'abcd', b'3\r\nabc\r\n0\r\n\r\n')),
        ),
    )
)
def test_accepts_or_refuses_any_frame(data: bytes) -> None:
    with contextlib.suppress(frames.FrameError):
        frame = frames.decode_frame(data, 100)
        assert frame is None or len(frame.body) <= 100


def test_refuses_a_report_of_many_snapshots() -> None:
    """Limit the memory that the report of one target can cause.

    Guards against a host that is killed when its memory grows by gigabytes:
    a target reports ten thousand snapshots, each in 65,536 shards, in less
    than a megabyte, and each snapshot gets a map with an entry per shard.
    """
    holdings = [
        {**HOLDING, 'snapshot': number, 'shards': 65_536, 'high': 1}
        for number in range(1, 41)
    ]
    body = json.dumps({**HEALTH, 'holdings': holdings}).encode()
    tracemalloc.start()
    try:
        read_health(body)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < 20_000_000
