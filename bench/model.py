"""Play many hosts' decisions against targets in simulated time.

Askers, helpers and targets of several data centres, with the pure decisions of
`routing` and nothing else: no network, no processes, no store. A host does one
thing after the other, and takes for each what the shape says, nothing if it
says nothing. What it shows is what decisions do to each other, such as a bound
that many hosts share.
"""

import heapq
import itertools
import random
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bench import lines, shapes, targets
from fuchsiahaven.core import request_identities
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import dispatch, events, states

#: One way within a data centre, and between two.
NEAR_S: Final = 0.0002
FAR_S: Final = 0.0009
#: What the first request from a host to a target waits for its connection.
CONNECT_S: Final = 0.006
REVIEW_S: Final = 0.1
#: Bytes of a part that crosses: its request and its answer.
PART_BYTES: Final = 780
SIGNATURE: Final = 'signed'
#: Names the query that ends its targets.
DEADLY_ID: Final = request_identities.identify('deadly')
#: How long it may still reach targets once it has ended three.
IN_TOUCH_S: Final = 4.0


class Ending(NamedTuple):
    """Tell what became of one query; `covered` is 0 where it failed."""

    took: float
    covered: float
    asked: float = 0.0
    customer: str = ''


class Result(NamedTuple):
    """Hold what became of all queries, and what they cost.

    `ends` counts the targets that a query has ended, `late` the sendings of it
    that reached one long after the third had ended. `worked` holds for how many
    seconds the slots of each target were in use.
    """

    endings: tuple[Ending, ...]
    repeats: int
    crossed_bytes: int
    ends: int = 0
    late: int = 0
    worked: Mapping[str, float] = {}


class Turn(NamedTuple):
    """Mark that a host gets to new work that waits."""


class Work(NamedTuple):
    """Hold what happens at a host at a time; the place keeps the order."""

    at: float
    place: int
    host: int
    event: events.Event | Turn


