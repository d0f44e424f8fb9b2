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
from typing import Final, NamedTuple

from bench import shapes, targets
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import desks, events

#: One way within a data centre, and between two.
NEAR_S: Final = 0.0002
FAR_S: Final = 0.0009
#: What the first request from a host to a target waits for its connection.
CONNECT_S: Final = 0.006
REVIEW_S: Final = 0.1
#: Bytes of a part that crosses: its request and its answer.
PART_BYTES: Final = 780
SIGNATURE: Final = 'signed'


class Ending(NamedTuple):
    """Tell what became of one query; `covered` is 0 where it failed."""

    took: float
    covered: float
    asked: float = 0.0
    customer: str = ''


class Result(NamedTuple):
    """Hold what became of all queries, and what they cost."""

    endings: tuple[Ending, ...]
    repeats: int
    crossed_bytes: int


class Work(NamedTuple):
    """Hold what happens at a host at a time; the place keeps the order."""

    at: float
    place: int
    host: int
    event: events.Event


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
        self._helped: dict[tuple[int, int], tuple[int, events.AssistKey]] = {}
        self._connected: set[tuple[int, str]] = set()
        self._endings: list[Ending] = []
        self._repeats = 0
        self._crossed = 0
        self._hosts = shapes.make_desks(shape, self._numbers)
        self._numbers_by_name = {
            desk.host.name: int(desk.host.address) for desk in self._hosts
        }
        self._flows = {flow.customer: flow for flow in shapes.list_flows(shape)}
        self._targets = self._make_targets(load)
        self._wakes: dict[int, float] = {}
        self._busy: dict[int, float] = {}

    def play(self, seconds: float) -> Result:
        """Ask at random hosts and times for so long."""
        for flow in self._flows.values():
            self._ask(flow, seconds)
        steps = range(int((seconds + 1) / REVIEW_S))
        for host, step in itertools.product(range(len(self._hosts)), steps):
            self._add(step * REVIEW_S, host, events.Reviewed())
        while self._due:
            work = heapq.heappop(self._due)
            self._handle(work)
        return Result(tuple(self._endings), self._repeats, self._crossed)

    def _ask(self, flow: shapes.Flow, seconds: float) -> None:
        when = 0.0
        while when < seconds:
            rate = shapes.find_rate(flow, when)
            when += self._numbers.expovariate(rate)
            host = self._numbers.randrange(len(self._hosts))
            self._add(when, host, self._make_request(flow, when))

    def _make_targets(self, load: targets.Load) -> dict[str, targets.Target]:
        names = self._hosts[0].directory.by_name
        return {
            name: targets.Target(self._shape.slots, load, self._numbers)
            for name in names
        }

    def _make_request(self, flow: shapes.Flow, now: float) -> events.Asked:
        number = next(self._order)
        request = events.Request(
            f'id-{number}',
            'GET',
            shapes.name_path(flow),
            'host',
            (),
            b'',
            now,
            now + flow.timeout,
            self._shape.away,
            key=flow.customer,
        )
        return events.Asked(number, request)

    def _add(self, when: float, host: int, event: events.Event) -> None:
        heapq.heappush(self._due, Work(when, next(self._order), host, event))

    def _handle(self, work: Work) -> None:
        at, _, host, event = work
        if at >= self._shape.dies and host in self._shape.dead:
            return
        free = self._busy.get(host, 0.0)
        if free > at:
            if isinstance(event, events.Ticked | events.Reviewed):
                known = self._hosts[host].controls.lags
                known.note_own(free - at, at)
            # What comes first is still done first.
            heapq.heappush(self._due, work._replace(at=free))
            return
        desk = self._hosts[host]
        if isinstance(event, events.Asked):
            self._asked[host, event.ask] = event.request
        if isinstance(event, events.Ticked):
            self._wakes.pop(host, None)
        cores = shapes.count_cores(self._shape, host)
        done = at + self._count_cost(event) / cores
        for action in desks.handle(desk, event, at):
            done += self._count_cost(action) / cores
            self._perform(host, action, done)
        self._busy[host] = done
        wake = desk.next_wake()
        if wake is not None and wake < self._wakes.get(host, float('inf')):
            self._wakes[host] = wake
            self._add(max(at, wake), host, events.Ticked())

    def _count_cost(self, step: events.Event | events.Action) -> float:
        """Count the seconds that a host takes for an event or an action."""
        match step:
            case events.Answered() | events.Refused() | events.Send():
                return self._shape.part
            case events.Shared() | events.Delegate() | events.Give():
                return self._shape.share
        return 0.0

    def _perform(self, host: int, action: events.Action, now: float) -> None:
        match action:
            case events.Send():
                self._send(host, action, now)
            case events.Delegate():
                self._delegate(host, action, now)
            case events.Give(ask, share):
                self._give(host, ask, share, now)
            case events.Reply(ask, outcome):
                self._end(host, ask, outcome, now)

    def _send(self, host: int, send: events.Send, now: float) -> None:
        name = send.instance.name
        way = self._find_way(host, send.instance.data_centre)
        arrives = now + way
        if (host, name) not in self._connected:
            self._connected.add((host, name))
            arrives += CONNECT_S
        self._repeats += self._hosts[host].aloft[send.key].extra
        self._crossed += PART_BYTES if way == FAR_S else 0
        flow = self._flows[send.request.customer]
        done = self._targets[name].take(arrives, flow.work)
        if done is None:
            shed = events.Refused(send.key, messages.RefusalReason.SHED)
            self._add(arrives + way, host, shed)
        elif done.lost:
            broken = events.Broken(send.key, messages.Fault.CONNECTION_LOST)
            self._add(done.at + way, host, broken)
        else:
            status = 504 if done.at > send.ends else 200
            answer = events.Answer(status, (), SIGNATURE, b'')
            back = min(done.at, send.ends) + way
            self._add(back, host, events.Answered(send.key, answer))

    def _delegate(
        self, host: int, delegate: events.Delegate, now: float
    ) -> None:
        helper = self._numbers_by_name[delegate.helper.name]
        number = next(self._order)
        self._helped[helper, number] = (host, delegate.key)
        way = self._find_way(host, delegate.helper.data_centre)
        self._add(now + way, helper, events.Assisted(number, delegate.assist))

    def _give(
        self, host: int, ask: int, share: events.Share, now: float
    ) -> None:
        asker, key = self._helped[host, ask]
        way = self._find_way(host, self._hosts[asker].host.data_centre)
        self._add(now + way, asker, events.Shared(key, share))

    def _end(
        self, host: int, ask: int, outcome: events.Outcome, now: float
    ) -> None:
        covered = 0.0
        if isinstance(outcome, events.Merged):
            covered = 1 - outcome.missing / self._shape.shards
        request = self._asked.pop((host, ask))
        took = now - request.arrived + self._shape.away
        self._endings.append(
            Ending(took, covered, request.arrived, request.key)
        )

    def _find_way(self, host: int, data_centre: str) -> float:
        own = self._hosts[host].host.data_centre
        return NEAR_S if data_centre == own else FAR_S
