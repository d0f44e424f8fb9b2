"""Check customers in the manifest, in patches and in changes."""

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
    texts,
    trees,
)
from fuchsiahaven.core.customers import customers, keys
from fuchsiahaven.core.members import patch_rows

KEYS: Final = tuple(keys.digest(f'k-{it}') for it in range(6))
CLASS: Final = configurations.RequestClass('c')
SHOP: Final = customers.Customer('shop', KEYS[:1], 0, 2.5, 4.0)
BANK: Final = customers.Customer('bank', KEYS[1:2])
KEYED: Final = configurations.Configuration(
    3, classes=(CLASS._replace(public=True),), customers=(BANK, SHOP)
)


@st.composite
def draw_customers(draw: st.DrawFn) -> tuple[customers.Customer, ...]:
    """Draw customers that share no key, in the order in which hosts hold."""
    owners = draw(
        st.lists(st.sampled_from(('a', 'b', 'c', '')), min_size=6, max_size=6)
    )
    names = draw(st.sets(st.sampled_from(('a', 'b', 'c'))))
    held = {
        name: [key for at, key in enumerate(KEYS) if owners[at] == name]
        for name in names
    }
    return tuple(
        customers.Customer(
            name,
            tuple(sorted(held[name])),
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
    st.booleans().map(lambda it: (CLASS._replace(public=it),)),
    draw_customers(),
)


def encode(configuration: configurations.Configuration) -> dict[str, Any]:
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    row: dict[str, Any] = json.loads(encoded.text)
    return row


@given(CONFIGURATIONS)
def test_a_manifest_gives_its_customers_back(
    configuration: configurations.Configuration,
) -> None:
    row = encode(configuration)
    found = manifests.decode(json.dumps(row))
    assert isinstance(found, manifests.Manifest)
    assert found.configuration == configuration
    known = bool(configuration.customers) or configuration.classes[0].public
    wanted = texts.FORMAT if known else texts.PLAIN
    assert row['format'] == wanted


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_a_patch_leads_to_the_same_customers(
    one: configurations.Configuration, other: configurations.Configuration
) -> None:
    """Guard against a key that goes on on hosts which got a patch."""
    old, new = patches.stamp(one), patches.stamp(other)
    parcel = patch_rows.Parcel('h1', (patches.diff(old, new, 'id'),))
    read = patch_rows.read(patch_rows.write(parcel))
    assert read == parcel
    patched = patches.apply(read.patches[0], old)
    assert patched is not None
    assert patched.configuration == other


def test_without_customers_what_is_written_is_as_it_was() -> None:
    """Guard against hosts of the release before that refuse a manifest."""
    plain = configurations.Configuration(3, classes=(CLASS,))
    row = encode(plain)
    assert row['format'] == 1
    assert 'customers' not in row
    assert 'public' not in row['classes']['c']
    stamped = patches.stamp(plain)
    # As the release before worked it out.
    assert stamped.stamp.digest == '4c1494c25b04f8798d7a'
    emptied = patches.stamp(plain._replace(classes=()))
    patch = patches.diff(stamped, emptied)
    written = patch_rows.write(patch_rows.Parcel('h1', (patch,)))
    assert b'customers' not in written
    assert b'public' not in written


SPOILT: Final[tuple[tuple[str, object], ...]] = (
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
            name: {'keys': {KEYS[0]: True}, 'rate': 0, 'burst': 0}
            for name in ('a', 'b')
        },
    ),
)


@pytest.mark.parametrize(('field', 'told'), SPOILT)
def test_a_spoilt_customer_refuses_the_manifest_whole(
    field: str, told: object
) -> None:
    """Guard against half of a version in force."""
    found = manifests.decode(json.dumps({**encode(KEYED), field: told}))
    assert isinstance(found, errors.Failure)
    assert found.kind is errors.Kind.INVALID_CONFIGURATION


@pytest.mark.parametrize('figure', ['NaN', 'Infinity', '-Infinity', '1e999'])
def test_a_rate_that_is_no_finite_number_is_refused(figure: str) -> None:
    """Guard against a quota that no comparison finds exceeded."""
    text = json.dumps(encode(KEYED)).replace('2.5', figure)
    assert isinstance(manifests.decode(text), errors.Failure)


