"""Test how the customers of a configuration are decoded."""

import base64
import json
import traceback
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.customers import keys
from fuchsiahaven.platform import exchanges, records, store
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
MANY = 100_000
#: Bytes of memory for each key: its digest as text, and its place in a map.
MOST_BYTES = 500


def read(
    row: dict[str, Any], *, route: dict[str, Any] = ROUTE
) -> configs.Configuration:
    """Read a configuration with what is given besides one route."""
    told = {'version': 7, 'routes': [route], 'services': [], **row}
    text = json.dumps(told).encode()
    found = records.read_value(CONFIGURATION, base64.b64encode(text).decode())
    assert isinstance(found, configs.Configuration)
    return found


def tell(error: Exception) -> str:
    """Tell an error with all that led to it, as a traceback would."""
    return ''.join(traceback.format_exception(error))


def test_reads_customers_with_digests_in_place_of_keys() -> None:
    """What a customer leaves out is no limit and no priority of its own."""
    bank = {
        'name': 'Société bank',
        'api_keys': ['k-1', 'clé'],
        'priority': 0,
        'rate_per_s': 2.5,
        'burst': 4,
    }
    found = read({'tenants': [SHOP, bank]})
    assert found.customers == (
        configs.Customer('shop', (exchanges.digest_key(KEY),)),
        configs.Customer(
            'Société bank',
            (exchanges.digest_key('k-1'), exchanges.digest_key('clé')),
            0,
            2.5,
            4.0,
        ),
    )
    assert KEY not in repr(found)


def test_tells_no_customers_from_none_that_is_valid() -> None:
    """Symptom: all keys are taken away, and everybody is served."""
    assert read({}).customers is None
    assert read({'tenants': []}).customers == ()
    assert read({'tenants': [{'name': 'shop'}]}).customers == (
        configs.Customer('shop'),
    )


def test_reads_which_routes_are_public() -> None:
    """A route that does not say so is not."""
    assert not read({}).routes[0].public
    assert read({}, route={**ROUTE, 'public': True}).routes[0].public
    for told in ('true', 1, None):
        with pytest.raises(records.Malformed, match='public'):
            read({}, route={**ROUTE, 'public': told})


@pytest.mark.parametrize(
    'spoilt',
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
def test_refuses_a_version_with_a_spoilt_customer(
    spoilt: dict[str, Any],
) -> None:
    """The error names the customer and shows no key."""
    bank = {'name': 'bank', 'api_keys': ['k-1']}
    with pytest.raises(records.Malformed, match="customer 'shop'") as raised:
        read({'tenants': [bank, {**SHOP, **spoilt}]})
    assert KEY not in str(raised.value)
    assert KEY not in tell(raised.value)


@pytest.mark.parametrize(
    ('rows', 'wanted'),
    [
        ([SHOP, {**SHOP, 'api_keys': ['k-2']}], "'shop' is there twice"),
        ([SHOP, {**SHOP, 'name': 'bank'}], "'shop' and 'bank' hold one key"),
        ([SHOP, {'api_keys': ['k-2']}], 'customer 1 has no name'),
        ([{**SHOP, 'name': ''}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 7}], 'customer 0 has no name'),
        ([{**SHOP, 'name': ' shop'}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 'a\r\nHost: b'}], 'customer 0 has no name'),
        ([{**SHOP, 'name': 'a' * 200}], 'customer 0 has no name'),
        ([KEY], 'customer 0 is no object'),
        (None, 'customers are no list'),
        ({'shop': [KEY]}, 'customers are no list'),
    ],
)
def test_refuses_customers_that_cannot_be_told_apart(
    rows: object, wanted: str
) -> None:
    """Symptom: a request counts for whichever customer was read last."""
    with pytest.raises(records.Malformed, match=wanted) as raised:
        read({'tenants': rows})
    assert KEY not in str(raised.value)


@pytest.mark.parametrize('spoilt', [b'\xff', b'"', b'\x00', b'}'])
def test_shows_no_key_of_what_cannot_be_read(spoilt: bytes) -> None:
    """Symptom: a byte that is wrong brings all keys into the log.

    The error of an encoding holds the whole text.
    """
    text = b'{"tenants": [{"name": "shop", "api_keys": ["%s"]}]}' % KEY.encode()
    encoded = base64.b64encode(text + spoilt).decode()
    with pytest.raises(records.Malformed) as raised:
        records.read_value(CONFIGURATION, encoded)
    assert KEY not in tell(raised.value)
    page = b'{"items": [{"value": "%s"}]}\xff' % encoded.encode()
    with pytest.raises(records.Malformed) as raised:
        store.read_page(page, 1, lambda *_: None)
    assert encoded not in tell(raised.value)


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
def test_whatever_is_written_is_read_or_refused(told: object) -> None:
    """Symptom: an error of the program stops the reading of the store."""
    try:
        found = read({'tenants': told})
    except records.Malformed:
        return
    assert found.customers is not None


def test_reads_many_keys_in_bounded_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: hosts stand still while a large configuration is read.

    Each key is digested once, and neither comparing keys nor finding a
    customer by one goes through others.
    """
    digested = 0
    digest = keys.compute_digest

    def count(key: str) -> str:
        nonlocal digested
        digested += 1
        return digest(key)

    monkeypatch.setattr(keys, 'compute_digest', count)
    rows = [
        {'name': f'c-{at}', 'api_keys': [f'k-{at}-{it}' for it in range(10)]}
        for at in range(MANY // 10)
    ]
    tracemalloc.start()
    try:
        found = read({'tenants': rows})
        index = configs.build_index(found)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert digested == MANY
    assert len(index.customers) == MANY
    assert kept < MANY * MOST_BYTES
    assert index.customers[digest('k-7777-3')].name == 'c-7777'
