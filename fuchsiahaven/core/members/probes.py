"""Find out whether members answer, and accuse those that do not.

A host that misses an answer cannot tell whether the other is gone, the path
between them is cut or it is in trouble itself. So it asks helpers, and takes
a member for suspect only when a helper says that it got no answer either: a
half-open cut is gone around, and a host cut off from all accuses nobody.
"""

import math
from typing import Final

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

HELPERS: Final = 3
#: After a word from a member this many periods pass before it is accused,
#: and more after it has refuted an accusation: some cannot reach it, others
#: can, and it would be accused again and again.
FRESH_PERIODS: Final = 2
REFUTED_PERIODS: Final = 10
_BASE: Final = 10


def probe_next(state: states.State) -> states.Step:
    """Probe the partner whose turn it is."""
    partners = state.table.partners
    if not partners:
        return state, ()
    name = partners[state.turn % len(partners)]
    return probe(state._replace(turn=state.turn + 1), name)


def probe(state: states.State, name: str) -> states.Step:
    """Probe one member."""
    address = state.table.entries[name].member.address
    return states.ask(state, address, states.Probe(name))


def flush(state: states.State, now: float) -> states.Step:
    """Tell the news to all partners."""
    step: states.Step = (state._replace(flush_at=None, flushed=now), ())
    for name in state.table.partners:
        asked, actions = probe(step[0], name)
        step = asked, (*step[1], *actions)
    return step


def relay(
    state: states.State, token: int, target: members.Member
) -> states.Step:
    """Try a member for another host that misses its answer."""
    return states.ask(
        state, target.address, states.Probe(target.name, serves=token)
    )


def note_lost(
    state: states.State, lost: states.Probe, now: float, draws: states.Draws
) -> states.Step:
    """Go on after an exchange without an answer."""
    if lost.serves is not None:
        state, gossip = states.build_gossip(state)
        gossip = gossip._replace(reached=False)
        return state, (messages.Respond(lost.serves, gossip),)
    if lost.helps:
        trial = state.trials.get(lost.helps, states.Trial(0))
        return _count(
            state, lost.helps, trial._replace(lost=trial.lost + 1), now
        )
    if lost.name and not _is_fresh(state, lost.name, now):
        return _begin_trial(state, lost.name, now, draws)
    return state, ()


def lose_stale(
    state: states.State, now: float, draws: states.Draws
) -> states.Step:
    """End exchanges whose end the edge never reported.

    A trial that waits for one would be open for ever, and its member, dead
    or not, would never be tried again.
    """
    step: states.Step = (state, ())
    for token, probe_of in state.probes.items():
        if now >= probe_of.until:
            taken, lost = states.take_probe(step[0], token)
            assert lost is not None
            taken, actions = note_lost(taken, lost, now, draws)
            step = taken, (*step[1], *actions)
    return step


def note_help(
    state: states.State, name: str, reached: bool, now: float
) -> states.Step:
    """Take in what a helper found."""
    if reached:
        table = tables.note_heard(state.table, name, now)
        return _end_trial(state, name)._replace(table=table), ()
    trial = state.trials.get(name)
    if trial is None:
        return state, ()
    return _count(state, name, trial._replace(denied=trial.denied + 1), now)


def expire_suspects(state: states.State, now: float) -> states.Step:
    """Take suspects for dead that have had their time."""
    if state.doubtful:
        return state, ()
    rules = state.rules
    present = tables.list_present(state.table)
    allowed = states.scale(
        state, rules.suspicion_s * max(1, math.log(len(present), _BASE))
    )
    step: states.Step = (state, ())
    for member in present:
        entry = state.table.entries[member.name]
        suspect = member.standing is members.Standing.SUSPECT
        if suspect and now - entry.since >= allowed:
            step = _bury(step, entry, now)
    return step


def _bury(step: states.Step, entry: tables.Entry, now: float) -> states.Step:
    state, member = step[0], entry.member
    if state.rules.count_traffic and entry.heard > entry.since:
        # It lives; its answer to the suspicion is on its way, or it cannot
        # be reached by some. Taking its place would be wrong in both cases.
        table = tables.restart(state.table, member.name, now)
        return state._replace(table=table), step[1]
    return _set(step, member, members.Standing.DEAD, now)


def _begin_trial(
    state: states.State, name: str, now: float, draws: states.Draws
) -> states.Step:
    if name in state.trials or name not in state.table.entries:
        return state, ()
    own = state.table.name
    others = [
        member
        for member in tables.list_present(state.table)
        if member.name not in {own, name}
    ]
    others.sort(key=lambda _: draws())
    helpers = others[:HELPERS]
    trial = states.Trial(len(helpers))
    step = _count(state, name, trial, now)
    for helper in helpers:
        asked, actions = states.ask(
            step[0], helper.address, states.Probe(helper.name, name)
        )
        step = asked, (*step[1], *actions)
    return step


def _count(
    state: states.State, name: str, trial: states.Trial, now: float
) -> states.Step:
    if trial.denied + trial.lost < trial.asked:
        trials = {**state.trials, name: trial}
        return state._replace(trials=trials), ()
    state = _end_trial(state, name)
    member = tables.find(state.table, name)
    if member is None or member.gone or state.doubtful:
        return state, ()
    isolated = now - state.contact >= state.rules.isolated_s
    if not trial.denied and not isolated:
        # Nobody could be asked, so the trouble may be on this side.
        return states.add_health(state, 1), ()
    if member.standing is members.Standing.SUSPECT:
        return state, ()
    return _set((state, ()), member, members.Standing.SUSPECT, now)


def _end_trial(state: states.State, name: str) -> states.State:
    trials = {key: it for key, it in state.trials.items() if key != name}
    return state._replace(trials=trials)


def _set(
    step: states.Step,
    member: members.Member,
    standing: members.Standing,
    now: float,
) -> states.Step:
    state = step[0]
    changed = member._replace(standing=standing)
    state = state._replace(table=tables.put(state.table, changed, now))
    state = states.want_flush(state, now)
    report = messages.Report(f'member is {standing}', member.name)
    return states.join((state, step[1]), report)


def _is_fresh(state: states.State, name: str, now: float) -> bool:
    """Tell whether other traffic speaks for a member that missed a probe.

    Following Kea's high availability, a silent partner is held against the
    traffic that comes from it before anything is done about it.
    """
    entry = state.table.entries.get(name)
    if entry is None or not state.rules.count_traffic:
        return False
    period_s = state.rules.period_s
    refuted = entry.member.incarnation > 1 and (
        now - entry.since < REFUTED_PERIODS * period_s
    )
    return refuted or now - entry.heard < FRESH_PERIODS * period_s
