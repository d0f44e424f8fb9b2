"""Hold the state of membership and the exchanges under way."""

import math
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

MAX_HEALTH: Final = 8
#: A slow host waits longer for others, up to this many times as long.
MAX_PATIENCE: Final = 4
#: Seconds after which an exchange counts as lost whose end nobody reported.
GRACE_S: Final = 5.0


class Rules(NamedTuple):
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

    period_s: float = 1.0
    timeout_s: float = 0.5
    suspicion_s: float = 4.0
    late_s: float = 1.0
    isolated_s: float = 10.0
    lost_s: float = 10.0
    flush_s: float = 0.25
    forget_s: float = 900.0
    count_traffic: bool = True


class Probe(NamedTuple):
    """Hold one exchange that is under way.

    `name` is empty where an address is tried of which nobody is known.
    `helps` names the member that the asked one is to try; `serves` is the
    token of the request that this exchange is to answer. `until` is when it
    is taken for lost although the edge has not said so.
    """

    name: str
    helps: str = ''
    serves: int | None = None
    until: float = 0.0


class Trial(NamedTuple):
    """Count what helpers say of a member that did not answer this host."""

    asked: int
    denied: int = 0
    lost: int = 0


class State(NamedTuple):
    """Hold what membership knows.

    `health` is 0 where this host is well and grows with each sign that it is
    slow itself. `doubtful` is set after a pause until another host answers:
    what went unanswered meanwhile says nothing of the others.
    """

    data_centre: str
    rules: Rules
    table: tables.Table
    stamp: patches.Stamp = patches.NO_STAMP
    seeds: tuple[str, ...] = ()
    probes: Mapping[int, Probe] = {}
    trials: Mapping[str, Trial] = {}
    last_token: int = 0
    turn: int = 0
    ticked: float | None = None
    probe_at: float = 0.0
    seek_at: float = 0.0
    flush_at: float | None = None
    flushed: float = -math.inf
    contact: float = -math.inf
    matched: float = -math.inf
    synced: float = -math.inf
    health: int = 0
    rivals: int = 0
    doubtful: bool = False
    live: tuple[str, ...] = ()
    staying: tuple[str, ...] = ()


Draws = Callable[[], float]
Step = tuple[State, tuple[messages.Action, ...]]


def add_health(state: State, worse: int) -> State:
    """Count signs of this host's own trouble up or down."""
    health = min(MAX_HEALTH, max(0, state.health + worse))
    return state._replace(health=health)


def scale(state: State, seconds: float) -> float:
    """Lengthen a time by this host's own trouble."""
    return seconds * min(MAX_PATIENCE, 1 + state.health)


def join(step: Step, *actions: messages.Action) -> Step:
    """Add actions to a step."""
    return step[0], (*step[1], *actions)


def want_flush(state: State, now: float) -> State:
    """Have the news told to all partners soon, but not too often."""
    due = max(now, state.flushed + state.rules.flush_s)
    if state.flush_at is not None:
        due = min(due, state.flush_at)
    return state._replace(flush_at=due)


def build_gossip(
    state: State,
    extra: tuple[members.Member, ...] = (),
    *,
    buckets: bool = False,
) -> tuple[State, messages.Gossip]:
    """Build what to tell next; `extra` goes besides the news."""
    table, news = tables.choose_news(state.table)
    told = tuple(dict.fromkeys((*extra, *news)))
    gossip = messages.Gossip(
        tables.read_own(table),
        state.data_centre,
        state.stamp,
        table.digest.whole,
        told,
        table.digest.buckets if buckets else (),
    )
    return state._replace(table=table), gossip


def ask(
    state: State,
    address: str,
    probe: Probe,
    extra: tuple[members.Member, ...] = (),
    *,
    buckets: bool = False,
) -> Step:
    """Begin an exchange."""
    state, gossip = build_gossip(state, extra, buckets=buckets)
    timeout_s = scale(state, state.rules.timeout_s)
    if probe.helps:
        # The one asked waits for another in its turn.
        gossip = gossip._replace(relay=tables.find(state.table, probe.helps))
        timeout_s *= 2
    token = state.last_token + 1
    until = (state.ticked or 0) + timeout_s + GRACE_S
    probes = {**state.probes, token: probe._replace(until=until)}
    state = state._replace(last_token=token, probes=probes)
    return state, (messages.Ask(token, address, gossip, timeout_s),)


def take_probe(state: State, token: int) -> tuple[State, Probe | None]:
    """End an exchange; None where it was given up before."""
    probe = state.probes.get(token)
    left = {key: it for key, it in state.probes.items() if key != token}
    return state._replace(probes=left), probe
