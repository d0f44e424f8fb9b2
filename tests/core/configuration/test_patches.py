"""Test that a patch turns one configuration exactly into another."""

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
    """Draw items with distinct names."""
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
    """A patch gives the other's stamp, and applies to no other base."""
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
    """A patch is refused if its result does not have the stated digest."""
    patch = patches.diff(patches.EMPTY, patches.stamp_configuration(one))
    extra = configurations.Group('forged', (), ())
    changed = patch.changed._replace(groups=(*patch.changed.groups, extra))
    forged = patch._replace(changed=changed)
    assert patches.apply_patch(forged, patches.EMPTY) is None