class Fleet:
    """Own the hosts, the targets and the clock."""

    def __init__(
        self, shape: shapes.Shape, load: targets.Load, seed: int
    ) -> None:
        """Put one wide route in force on hosts that know each other."""
        self._shape = shape
        self._numbers = random.Random(seed)
        self._order = itertools.count()
        self._due: list[Work] = []
        self._asked: dict[tuple[int, int], events.Request] = {}
        self._helped: dict[
            tuple[int, int], tuple[int, events.DelegationKey]
        ] = {}
        self._connected: set[tuple[int, str]] = set()
        self._endings: list[Ending] = []
        self._repeats = 0
        self._arrived: set[tuple[str, str]] = set()
        self._crossed = 0
        self._hosts = shapes.make_desks(shape, self._numbers)
        self._numbers_by_name = {
            desk.host.name: int(desk.host.address) for desk in self._hosts
        }
        self._flows = {flow.customer: flow for flow in shapes.list_flows(shape)}
        self._targets = {
            name: targets.Target(shape.slots, load, self._numbers)
            for name in self._hosts[0].directory.by_name
        }
        self._deadly = load.deadly
        self._ends: list[float] = []
        self._wakes: dict[int, float] = {}
        self._busy: dict[int, float] = {}
        self._lines = lines.Lines(self._hosts, self._perform)
        self._marked: set[int] = set()

    def play(self, seconds: float) -> Result:
        """Ask at random hosts and times for so long."""
        for flow in self._flows.values():
            self._ask(flow, seconds)
        steps = range(int((seconds + 1) / REVIEW_S))
        for host, step in itertools.product(range(len(self._hosts)), steps):
            self._add(step * REVIEW_S, host, events.ReviewDue())
        while self._due:
            work = heapq.heappop(self._due)
            self._handle(work)
        return Result(
            tuple(self._endings),
            self._repeats,
            self._crossed,
            len(self._ends),
            count_late(self._ends),
            {name: one.worked for name, one in self._targets.items()},
        )

    def _ask(self, flow: shapes.Flow, seconds: float) -> None:
        when = 0.0
        while when < seconds:
            rate = shapes.find_rate(flow, when)
            rate *= shapes.find_swing(self._shape, when)
            when += self._numbers.expovariate(rate)
            host = shapes.draw_host(self._shape, self._numbers)
            number = next(self._order)
            request = _make_request(flow, number, when, self._shape.away)
            if self._deadly and self._numbers.random() < self._deadly:
                request = request._replace(identity=DEADLY_ID)
            self._add(when, host, events.RequestReceived(number, request))

    def _add(self, when: float, host: int, event: events.Event | Turn) -> None:
        heapq.heappush(self._due, Work(when, next(self._order), host, event))

    def _handle(self, work: Work) -> None:
        at, _, host, _ = work
        if at >= self._shape.dies and host in self._shape.dead:
            return
        event = self._cut_off(work)
        free = self._busy.get(host, 0.0)
        if isinstance(event, events.RequestReceived):
            self._asked[host, event.number] = event.request
        if free > at:
            if isinstance(event, events.ClockTicked | events.ReviewDue):
                known = self._hosts[host].controls.lags
                known.record_own(free - at, at)
            if self._lines.keep(host, event, at):
                self._mark(host, free)
                return
            # What comes first is still done first.
            heapq.heappush(self._due, work._replace(at=free))
            return
        if isinstance(event, Turn):
            self._take_turn(host, at)
            return
        if isinstance(event, events.ClockTicked):
            self._wakes.pop(host, None)
        self._do(host, event, at)

    def _mark(self, host: int, when: float) -> None:
        """Have a host get to new work after all that is there by then."""
        if host not in self._marked:
            self._marked.add(host)
            self._add(when, host, Turn())

    def _take_turn(self, host: int, at: float) -> None:
        self._marked.discard(host)
        event = self._lines.take(host, at)
        if event is not None:
            self._do(host, event, at)
        if self._lines.has_more(host):
            self._mark(host, max(at, self._busy.get(host, 0.0)))

    def _do(self, host: int, event: events.Event, at: float) -> None:
        desk = self._hosts[host]
        cores = shapes.count_cores(self._shape, host)
        done = at + _count_cost(self._shape, event) / cores
        for action in dispatch.handle_event(desk, event, at):
            done += _count_cost(self._shape, action) / cores
            self._perform(host, action, done)
        self._busy[host] = done
        wake = desk.find_next_deadline()
        if wake is not None and wake < self._wakes.get(host, float('inf')):
            self._wakes[host] = wake
            self._add(max(at, wake), host, events.ClockTicked())

    def _cut_off(self, work: Work) -> events.Event | Turn:
        """Lose the answer of a target that ended meanwhile, with all others."""
        event = work.event
        if not isinstance(event, events.TargetAnswered):
            return event
        aloft = self._hosts[work.host].in_flight.get(event.key)
        if aloft is None:
            return event
        if not self._targets[aloft.instance].has_cut(aloft.sent_at, work.at):
            return event
        self._add(
            work.at + CONNECT_S, work.host, events.TargetExited(aloft.instance)
        )
        return events.AttemptBroken(event.key, messages.Fault.CONNECTION_LOST)

    def _perform(self, host: int, action: events.Action, now: float) -> None:
        match action:
            case events.SendAttempt():
                self._send(host, action, now)
            case events.Delegate():
                self._delegate(host, action, now)
            case events.SendDelegationReport(ask, share):
                self._give(host, ask, share, now)
            case events.Reply(ask, outcome):
                self._end(host, ask, outcome, now)
            case events.SuspicionChanged(news, broadcast=True):
                for other, desk in enumerate(self._hosts):
                    way = find_way(self._hosts[host], desk.host.data_centre)
                    self._add(
                        now + way, other, events.SuspectsReported((news,))
                    )

    def _send(self, host: int, send: events.SendAttempt, now: float) -> None:
        name = send.instance.name
        way = find_way(self._hosts[host], send.instance.data_centre)
        arrives = now + way
        if (host, name) not in self._connected:
            self._connected.add((host, name))
            arrives += CONNECT_S
        self._count_arrival(send)
        self._crossed += PART_BYTES if way == FAR_S else 0
        flow = self._flows[send.request.customer]
        if self._targets[name].is_gone(arrives):
            unsent = events.AttemptUnsent(send.key, unreachable=True)
            self._add(arrives + way, host, unsent)
            return
        done = self._targets[name].take(arrives, flow.work)
        if done is None:
            shed = events.TargetRefused(send.key, messages.RefusalReason.SHED)
            self._add(arrives + way, host, shed)
            return
        deadly = send.request.identity == DEADLY_ID
        if deadly and self._targets[name].end(arrives, done.at):
            self._ends.append(done.at)
        for when, told in list_told(send, done, way):
            self._add(when, host, told)

    def _count_arrival(self, send: events.SendAttempt) -> None:
        """Count what arrives at a service beyond the first of a request."""
        arrival = (send.request.request_id, send.key.service)
        self._repeats += arrival in self._arrived
        self._arrived.add(arrival)

    def _delegate(
        self, host: int, delegate: events.Delegate, now: float
    ) -> None:
        helper = self._numbers_by_name[delegate.helper.name]
        number = next(self._order)
        self._helped[helper, number] = (host, delegate.key)
        way = find_way(self._hosts[host], delegate.helper.data_centre)
        self._add(
            now + way,
            helper,
            events.DelegatedRequestReceived(number, delegate.delegated),
        )

    def _give(
        self, host: int, ask: int, share: events.DelegationReport, now: float
    ) -> None:
        asker, key = self._helped[host, ask]
        way = find_way(self._hosts[host], self._hosts[asker].host.data_centre)
        self._add(now + way, asker, events.DelegationReportReceived(key, share))

    def _end(
        self, host: int, ask: int, outcome: events.Outcome, now: float
    ) -> None:
        covered = 0.0
        if isinstance(outcome, events.MergedAnswer):
            covered = 1 - outcome.missing / self._shape.shards
        request = self._asked.pop((host, ask))
        if request.identity == DEADLY_ID:
            # Nobody misses it.
            return
        took = now - request.arrived_at + self._shape.away
        self._endings.append(
            Ending(took, covered, request.arrived_at, request.key_digest)
        )


