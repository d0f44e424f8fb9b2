"""Check which revision of the configuration comes into force."""

import random

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages

RULES = revisions.Rules()


def build(revision: int, slots: int = 2) -> configurations.Configuration:
    """Build a configuration of one group."""
    group = configurations.Group('catalogo', (), (), slots)
    return configurations.Configuration(revision, (group,))


def run(
    state: revisions.State, *events: messages.Event, now: float = 10
) -> tuple[revisions.State, list[messages.Action]]:
    """Feed events in and gather the actions."""
    draws = random.Random(1).random
    gathered: list[messages.Action] = []
    for event in events:
        state, actions = revisions.handle(state, event, now, draws)
        gathered.extend(actions)
    return state, gathered


def start(*found: messages.Event) -> revisions.State:
    """Start a host that is alone and feed it events."""
    return run(revisions.start('h1', 0, RULES, alone=True), *found)[0]


def list_faults(state: revisions.State) -> set[messages.Fault]:
    """Name the faults that are told to the operator."""
    return {fault for fault, _ in state.faults}


def test_platform_restored_from_an_old_copy_is_not_followed() -> None:
    """Keep what is in force when the platform comes back older.

    Symptom: labels set an hour ago are gone after a platform outage.
    Sequence: revision 31 in force; the platform is restored at 20.
    Cause: a host that took whatever the platform holds would revert.
    """
    state = start(messages.Found(40, build(31)))
    state, actions = run(state, messages.Found(12, build(20)))
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_OLDER}
    assert not any(isinstance(it, messages.Configure) for it in actions)


def test_platform_that_passed_us_on_another_history_is_not_followed() -> None:
    """Refuse a higher revision whose history leaves ours out.

    Symptom: accepted changes vanish some minutes after a restore.
    Sequence: 31 made by change a is in force; restored at 30, the platform
    takes new changes as 31 and 32. Cause: numbers alone cannot tell.
    """
    ours = messages.Change(31, 'a', 30)
    other = messages.Change(31, 'b', 30)
    state = start(messages.Found(40, build(31), (ours,)))
    later = messages.Change(32, 'c', 31)
    state, _ = run(state, messages.Found(42, build(32), (other, later)))
    assert state.in_force.stamp.revision == 31
    assert list_faults(state) == {messages.Fault.PLATFORM_FORKED}
    recovered = messages.Change(34, 'd', 32)
    found = messages.Found(43, build(34), (other, later, recovered))
    state, _ = run(state, found)
    assert state.in_force.stamp.revision == 34
    assert not state.faults


def test_same_number_with_another_content_is_reported_not_taken() -> None:
    """Keep ours where a member has another content under our number."""
    state = start(messages.Found(40, build(31)))
    other = patches.stamp(build(31, slots=9)).stamp
    state, _ = run(state, messages.Heard('h2', other))
    assert list_faults(state) == {messages.Fault.CONTENT_DIFFERS}
    assert state.in_force.configuration == build(31)


def test_a_number_that_fell_is_read_although_no_watch_would_tell() -> None:
    """Read the manifest when the platform's number of it changed at all.

    Symptom: a restored platform goes unnoticed. Sequence: the number falls
    from 40 to 12. Cause: a watch above 40 waits in silence.
    """
    state = start(messages.Found(40, build(31)))
    _, actions = run(state, messages.Checked(12))
    assert messages.Read() in actions


def test_the_end_of_an_outage_is_followed_by_a_check() -> None:
    """Check the platform at once when it answers again.

    Symptom: an older copy is noticed only a minute after an outage. Cause:
    the watch that ends quietly says nothing of a number that fell.
    """
    state = start(messages.Found(40, build(31)))
    state, _ = run(state, messages.Failed(watched=True, detail='down'))
    assert list_faults(state) == {messages.Fault.PLATFORM_DOWN}
    state, actions = run(state, messages.Quiet(), messages.Ticked())
    assert messages.Check() in actions
    assert not state.faults
