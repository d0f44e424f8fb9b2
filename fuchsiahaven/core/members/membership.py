"""Decide which hosts of one data centre take part.

Each host probes a few partners in turn and sends them the news. A partner
that does not answer is probed through helpers. It becomes suspect only if a
helper cannot reach it either, and dead if it does not refute the suspicion in
time. A host that detects that it was paused makes no member suspect or dead
until another host answers.
"""

from typing import Final

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members, probes

MAX_SEEDS: Final = 256
#: Seeds contacted at a time while no other member is known.
MAX_SEEDS_AT_ONCE: Final = 3
#: Tables that differ for this many periods are compared by bucket. News that
#: are still under way explain a shorter difference.
MIN_DIFFERING_PERIODS: Final = 2
#: A host restarted at another address receives its old entry a few times; a
#: second process under the same name causes conflicts without end.
MAX_NAME_CONFLICTS: Final = 8
_PAUSE_SLOWNESS: Final = 2
#: Spreads the probes of hosts that started together.
PROBE_JITTER_FRACTION: Final = 0.2


def start(
    own: members.Member,
    data_centre: str,
    timings: states.Timings,
    seeds: tuple[str, ...],
    now: float,
) -> states.State:
    """Create the state of a host that knows only the addresses of seeds."""
    table = tables.build_table(own, now)
    state = states.State(data_centre, timings, table, last_contact_at=now)
    return _add_seeds(state, seeds)