def test_a_patch_that_has_two_customers_share_a_key_is_refused() -> None:
    shared = KEYED._replace(customers=(BANK._replace(keys=SHOP.keys), SHOP))
    patch = patches.diff(patches.NOTHING, patches.stamp(shared))
    assert patches.apply(patch, patches.NOTHING) is None


def change(
    manifest: manifests.Manifest, wanted: changes.Change, *, force: bool = False
) -> proposals.Prepared | proposals.Unchanged | errors.Failure:
    request = proposals.Request('id', 'ana', wanted, force=force)
    return proposals.prepare(manifest, request, 1.0)


def make(*wanted: changes.Change) -> manifests.Manifest:
    manifest = manifests.EMPTY
    for one in wanted:
        made = change(manifest, one)
        assert isinstance(made, proposals.Prepared), made
        manifest = made.encoded.manifest
    return manifest


def test_operators_set_customers_and_rotate_their_keys() -> None:
    manifest = make(
        changes.SetCustomer('shop', (('rate', 2.5), ('priority', 0))),
        changes.AddKeys('shop', KEYS[:1]),
        changes.SetCustomer('shop', (('burst', 4.0),)),
        changes.AddKeys('shop', KEYS[1:2]),
        changes.RemoveKeys('shop', KEYS[:1]),
        changes.SetCustomer('shop', (('priority', None),)),
    )
    (shop,) = manifest.configuration.customers
    assert shop == customers.Customer('shop', KEYS[1:2], None, 2.5, 4.0)
    assert [it.what for it in manifest.changes][1:3] == [
        'add 1 keys to customer shop',
        'set customer shop: burst=4.0',
    ]
    removal = manifest.changes[4]
    back = change(manifest, changes.Restore('id', removal.edits))
    assert isinstance(back, proposals.Prepared)
    (shop,) = back.encoded.manifest.configuration.customers
    assert set(shop.keys) == set(KEYS[:2])


@pytest.mark.parametrize(
    'wanted',
    [
        changes.AddKeys('bank', KEYS[:1]),
        changes.AddKeys('shop', ('k-secret',)),
        changes.AddKeys('other', KEYS[2:3]),
        changes.RemoveKeys('bank', KEYS[:1]),
        changes.DeleteCustomer('other'),
        changes.SetCustomer('shop', (('rate', -1.0),)),
        changes.SetCustomer('shop', (('rate', float('nan')),)),
        changes.SetCustomer('shop', (('burst', float('inf')),)),
        changes.SetCustomer('shop', (('priority', 9),)),
        changes.SetCustomer('two words'),
        changes.SetCustomer('line\nend'),
    ],
)
def test_a_change_that_spoils_customers_is_refused_whole(
    wanted: changes.Change,
) -> None:
    """Guard against a change that is told as done and refused by hosts."""
    manifest = make(
        changes.SetCustomer('shop'),
        changes.AddKeys('shop', KEYS[:1]),
        changes.SetCustomer('bank'),
    )
    refused = change(manifest, wanted, force=True)
    assert isinstance(refused, errors.Failure)
    assert refused.kind is errors.Kind.INVALID_CHANGE
    assert 'k-secret' not in refused.detail


def test_the_last_customer_goes_only_where_that_is_meant() -> None:
    """Guard against classes that are open to all by a slip."""
    manifest = make(changes.SetCustomer('shop'))
    deleting = changes.DeleteCustomer('shop')
    refused = change(manifest, deleting)
    assert isinstance(refused, errors.Failure)
    assert 'no class asks for a key' in refused.detail
    assert isinstance(
        change(manifest, deleting, force=True), proposals.Prepared
    )


def test_a_tree_names_keys_so_that_two_operators_may_add_some() -> None:
    tree = trees.build_tree(KEYED)
    field = ('customers', 'shop', 'keys', KEYS[0])
    assert trees.read_field(tree, field) is True
