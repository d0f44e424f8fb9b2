"""Check that patches lead exactly from one configuration to another."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.configuration import configurations, patches

NAMES = st.sampled_from(('a', 'b', 'c'))
TARGETS = st.builds(
    configurations.Target, NAMES, st.sampled_from(('1:1', '2:2')), NAMES
)
GROUPS = st.builds(
    configurations.Group,
    NAMES,
    st.just(()),
    st.lists(TARGETS, unique_by=lambda target: target.name).map(tuple),
    st.integers(1, 2),
)
SELECTORS = st.builds(configurations.Selector, NAMES, NAMES, st.just('x=y'))


def unique(items: st.SearchStrategy[object]) -> st.SearchStrategy[object]:
    """Draw items of which no two have one name."""
    return st.lists(
        items,
        unique_by=lambda item: item.name,  # type: ignore[attr-defined]
    ).map(tuple)


CONFIGURATIONS = st.builds(
    configurations.Configuration,
    st.integers(1, 9),
    unique(GROUPS),
    unique(SELECTORS),
    unique(st.builds(configurations.RequestClass, NAMES, st.just(9))),
    st.just(()),
)


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_a_patch_turns_one_configuration_into_another(
    one: configurations.Configuration, other: configurations.Configuration
) -> None:
    """Give the other's stamp, and nothing for any other base."""
    old, new = (
        patches.stamp_configuration(one),
        patches.stamp_configuration(other),
    )
    patch = patches.diff(old, new)
    patched = patches.apply_patch(patch, old)
    assert patched is not None
    assert (
        patched.stamp
        == patches.stamp_configuration(patched.configuration).stamp
    )
    assert patched.stamp == new.stamp
    if old.stamp != new.stamp:
        assert patches.apply_patch(patch, new) is None


@given(CONFIGURATIONS)
def test_a_patch_whose_content_is_forged_is_refused(
    one: configurations.Configuration,
) -> None:
    """Refuse a patch that does not give the content of its digest."""
    patch = patches.diff(patches.EMPTY, patches.stamp_configuration(one))
    extra = configurations.Group('forged', (), ())
    changed = patch.changed._replace(groups=(*patch.changed.groups, extra))
    forged = patch._replace(changed=changed)
    assert patches.apply_patch(forged, patches.EMPTY) is None
