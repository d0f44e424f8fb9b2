"""Decide which hosts of one data centre take part.

Each host probes a few partners in turn and tells them the news. A partner
that does not answer is tried through others; only when one of them cannot
reach it either does it become suspect, and dead when it has not refuted that
in time. A host that notices that it is slow itself accuses nobody.
"""

from typing import Final

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members, probes

MAX_SEEDS: Final = 256
#: Seeds tried at a time while nobody is known.
SEEDS_AT_ONCE: Final = 3
#: Tables that differ for so many periods are compared by buckets: news still
#: under way explain a shorter difference.
DIFFER_PERIODS: Final = 2
#: A restart at another address meets its old entry a few times; a second
#: process under the same name goes on for ever.
MAX_RIVALS: Final = 8
_LATE_HEALTH: Final = 2
#: Probes of hosts that started together drift apart.
JITTER: Final = 0.2


def start(
    own: members.Member,
    data_centre: str,
    rules: states.Rules,
    seeds: tuple[str, ...],
    now: float,
) -> states.State:
    """Begin alone, with addresses at which others may be."""
    table = tables.build(own, now)
    state = states.State(data_centre, rules, table, contact=now)
    return _add_seeds(state, seeds)


def handle(
    state: states.State,
    event: messages.Event,
    now: float,
    draws: states.Draws,
) -> states.Step:
    """Take one event in and say what is to be done."""
    match event:
        case messages.Ticked():
            step = _tick(state, now, draws)
        case messages.Received():
            step = _answer(state, event, now)
        case messages.Answered():
            step = _close(state, event, now, draws)
        case messages.Lost(token):
            state, lost = states.take_probe(state, token)
            step = state, ()
            if lost is not None:
                step = probes.note_lost(state, lost, now, draws)
        case messages.Seeded():
            step = _add_seeds(state, event.addresses), ()
        case messages.Enforced():
            step = state._replace(stamp=event.stamp), ()
        case messages.Noticed():
            step = _notice(state, event.name, now), ()
        case messages.LeaveAsked():
            step = _raise(state, 0, members.Standing.LEAVING, now), ()
        case messages.EndAsked():
            step = _raise(state, 0, members.Standing.LEFT, now), ()
    return _list_changes(step)


def _tick(state: states.State, now: float, draws: states.Draws) -> states.Step:
    gap = 0 if state.ticked is None else now - state.ticked
    state = state._replace(ticked=now)
    if gap >= state.rules.late_s or gap < 0:
        state = _wake(state, gap, now)
    own = tables.read_own(state.table)
    step: states.Step = (state, ())
    if not own.gone:
        state, lost = probes.lose_stale(state, now, draws)
        state, expired = probes.expire_suspects(state, now)
        step = _probe((state, (*lost, *expired)), now, draws)
        step = _seek(step, now, draws)
    state = step[0]
    if state.flush_at is not None and now >= state.flush_at:
        step = states.join((state, step[1]))
        flushed, actions = probes.flush(state, now)
        step = flushed, (*step[1], *actions)
    return step


def _probe(step: states.Step, now: float, draws: states.Draws) -> states.Step:
    state, before = step
    if now < state.probe_at:
        return step
    rules = state.rules
    again = now + rules.period_s * (1 + JITTER * (draws() - 0.5))
    table = tables.forget(state.table, now, rules.forget_s)
    state, actions = probes.probe_next(
        state._replace(probe_at=again, table=table)
    )
    return state, (*before, *actions)


def _seek(step: states.Step, now: float, draws: states.Draws) -> states.Step:
    """Look for members that are gone or were never met.

    After a cut is healed both sides hold each other for dead, and nobody
    would ever talk to the other side again.
    """
    state, actions = step
    if now < state.seek_at:
        return step
    present = tables.list_present(state.table)
    known = {member.address for member in present}
    dead = (
        entry.member.address
        for entry in state.table.entries.values()
        if entry.member.standing is members.Standing.DEAD
    )
    places = sorted({*state.seeds, *dead} - known)
    places.sort(key=lambda _: draws())
    alone = len(present) <= 1
    wait = state.rules.period_s if alone else state.rules.lost_s
    state = state._replace(seek_at=now + wait * (0.5 + draws()))
    for address in places[: SEEDS_AT_ONCE if alone else 1]:
        state, asked = states.ask(state, address, states.Probe(''))
        actions = (*actions, *asked)
    return state, actions


def _wake(state: states.State, gap: float, now: float) -> states.State:
    """Take a pause of this host into account.

    It heard nothing meanwhile, so all others look silent to it; what it
    believes is as old as the pause. Without this a host that was frozen for
    a minute accuses everybody when it wakes. A clock that fell back, as on
    a host moved to another machine, is a pause below zero: all that is due
    would otherwise wait for the clock to come by again.
    """
    state = states.add_health(state, _LATE_HEALTH)
    state = state._replace(
        probes={},
        trials={},
        doubtful=True,
        contact=now,
        matched=now,
        synced=now,
        flushed=now,
        probe_at=now,
        seek_at=now,
        flush_at=now,
    )
    if gap < state.rules.forget_s / 2:
        return state._replace(table=tables.shift(state.table, gap))
    # The others have forgotten what this host still holds: its old news
    # would bring back members that left long ago.
    present = tables.list_present(state.table)
    state = _add_seeds(state, tuple(member.address for member in present))
    own = tables.read_own(state.table)
    return state._replace(table=tables.build(own, now))


