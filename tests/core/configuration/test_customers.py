"""Test customers in the manifest, in patches and in changes."""

import json
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    manifests,
    patches,
    proposals,
    stored_json,
    trees,
)
from fuchsiahaven.core.customers import customers, keys
from fuchsiahaven.core.members import patch_codecs

DIGESTS: Final = tuple(keys.compute_digest(f'k-{it}') for it in range(6))
REQUEST_CLASS: Final = configurations.RequestClass('c')
SHOP: Final = customers.Customer('shop', DIGESTS[:1], 0, 2.5, 4.0)
BANK: Final = customers.Customer('bank', DIGESTS[1:2])
WITH_CUSTOMERS: Final = configurations.Configuration(
    3, classes=(REQUEST_CLASS._replace(public=True),), customers=(BANK, SHOP)
)


@st.composite
def draw_customers(draw: st.DrawFn) -> tuple[customers.Customer, ...]:
    """Draw customers that share no key, in the order that hosts use."""
    owners = draw(
        st.lists(st.sampled_from(('a', 'b', 'c', '')), min_size=6, max_size=6)
    )
    names = draw(st.sets(st.sampled_from(('a', 'b', 'c'))))
    keys_by_name = {
        name: [key for at, key in enumerate(DIGESTS) if owners[at] == name]
        for name in names
    }
    return tuple(
        customers.Customer(
            name,
            tuple(sorted(keys_by_name[name])),
            draw(st.none() | st.integers(0, 3)),
            float(draw(st.integers(0, 3))),
        )
        for name in sorted(names)
    )


CONFIGURATIONS: Final = st.builds(
    configurations.Configuration,
    st.integers(1, 9),
    st.just(()),
    st.just(()),
    st.booleans().map(lambda it: (REQUEST_CLASS._replace(public=it),)),
    draw_customers(),
)


def encode(configuration: configurations.Configuration) -> dict[str, Any]:
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    row: dict[str, Any] = json.loads(encoded.text)
    return row


@given(CONFIGURATIONS)
def test_customers_survive_encoding(
    configuration: configurations.Configuration,
) -> None:
    row = encode(configuration)
    decoded = manifests.decode(json.dumps(row))
    assert isinstance(decoded, manifests.Manifest)
    assert decoded.configuration == configuration
    needs_format = (
        bool(configuration.customers) or configuration.classes[0].public
    )
    expected = (
        stored_json.MAX_FORMAT if needs_format else stored_json.BASE_FORMAT
    )
    assert row['format'] == expected


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_a_patch_gives_the_same_customers(
    one: configurations.Configuration, other: configurations.Configuration
) -> None:
    """Guard against keys that stay valid on hosts that applied a patch."""
    old, new = (
        patches.stamp_configuration(one),
        patches.stamp_configuration(other),
    )
    parcel = patch_codecs.PatchMessage('h1', (patches.diff(old, new, 'id'),))
    read = patch_codecs.decode_patches(patch_codecs.encode_patches(parcel))
    assert read == parcel
    patched = patches.apply_patch(read.patches[0], old)
    assert patched is not None
    assert patched.configuration == other


def test_without_customers_the_encoding_is_unchanged() -> None:
    """Guard against a manifest that hosts of the previous release refuse."""
    plain = configurations.Configuration(3, classes=(REQUEST_CLASS,))
    row = encode(plain)
    assert row['format'] == 1
    assert 'customers' not in row
    assert 'public' not in row['classes']['c']
    stamped = patches.stamp_configuration(plain)
    # The digest that the previous release computed.
    assert stamped.stamp.digest == '4c1494c25b04f8798d7a'
    emptied = patches.stamp_configuration(plain._replace(classes=()))
    patch = patches.diff(stamped, emptied)
    written = patch_codecs.encode_patches(
        patch_codecs.PatchMessage('h1', (patch,))
    )
    assert b'customers' not in written
    assert b'public' not in written


