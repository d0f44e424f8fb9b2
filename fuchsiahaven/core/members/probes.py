"""Probe members, and suspect those that do not answer.

A host that misses an answer cannot tell whether the member is gone, the path
between them is cut or the host itself is faulty. So it asks helpers to probe
the member, and makes it suspect only if a helper reports that it got no answer
either. A cut in one direction is thus bypassed, and a host that is cut off
from all others suspects nobody until `isolation_timeout_s` has passed.
"""

import math
from typing import Final

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

MAX_HELPERS: Final = 3
#: A member is not suspected for this many periods after its last message, and
#: for more periods after it has refuted a suspicion. If some hosts can reach a
#: member and others cannot, it would otherwise be suspected again and again.
CONTACT_GRACE_PERIODS: Final = 2
REFUTED_GRACE_PERIODS: Final = 10
_LOGARITHM_BASE: Final = 10


def probe_next_partner(state: states.State) -> states.Transition:
    """Probe the partner whose turn it is."""
    partners = state.table.partners
    if not partners:
        return state, ()
    name = partners[state.partner_turn % len(partners)]
    return probe_member(
        state._replace(partner_turn=state.partner_turn + 1), name
    )


def probe_member(state: states.State, name: str) -> states.Transition:
    """Probe one member."""
    address = state.table.entries[name].member.address
    return states.start_exchange(state, address, states.Exchange(name))


def flush_news(state: states.State, now: float) -> states.Transition:
    """Send the news to all partners."""
    transition: states.Transition = (
        state._replace(next_flush_at=None, last_flush_at=now),
        (),
    )
    for name in state.table.partners:
        next_state, actions = probe_member(transition[0], name)
        transition = next_state, (*transition[1], *actions)
    return transition


def relay_probe(
    state: states.State, token: int, member: members.Member
) -> states.Transition:
    """Probe a member for another host that got no answer from it."""
    return states.start_exchange(
        state, member.address, states.Exchange(member.name, reply_token=token)
    )