def _answer(
    state: states.State, received: messages.Received, now: float
) -> states.Step:
    gossip, token = received.gossip, received.token
    state, actions = _take_in(state, gossip, now)
    target = gossip.relay
    if target is not None and target.name != state.table.name:
        state, asked = probes.relay(state, token, target)
        return state, (*actions, *asked)
    extra = _choose_extra(state, gossip)
    differs = gossip.digest != state.table.digest.whole
    state, reply = states.build_gossip(state, extra, buckets=differs)
    if target is not None:
        reply = reply._replace(reached=True)
    return state, (*actions, messages.Respond(token, reply))


def _choose_extra(
    state: states.State, gossip: messages.Gossip
) -> tuple[members.Member, ...]:
    """Choose what the asker has to hear whatever else is news."""
    extra: tuple[members.Member, ...] = ()
    if gossip.buckets:
        extra = tables.list_differing(state.table, gossip.buckets)
    known = tables.find(state.table, gossip.sender.name)
    if known is not None and known != gossip.sender:
        # It can only refute what it hears is held against it.
        return (known, *extra)
    return extra


def _close(
    state: states.State,
    answered: messages.Answered,
    now: float,
    draws: states.Draws,
) -> states.Step:
    gossip = answered.gossip
    state, asked = states.take_probe(state, answered.token)
    state, actions = _take_in(state, gossip, now)
    if asked is None or gossip.data_centre != state.data_centre:
        return state, actions
    state = state._replace(doubtful=False)
    if asked.name and asked.name != gossip.sender.name:
        # The address is another host's by now.
        state, more = probes.note_lost(state, asked, now, draws)
    else:
        state, more = _use(state, asked, gossip, now)
    return state, (*actions, *more)


def _use(
    state: states.State,
    asked: states.Probe,
    gossip: messages.Gossip,
    now: float,
) -> states.Step:
    if asked.serves is not None:
        state, reply = states.build_gossip(state)
        reply = reply._replace(reached=True)
        return state, (messages.Respond(asked.serves, reply),)
    if asked.helps:
        reached = bool(gossip.reached)
        return probes.note_help(state, asked.helps, reached, now)
    return _compare(states.add_health(state, -1), gossip, now)


def _compare(
    state: states.State, gossip: messages.Gossip, now: float
) -> states.Step:
    """Exchange what differs with a member whose table stays different."""
    rules = state.rules
    differing = now - state.matched >= DIFFER_PERIODS * rules.period_s
    rested = now - state.synced >= rules.flush_s
    if not (gossip.buckets and differing and rested):
        return state, ()
    state = state._replace(synced=now)
    extra = tables.list_differing(state.table, gossip.buckets)
    probe = states.Probe(gossip.sender.name)
    address = gossip.sender.address
    return states.ask(state, address, probe, extra, buckets=True)


def _take_in(
    state: states.State, gossip: messages.Gossip, now: float
) -> states.Step:
    if gossip.data_centre != state.data_centre:
        text = f'a host of data centre {gossip.data_centre} talks to this one'
        report = messages.Report(text, gossip.sender.name, urgent=True)
        return state, (report,)
    reports = (gossip.sender, *gossip.news)
    step: states.Step = (state, ())
    for member in reports:
        if member.name == state.table.name:
            step = _refute(step, member, now)
    state, actions = step
    table, taken = tables.merge(state.table, reports, now)
    table = tables.note_heard(table, gossip.sender.name, now)
    state = state._replace(table=table, contact=now)
    if taken:
        state = states.want_flush(state, now)
    if gossip.digest == table.digest.whole:
        state = state._replace(matched=now)
    if gossip.stamp != state.stamp:
        heard = messages.Heard(gossip.sender.name, gossip.stamp)
        actions = (*actions, heard)
    return state, (*actions, *_tell(taken))


def _tell(taken: tuple[members.Member, ...]) -> tuple[messages.Report, ...]:
    return tuple(
        messages.Report(f'member is {member.standing}', member.name)
        for member in taken
    )


def _refute(
    step: states.Step, report: members.Member, now: float
) -> states.Step:
    """Answer what others hold of this host that is not so."""
    state, actions = step
    own = tables.read_own(state.table)
    ahead = report.incarnation - own.incarnation
    if report == own or own.gone or not 0 <= ahead < members.MAX_JUMP:
        return step
    if report.address == own.address:
        state = states.add_health(state, 1)
        return _raise(state, ahead, own.standing, now), actions
    rivals = state.rivals + 1
    state = _raise(state._replace(rivals=rivals), ahead, own.standing, now)
    if rivals > MAX_RIVALS:
        text = f'another process at {report.address} has the same name'
        told = messages.Report(text, own.name, urgent=True)
        return state, (*actions, told)
    return state, actions


def _raise(
    state: states.State, ahead: int, standing: members.Standing, now: float
) -> states.State:
    """Speak for this host under a new incarnation, which beats all others."""
    own = tables.read_own(state.table)
    raised = own._replace(
        incarnation=own.incarnation + ahead + 1, standing=standing
    )
    state = state._replace(table=tables.put(state.table, raised, now))
    return states.want_flush(state, now)


def _notice(state: states.State, name: str, now: float) -> states.State:
    if not state.rules.count_traffic:
        return state
    return state._replace(table=tables.note_heard(state.table, name, now))


def _add_seeds(state: states.State, addresses: tuple[str, ...]) -> states.State:
    own = tables.read_own(state.table).address
    known = dict.fromkeys((*addresses, *state.seeds))
    seeds = tuple(address for address in known if address != own)
    return state._replace(seeds=seeds[:MAX_SEEDS])


def _list_changes(step: states.Step) -> states.Step:
    state, actions = step
    present = tables.list_present(state.table)
    live = tuple(member.name for member in present)
    staying = tuple(
        member.name
        for member in present
        if member.standing is not members.Standing.LEAVING
    )
    if (live, staying) == (state.live, state.staying):
        return step
    listed = messages.Listed(live, staying)
    return state._replace(live=live, staying=staying), (*actions, listed)
