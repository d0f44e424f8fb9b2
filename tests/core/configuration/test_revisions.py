"""Test which revision of the configuration is put into force."""

import random

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages

TIMINGS = revisions.Timings()


def build(revision: int, slots: int = 2) -> configurations.Configuration:
    """Build a configuration of one group."""
    group = configurations.Group('catalogo', (), (), slots)
    return configurations.Configuration(revision, (group,))


def run(
    state: revisions.State, *events: messages.Event, now: float = 10
) -> tuple[revisions.State, list[messages.Action]]:
    """Handle events and collect the actions."""
    draw_fraction = random.Random(1).random
    gathered: list[messages.Action] = []
    for event in events:
        state, actions = revisions.handle_event(
            state, event, now, draw_fraction
        )
        gathered.extend(actions)
    return state, gathered


def start_alone(*events: messages.Event) -> revisions.State:
    """Start a host without other members and handle events."""
    return run(revisions.start('h1', 0, TIMINGS, alone=True), *events)[0]


def list_faults(state: revisions.State) -> set[messages.Fault]:
    """List the faults that are reported to the operator."""
    return {fault for fault, _ in state.faults}


def test_platform_restored_from_an_old_copy_is_not_followed() -> None:
    """Guard against reverting to an older copy.

    Revision 31 is in force, and the platform is restored at revision 20. A
    host that follows whatever the platform holds loses the labels that were
    set since.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    state, actions = run(state, messages.ManifestRead(12, build(20)))
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_OLDER}
    assert not any(isinstance(it, messages.PutInForce) for it in actions)


def test_platform_with_a_forked_history_is_not_followed() -> None:
    """Guard against a higher revision with another history.

    Revision 31, made by change a, is in force. The platform is restored at 30
    and accepts new changes as 31 and 32. A host that compares only the
    numbers loses change a some minutes after the restore.
    """
    own_change = messages.RevisionChange(31, 'a', 30)
    other_change = messages.RevisionChange(31, 'b', 30)
    state = start_alone(messages.ManifestRead(40, build(31), (own_change,)))
    later = messages.RevisionChange(32, 'c', 31)
    state, _ = run(
        state, messages.ManifestRead(42, build(32), (other_change, later))
    )
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_FORKED}
    recovered = messages.RevisionChange(34, 'd', 32)
    read = messages.ManifestRead(
        43, build(34), (other_change, later, recovered)
    )
    state, _ = run(state, read)
    assert state.in_force.stamp.revision == 34
    assert not state.faults


def test_other_content_under_the_same_revision_is_reported() -> None:
    """A member's other content for the revision in force is not taken."""
    state = start_alone(messages.ManifestRead(40, build(31)))
    other = patches.stamp_configuration(build(31, slots=9)).stamp
    state, _ = run(state, messages.StampReceived('h2', other))
    assert list_faults(state) == {messages.Fault.CONTENT_DIFFERS}
    assert state.in_force.configuration == build(31)


def test_a_lower_store_revision_is_read() -> None:
    """Guard against a restored platform that goes unnoticed.

    The store's revision falls from 40 to 12. A watch for a revision above 40
    does not report this, so a check has to read the manifest.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    _, actions = run(state, messages.StoreRevisionRead(12))
    assert messages.ReadManifest() in actions


def test_the_end_of_an_outage_is_followed_by_a_check() -> None:
    """Guard against an older copy that is noticed a minute after an outage.

    A watch that ends without a change does not report a lower store revision,
    so the platform has to be checked as soon as it answers again.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    state, _ = run(
        state, messages.PlatformCallFailed(by_watch=True, detail='down')
    )
    assert list_faults(state) == {messages.Fault.PLATFORM_DOWN}
    state, actions = run(state, messages.WatchEnded(), messages.Ticked())
    assert messages.ReadStoreRevision() in actions
    assert not state.faults
