"""Test the decoding of the records of the platform's store."""

import base64
import contextlib
import json
from typing import Any

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.platform import records, store
from fuchsiahaven.routing import configs, deployments, facts, instances

CONFIGURATION = facts.Key(facts.Subject.CONFIGURATION, '')
INSTANCE = facts.Key(facts.Subject.INSTANCE, 'i-1')
ENTRY: dict[str, Any] = {
    'service': 'one',
    'address': '10.0.0.9:80',
    'zone': 'north',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
    'seq': 4,
}


def encode(row: Any) -> str:
    """Encode a value as the store does."""
    return base64.b64encode(json.dumps(row).encode()).decode()


def make_route(**action: Any) -> dict[str, Any]:
    """Make a route as operators write it."""
    return {
        'name': 'r-1',
        'host': 'Shop.Example',
        'prefix': '/a/',
        'type': 'non_idempotent',
        'timeout_ms': 300,
        'target_latency_ms': 68,
        'priority': 2,
        'max_attempts': 2,
        **action,
    }


@pytest.mark.parametrize(
    ('action', 'expected'),
    [
        ({'service': 'one'}, configs.Single('one')),
        (
            {'traffic_split': [{'service': 'one', 'weight': 3}]},
            configs.Split((configs.Weighted('one', 3.0),)),
        ),
        (
            {'gather': ['one', 'two'], 'top_k': 5, 'min_coverage': 0.75},
            configs.Gather(('one', 'two'), 5, 0.75),
        ),
    ],
)
def test_decodes_a_configuration(
    action: dict[str, Any], expected: configs.RouteAction
) -> None:
    """Times are converted to seconds, host names to lower case."""
    row = {
        'version': 7,
        'routes': [make_route(**action)],
        'services': [
            {'name': 'one', 'max_connections': 26},
            {'name': 'two', 'max_connections': 9, 'warmup_per_s': 2.5},
        ],
        'limits': {'max_body_bytes': 100, 'idle_timeout_ms': 1500},
    }
    decoded = records.decode_value(CONFIGURATION, encode(row))
    assert isinstance(decoded, configs.Configuration)
    (route,) = decoded.routes
    assert route.way == expected
    assert (route.host, route.timeout) == ('shop.example', 0.3)
    assert route.repeat is configurations.Repeat.AT_MOST_ONCE
    assert decoded.services == (
        configs.Service('one', 26),
        configs.Service('two', 9, 2.5),
    )
    assert (decoded.limits.body_bytes, decoded.limits.idle) == (100, 1.5)


@pytest.mark.parametrize('rate', [-1, float('inf'), float('nan'), '4', None])
def test_rejects_an_invalid_rate(rate: object) -> None:
    """Guard against an exception when a query selects a cold target."""
    service = {'name': 'one', 'max_connections': 26, 'warmup_per_s': rate}
    row = {'version': 7, 'routes': [], 'services': [service]}
    with pytest.raises(records.MalformedError):
        records.decode_value(CONFIGURATION, encode(row))


def test_decodes_an_instance() -> None:
    """A target that is draining is leaving."""
    row = {**ENTRY, 'state': 'draining', 'warmup_left_ms': 12}
    decoded = records.decode_value(INSTANCE, encode(row))
    assert decoded == instances.Instance(
        'i-1',
        'i-1',
        'one',
        '10.0.0.9:80',
        'north',
        2,
        leaving=True,
        warming=0.012,
    )


@pytest.mark.parametrize('encoded', ['e30=', '', 'no base64', 'bnVsbA=='])
def test_decodes_an_evacuation_with_any_value(encoded: str) -> None:
    """Guard against work for targets of an evacuated data centre.

    The key alone orders the evacuation; a malformed value does not cancel it.
    """
    key = records.parse_key('op/evacuate/north')
    assert key == facts.Key(facts.Subject.EVACUATION, 'north')
    assert records.decode_value(key, encoded) == deployments.Evacuation('north')


def test_decodes_the_removal_of_an_evacuation() -> None:
    """A removed key is decoded as a fact without a value."""
    row = {'key': 'op/evacuate/north', 'revision': 9, 'deleted': True}
    body = json.dumps({'events': [row], 'store_revision': 9}).encode()
    page = store.decode_events(body, 3, lambda *_: None)
    key = facts.Key(facts.Subject.EVACUATION, 'north')
    assert page.items == (facts.Fact(key, 9, None, era=3),)