def handle_failed_exchange(
    state: states.State,
    exchange: states.Exchange,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    """Handle an exchange that ended without an answer."""
    if exchange.reply_token is not None:
        state, gossip = states.build_gossip(state)
        gossip = gossip._replace(reached=False)
        return state, (messages.Respond(exchange.reply_token, gossip),)
    if exchange.probed_member:
        indirect_probe = state.indirect_probes.get(
            exchange.probed_member, states.IndirectProbe(0)
        )
        return _record_indirect_probe(
            state,
            exchange.probed_member,
            indirect_probe._replace(
                failed_count=indirect_probe.failed_count + 1
            ),
            now,
        )
    if exchange.name and not _has_recent_traffic(state, exchange.name, now):
        return _start_indirect_probe(state, exchange.name, now, draw_fraction)
    return state, ()


def expire_exchanges(
    state: states.State, now: float, draw_fraction: states.DrawFraction
) -> states.Transition:
    """Expire exchanges whose end the edge never reported.

    An indirect probe that waits for such an exchange would stay open for
    ever, and its member, dead or not, would never be probed again.
    """
    transition: states.Transition = (state, ())
    for token, exchange in state.exchanges.items():
        if now >= exchange.deadline:
            next_state, expired = states.end_exchange(transition[0], token)
            assert expired is not None
            next_state, actions = handle_failed_exchange(
                next_state, expired, now, draw_fraction
            )
            transition = next_state, (*transition[1], *actions)
    return transition


def handle_helper_answer(
    state: states.State, name: str, reached: bool, now: float
) -> states.Transition:
    """Handle the answer of a helper about a member."""
    if reached:
        table = tables.record_sign_of_life(state.table, name, now)
        return _remove_indirect_probe(state, name)._replace(table=table), ()
    indirect_probe = state.indirect_probes.get(name)
    if indirect_probe is None:
        return state, ()
    return _record_indirect_probe(
        state,
        name,
        indirect_probe._replace(
            unreached_count=indirect_probe.unreached_count + 1
        ),
        now,
    )


def expire_suspects(state: states.State, now: float) -> states.Transition:
    """Declare suspects dead that have not refuted in time."""
    if state.is_resuming:
        return state, ()
    timings = state.timings
    present = tables.list_present(state.table)
    suspicion_timeout_s = states.scale_timeout(
        state,
        timings.suspicion_timeout_s
        * max(1, math.log(len(present), _LOGARITHM_BASE)),
    )
    transition: states.Transition = (state, ())
    for member in present:
        entry = state.table.entries[member.name]
        is_suspect = member.standing is members.Standing.SUSPECT
        if is_suspect and now - entry.standing_since >= suspicion_timeout_s:
            transition = _expire_suspect(transition, entry, now)
    return transition


def _expire_suspect(
    transition: states.Transition, entry: tables.Entry, now: float
) -> states.Transition:
    state, member = transition[0], entry.member
    if (
        state.timings.count_traffic
        and entry.last_heard_at > entry.standing_since
    ):
        # The member is alive: its refutation is under way, or some hosts
        # cannot reach it. Declaring it dead is wrong in both cases.
        table = tables.reset_standing_since(state.table, member.name, now)
        return state._replace(table=table), transition[1]
    return _set_standing(transition, member, members.Standing.DEAD, now)


def _start_indirect_probe(
    state: states.State,
    name: str,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    if name in state.indirect_probes or name not in state.table.entries:
        return state, ()
    own_name = state.table.own_name
    others = [
        member
        for member in tables.list_present(state.table)
        if member.name not in {own_name, name}
    ]
    others.sort(key=lambda _: draw_fraction())
    helpers = others[:MAX_HELPERS]
    indirect_probe = states.IndirectProbe(len(helpers))
    transition = _record_indirect_probe(state, name, indirect_probe, now)
    for helper in helpers:
        next_state, actions = states.start_exchange(
            transition[0], helper.address, states.Exchange(helper.name, name)
        )
        transition = next_state, (*transition[1], *actions)
    return transition


def _record_indirect_probe(
    state: states.State,
    name: str,
    indirect_probe: states.IndirectProbe,
    now: float,
) -> states.Transition:
    if (
        indirect_probe.unreached_count + indirect_probe.failed_count
        < indirect_probe.helper_count
    ):
        indirect_probes = {**state.indirect_probes, name: indirect_probe}
        return state._replace(indirect_probes=indirect_probes), ()
    state = _remove_indirect_probe(state, name)
    member = tables.find_member(state.table, name)
    if member is None or member.is_gone or state.is_resuming:
        return state, ()
    is_isolated = (
        now - state.last_contact_at >= state.timings.isolation_timeout_s
    )
    if not indirect_probe.unreached_count and not is_isolated:
        # No helper answered, so the fault may be on this host.
        return states.adjust_slowness(state, 1), ()
    if member.standing is members.Standing.SUSPECT:
        return state, ()
    return _set_standing((state, ()), member, members.Standing.SUSPECT, now)


def _remove_indirect_probe(state: states.State, name: str) -> states.State:
    indirect_probes = {
        key: it for key, it in state.indirect_probes.items() if key != name
    }
    return state._replace(indirect_probes=indirect_probes)


def _set_standing(
    transition: states.Transition,
    member: members.Member,
    standing: members.Standing,
    now: float,
) -> states.Transition:
    state = transition[0]
    changed = member._replace(standing=standing)
    state = state._replace(table=tables.set_member(state.table, changed, now))
    state = states.schedule_flush(state, now)
    report = messages.ReportMember(f'member is {standing}', member.name)
    return states.append_actions((state, transition[1]), report)


def _has_recent_traffic(state: states.State, name: str, now: float) -> bool:
    """Return whether a member that missed a probe is still presumed alive.

    As in Kea's high availability, the traffic that comes from a silent
    partner is checked before the partner counts as failed.
    """
    entry = state.table.entries.get(name)
    if entry is None or not state.timings.count_traffic:
        return False
    probe_period_s = state.timings.probe_period_s
    has_refuted = entry.member.incarnation > 1 and (
        now - entry.standing_since < REFUTED_GRACE_PERIODS * probe_period_s
    )
    return (
        has_refuted
        or now - entry.last_heard_at < CONTACT_GRACE_PERIODS * probe_period_s
    )