def handle_event(
    state: states.State,
    event: messages.Event,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    """Handle one event, and return the new state and the actions."""
    match event:
        case messages.Tick():
            transition = _handle_tick(state, now, draw_fraction)
        case messages.RequestReceived():
            transition = _handle_request(state, event, now)
        case messages.ExchangeAnswered():
            transition = _handle_answer(state, event, now, draw_fraction)
        case messages.ExchangeFailed(token):
            state, exchange = states.end_exchange(state, token)
            transition = state, ()
            if exchange is not None:
                transition = probes.handle_failed_exchange(
                    state, exchange, now, draw_fraction
                )
        case messages.SeedsFound():
            transition = _add_seeds(state, event.addresses), ()
        case messages.ConfigurationInForce():
            transition = state._replace(stamp=event.stamp), ()
        case messages.TrafficReceived():
            transition = _record_traffic(state, event.name, now), ()
        case messages.LeaveRequested():
            transition = (
                _raise_incarnation(state, 0, members.Standing.LEAVING, now),
                (),
            )
        case messages.ServingEnded():
            transition = (
                _raise_incarnation(state, 0, members.Standing.LEFT, now),
                (),
            )
    return _list_if_changed(transition)


def _handle_tick(
    state: states.State, now: float, draw_fraction: states.DrawFraction
) -> states.Transition:
    gap_s = 0 if state.last_tick_at is None else now - state.last_tick_at
    state = state._replace(last_tick_at=now)
    if gap_s >= state.timings.min_pause_s or gap_s < 0:
        state = _handle_pause(state, gap_s, now)
    own = tables.get_own(state.table)
    transition: states.Transition = (state, ())
    if not own.is_gone:
        state, exchange_actions = probes.expire_exchanges(
            state, now, draw_fraction
        )
        state, suspect_actions = probes.expire_suspects(state, now)
        transition = _probe_if_due(
            (state, (*exchange_actions, *suspect_actions)), now, draw_fraction
        )
        transition = _seek_members(transition, now, draw_fraction)
    state = transition[0]
    if state.next_flush_at is not None and now >= state.next_flush_at:
        transition = states.append_actions((state, transition[1]))
        next_state, actions = probes.flush_news(state, now)
        transition = next_state, (*transition[1], *actions)
    return transition


def _probe_if_due(
    transition: states.Transition,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    state, earlier_actions = transition
    if now < state.next_probe_at:
        return transition
    timings = state.timings
    next_probe_at = now + timings.probe_period_s * (
        1 + PROBE_JITTER_FRACTION * (draw_fraction() - 0.5)
    )
    table = tables.expire_gone(state.table, now, timings.forget_after_s)
    state, actions = probes.probe_next_partner(
        state._replace(next_probe_at=next_probe_at, table=table)
    )
    return state, (*earlier_actions, *actions)


def _seek_members(
    transition: states.Transition,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    """Contact addresses of members that are dead or were never reached.

    After a network partition both sides hold each other for dead, and without
    this they would never exchange messages again.
    """
    state, actions = transition
    if now < state.next_seek_at:
        return transition
    present = tables.list_present(state.table)
    present_addresses = {member.address for member in present}
    dead_addresses = (
        entry.member.address
        for entry in state.table.entries.values()
        if entry.member.standing is members.Standing.DEAD
    )
    addresses = sorted({*state.seeds, *dead_addresses} - present_addresses)
    addresses.sort(key=lambda _: draw_fraction())
    is_alone = len(present) <= 1
    interval_s = (
        state.timings.probe_period_s
        if is_alone
        else state.timings.seek_interval_s
    )
    state = state._replace(
        next_seek_at=now + interval_s * (0.5 + draw_fraction())
    )
    for address in addresses[: MAX_SEEDS_AT_ONCE if is_alone else 1]:
        state, sent = states.start_exchange(state, address, states.Exchange(''))
        actions = (*actions, *sent)
    return state, actions


def _handle_pause(
    state: states.State, gap_s: float, now: float
) -> states.State:
    """Adjust the state after a pause of this host.

    During the pause this host received nothing, so all other members look
    silent and its table is out of date. Without this a host that was frozen
    for a minute would suspect every member. A clock that jumps back, as on a
    host moved to another machine, is handled as a pause of negative length:
    every timer would otherwise wait until the clock reaches it again.
    """
    state = states.adjust_slowness(state, _PAUSE_SLOWNESS)
    state = state._replace(
        exchanges={},
        indirect_probes={},
        is_resuming=True,
        last_contact_at=now,
        last_match_at=now,
        last_sync_at=now,
        last_flush_at=now,
        next_probe_at=now,
        next_seek_at=now,
        next_flush_at=now,
    )
    if gap_s < state.timings.forget_after_s / 2:
        return state._replace(table=tables.shift_times(state.table, gap_s))
    # The other hosts have removed members that this host still holds; its old
    # news would bring back members that left long ago.
    present = tables.list_present(state.table)
    state = _add_seeds(state, tuple(member.address for member in present))
    own = tables.get_own(state.table)
    return state._replace(table=tables.build_table(own, now))


def _handle_request(
    state: states.State, request: messages.RequestReceived, now: float
) -> states.Transition:
    gossip, token = request.gossip, request.token
    state, actions = _handle_gossip(state, gossip, now)
    relay_member = gossip.relay
    if relay_member is not None and relay_member.name != state.table.own_name:
        state, sent = probes.relay_probe(state, token, relay_member)
        return state, (*actions, *sent)
    extra = _choose_extra(state, gossip)
    differs = gossip.digest != state.table.digest.table
    state, reply = states.build_gossip(state, extra, buckets=differs)
    if relay_member is not None:
        reply = reply._replace(reached=True)
    return state, (*actions, messages.Respond(token, reply))


def _choose_extra(
    state: states.State, gossip: messages.Gossip
) -> tuple[members.Member, ...]:
    """Choose the members to send to the sender besides the news."""
    extra: tuple[members.Member, ...] = ()
    if gossip.buckets:
        extra = tables.list_differing(state.table, gossip.buckets)
    current = tables.find_member(state.table, gossip.sender.name)
    if current is not None and current != gossip.sender:
        # A member can refute a report only if it receives the report.
        return (current, *extra)
    return extra


def _handle_answer(
    state: states.State,
    answered: messages.ExchangeAnswered,
    now: float,
    draw_fraction: states.DrawFraction,
) -> states.Transition:
    gossip = answered.gossip
    state, exchange = states.end_exchange(state, answered.token)
    state, actions = _handle_gossip(state, gossip, now)
    if exchange is None or gossip.data_centre != state.data_centre:
        return state, actions
    state = state._replace(is_resuming=False)
    if exchange.name and exchange.name != gossip.sender.name:
        # The address now belongs to another host.
        state, more = probes.handle_failed_exchange(
            state, exchange, now, draw_fraction
        )
    else:
        state, more = _apply_answer(state, exchange, gossip, now)
    return state, (*actions, *more)


def _apply_answer(
    state: states.State,
    exchange: states.Exchange,
    gossip: messages.Gossip,
    now: float,
) -> states.Transition:
    if exchange.reply_token is not None:
        state, reply = states.build_gossip(state)
        reply = reply._replace(reached=True)
        return state, (messages.Respond(exchange.reply_token, reply),)
    if exchange.probed_member:
        reached = bool(gossip.reached)
        return probes.handle_helper_answer(
            state, exchange.probed_member, reached, now
        )
    return _sync_tables(states.adjust_slowness(state, -1), gossip, now)


def _sync_tables(
    state: states.State, gossip: messages.Gossip, now: float
) -> states.Transition:
    """Exchange the differing buckets with a member if tables stay different."""
    timings = state.timings
    has_differed_long = (
        now - state.last_match_at
        >= MIN_DIFFERING_PERIODS * timings.probe_period_s
    )
    may_sync = now - state.last_sync_at >= timings.flush_interval_s
    if not (gossip.buckets and has_differed_long and may_sync):
        return state, ()
    state = state._replace(last_sync_at=now)
    extra = tables.list_differing(state.table, gossip.buckets)
    exchange = states.Exchange(gossip.sender.name)
    address = gossip.sender.address
    return states.start_exchange(state, address, exchange, extra, buckets=True)


def _handle_gossip(
    state: states.State, gossip: messages.Gossip, now: float
) -> states.Transition:
    if gossip.data_centre != state.data_centre:
        text = f'a host of data centre {gossip.data_centre} talks to this one'
        report = messages.ReportMember(text, gossip.sender.name, is_urgent=True)
        return state, (report,)
    reports = (gossip.sender, *gossip.news)
    transition: states.Transition = (state, ())
    for member in reports:
        if member.name == state.table.own_name:
            transition = _refute(transition, member, now)
    state, actions = transition
    table, accepted = tables.merge_reports(state.table, reports, now)
    table = tables.record_sign_of_life(table, gossip.sender.name, now)
    state = state._replace(table=table, last_contact_at=now)
    if accepted:
        state = states.schedule_flush(state, now)
    if gossip.digest == table.digest.table:
        state = state._replace(last_match_at=now)
    if gossip.stamp != state.stamp:
        stamp_received = messages.StampReceived(
            gossip.sender.name, gossip.stamp
        )
        actions = (*actions, stamp_received)
    return state, (*actions, *_report_changes(accepted))


def _report_changes(
    accepted: tuple[members.Member, ...],
) -> tuple[messages.ReportMember, ...]:
    return tuple(
        messages.ReportMember(f'member is {member.standing}', member.name)
        for member in accepted
    )


def _refute(
    transition: states.Transition, report: members.Member, now: float
) -> states.Transition:
    """Refute a wrong report about this host by a higher incarnation."""
    state, actions = transition
    own = tables.get_own(state.table)
    increase = report.incarnation - own.incarnation
    if (
        report == own
        or own.is_gone
        or not 0 <= increase < members.MAX_INCARNATION_INCREASE
    ):
        return transition
    if report.address == own.address:
        state = states.adjust_slowness(state, 1)
        return _raise_incarnation(state, increase, own.standing, now), actions
    name_conflicts = state.name_conflicts + 1
    state = _raise_incarnation(
        state._replace(name_conflicts=name_conflicts),
        increase,
        own.standing,
        now,
    )
    if name_conflicts > MAX_NAME_CONFLICTS:
        text = f'another process at {report.address} has the same name'
        conflict = messages.ReportMember(text, own.name, is_urgent=True)
        return state, (*actions, conflict)
    return state, actions


def _raise_incarnation(
    state: states.State, increase: int, standing: members.Standing, now: float
) -> states.State:
    """Set this host's standing under a new, higher incarnation."""
    own = tables.get_own(state.table)
    raised = own._replace(
        incarnation=own.incarnation + increase + 1, standing=standing
    )
    state = state._replace(table=tables.set_member(state.table, raised, now))
    return states.schedule_flush(state, now)


def _record_traffic(state: states.State, name: str, now: float) -> states.State:
    if not state.timings.count_traffic:
        return state
    return state._replace(
        table=tables.record_sign_of_life(state.table, name, now)
    )


def _add_seeds(state: states.State, addresses: tuple[str, ...]) -> states.State:
    own_address = tables.get_own(state.table).address
    all_addresses = dict.fromkeys((*addresses, *state.seeds))
    seeds = tuple(
        address for address in all_addresses if address != own_address
    )
    return state._replace(seeds=seeds[:MAX_SEEDS])


def _list_if_changed(transition: states.Transition) -> states.Transition:
    state, actions = transition
    present = tables.list_present(state.table)
    live = tuple(member.name for member in present)
    staying = tuple(
        member.name
        for member in present
        if member.standing is not members.Standing.LEAVING
    )
    if (live, staying) == (state.live, state.staying):
        return transition
    listed = messages.MembersListed(live, staying)
    return state._replace(live=live, staying=staying), (*actions, listed)