def test_each_start_of_a_target_has_its_own_name() -> None:
    """A restarted target has a new name, but requests still use its id."""
    first = records.decode_value(INSTANCE, encode({**ENTRY, 'born': 1_000}))
    second = records.decode_value(INSTANCE, encode({**ENTRY, 'born': 2_000}))
    assert isinstance(first, instances.Instance)
    assert isinstance(second, instances.Instance)
    assert first.name != second.name
    assert first.id == second.id == 'i-1'


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('service', None),
        ('service', ''),
        ('service', ['one']),
        ('address', '10.0.0.9'),
        ('address', '10.0.0.9:0'),
        ('address', '10.0.0.9:99999'),
        ('address', 'localhost:80'),
        ('address', {'ip': '10.0.0.9'}),
        ('zone', 7),
        ('slots', 0),
        ('slots', '2'),
        ('slots', True),
        ('slots', float('nan')),
        ('state', 'asleep'),
        ('state', ['ready']),
        ('warmup_left_ms', -1),
        ('warmup_left_ms', None),
        ('born', 1.5),
        ('born', '1000'),
        ('born', 10**30),
    ],
)
def test_rejects_an_instance_with_an_invalid_field(
    field: str, value: object
) -> None:
    """Guard against an exception when a query selects a target.

    Another writer puts an entry with fields of wrong types. If it is accepted,
    it fails only when it is used.
    """
    with pytest.raises(records.MalformedError):
        records.decode_value(INSTANCE, encode({**ENTRY, field: value}))


@pytest.mark.parametrize(
    'field', ['service', 'address', 'zone', 'slots', 'state', 'warmup_left_ms']
)
def test_rejects_an_instance_without_a_field(field: str) -> None:
    """All fields of an entry are required."""
    row = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(records.MalformedError):
        records.decode_value(INSTANCE, encode(row))


@given(
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from([*ENTRY, 'born', 'other']),
                inner,
            )
        ),
    ),
    strategies.sampled_from(facts.Subject),
)
def test_decodes_or_rejects_any_value(
    row: object, subject: facts.Subject
) -> None:
    """Any JSON is decoded, or raises MalformedError."""
    if isinstance(row, dict):
        row = {**ENTRY, **row}
    with contextlib.suppress(records.MalformedError):
        records.decode_value(facts.Key(subject, 'i-1'), encode(row))


@given(strategies.binary())
def test_decodes_or_rejects_any_bytes(raw: bytes) -> None:
    """Any bytes are decoded, or raise MalformedError."""
    encoded = base64.b64encode(raw).decode()
    for text in (encoded, raw.decode('latin-1'), '[' * 100_000):
        with contextlib.suppress(records.MalformedError):
            records.decode_value(INSTANCE, text)


@pytest.mark.parametrize('text', ['%', encode([]), encode({'version': 1})])
def test_rejects_a_malformed_record(text: str) -> None:
    """Invalid base64 or JSON and missing fields raise MalformedError."""
    with pytest.raises(records.MalformedError):
        records.decode_value(CONFIGURATION, text)


def test_decodes_a_page_and_skips_foreign_keys() -> None:
    """Keys of other systems are skipped, also as the last key of the page."""
    host = deployments.Host('host-1', '10.0.0.1:7', 'north')
    key, encoded = records.encode_host(host)
    rows = [
        {'key': key, 'value': encoded, 'revision': 4},
        {'key': 'other/key', 'value': 'eA==', 'revision': 5},
    ]
    body = {'items': rows, 'has_more': True, 'store_revision': 9}

    def decode(key: facts.Key, stamp: facts.Stamp, text: str) -> facts.Value:
        return records.decode_value(key, text)

    page = store.decode_page(json.dumps(body).encode(), 3, decode)
    assert (page.revision, page.next_after) == (9, 'other/key')
    assert page.items == (
        facts.Fact(facts.Key(facts.Subject.HOST, 'host-1'), 4, host, era=3),
    )
    last = json.dumps({**body, 'has_more': False}).encode()
    assert store.decode_page(last, 3, decode).next_after is None
    with pytest.raises(records.MalformedError):
        store.decode_page(b'{}', 3, decode)


def test_puts_the_entry_of_a_host_under_its_lease() -> None:
    """The entry is removed when the lease ends."""
    call = store.build_put_host_call(
        deployments.Host('host-1', '10.0.0.1:7', 'north'), 77
    )
    body = json.loads(call.body)
    assert body['puts'][0]['lease'] == 77
    assert body['puts'][0]['key'].endswith('/host-1')
