"""Test the codec of the manifest and its parts."""

import json

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    configurations,
    manifests,
    stored_json,
    trees,
)

NAMES = st.from_regex(r'[a-z][a-z0-9]{0,5}', fullmatch=True)


@st.composite
def draw_group(
    draw: st.DrawFn, name: str, max_targets: int = 90
) -> configurations.Group:
    """Draw a group with parts inside and outside the manifest."""
    counts = draw(
        st.dictionaries(
            st.sampled_from(['Quilicura', 'Maipú', 'Pudahuel']),
            st.integers(1, max_targets),
        )
    )
    targets = trees.sort_targets(
        configurations.Target(
            f'{name}-{centre[0]}{k}', f'10.0.{k}.1:80', centre
        )
        for centre, count in counts.items()
        for k in range(count)
    )
    labels = draw(st.dictionaries(NAMES, NAMES, max_size=3))
    leaving = draw(st.sets(st.sampled_from(targets))) if targets else set()
    return configurations.Group(
        name,
        tuple(sorted(labels.items())),
        targets,
        leaving=frozenset(target.name for target in leaving),
    )


@st.composite
def draw_configuration(draw: st.DrawFn) -> configurations.Configuration:
    """Draw a configuration in the order that hosts use."""
    names = sorted(draw(st.sets(NAMES, max_size=3)))
    return configurations.Configuration(
        revision=draw(st.integers(0, 1 << 40)),
        groups=tuple(draw(draw_group(name)) for name in names),
        selectors=tuple(
            configurations.Selector(name, 'c', 'a=b,!x', ('Maipú',))
            for name in names
        ),
        classes=tuple(
            configurations.RequestClass(
                name, needs=draw(st.sampled_from(configurations.Needs))
            )
            for name in names
        ),
    )


ENTRY = audit_log.Entry(
    'id-1',
    7,
    'ana',
    1.5,
    'label group',
    (trees.Edit(('groups', 'g', 'labels', 'a'), None, 'b'),),
    previous_revision=6,
    undone_change_id='id-0',
)


@given(draw_configuration())
def test_decoding_inverts_encoding(
    configuration: configurations.Configuration,
) -> None:
    encoded = manifests.encode(configuration, (ENTRY,))
    assert isinstance(encoded, manifests.Encoded)
    decoded = manifests.decode(encoded.text, encoded.part_texts)
    assert decoded == encoded.manifest
    assert decoded.configuration == configuration
    assert decoded.entries == (ENTRY,)


@given(draw_configuration())
def test_only_changed_parts_are_written_again(
    configuration: configurations.Configuration,
) -> None:
    """Guard against a manifest that names a deleted part.

    If keys are derived from the targets alone, one operator replaces a part,
    another restores the same targets and names the old key again, and then
    the first deletes that key.
    """
    first = manifests.encode(configuration)
    assert isinstance(first, manifests.Encoded)
    later = configuration._replace(revision=configuration.revision + 1)
    unchanged = manifests.encode(later, (), first.manifest.stored_parts)
    assert isinstance(unchanged, manifests.Encoded)
    assert not unchanged.part_texts
    reencoded = manifests.encode(later)
    assert isinstance(reencoded, manifests.Encoded)
    assert not reencoded.part_texts.keys() & first.part_texts.keys()


def get_refusal(
    text: str, part_texts: dict[str, str] | None = None
) -> errors.Kind:
    decoded = manifests.decode(text, part_texts)
    assert isinstance(decoded, errors.Failure)
    return decoded.kind


def test_a_newer_format_is_reported_as_such() -> None:
    """Guard against fields that an older release drops.

    If the format is not compared first, a newer release writes a field, and
    an older one that makes a change drops the field it does not know.
    """
    newer = json.dumps({'format': stored_json.MAX_FORMAT + 1, 'surprise': True})
    assert get_refusal(newer) is errors.Kind.UNKNOWN_FORMAT
    encoded = manifests.encode(configurations.EMPTY)
    assert isinstance(encoded, manifests.Encoded)
    row = json.loads(encoded.text)
    unknown = json.dumps({**row, 'surprise': True})
    assert get_refusal(unknown) is errors.Kind.INVALID_CONFIGURATION


def test_a_part_with_another_digest_is_refused() -> None:
    """Guard against routing to targets that no operator accepted.

    The platform's keys are restored from copies of different ages. If parts
    are read without comparing the digest, requests reach targets of an old
    list.
    """
    targets = tuple(
        configurations.Target(f't{k:03}', f'10.0.0.1:{k + 1}', 'Odori')
        for k in range(200)
    )
    group = configurations.Group('g', (), targets)
    encoded = manifests.encode(configurations.Configuration(1, (group,)))
    assert isinstance(encoded, manifests.Encoded)
    (key,) = encoded.part_texts
    assert get_refusal(encoded.text) is errors.Kind.INVALID_CONFIGURATION
    altered = {
        key: encoded.part_texts[key].replace('10.0.0.1:1"', '10.0.0.2:1"')
    }
    assert (
        get_refusal(encoded.text, altered) is errors.Kind.INVALID_CONFIGURATION
    )


@given(st.text() | st.binary().map(lambda raw: raw.decode('latin-1')))
def test_any_text_decodes_or_is_refused(text: str) -> None:
    assert get_refusal(text) is errors.Kind.INVALID_CONFIGURATION


def test_a_value_above_the_limit_is_refused_before_it_is_sent() -> None:
    targets = tuple(
        configurations.Target(f't{k:06}', f'10.0.0.1:{k}', 'Odori')
        for k in range(50_000)
    )
    group = configurations.Group('g', (), targets)
    encoded = manifests.encode(configurations.Configuration(1, (group,)))
    assert isinstance(encoded, errors.Failure)
    assert encoded.kind is errors.Kind.TOO_LARGE
