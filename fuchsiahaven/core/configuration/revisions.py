"""Decide which revision of the configuration is in force on this host.

A host only ever moves to a higher revision. Two hosts of a data centre,
chosen by rendezvous hashing, watch the platform and push what they read down
a tree of the members. Three mechanisms make up for lost pushes: gossip
carries each host's stamp, every host checks the platform about once a minute,
and a host whose parent in the tree is unreachable is served by its
grandparent.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.configuration import revision_messages as messages

#: The rendezvous key by which hosts are ranked; the first two are watchers.
RANK_KEY: Final = 'configuration'
WATCHER_COUNT: Final = 2
#: Members that have to claim a revision before it is pulled, unless the parent
#: in the tree sent it. A single faulty member thus cannot put a revision into
#: force that no operator wrote.
CLAIM_QUORUM: Final = 2
#: Patches kept for members that are a few revisions behind.
MAX_KEPT_PATCHES: Final = 32
MAX_KEPT_CLAIMS: Final = 16
#: If both watchers are cut off from the platform, a change is found by the
#: next check of any other host. With 110 hosts one of them checks about twice
#: a second. In a smaller data centre each host checks more often, at most by
#: the factor below.
FULL_RATE_HOSTS: Final = 110
MAX_CHECK_SPEEDUP: Final = 12


class Timings(NamedTuple):
    """Hold the intervals and timeouts of the state machine, in seconds.

    `check_interval_s` is the mean time between a host's checks of the
    platform in a data centre of `FULL_RATE_HOSTS`; with fewer hosts each
    checks more often. A host that reads a revision before the tree delivers
    it waits at least `hold_s` for the tree, so that one change is not sent
    twice. `min_retry_delay_s` and `max_retry_delay_s` bound the exponential
    delay after failed calls to the platform.
    """

    watch_timeout_s: float = 10.0
    check_interval_s: float = 60.0
    hold_s: float = 0.25
    start_delay_s: float = 1.0
    min_retry_delay_s: float = 0.25
    max_retry_delay_s: float = 2.0


class HeldPatch(NamedTuple):
    """Hold a patch that this host read before the tree delivered it.

    At the deadline the patch is sent to the first host of the ranking, the
    root of the tree, unless that was done. This host's children get the patch
    once the tree delivers it here.
    """

    patch: patches.Patch
    deadline: float
    sent_to_first: bool = False


class PendingPull(NamedTuple):
    """Hold the member that a pull asks and the stamp that it has to return.

    Any stamp is accepted where `expected_stamp` is None.
    """

    member: str
    expected_stamp: patches.Stamp | None


class StoredStamp(NamedTuple):
    """Hold the stamp of what the platform stored at one of its revisions."""

    store_revision: int
    stamp: patches.Stamp


class State(NamedTuple):
    """Hold the state of this host.

    `store_revision` is the store's revision of the manifest that was last
    read, whether it was put into force or not. `is_checking` and
    `is_watching` tell which calls are in flight; `next_check_at` and
    `next_watch_at` are when the next ones may start. `claims` are the higher
    stamps that members reported, `last_read` is what the last read returned.
    """

    name: str
    timings: Timings
    next_check_at: float
    next_watch_at: float
    in_force: patches.StampedConfiguration = patches.EMPTY
    change_id: str = ''
    store_revision: int = 0
    ranking: tuple[str, ...] = ()
    kept_patches: tuple[patches.Patch, ...] = ()
    claims: tuple[messages.StampReceived, ...] = ()
    held_patch: HeldPatch | None = None
    pending_pull: PendingPull | None = None
    is_checking: bool = False
    is_watching: bool = False
    failure_count: int = 0
    faults: tuple[tuple[messages.Fault, str], ...] = ()
    last_read: StoredStamp | None = None


DrawFraction = Callable[[], float]
Transition = tuple[State, tuple[messages.Action, ...]]


def start(
    name: str, now: float, timings: Timings, alone: bool = False
) -> State:
    """Start with nothing in force.

    Unless the host is alone, it waits a moment for other members before its
    first check: reading everything from the platform takes a call for each
    part with a key of its own.
    """
    first_check_at = now if alone else now + timings.start_delay_s
    return State(name, timings, first_check_at, first_check_at, ranking=(name,))


def is_watcher(state: State) -> bool:
    """Return whether this host is one of the two watchers."""
    return state.name in state.ranking[:WATCHER_COUNT]


def list_patches(
    state: State, above_stamp: patches.Stamp
) -> tuple[patches.Patch, ...]:
    """List the patches from a member's stamp to what is in force here.

    The list is empty if the member is not behind. It holds one whole
    configuration if the kept patches do not reach back to the stamp.
    """
    if above_stamp.revision >= state.in_force.stamp.revision:
        return ()
    base_stamps = tuple(patch.base for patch in state.kept_patches)
    if above_stamp in base_stamps:
        return state.kept_patches[base_stamps.index(above_stamp) :]
    return (patches.diff(patches.EMPTY, state.in_force, state.change_id),)


def handle_event(
    state: State, event: messages.Event, now: float, draw_fraction: DrawFraction
) -> Transition:
    """Return the next state and the actions that an event causes."""
    match event:
        case messages.ManifestRead():
            return _handle_manifest(state, event, now, draw_fraction)
        case messages.StoreRevisionRead():
            return _handle_store_revision(state, event, now, draw_fraction)
        case messages.WatchEnded():
            return _record_answer(
                state._replace(is_watching=False, next_watch_at=now), now
            )
        case messages.PlatformCallFailed():
            return _handle_failure(state, event, now, draw_fraction)
        case messages.StampReceived():
            return _handle_claim(state, event, now)
        case messages.PatchReceived():
            return _handle_patch(state, event, now)
        case messages.PullAnswered():
            return _handle_pull_answer(state, event)
        case messages.MemberUnreachable():
            return _handle_unreachable(state, event)
        case messages.MembersListed():
            ranking = rendezvous.rank(RANK_KEY, (*event.members, state.name))
            return state._replace(ranking=ranking), ()
        case messages.CheckRequested():
            return _schedule_check_now(state, event, now), ()
        case messages.Ticked():
            return _handle_tick(state, now, draw_fraction)


def _schedule_check_now(
    state: State, requested: messages.CheckRequested, now: float
) -> State:
    # While this host was out of contact, the platform may have been restored
    # from an older copy and have reached the same revision with other changes.
    last_read = None if requested.read_manifest else state.last_read
    return state._replace(
        next_check_at=min(state.next_check_at, now), last_read=last_read
    )


def _handle_tick(
    state: State, now: float, draw_fraction: DrawFraction
) -> Transition:
    actions: list[messages.Action] = []
    held_patch = state.held_patch
    if (
        held_patch
        and not held_patch.sent_to_first
        and now >= held_patch.deadline
    ):
        actions.append(messages.PushPatch(state.ranking[:1], held_patch.patch))
        state = state._replace(
            held_patch=held_patch._replace(sent_to_first=True)
        )
    if now >= state.next_check_at and not state.is_checking:
        # Once the manifest has been read, its store revision shows whether it
        # changed. Otherwise every host of a large system would read the whole
        # manifest each minute.
        actions.append(
            messages.ReadStoreRevision()
            if state.store_revision
            else messages.ReadManifest()
        )
        state = state._replace(is_checking=True)
    if (
        is_watcher(state)
        and now >= state.next_watch_at
        and not state.is_watching
    ):
        actions.append(
            messages.WatchManifest(
                state.store_revision, state.timings.watch_timeout_s
            )
        )
        state = state._replace(is_watching=True)
    return state, tuple(actions)


def _handle_manifest(
    state: State,
    read: messages.ManifestRead,
    now: float,
    draw_fraction: DrawFraction,
) -> Transition:
    state = _record_call_end(state, read.by_watch, now, draw_fraction)
    state, fault_reports = _record_answer(state, now)
    state = state._replace(store_revision=read.store_revision)
    transition = _prepend_actions(
        fault_reports, _evaluate_manifest(state, read, now, draw_fraction)
    )
    return _record_last_read(transition, read)


def _evaluate_manifest(
    state: State,
    read: messages.ManifestRead,
    now: float,
    draw_fraction: DrawFraction,
) -> Transition:
    in_force = state.in_force
    if read.configuration is None:
        return _record_older(state, 0)
    if read.configuration.revision < in_force.stamp.revision:
        return _record_older(state, read.configuration.revision)
    changes = {it.revision: it for it in read.changes}
    if _is_forked(state, changes):
        text = (
            f'platform has another change as revision {in_force.stamp.revision}'
        )
        return _record_fault(state, messages.Fault.PLATFORM_FORKED, text)
    stamped = patches.stamp_configuration(read.configuration, in_force)
    if stamped.stamp.revision == in_force.stamp.revision:
        return _record_unvouched(
            _compare_content(state, 'platform', stamped.stamp)
        )
    last_change = changes.get(stamped.stamp.revision)
    patch = patches.diff(
        in_force, stamped, last_change.change_id if last_change else ''
    )
    state, fault_reports = _clear_disputes(state)
    transition = _forward_patch(
        _put_in_force(state, patch, stamped), patch, now, draw_fraction
    )
    return _prepend_actions(fault_reports, transition)


def _record_last_read(
    transition: Transition, read: messages.ManifestRead
) -> Transition:
    """Record what the platform holds and confirm it if it is in force.

    A platform that was restored from an older copy, or has forked, confirms
    nothing of what it had accepted before.
    """
    state, actions = transition
    if read.sent_at == messages.UNKNOWN_TIME or read.configuration is None:
        return state._replace(last_read=None), actions
    stored_stamp = patches.stamp_configuration(
        read.configuration, state.in_force
    ).stamp
    last_read = StoredStamp(read.store_revision, stored_stamp)
    return _confirm_if_current(
        (state._replace(last_read=last_read), actions), read.sent_at
    )


def _confirm_if_current(transition: Transition, sent_at: float) -> Transition:
    state, actions = transition
    if sent_at == messages.UNKNOWN_TIME:
        return transition
    if state.last_read is None:
        # The manifest was not read since read times are recorded.
        return state._replace(is_checking=True), (
            *actions,
            messages.ReadManifest(),
        )
    if state.last_read != StoredStamp(
        state.store_revision, state.in_force.stamp
    ):
        return transition
    return state, (
        *actions,
        messages.ConfirmInForce(state.in_force.stamp, sent_at),
    )


def _is_forked(
    state: State, changes: Mapping[int, messages.RevisionChange]
) -> bool:
    """Return whether the platform's history lacks the revision in force.

    A platform restored from an old copy reuses revision numbers for new
    changes. Once it has passed the revision in force, following it would
    silently revert accepted changes. A gap in the numbers above that revision
    shows that operators have recovered the configuration in force.
    """
    own_revision = state.in_force.stamp.revision
    stored_change = changes.get(own_revision)
    if stored_change is None or stored_change.change_id == state.change_id:
        return False
    recovered = any(
        it.revision > own_revision and it.previous_revision < it.revision - 1
        for it in changes.values()
    )
    return bool(state.change_id) and not recovered


def _handle_store_revision(
    state: State,
    read: messages.StoreRevisionRead,
    now: float,
    draw_fraction: DrawFraction,
) -> Transition:
    state, fault_reports = _record_answer(
        _record_call_end(state, False, now, draw_fraction), now
    )
    if read.store_revision == state.store_revision:
        transition = _prepend_actions(
            fault_reports, _record_unvouched((state, ()))
        )
        return _confirm_if_current(transition, read.sent_at)
    # Any other store revision, higher or lower, may hold another manifest.
    return state._replace(is_checking=True), (
        *fault_reports,
        messages.ReadManifest(),
    )


def _handle_failure(
    state: State,
    failed: messages.PlatformCallFailed,
    now: float,
    draw_fraction: DrawFraction,
) -> Transition:
    timings = state.timings
    delay = min(
        timings.max_retry_delay_s,
        timings.min_retry_delay_s * 2 ** min(state.failure_count, 9),
    )
    retry_at = now + delay * (0.5 + draw_fraction())
    state = state._replace(failure_count=state.failure_count + 1)
    if failed.by_watch:
        state = state._replace(is_watching=False, next_watch_at=retry_at)
    else:
        # A host with a configuration in force can wait for its next check.
        # Otherwise all hosts would call a platform at once when it recovers.
        next_check_at = (
            retry_at
            if state.in_force is patches.EMPTY
            else _choose_next_check(state, now, draw_fraction)
        )
        state = state._replace(is_checking=False, next_check_at=next_check_at)
    fault = messages.Fault.PLATFORM_DOWN
    if failed.answered:
        fault = messages.Fault.UNREADABLE
    return _record_fault(state, fault, failed.detail)


def _handle_claim(
    state: State, claim: messages.StampReceived, now: float
) -> Transition:
    own_stamp = state.in_force.stamp
    if claim.stamp.revision == own_stamp.revision:
        return _compare_content(state, claim.member, claim.stamp)
    if claim.stamp.revision < own_stamp.revision:
        return state, ()
    others = (it for it in state.claims if it.member != claim.member)
    state = state._replace(claims=(*others, claim)[-MAX_KEPT_CLAIMS:])
    if is_watcher(state) and not _has_fault(
        state, messages.Fault.PLATFORM_DOWN
    ):
        # A watcher trusts the platform, so it checks that now instead of at
        # the next interval.
        state = state._replace(next_check_at=min(state.next_check_at, now))
    return _start_pull(state, claim)


def _start_pull(state: State, claim: messages.StampReceived) -> Transition:
    if state.pending_pull:
        return state, ()
    matching_claims = sum(it.stamp == claim.stamp for it in state.claims)
    quorum = min(CLAIM_QUORUM, len(state.ranking) - 1)
    if matching_claims < quorum:
        return state, ()
    pending_pull = PendingPull(claim.member, claim.stamp)
    own_stamp = state.in_force.stamp
    pull = messages.PullPatches(claim.member, own_stamp)
    return state._replace(pending_pull=pending_pull), (pull,)


def _handle_patch(
    state: State, received: messages.PatchReceived, now: float
) -> Transition:
    patch, own_stamp = received.patch, state.in_force.stamp
    # The second watcher may push in place of the first one, which may have
    # died without this being known yet.
    ancestors = {
        *state.ranking[:WATCHER_COUNT],
        *rendezvous.list_ancestors(state.ranking, state.name),
    }
    if (
        state.held_patch
        and received.member in ancestors
        and patch.stamp == own_stamp
    ):
        return _push_to_children(state, state.held_patch.patch)
    if (
        patch.stamp.revision <= own_stamp.revision
        or received.member not in ancestors
    ):
        return _handle_claim(
            state, messages.StampReceived(received.member, patch.stamp), now
        )
    if patch.base in {own_stamp, patches.NO_STAMP}:
        return _apply_patch(state, received.member, patch)
    if state.pending_pull:
        return state, ()
    pending_pull = PendingPull(received.member, None)
    pull = messages.PullPatches(received.member, own_stamp)
    return state._replace(pending_pull=pending_pull), (pull,)


def _handle_pull_answer(
    state: State, answer: messages.PullAnswered
) -> Transition:
    pending_pull, state = state.pending_pull, state._replace(pending_pull=None)
    if pending_pull is None or pending_pull.member != answer.member:
        return state, ()
    chain = answer.patches
    if pending_pull.expected_stamp and state.in_force is not patches.EMPTY:
        # The quorum claimed this one stamp; later patches are not confirmed.
        stamps = tuple(patch.stamp for patch in chain)
        if pending_pull.expected_stamp not in stamps:
            return state, ()
        chain = chain[: stamps.index(pending_pull.expected_stamp) + 1]
    actions: tuple[messages.Action, ...] = ()
    for patch in chain:
        if patch.stamp.revision > state.in_force.stamp.revision:
            state, new_actions = _apply_patch(state, answer.member, patch)
            actions = (*actions, *new_actions)
    return state, actions


def _apply_patch(state: State, member: str, patch: patches.Patch) -> Transition:
    is_whole = patch.base == patches.NO_STAMP
    base = patches.EMPTY if is_whole else state.in_force
    patched = patches.apply_patch(patch, base)
    if patched is None:
        text = (
            f'{member} sent a damaged patch for revision {patch.stamp.revision}'
        )
        return _record_fault(state, messages.Fault.DAMAGED, text)
    state, fault_reports = _clear_disputes(state)
    state, configure_actions = _put_in_force(state, patch, patched)
    return _prepend_actions(
        (*fault_reports, *configure_actions), _push_to_children(state, patch)
    )


def _put_in_force(
    state: State, patch: patches.Patch, stamped: patches.StampedConfiguration
) -> Transition:
    # All callers have compared the revisions. This assertion guards the
    # guarantee that an accepted configuration is never reverted.
    assert stamped.stamp.revision > state.in_force.stamp.revision
    kept_patches = (*state.kept_patches, patch)[-MAX_KEPT_PATCHES:]
    if patch.base == patches.NO_STAMP:
        kept_patches = ()
    claims = tuple(
        claim
        for claim in state.claims
        if claim.stamp.revision > stamped.stamp.revision
    )
    updated = state._replace(
        in_force=stamped,
        change_id=patch.change_id,
        kept_patches=kept_patches,
        claims=claims,
    )
    return updated, (messages.PutInForce(stamped),)


def _forward_patch(
    transition: Transition,
    patch: patches.Patch,
    now: float,
    draw_fraction: DrawFraction,
) -> Transition:
    state, actions = transition
    if state.ranking[0] == state.name:
        return _prepend_actions(actions, _push_to_children(state, patch))
    deadline = now + state.timings.hold_s * (1 + draw_fraction())
    return state._replace(held_patch=HeldPatch(patch, deadline)), actions


def _push_to_children(state: State, patch: patches.Patch) -> Transition:
    children = rendezvous.list_children(state.ranking, state.name)
    pushes = (messages.PushPatch(children, patch),) if children else ()
    return state._replace(held_patch=None), pushes


def _handle_unreachable(
    state: State, unreachable: messages.MemberUnreachable
) -> Transition:
    if unreachable.missed_patch is None:
        return state._replace(pending_pull=None), ()
    # Push to the children of the unreachable member, which would otherwise
    # have to wait for gossip.
    children = rendezvous.list_children(state.ranking, unreachable.member)
    others = tuple(name for name in children if name != state.name)
    pushes = (
        (messages.PushPatch(others, unreachable.missed_patch),)
        if others
        else ()
    )
    if (
        state.held_patch
        and state.held_patch.patch.stamp == unreachable.missed_patch.stamp
    ):
        # The root is unreachable, so no push will come from above and this
        # host has to serve its children.
        return _prepend_actions(
            pushes, _push_to_children(state, state.held_patch.patch)
        )
    return state, pushes


def _record_call_end(
    state: State, by_watch: bool, now: float, draw_fraction: DrawFraction
) -> State:
    state = state._replace(failure_count=0)
    if by_watch:
        return state._replace(is_watching=False, next_watch_at=now)
    next_check_at = _choose_next_check(state, now, draw_fraction)
    return state._replace(is_checking=False, next_check_at=next_check_at)


def _choose_next_check(
    state: State, now: float, draw_fraction: DrawFraction
) -> float:
    """Choose a random check time, so that hosts do not check in step."""
    interval_fraction = max(
        1 / MAX_CHECK_SPEEDUP, min(1.0, len(state.ranking) / FULL_RATE_HOSTS)
    )
    return now + state.timings.check_interval_s * interval_fraction * (
        0.5 + draw_fraction()
    )


def _compare_content(
    state: State, source: str, stamp: patches.Stamp
) -> Transition:
    if stamp == state.in_force.stamp:
        return state, ()
    text = f'{source} has other content for revision {stamp.revision}'
    return _record_fault(state, messages.Fault.CONTENT_DIFFERS, text)


def _record_older(state: State, revision: int) -> Transition:
    own_revision = state.in_force.stamp.revision
    if not own_revision:
        return state, ()
    text = f'platform has revision {revision}, in force stays {own_revision}'
    return _record_fault(state, messages.Fault.PLATFORM_OLDER, text)


def _record_fault(state: State, fault: messages.Fault, text: str) -> Transition:
    was_recorded = _has_fault(state, fault)
    others = (it for it in state.faults if it[0] is not fault)
    updated = state._replace(faults=(*others, (fault, text)))
    # A continuing fault is reported once; the status shows its latest text.
    return updated, () if was_recorded else (messages.ReportFault(fault, text),)


def _has_fault(state: State, fault: messages.Fault) -> bool:
    return any(recorded is fault for recorded, _ in state.faults)


def _record_unvouched(transition: Transition) -> Transition:
    """Record a fault if members claim a revision that the platform lacks."""
    state, actions = transition
    own_revision = state.in_force.stamp.revision
    unvouched = tuple(
        it for it in state.claims if it.stamp.revision > own_revision
    )
    if not unvouched:
        return transition
    text = (
        f'{unvouched[-1].member} claims revision {unvouched[-1].stamp.revision}'
    )
    return _prepend_actions(
        actions, _record_fault(state, messages.Fault.UNVOUCHED, text)
    )


def _record_answer(state: State, now: float) -> Transition:
    """Record that the platform answers.

    After an outage a watcher checks at once: a platform restored from an old
    copy has a lower store revision, which a watch does not report.
    """
    if is_watcher(state) and _has_fault(state, messages.Fault.PLATFORM_DOWN):
        state = state._replace(next_check_at=now)
    return _clear_faults(state, (messages.Fault.PLATFORM_DOWN,))


def _clear_disputes(state: State) -> Transition:
    """Clear the faults that concerned the previous revision."""
    return _clear_faults(
        state, set(messages.Fault) - {messages.Fault.PLATFORM_DOWN}
    )


def _clear_faults(
    state: State, ended_faults: Iterable[messages.Fault]
) -> Transition:
    ended_set = frozenset(ended_faults)
    remaining = tuple(it for it in state.faults if it[0] not in ended_set)
    reports = tuple(
        messages.ReportFault(fault, '')
        for fault, _ in state.faults
        if fault in ended_set
    )
    return state._replace(faults=remaining), reports


def _prepend_actions(
    actions: tuple[messages.Action, ...], transition: Transition
) -> Transition:
    return transition[0], (*actions, *transition[1])
