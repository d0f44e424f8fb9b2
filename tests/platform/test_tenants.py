"""Test the decoding of the customers of a configuration."""

import base64
import json
import traceback
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.customers import keys
from fuchsiahaven.platform import http_codecs, records, store
from fuchsiahaven.routing import configs, facts

CONFIGURATION = facts.Key(facts.Subject.CONFIGURATION, '')
KEY = 'wbr9bc582dm2buc7takh'
SHOP: dict[str, Any] = {'name': 'shop', 'api_keys': [KEY]}
ROUTE = {
    'name': 'r-1',
    'host': 'shop.example',
    'prefix': '/a/',
    'type': 'idempotent',
    'timeout_ms': 300,
    'target_latency_ms': 68,
    'service': 'one',
}
KEY_COUNT = 100_000
#: Memory for each key: its digest as text and an entry in a dictionary.
MAX_BYTES_PER_KEY = 500


def decode_configuration(
    row: dict[str, Any], *, route: dict[str, Any] = ROUTE
) -> configs.Configuration:
    """Decode a configuration with one route and the given fields."""
    configuration = {'version': 7, 'routes': [route], 'services': [], **row}
    text = json.dumps(configuration).encode()
    decoded = records.decode_value(
        CONFIGURATION, base64.b64encode(text).decode()
    )
    assert isinstance(decoded, configs.Configuration)
    return decoded


def format_error(error: Exception) -> str:
    """Format an error with its causes, as in a traceback."""
    return ''.join(traceback.format_exception(error))


def test_decodes_customers_with_digests_instead_of_keys() -> None:
    """Without the fields there is no limit and no priority of its own."""
    bank = {
        'name': 'Société bank',
        'api_keys': ['k-1', 'clé'],
        'priority': 0,
        'rate_per_s': 2.5,
        'burst': 4,
    }
    decoded = decode_configuration({'tenants': [SHOP, bank]})
    assert decoded.customers == (
        configs.Customer('shop', (http_codecs.digest_key(KEY),)),
        configs.Customer(
            'Société bank',
            (http_codecs.digest_key('k-1'), http_codecs.digest_key('clé')),
            0,
            2.5,
            4.0,
        ),
    )
    assert KEY not in repr(decoded)


def test_no_customer_list_differs_from_an_empty_one() -> None:
    """Guard against serving all callers after all customers were removed."""
    assert decode_configuration({}).customers is None
    assert decode_configuration({'tenants': []}).customers == ()
    assert decode_configuration({'tenants': [{'name': 'shop'}]}).customers == (
        configs.Customer('shop'),
    )


def test_decodes_which_routes_are_public() -> None:
    """A route is not public by default; other types are rejected."""
    assert not decode_configuration({}).routes[0].public
    assert (
        decode_configuration({}, route={**ROUTE, 'public': True})
        .routes[0]
        .public
    )
    for public in ('true', 1, None):
        with pytest.raises(records.MalformedError, match='public'):
            decode_configuration({}, route={**ROUTE, 'public': public})


@pytest.mark.parametrize(
    'invalid',
    [
        {'api_keys': [KEY, KEY]},
        {'api_keys': KEY},
        {'api_keys': None},
        {'api_keys': [KEY, 7]},
        {'api_keys': [KEY, '']},
        {'api_keys': [KEY, f'{KEY}\ud800']},
        {'priority': '0'},
        {'priority': True},
        {'priority': -1},
        {'priority': 1.5},
        {'rate_per_s': -1},
        {'rate_per_s': float('nan')},
        {'rate_per_s': float('inf')},
        {'rate_per_s': True},
        {'rate_per_s': '5'},
        {'rate_per_s': None},
        {'rate_per_s': 10**400},
        {'burst': -0.5},
        {'burst': False},
        {'burst': float('-inf')},
    ],
)
def test_rejects_a_version_with_an_invalid_customer(
    invalid: dict[str, Any],
) -> None:
    """The error names the customer but contains no key."""
    bank = {'name': 'bank', 'api_keys': ['k-1']}
    with pytest.raises(
        records.MalformedError, match="customer 'shop'"
    ) as raised:
        decode_configuration({'tenants': [bank, {**SHOP, **invalid}]})
    assert KEY not in str(raised.value)
    assert KEY not in format_error(raised.value)


@pytest.mark.parametrize(
    ('rows', 'expected'),
    [
        ([SHOP, {**SHOP, 'api_keys': ['k-2']}], "'shop' is there twice"),
        ([SHOP, {**SHOP, 'name': 'bank'}], "'shop' and 'bank' hold one key"),
        ([SHOP, {'api_keys': ['k-2']}], 'customer 1 has no name'),
        ([{**SHOP, 'name': ''}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 7}], 'customer 0 has no name'),
        ([{**SHOP, 'name': ' shop'}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 'a\r\nHost: b'}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 'a' * 200}], 'customer 0 has no name'),
        ([KEY], 'customer 0 is not an object'),
        (None, 'customers are not a list'),
        ({'shop': [KEY]}, 'customers are not a list'),
    ],
)
def test_rejects_indistinguishable_customers(
    rows: object, expected: str
) -> None:
    """Guard against counting requests for the wrong customer."""
    with pytest.raises(records.MalformedError, match=expected) as raised:
        decode_configuration({'tenants': rows})
    assert KEY not in str(raised.value)


@pytest.mark.parametrize('suffix', [b'\xff', b'"', b'\x00', b'}'])
def test_decode_errors_reveal_no_key(suffix: bytes) -> None:
    """Guard against all keys in the log after one invalid byte.

    The repr of a UnicodeError contains the whole input.
    """
    text = b'{"tenants": [{"name": "shop", "api_keys": ["%s"]}]}' % KEY.encode()
    encoded = base64.b64encode(text + suffix).decode()
    with pytest.raises(records.MalformedError) as raised:
        records.decode_value(CONFIGURATION, encoded)
    assert KEY not in format_error(raised.value)
    page = b'{"items": [{"value": "%s"}]}\xff' % encoded.encode()
    with pytest.raises(records.MalformedError) as raised:
        store.decode_page(page, 1, lambda *_: None)
    assert encoded not in format_error(raised.value)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(('name', 'api_keys', 'priority', 'burst')),
            inner,
        )
    ),
)


@given(JSON)
def test_decodes_or_rejects_any_customers(customers: object) -> None:
    """Guard against an exception that stops the reading of the store."""
    try:
        decoded = decode_configuration({'tenants': customers})
    except records.MalformedError:
        return
    assert decoded.customers is not None


def test_decodes_many_keys_in_linear_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against hosts that block while they decode a large configuration.

    Each key is digested once. Comparing keys and finding a customer by a key
    do not iterate over other keys.
    """
    digest_calls = 0
    digest = keys.compute_digest

    def count_digest(key: str) -> str:
        nonlocal digest_calls
        digest_calls += 1
        return digest(key)

    monkeypatch.setattr(keys, 'compute_digest', count_digest)
    rows = [
        {
            'name': f'c-{number}',
            'api_keys': [
                f'k-{number}-{key_number}' for key_number in range(10)
            ],
        }
        for number in range(KEY_COUNT // 10)
    ]
    tracemalloc.start()
    try:
        decoded = decode_configuration({'tenants': rows})
        index = configs.build_index(decoded)
        allocated_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert digest_calls == KEY_COUNT
    assert len(index.customers) == KEY_COUNT
    assert allocated_bytes < KEY_COUNT * MAX_BYTES_PER_KEY
    assert index.customers[digest('k-7777-3')].name == 'c-7777'
