"""Decide which revision of the configuration is in force on this host.

Only a higher revision is ever taken. Two hosts of a data centre, picked by
rendezvous hash, watch the platform; what they find goes down a tree over the
members. Three nets catch what that misses: gossip carries each host's stamp,
every host asks the platform about once a minute, and a host whose parent in
the tree cannot be reached is served by its grandparent.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.configuration import revision_messages as messages

#: The key under which hosts are ranked; the first two watch.
RANK_KEY: Final = 'configuration'
WATCHERS: Final = 2
#: A revision that the parent did not send needs the word of two members: one
#: that runs wild cannot then bring a revision into force that nobody wrote.
VOUCHERS: Final = 2
#: Patches kept for members that fell a little behind.
KEPT_PATCHES: Final = 32
KEPT_CLAIMS: Final = 16
#: Both watchers can be cut off from the platform while others reach it; a
#: change then waits for the next check of any of them. In a data centre of so
#: many hosts somebody checks twice a second; where there are fewer, each
#: checks more often, at most so many times as often.
FULL_CENTRE: Final = 110
MOST_OFTEN: Final = 12


class Rules(NamedTuple):
    """Hold the times of this decision, in seconds.

    `check_s` lies between a host's checks of the platform, on average, where
    its data centre is full; fewer hosts check more often. A host that
    found a revision before the tree brought it waits `hold_s` for the tree,
    so that one change is not sent twice. `retry_s` and `retry_limit_s` bound
    the growing pause after calls of the platform that failed.
    """

    watch_s: float = 10.0
    check_s: float = 60.0
    hold_s: float = 0.25
    start_s: float = 1.0
    retry_s: float = 0.25
    retry_limit_s: float = 2.0


class Held(NamedTuple):
    """Hold a patch that was found before the tree brought it.

    The tree has until a time; then the first of the order is handed the
    patch, if it was not before. Until the tree has brought it, those below
    this host do not have it.
    """

    patch: patches.Patch
    until: float
    handed: bool = False


class Pulling(NamedTuple):
    """Hold whom a pull asks; what comes must be `wanted` unless None."""

    member: str
    wanted: patches.Stamp | None


class Agreed(NamedTuple):
    """Name what the platform held under a number of its own."""

    store_revision: int
    stamp: patches.Stamp


class State(NamedTuple):
    """Hold what the decision knows.

    `store_revision` is the platform's number of the manifest that was judged
    last, taken or not. `asking` and `watching` tell which calls are open;
    `ask_at` and `watch_at` are when the next may start.
    """

    name: str
    rules: Rules
    ask_at: float
    watch_at: float
    in_force: patches.Stamped = patches.NOTHING
    change_id: str = ''
    store_revision: int = 0
    order: tuple[str, ...] = ()
    kept: tuple[patches.Patch, ...] = ()
    claims: tuple[messages.Heard, ...] = ()
    held: Held | None = None
    pulling: Pulling | None = None
    asking: bool = False
    watching: bool = False
    failures: int = 0
    faults: tuple[tuple[messages.Fault, str], ...] = ()
    agreed: Agreed | None = None


Draws = Callable[[], float]
Step = tuple[State, tuple[messages.Action, ...]]


def start(name: str, now: float, rules: Rules, alone: bool = False) -> State:
    """Begin with nothing in force.

    A host with other members to ask gives them a moment: reading everything
    from the platform costs it a call for each large part.
    """
    ask_at = now if alone else now + rules.start_s
    return State(name, rules, ask_at, ask_at, order=(name,))


def is_watcher(state: State) -> bool:
    """Tell whether this host is one of the two that watch."""
    return state.name in state.order[:WATCHERS]


def find_patches(
    state: State, above: patches.Stamp
) -> tuple[patches.Patch, ...]:
    """List the patches that lead a member from a stamp to what is in force.

    Empty where it is not behind; one whole configuration where the chain
    does not reach back to it.
    """
    if above.revision >= state.in_force.stamp.revision:
        return ()
    bases = tuple(patch.base for patch in state.kept)
    if above in bases:
        return state.kept[bases.index(above) :]
    return (patches.diff(patches.NOTHING, state.in_force, state.change_id),)


def handle(
    state: State, event: messages.Event, now: float, draws: Draws
) -> Step:
    """Take one event in and say what is to be done."""
    match event:
        case messages.Found():
            return _judge_platform(state, event, now, draws)
        case messages.Checked():
            return _compare_numbers(state, event, now, draws)
        case messages.Quiet():
            return _reach(state._replace(watching=False, watch_at=now), now)
        case messages.Failed():
            return _back_off(state, event, now, draws)
        case messages.Heard():
            return _weigh_claim(state, event, now)
        case messages.Pushed():
            return _judge_push(state, event, now)
        case messages.Pulled():
            return _judge_pull(state, event)
        case messages.Unreached():
            return _go_around(state, event)
        case messages.Listed():
            order = rendezvous.rank(RANK_KEY, (*event.members, state.name))
            return state._replace(order=order), ()
        case messages.Urged():
            return _hurry(state, event, now), ()
        case messages.Ticked():
            return _tick(state, now, draws)


def _hurry(state: State, urged: messages.Urged, now: float) -> State:
    # Since this host was last in touch the platform may have come back older
    # and reached the same number again with other changes.
    agreed = None if urged.whole else state.agreed
    return state._replace(ask_at=min(state.ask_at, now), agreed=agreed)


def _tick(state: State, now: float, draws: Draws) -> Step:
    actions: list[messages.Action] = []
    held = state.held
    if held and not held.handed and now >= held.until:
        actions.append(messages.Push(state.order[:1], held.patch))
        state = state._replace(held=held._replace(handed=True))
    if now >= state.ask_at and not state.asking:
        # The number alone is asked for where it can tell: the manifest of a
        # large system would otherwise be read by every host each minute.
        actions.append(
            messages.Check() if state.store_revision else messages.Read()
        )
        state = state._replace(asking=True)
    if is_watcher(state) and now >= state.watch_at and not state.watching:
        actions.append(
            messages.Watch(state.store_revision, state.rules.watch_s)
        )
        state = state._replace(watching=True)
    return state, tuple(actions)


def _judge_platform(
    state: State, found: messages.Found, now: float, draws: Draws
) -> Step:
    state = _close(state, found.watched, now, draws)
    state, cleared = _reach(state, now)
    state = state._replace(store_revision=found.store_revision)
    step = _join(cleared, _judge_found(state, found, now, draws))
    return _agree(step, found)


def _judge_found(
    state: State, found: messages.Found, now: float, draws: Draws
) -> Step:
    ours = state.in_force
    if found.configuration is None:
        return _note_older(state, 0)
    if found.configuration.revision < ours.stamp.revision:
        return _note_older(state, found.configuration.revision)
    changes = {it.revision: it for it in found.changes}
    if _is_forked(state, changes):
        text = f'revision {ours.stamp.revision} is another change there'
        return _note(state, messages.Fault.PLATFORM_FORKED, text)
    offered = patches.stamp(found.configuration, ours)
    if offered.stamp.revision == ours.stamp.revision:
        return _note_unvouched(_compare(state, 'platform', offered.stamp))
    made_by = changes.get(offered.stamp.revision)
    patch = patches.diff(ours, offered, made_by.change_id if made_by else '')
    state, cleared = _settle(state)
    step = _spread(_take(state, patch, offered), patch, now, draws)
    return _join(cleared, step)


def _agree(step: Step, found: messages.Found) -> Step:
    """Note what the platform holds, to tell whether that is in force here.

    One that came back older, or forked, says nothing of what it had accepted
    before.
    """
    state, actions = step
    if found.left == messages.NO_TIME or found.configuration is None:
        return state._replace(agreed=None), actions
    there = patches.stamp(found.configuration, state.in_force).stamp
    agreed = Agreed(found.store_revision, there)
    return _confirm((state._replace(agreed=agreed), actions), found.left)


def _confirm(step: Step, left: float) -> Step:
    state, actions = step
    if left == messages.NO_TIME:
        return step
    if state.agreed is None:
        # It was not read since proofs are asked for.
        return state._replace(asking=True), (*actions, messages.Read())
    if state.agreed != Agreed(state.store_revision, state.in_force.stamp):
        return step
    return state, (*actions, messages.Confirm(state.in_force.stamp, left))


def _is_forked(state: State, changes: Mapping[int, messages.Change]) -> bool:
    """Tell whether the platform's history leaves out what is in force.

    A platform restored from an old copy takes new changes under numbers that
    were used before. Once it has passed our number, following it would undo
    accepted changes without a word. A gap in the numbers above ours shows
    that operators have since recovered what was in force.
    """
    ours = state.in_force.stamp.revision
    there = changes.get(ours)
    if there is None or there.change_id == state.change_id:
        return False
    recovered = any(
        it.revision > ours and it.follows < it.revision - 1
        for it in changes.values()
    )
    return bool(state.change_id) and not recovered


def _compare_numbers(
    state: State, checked: messages.Checked, now: float, draws: Draws
) -> Step:
    state, cleared = _reach(_close(state, False, now, draws), now)
    if checked.store_revision == state.store_revision:
        step = _join(cleared, _note_unvouched((state, ())))
        return _confirm(step, checked.left)
    # Another number, higher or lower, may stand for another configuration.
    return state._replace(asking=True), (*cleared, messages.Read())


def _back_off(
    state: State, failed: messages.Failed, now: float, draws: Draws
) -> Step:
    rules = state.rules
    pause = min(
        rules.retry_limit_s, rules.retry_s * 2 ** min(state.failures, 9)
    )
    again = now + pause * (0.5 + draws())
    state = state._replace(failures=state.failures + 1)
    if failed.watched:
        state = state._replace(watching=False, watch_at=again)
    else:
        # With something in force there is no haste: a platform that comes
        # back would be met by every host at once.
        wait = (
            again
            if state.in_force is patches.NOTHING
            else _plan_check(state, now, draws)
        )
        state = state._replace(asking=False, ask_at=wait)
    fault = messages.Fault.PLATFORM_DOWN
    if failed.reached:
        fault = messages.Fault.UNREADABLE
    return _note(state, fault, failed.detail)


def _weigh_claim(state: State, heard: messages.Heard, now: float) -> Step:
    ours = state.in_force.stamp
    if heard.stamp.revision == ours.revision:
        return _compare(state, heard.member, heard.stamp)
    if heard.stamp.revision < ours.revision:
        return state, ()
    others = (it for it in state.claims if it.member != heard.member)
    state = state._replace(claims=(*others, heard)[-KEPT_CLAIMS:])
    if is_watcher(state) and not _has_fault(
        state, messages.Fault.PLATFORM_DOWN
    ):
        # A watcher believes the platform, and asks it now, not in a minute.
        state = state._replace(ask_at=min(state.ask_at, now))
    return _start_pull(state, heard)


def _start_pull(state: State, heard: messages.Heard) -> Step:
    if state.pulling:
        return state, ()
    vouchers = sum(it.stamp == heard.stamp for it in state.claims)
    needed = min(VOUCHERS, len(state.order) - 1)
    if vouchers < needed:
        return state, ()
    pulling = Pulling(heard.member, heard.stamp)
    above = state.in_force.stamp
    pull = messages.Pull(heard.member, above)
    return state._replace(pulling=pulling), (pull,)


def _judge_push(state: State, pushed: messages.Pushed, now: float) -> Step:
    patch, ours = pushed.patch, state.in_force.stamp
    # A watcher goes around the other one while that is dead unnoticed.
    elders = {
        *state.order[:WATCHERS],
        *rendezvous.find_ancestors(state.order, state.name),
    }
    if state.held and pushed.member in elders and patch.stamp == ours:
        return _send_below(state, state.held.patch)
    if patch.stamp.revision <= ours.revision or pushed.member not in elders:
        return _weigh_claim(
            state, messages.Heard(pushed.member, patch.stamp), now
        )
    if patch.base in {ours, patches.NO_STAMP}:
        return _apply(state, pushed.member, patch)
    if state.pulling:
        return state, ()
    pulling = Pulling(pushed.member, None)
    pull = messages.Pull(pushed.member, ours)
    return state._replace(pulling=pulling), (pull,)


def _judge_pull(state: State, pulled: messages.Pulled) -> Step:
    asked, state = state.pulling, state._replace(pulling=None)
    if asked is None or asked.member != pulled.member:
        return state, ()
    chain = pulled.patches
    if asked.wanted and state.in_force is not patches.NOTHING:
        # Vouched for is one stamp; what the member has above it is not.
        stamps = tuple(patch.stamp for patch in chain)
        if asked.wanted not in stamps:
            return state, ()
        chain = chain[: stamps.index(asked.wanted) + 1]
    actions: tuple[messages.Action, ...] = ()
    for patch in chain:
        if patch.stamp.revision > state.in_force.stamp.revision:
            state, more = _apply(state, pulled.member, patch)
            actions = (*actions, *more)
    return state, actions


def _apply(state: State, member: str, patch: patches.Patch) -> Step:
    whole = patch.base == patches.NO_STAMP
    base = patches.NOTHING if whole else state.in_force
    patched = patches.apply(patch, base)
    if patched is None:
        text = f'{member} sent revision {patch.stamp.revision} damaged'
        return _note(state, messages.Fault.DAMAGED, text)
    state, cleared = _settle(state)
    state, taken = _take(state, patch, patched)
    return _join((*cleared, *taken), _send_below(state, patch))


def _take(state: State, patch: patches.Patch, stamped: patches.Stamped) -> Step:
    # Every way in has compared the numbers; this is the last line of defence
    # of the promise that an accepted configuration never reverts.
    assert stamped.stamp.revision > state.in_force.stamp.revision
    kept = (*state.kept, patch)[-KEPT_PATCHES:]
    if patch.base == patches.NO_STAMP:
        kept = ()
    claims = tuple(
        heard
        for heard in state.claims
        if heard.stamp.revision > stamped.stamp.revision
    )
    taken = state._replace(
        in_force=stamped, change_id=patch.change_id, kept=kept, claims=claims
    )
    return taken, (messages.Configure(stamped),)


def _spread(step: Step, patch: patches.Patch, now: float, draws: Draws) -> Step:
    state, actions = step
    if state.order[0] == state.name:
        return _join(actions, _send_below(state, patch))
    until = now + state.rules.hold_s * (1 + draws())
    return state._replace(held=Held(patch, until)), actions


def _send_below(state: State, patch: patches.Patch) -> Step:
    children = rendezvous.find_children(state.order, state.name)
    pushes = (messages.Push(children, patch),) if children else ()
    return state._replace(held=None), pushes


def _go_around(state: State, lost: messages.Unreached) -> Step:
    if lost.push is None:
        return state._replace(pulling=None), ()
    # Whoever stands below the lost member would wait for gossip otherwise.
    below = rendezvous.find_children(state.order, lost.member)
    others = tuple(name for name in below if name != state.name)
    pushes = (messages.Push(others, lost.push),) if others else ()
    if state.held and state.held.patch.stamp == lost.push.stamp:
        # No push will come from above, so those below are ours to serve.
        return _join(pushes, _send_below(state, state.held.patch))
    return state, pushes


def _close(state: State, watched: bool, now: float, draws: Draws) -> State:
    state = state._replace(failures=0)
    if watched:
        return state._replace(watching=False, watch_at=now)
    ask_at = _plan_check(state, now, draws)
    return state._replace(asking=False, ask_at=ask_at)


def _plan_check(state: State, now: float, draws: Draws) -> float:
    """Spread checks, so that hosts started together do not check together."""
    share = max(1 / MOST_OFTEN, min(1.0, len(state.order) / FULL_CENTRE))
    return now + state.rules.check_s * share * (0.5 + draws())


def _compare(state: State, source: str, stamp: patches.Stamp) -> Step:
    if stamp == state.in_force.stamp:
        return state, ()
    text = f'{source} has another content for revision {stamp.revision}'
    return _note(state, messages.Fault.CONTENT_DIFFERS, text)


def _note_older(state: State, revision: int) -> Step:
    ours = state.in_force.stamp.revision
    if not ours:
        return state, ()
    text = f'platform has revision {revision}, in force stays {ours}'
    return _note(state, messages.Fault.PLATFORM_OLDER, text)


def _note(state: State, fault: messages.Fault, text: str) -> Step:
    known = _has_fault(state, fault)
    others = (it for it in state.faults if it[0] is not fault)
    noted = state._replace(faults=(*others, (fault, text)))
    # A fault that goes on is told once; its status shows the latest text.
    return noted, () if known else (messages.Report(fault, text),)


def _has_fault(state: State, fault: messages.Fault) -> bool:
    return any(noted is fault for noted, _ in state.faults)


def _note_unvouched(step: Step) -> Step:
    """Report members that claim a revision which the platform lacks."""
    state, actions = step
    ours = state.in_force.stamp.revision
    wild = tuple(it for it in state.claims if it.stamp.revision > ours)
    if not wild:
        return step
    text = f'{wild[-1].member} claims revision {wild[-1].stamp.revision}'
    return _join(actions, _note(state, messages.Fault.UNVOUCHED, text))


def _reach(state: State, now: float) -> Step:
    """Note that the platform answers.

    After an outage a watcher asks at once: a platform that came back with an
    old copy has a lower number, for which a watch would wait in silence.
    """
    if is_watcher(state) and _has_fault(state, messages.Fault.PLATFORM_DOWN):
        state = state._replace(ask_at=now)
    return _clear(state, (messages.Fault.PLATFORM_DOWN,))


def _settle(state: State) -> Step:
    """Note that a higher revision leaves the disputes of the last behind."""
    return _clear(state, set(messages.Fault) - {messages.Fault.PLATFORM_DOWN})


def _clear(state: State, ended: Iterable[messages.Fault]) -> Step:
    gone = frozenset(ended)
    kept = tuple(it for it in state.faults if it[0] not in gone)
    reports = tuple(
        messages.Report(fault, '') for fault, _ in state.faults if fault in gone
    )
    return state._replace(faults=kept), reports


def _join(first: tuple[messages.Action, ...], step: Step) -> Step:
    return step[0], (*first, *step[1])