INVALID_CUSTOMERS: Final[tuple[tuple[str, object], ...]] = (
    ('customers', {}),
    ('customers', None),
    ('customers', []),
    ('customers', {'': {'keys': {}, 'rate': 0, 'burst': 0}}),
    ('customers', {'a b': {'keys': {}, 'rate': 0, 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': 0}}),
    ('customers', {'a': {'keys': [], 'rate': 0, 'burst': 0}}),
    ('customers', {'a': {'keys': {'k-0': True}, 'rate': 0, 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': -1, 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': 1e300, 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': '1', 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': True, 'burst': 0}}),
    ('customers', {'a': {'keys': {}, 'rate': 0, 'burst': 0, 'x': 1}}),
    (
        'customers',
        {'a': {'keys': {}, 'rate': 0, 'burst': 0, 'priority': 4}},
    ),
    (
        'customers',
        {
            name: {'keys': {DIGESTS[0]: True}, 'rate': 0, 'burst': 0}
            for name in ('a', 'b')
        },
    ),
)


@pytest.mark.parametrize(('field', 'value'), INVALID_CUSTOMERS)
def test_an_invalid_customer_refuses_the_whole_manifest(
    field: str, value: object
) -> None:
    """Guard against a configuration that is put into force in part."""
    decoded = manifests.decode(
        json.dumps({**encode(WITH_CUSTOMERS), field: value})
    )
    assert isinstance(decoded, errors.Failure)
    assert decoded.kind is errors.Kind.INVALID_CONFIGURATION


@pytest.mark.parametrize('number', ['NaN', 'Infinity', '-Infinity', '1e999'])
def test_a_rate_that_is_not_finite_is_refused(number: str) -> None:
    """Guard against a quota that no comparison with NaN finds exceeded."""
    text = json.dumps(encode(WITH_CUSTOMERS)).replace('2.5', number)
    assert isinstance(manifests.decode(text), errors.Failure)


def test_a_patch_with_a_shared_key_is_refused() -> None:
    shared = WITH_CUSTOMERS._replace(
        customers=(BANK._replace(keys=SHOP.keys), SHOP)
    )
    patch = patches.diff(patches.EMPTY, patches.stamp_configuration(shared))
    assert patches.apply_patch(patch, patches.EMPTY) is None


def prepare(
    manifest: manifests.Manifest, change: changes.Change, *, force: bool = False
) -> proposals.PreparedChange | proposals.NothingChanged | errors.Failure:
    request = proposals.ChangeRequest('id', 'ana', change, force=force)
    return proposals.prepare_change(manifest, request, 1.0)


def apply_changes(*wanted_changes: changes.Change) -> manifests.Manifest:
    manifest = manifests.EMPTY
    for change in wanted_changes:
        prepared = prepare(manifest, change)
        assert isinstance(prepared, proposals.PreparedChange), prepared
        manifest = prepared.encoded.manifest
    return manifest


def test_operators_set_customers_and_rotate_their_keys() -> None:
    manifest = apply_changes(
        changes.SetCustomer('shop', (('rate', 2.5), ('priority', 0))),
        changes.AddKeys('shop', DIGESTS[:1]),
        changes.SetCustomer('shop', (('burst', 4.0),)),
        changes.AddKeys('shop', DIGESTS[1:2]),
        changes.RemoveKeys('shop', DIGESTS[:1]),
        changes.SetCustomer('shop', (('priority', None),)),
    )
    (shop,) = manifest.configuration.customers
    assert shop == customers.Customer('shop', DIGESTS[1:2], None, 2.5, 4.0)
    assert [it.description for it in manifest.entries][1:3] == [
        'add 1 keys to customer shop',
        'set customer shop: burst=4.0',
    ]
    removal = manifest.entries[4]
    undone = prepare(manifest, changes.UndoChange('id', removal.edits))
    assert isinstance(undone, proposals.PreparedChange)
    (shop,) = undone.encoded.manifest.configuration.customers
    assert set(shop.keys) == set(DIGESTS[:2])


@pytest.mark.parametrize(
    'change',
    [
        changes.AddKeys('bank', DIGESTS[:1]),
        changes.AddKeys('shop', ('k-secret',)),
        changes.AddKeys('other', DIGESTS[2:3]),
        changes.RemoveKeys('bank', DIGESTS[:1]),
        changes.DeleteCustomer('other'),
        changes.SetCustomer('shop', (('rate', -1.0),)),
        changes.SetCustomer('shop', (('rate', float('nan')),)),
        changes.SetCustomer('shop', (('burst', float('inf')),)),
        changes.SetCustomer('shop', (('priority', 9),)),
        changes.SetCustomer('two words'),
        changes.SetCustomer('line\nend'),
    ],
)
def test_an_invalid_customer_change_is_refused(
    change: changes.Change,
) -> None:
    """Guard against a change that is reported accepted but hosts refuse."""
    manifest = apply_changes(
        changes.SetCustomer('shop'),
        changes.AddKeys('shop', DIGESTS[:1]),
        changes.SetCustomer('bank'),
    )
    refused = prepare(manifest, change, force=True)
    assert isinstance(refused, errors.Failure)
    assert refused.kind is errors.Kind.INVALID_CHANGE
    assert 'k-secret' not in refused.detail


def test_deleting_the_last_customer_needs_force() -> None:
    """Guard against opening all classes to everyone by mistake."""
    manifest = apply_changes(changes.SetCustomer('shop'))
    deletion = changes.DeleteCustomer('shop')
    refused = prepare(manifest, deletion)
    assert isinstance(refused, errors.Failure)
    assert 'no class asks for a key' in refused.detail
    assert isinstance(
        prepare(manifest, deletion, force=True), proposals.PreparedChange
    )


def test_each_key_is_a_field_of_its_own() -> None:
    tree = trees.build_tree(WITH_CUSTOMERS)
    field = ('customers', 'shop', 'keys', DIGESTS[0])
    assert trees.find_field(tree, field) is True
