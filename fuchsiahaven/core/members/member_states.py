"""Hold the state of membership, and start and end exchanges."""

import math
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

MAX_SLOWNESS: Final = 8
#: A slow host lengthens its timeouts by up to this factor.
MAX_TIMEOUT_FACTOR: Final = 4
#: Time after its timeout at which an exchange without a reported end expires.
EXCHANGE_GRACE_S: Final = 5.0


class Timings(NamedTuple):
    """Hold the times of membership, in seconds.

    Attributes:
        probe_period_s: interval between probes; each probes one partner.
        probe_timeout_s: time within which a member answers a probe.
        suspicion_timeout_s: time that a suspect has to refute, multiplied by
            the decimal logarithm of the number of members.
        min_pause_s: gap between two ticks that shows that this host was
            paused.
        isolation_timeout_s: time without a message from any host after which
            members become suspects although no helper can confirm it.
        seek_interval_s: interval between attempts to reach members that are
            dead or were never reached.
        flush_interval_s: shortest interval between sending the news to all
            partners, and between exchanges of tables that differ.
        forget_after_s: time after which a member that is gone is removed.
        count_traffic: whether other traffic of a member is a sign of life.
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

    `name` is the member to which the request goes, empty where only an
    address is known. `probed_member` is the member that it probes for this
    host as a helper. `reply_token` is the token of another host's request
    that is answered when this exchange ends. `deadline` is the time at which
    the exchange counts as failed even if the edge has not reported its end.
    """

    name: str
    probed_member: str = ''
    reply_token: int | None = None
    deadline: float = 0.0


class IndirectProbe(NamedTuple):
    """Count the answers of helpers about a member that missed a probe.

    `unreached_count` counts helpers that got no answer from the member
    either, `failed_count` helpers that did not answer this host.
    """

    helper_count: int
    unreached_count: int = 0
    failed_count: int = 0


class State(NamedTuple):
    """Hold the state of membership on this host.

    `slowness` is 0 for a healthy host and grows with each sign that this host
    itself is slow. `is_resuming` is set after a pause of this host until
    another host answers: failed exchanges of the pause are no evidence
    against other members. `last_match_at` is the time at which another
    host's digest was last the same, `last_sync_at` that of the last exchange
    of buckets.
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
    """Change the slowness score of this host within its bounds."""
    slowness = min(MAX_SLOWNESS, max(0, state.slowness + change))
    return state._replace(slowness=slowness)


def scale_timeout(state: State, timeout_s: float) -> float:
    """Lengthen a timeout according to the slowness of this host."""
    return timeout_s * min(MAX_TIMEOUT_FACTOR, 1 + state.slowness)


def append_actions(
    transition: Transition, *actions: messages.Action
) -> Transition:
    """Append actions to a transition."""
    return transition[0], (*transition[1], *actions)


def schedule_flush(state: State, now: float) -> State:
    """Schedule sending the news to all partners, at a limited rate."""
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
    """Build the next message; `extra` members are sent besides the news."""
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
    """Start an exchange."""
    state, gossip = build_gossip(state, extra, buckets=buckets)
    timeout_s = scale_timeout(state, state.timings.probe_timeout_s)
    if exchange.probed_member:
        # The helper has to wait for the probed member in turn.
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
    """Remove an exchange; it is None if it has expired before."""
    exchange = state.exchanges.get(token)
    remaining = {key: it for key, it in state.exchanges.items() if key != token}
    return state._replace(exchanges=remaining), exchange
