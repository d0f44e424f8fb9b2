"""Hold the state of membership and the exchanges under way."""

import math
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

MAX_SLOWNESS: Final = 8
#: A slow host waits longer for others, up to this many times as long.
MAX_TIMEOUT_FACTOR: Final = 4
#: Seconds after which an exchange counts as lost whose end nobody reported.
EXCHANGE_GRACE_S: Final = 5.0


class Timings(NamedTuple):
    """Hold the times of membership, in seconds.

    One partner is probed each `period_s`. A suspect has `suspicion_s`, times
    the decimal logarithm of the members, to refute. A tick that comes
    `late_s` after the last one shows that this host stood still. Without a
    word from anybody for `isolated_s` the others are taken for gone although
    nobody is left to confirm it. `lost_s` lies between tries to find members
    again that are gone or were never met; `forget_s` is how long gone ones
    are remembered. `count_traffic` says whether other traffic of a member is
    a sign of its life.
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_timeout_s: float = 4.0
    min_pause_s: float = 1.0
    isolation_timeout_s: float = 10.0
    seek_interval_s: float = 10.0
    flush_interval_s: float = 0.25
    forget_after_s: float = 900.0
    count_traffic: bool = True


class Exchange(NamedTuple):
    """Hold one exchange that is under way.

    `name` is empty where an address is tried of which nobody is known.
    `helps` names the member that the asked one is to try; `serves` is the
    token of the request that this exchange is to answer. `until` is when it
    is taken for lost although the edge has not said so.
    """

    name: str
    probed_member: str = ''
    reply_token: int | None = None
    deadline: float = 0.0


class IndirectProbe(NamedTuple):
    """Count what helpers say of a member that did not answer this host."""

    helper_count: int
    unreached_count: int = 0
    failed_count: int = 0


class State(NamedTuple):
    """Hold what membership knows.

    `health` is 0 where this host is well and grows with each sign that it is
    slow itself. `doubtful` is set after a pause until another host answers:
    what went unanswered meanwhile says nothing of the others.
    """

    data_centre: str
    timings: Timings
    table: tables.Table
    stamp: patches.Stamp = patches.NO_STAMP
    seeds: tuple[str, ...] = ()
    exchanges: Mapping[int, Exchange] = {}
    indirect_probes: Mapping[str, IndirectProbe] = {}
    last_token: int = 0
    partner_turn: int = 0
    last_tick_at: float | None = None
    next_probe_at: float = 0.0
    next_seek_at: float = 0.0
    next_flush_at: float | None = None
    last_flush_at: float = -math.inf
    last_contact_at: float = -math.inf
    last_match_at: float = -math.inf
    last_sync_at: float = -math.inf
    slowness: int = 0
    name_conflicts: int = 0
    is_resuming: bool = False
    live: tuple[str, ...] = ()
    staying: tuple[str, ...] = ()


DrawFraction = Callable[[], float]
Transition = tuple[State, tuple[messages.Action, ...]]


def adjust_slowness(state: State, change: int) -> State:
    """Count signs of this host's own trouble up or down."""
    slowness = min(MAX_SLOWNESS, max(0, state.slowness + change))
    return state._replace(slowness=slowness)


def scale_timeout(state: State, timeout_s: float) -> float:
    """Lengthen a time by this host's own trouble."""
    return timeout_s * min(MAX_TIMEOUT_FACTOR, 1 + state.slowness)


def append_actions(
    transition: Transition, *actions: messages.Action
) -> Transition:
    """Add actions to a step."""
    return transition[0], (*transition[1], *actions)


def schedule_flush(state: State, now: float) -> State:
    """Have the news told to all partners soon, but not too often."""
    due_at = max(now, state.last_flush_at + state.timings.flush_interval_s)
    if state.next_flush_at is not None:
        due_at = min(due_at, state.next_flush_at)
    return state._replace(next_flush_at=due_at)


def build_gossip(
    state: State,
    extra: tuple[members.Member, ...] = (),
    *,
    buckets: bool = False,
) -> tuple[State, messages.Gossip]:
    """Build what to tell next; `extra` goes besides the news."""
    table, news = tables.choose_news(state.table)
    reports = tuple(dict.fromkeys((*extra, *news)))
    gossip = messages.Gossip(
        tables.get_own(table),
        state.data_centre,
        state.stamp,
        table.digest.table,
        reports,
        table.digest.buckets if buckets else (),
    )
    return state._replace(table=table), gossip


def start_exchange(
    state: State,
    address: str,
    exchange: Exchange,
    extra: tuple[members.Member, ...] = (),
    *,
    buckets: bool = False,
) -> Transition:
    """Begin an exchange."""
    state, gossip = build_gossip(state, extra, buckets=buckets)
    timeout_s = scale_timeout(state, state.timings.probe_timeout_s)
    if exchange.probed_member:
        # The one asked waits for another in its turn.
        gossip = gossip._replace(
            relay=tables.find_member(state.table, exchange.probed_member)
        )
        timeout_s *= 2
    token = state.last_token + 1
    deadline = (state.last_tick_at or 0) + timeout_s + EXCHANGE_GRACE_S
    exchanges = {**state.exchanges, token: exchange._replace(deadline=deadline)}
    state = state._replace(last_token=token, exchanges=exchanges)
    return state, (messages.SendRequest(token, address, gossip, timeout_s),)


def end_exchange(state: State, token: int) -> tuple[State, Exchange | None]:
    """End an exchange; None where it was given up before."""
    exchange = state.exchanges.get(token)
    remaining = {key: it for key, it in state.exchanges.items() if key != token}
    return state._replace(exchanges=remaining), exchange
