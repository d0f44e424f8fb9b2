"""Check which revision of the configuration comes into force."""

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
    """Feed events in and gather the actions."""
    draw_fraction = random.Random(1).random
    gathered: list[messages.Action] = []
    for event in events:
        state, actions = revisions.handle_event(
            state, event, now, draw_fraction
        )
        gathered.extend(actions)
    return state, gathered


def start_alone(*events: messages.Event) -> revisions.State:
    """Start a host that is alone and feed it events."""
    return run(revisions.start('h1', 0, TIMINGS, alone=True), *events)[0]


def list_faults(state: revisions.State) -> set[messages.Fault]:
    """Name the faults that are told to the operator."""
    return {fault for fault, _ in state.faults}


def test_platform_restored_from_an_old_copy_is_not_followed() -> None:
    """Keep what is in force when the platform comes back older.

    Symptom: labels set an hour ago are gone after a platform outage.
    Sequence: revision 31 in force; the platform is restored at 20.
    Cause: a host that took whatever the platform holds would revert.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    state, actions = run(state, messages.ManifestRead(12, build(20)))
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_OLDER}
    assert not any(isinstance(it, messages.PutInForce) for it in actions)


def test_platform_with_a_forked_history_is_not_followed() -> None:
    """Refuse a higher revision whose history leaves ours out.

    Symptom: accepted changes vanish some minutes after a restore.
    Sequence: 31 made by change a is in force; restored at 30, the platform
    takes new changes as 31 and 32. Cause: numbers alone cannot tell.
    """
    ours = messages.RevisionChange(31, 'a', 30)
    other = messages.RevisionChange(31, 'b', 30)
    state = start_alone(messages.ManifestRead(40, build(31), (ours,)))
    later = messages.RevisionChange(32, 'c', 31)
    state, _ = run(state, messages.ManifestRead(42, build(32), (other, later)))
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_FORKED}
    recovered = messages.RevisionChange(34, 'd', 32)
    read = messages.ManifestRead(43, build(34), (other, later, recovered))
    state, _ = run(state, read)
    assert state.in_force.stamp.revision == 34
    assert not state.faults


def test_other_content_under_the_same_revision_is_reported() -> None:
    """Keep ours where a member has another content under our number."""
    state = start_alone(messages.ManifestRead(40, build(31)))
    other = patches.stamp_configuration(build(31, slots=9)).stamp
    state, _ = run(state, messages.StampReceived('h2', other))
    assert list_faults(state) == {messages.Fault.CONTENT_DIFFERS}
    assert state.in_force.configuration == build(31)


def test_a_lower_store_revision_is_read() -> None:
    """Read the manifest when the platform's number of it changed at all.

    Symptom: a restored platform goes unnoticed. Sequence: the number falls
    from 40 to 12. Cause: a watch above 40 waits in silence.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    _, actions = run(state, messages.StoreRevisionRead(12))
    assert messages.ReadManifest() in actions


def test_the_end_of_an_outage_is_followed_by_a_check() -> None:
    """Check the platform at once when it answers again.

    Symptom: an older copy is noticed only a minute after an outage. Cause:
    the watch that ends quietly says nothing of a number that fell.
    """
    state = start_alone(messages.ManifestRead(40, build(31)))
    state, _ = run(
        state, messages.PlatformCallFailed(by_watch=True, detail='down')
    )
    assert list_faults(state) == {messages.Fault.PLATFORM_DOWN}
    state, actions = run(state, messages.WatchEnded(), messages.Ticked())
    assert messages.ReadStoreRevision() in actions
    assert not state.faults