def find_way(desk: states.Router, data_centre: str) -> float:
    """Find how many seconds it is from a host to a data centre."""
    return NEAR_S if data_centre == desk.host.data_centre else FAR_S


def count_late(ends: Iterable[float]) -> int:
    """Count the targets that ended long after the third."""
    found = sorted(ends)
    return sum(when > found[2] + IN_TOUCH_S for when in found[2:])


def list_told(
    send: events.SendAttempt, done: targets.Done, way: float
) -> list[tuple[float, events.Event]]:
    """List what a host is told of a request that ran, and when."""
    name = send.instance.name
    deadly = send.request.identity == DEADLY_ID
    if not (deadly or done.lost):
        status = 504 if done.at > send.deadline else 200
        answer = events.Answer(status, (), SIGNATURE, b'')
        back = min(done.at, send.deadline) + way
        return [(back, events.TargetAnswered(send.key, answer))]
    # The pool looks whether the target lives, by another connection.
    found = (
        events.TargetExited(name) if deadly else events.TargetConnected(name)
    )
    broken = events.AttemptBroken(send.key, messages.Fault.CONNECTION_LOST)
    return [
        (done.at + way, broken),
        (done.at + CONNECT_S + 3 * way, found),
    ]


def _make_request(
    flow: shapes.Flow, number: int, now: float, away: float
) -> events.Request:
    return events.Request(
        f'id-{number}',
        'GET',
        shapes.name_path(flow),
        'host',
        (),
        b'',
        now,
        now + flow.timeout,
        away,
        key_digest=flow.customer,
    )


def _count_cost(
    shape: shapes.Shape, step: events.Event | events.Action
) -> float:
    """Count the seconds that a host takes for an event or an action."""
    match step:
        case (
            events.TargetAnswered()
            | events.TargetRefused()
            | events.SendAttempt()
        ):
            return shape.part
        case (
            events.DelegationReportReceived()
            | events.Delegate()
            | events.SendDelegationReport()
        ):
            return shape.share
    return 0.0
