"""Simulate the decisions of many hosts against model targets.

Entry hosts, delegate hosts and targets of several data centres run the pure
decisions of `routing` in simulated time, without network, processes or store. A
host handles one event after another; each takes the processor time given in the
setup, by default none. The simulation shows how the decisions of hosts affect
each other, such as under a limit that many hosts share.
"""

import heapq
import itertools
import random
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bench import setups, targets, work_queues
from fuchsiahaven.core import request_identities
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import dispatch, events, states

#: One-way network delay within a data centre, and between two.
LOCAL_DELAY_S: Final = 0.0002
REMOTE_DELAY_S: Final = 0.0009
#: Connection setup time, which delays the first request to a target.
CONNECT_S: Final = 0.006
REVIEW_INTERVAL_S: Final = 0.1
#: Bytes of a sub-request between data centres, with its answer.
PART_BYTES: Final = 780
SIGNATURE: Final = 'signed'
#: Identity of the query that crashes the targets that run it.
DEADLY_ID: Final = request_identities.identify('deadly')
#: How long this query may still reach targets after it crashed three.
MAX_DEADLY_REACH_S: Final = 4.0


class Ending(NamedTuple):
    """Hold the result of one query; `covered` is 0 where it failed."""

    elapsed_s: float
    covered: float
    arrived_at: float = 0.0
    customer: str = ''


class Result(NamedTuple):
    """Hold the results of all queries and their cost.

    `extra_attempts` are sub-requests beyond the first to a service for the same
    request. `exits` counts the targets that the deadly query crashed, and
    `late_exits` those that it crashed longer than `MAX_DEADLY_REACH_S` after
    the third. `busy_s` holds the seconds for which slots of each target were in
    use.
    """

    endings: tuple[Ending, ...]
    extra_attempts: int
    crossed_bytes: int
    exits: int = 0
    late_exits: int = 0
    busy_s: Mapping[str, float] = {}


class QueueTurn(NamedTuple):
    """Signal that a host takes the next work from its queue."""


class ScheduledEvent(NamedTuple):
    """Hold an event at a host and its time; ties go by `order`."""

    at: float
    order: int
    host: int
    event: events.Event | QueueTurn


class Simulation:
    """Run hosts and targets in simulated time."""

    def __init__(
        self, setup: setups.Setup, load: targets.TargetLoad, seed: int
    ) -> None:
        """Create hosts that know each other and the routes of the setup."""
        self._setup = setup
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._scheduled: list[ScheduledEvent] = []
        self._requests: dict[tuple[int, int], events.Request] = {}
        self._delegations: dict[
            tuple[int, int], tuple[int, events.DelegationKey]
        ] = {}
        self._connected: set[tuple[int, str]] = set()
        self._endings: list[Ending] = []
        self._extra_attempts = 0
        self._seen_requests: set[tuple[str, str]] = set()
        self._crossed_bytes = 0
        self._routers = setups.make_routers(setup, self._rng)
        self._hosts_by_name = {
            router.host.name: int(router.host.address)
            for router in self._routers
        }
        self._flows = {flow.customer: flow for flow in setups.list_flows(setup)}
        self._targets = {
            name: targets.Target(setup.slots, load, self._rng)
            for name in self._routers[0].directory.by_name
        }
        self._deadly_fraction = load.deadly_fraction
        self._exits: list[float] = []
        self._timers: dict[int, float] = {}
        self._busy_until: dict[int, float] = {}
        self._queues = work_queues.WorkQueues(self._routers, self._perform)
        self._scheduled_turns: set[int] = set()

    def run(self, seconds: float) -> Result:
        """Send queries at random times for some seconds; return the result."""
        for flow in self._flows.values():
            self._schedule_requests(flow, seconds)
        steps = range(int((seconds + 1) / REVIEW_INTERVAL_S))
        for host, step in itertools.product(range(len(self._routers)), steps):
            self._schedule(step * REVIEW_INTERVAL_S, host, events.ReviewDue())
        while self._scheduled:
            scheduled = heapq.heappop(self._scheduled)
            self._handle(scheduled)
        return Result(
            tuple(self._endings),
            self._extra_attempts,
            self._crossed_bytes,
            len(self._exits),
            count_late_exits(self._exits),
            {name: target.busy_s for name, target in self._targets.items()},
        )

    def _schedule_requests(self, flow: setups.Flow, seconds: float) -> None:
        arrives_at = 0.0
        while arrives_at < seconds:
            rate = setups.get_rate(flow, arrives_at)
            rate *= setups.compute_swing(self._setup, arrives_at)
            arrives_at += self._rng.expovariate(rate)
            host = setups.draw_host(self._setup, self._rng)
            number = next(self._numbers)
            request = _make_request(
                flow, number, arrives_at, self._setup.caller_delay
            )
            if (
                self._deadly_fraction
                and self._rng.random() < self._deadly_fraction
            ):
                request = request._replace(identity=DEADLY_ID)
            self._schedule(
                arrives_at, host, events.RequestReceived(number, request)
            )

    def _schedule(
        self, when: float, host: int, event: events.Event | QueueTurn
    ) -> None:
        heapq.heappush(
            self._scheduled,
            ScheduledEvent(when, next(self._numbers), host, event),
        )

    def _handle(self, scheduled: ScheduledEvent) -> None:
        now, _, host, _ = scheduled
        if (
            now >= self._setup.power_loss_at
            and host in self._setup.powerless_hosts
        ):
            return
        event = self._break_attempt(scheduled)
        free_at = self._busy_until.get(host, 0.0)
        if isinstance(event, events.RequestReceived):
            self._requests[host, event.number] = event.request
        if free_at > now:
            if isinstance(event, events.ClockTicked | events.ReviewDue):
                lags = self._routers[host].controls.lags
                lags.record_own(free_at - now, now)
            if self._queues.enqueue(host, event, now):
                self._schedule_turn(host, free_at)
                return
            # Events that a busy host defers keep their order.
            heapq.heappush(self._scheduled, scheduled._replace(at=free_at))
            return
        if isinstance(event, QueueTurn):
            self._take_turn(host, now)
            return
        if isinstance(event, events.ClockTicked):
            self._timers.pop(host, None)
        self._process(host, event, now)

    def _schedule_turn(self, host: int, when: float) -> None:
        """Schedule a turn of the work queue behind earlier events."""
        if host not in self._scheduled_turns:
            self._scheduled_turns.add(host)
            self._schedule(when, host, QueueTurn())

    def _take_turn(self, host: int, now: float) -> None:
        self._scheduled_turns.discard(host)
        event = self._queues.dequeue(host, now)
        if event is not None:
            self._process(host, event, now)
        if self._queues.has_more(host):
            self._schedule_turn(host, max(now, self._busy_until.get(host, 0.0)))

    def _process(self, host: int, event: events.Event, now: float) -> None:
        router = self._routers[host]
        cores = setups.get_cores(self._setup, host)
        done_at = now + _get_cost(self._setup, event) / cores
        for action in dispatch.handle_event(router, event, now):
            done_at += _get_cost(self._setup, action) / cores
            self._perform(host, action, done_at)
        self._busy_until[host] = done_at
        timer = router.find_next_deadline()
        if timer is not None and timer < self._timers.get(host, float('inf')):
            self._timers[host] = timer
            self._schedule(max(now, timer), host, events.ClockTicked())

    def _break_attempt(
        self, scheduled: ScheduledEvent
    ) -> events.Event | QueueTurn:
        """Replace the answer of a target that exited by a broken attempt."""
        event = scheduled.event
        if not isinstance(event, events.TargetAnswered):
            return event
        attempt = self._routers[scheduled.host].in_flight.get(event.key)
        if attempt is None:
            return event
        if not self._targets[attempt.instance].exited_between(
            attempt.sent_at, scheduled.at
        ):
            return event
        self._schedule(
            scheduled.at + CONNECT_S,
            scheduled.host,
            events.TargetExited(attempt.instance),
        )
        return events.AttemptBroken(event.key, messages.Fault.CONNECTION_LOST)

    def _perform(self, host: int, action: events.Action, now: float) -> None:
        match action:
            case events.SendAttempt():
                self._send(host, action, now)
            case events.Delegate():
                self._delegate(host, action, now)
            case events.SendDelegationReport(number, report):
                self._send_report(host, number, report, now)
            case events.Reply(number, outcome):
                self._record_ending(host, number, outcome, now)
            case events.SuspicionChanged(news, broadcast=True):
                for other, router in enumerate(self._routers):
                    delay = get_delay(
                        self._routers[host], router.host.data_centre
                    )
                    self._schedule(
                        now + delay, other, events.SuspectsReported((news,))
                    )

    def _send(self, host: int, send: events.SendAttempt, now: float) -> None:
        name = send.instance.name
        delay = get_delay(self._routers[host], send.instance.data_centre)
        arrives_at = now + delay
        if (host, name) not in self._connected:
            self._connected.add((host, name))
            arrives_at += CONNECT_S
        self._count_arrival(send)
        self._crossed_bytes += PART_BYTES if delay == REMOTE_DELAY_S else 0
        flow = self._flows[send.request.customer]
        if self._targets[name].is_down(arrives_at):
            unsent = events.AttemptUnsent(send.key, unreachable=True)
            self._schedule(arrives_at + delay, host, unsent)
            return
        completion = self._targets[name].start_request(
            arrives_at, flow.work_factor
        )
        if completion is None:
            refused = events.TargetRefused(
                send.key, messages.RefusalReason.SHED
            )
            self._schedule(arrives_at + delay, host, refused)
            return
        deadly = send.request.identity == DEADLY_ID
        if deadly and self._targets[name].exit(arrives_at, completion.at):
            self._exits.append(completion.at)
        for when, event in list_events(send, completion, delay):
            self._schedule(when, host, event)

    def _count_arrival(self, send: events.SendAttempt) -> None:
        """Count sub-requests to a service beyond the first of a request."""
        arrival = (send.request.request_id, send.key.service)
        self._extra_attempts += arrival in self._seen_requests
        self._seen_requests.add(arrival)

    def _delegate(
        self, host: int, delegate: events.Delegate, now: float
    ) -> None:
        helper = self._hosts_by_name[delegate.helper.name]
        number = next(self._numbers)
        self._delegations[helper, number] = (host, delegate.key)
        delay = get_delay(self._routers[host], delegate.helper.data_centre)
        self._schedule(
            now + delay,
            helper,
            events.DelegatedRequestReceived(number, delegate.delegated),
        )

    def _send_report(
        self,
        host: int,
        number: int,
        report: events.DelegationReport,
        now: float,
    ) -> None:
        requester, key = self._delegations[host, number]
        delay = get_delay(
            self._routers[host], self._routers[requester].host.data_centre
        )
        self._schedule(
            now + delay, requester, events.DelegationReportReceived(key, report)
        )

    def _record_ending(
        self, host: int, number: int, outcome: events.Outcome, now: float
    ) -> None:
        covered = 0.0
        if isinstance(outcome, events.MergedAnswer):
            covered = 1 - outcome.missing / self._setup.shards
        request = self._requests.pop((host, number))
        if request.identity == DEADLY_ID:
            # The deadly query is no part of the result.
            return
        elapsed_s = now - request.arrived_at + self._setup.caller_delay
        self._endings.append(
            Ending(elapsed_s, covered, request.arrived_at, request.key_digest)
        )


def get_delay(router: states.Router, data_centre: str) -> float:
    """Return the one-way delay from a host to a data centre, in seconds."""
    return (
        LOCAL_DELAY_S
        if data_centre == router.host.data_centre
        else REMOTE_DELAY_S
    )


def count_late_exits(exits: Iterable[float]) -> int:
    """Count targets that exited over `MAX_DEADLY_REACH_S` after the third."""
    ordered = sorted(exits)
    return sum(
        exited_at > ordered[2] + MAX_DEADLY_REACH_S for exited_at in ordered[2:]
    )


def list_events(
    send: events.SendAttempt, completion: targets.Completion, delay: float
) -> list[tuple[float, events.Event]]:
    """List the events, with times, that a host gets for a finished request."""
    name = send.instance.name
    deadly = send.request.identity == DEADLY_ID
    if not (deadly or completion.lost):
        status = 504 if completion.at > send.deadline else 200
        answer = events.Answer(status, (), SIGNATURE, b'')
        answered_at = min(completion.at, send.deadline) + delay
        return [(answered_at, events.TargetAnswered(send.key, answer))]
    # The pool probes whether the target is up with another connection.
    probed = (
        events.TargetExited(name) if deadly else events.TargetConnected(name)
    )
    broken = events.AttemptBroken(send.key, messages.Fault.CONNECTION_LOST)
    return [
        (completion.at + delay, broken),
        (completion.at + CONNECT_S + 3 * delay, probed),
    ]


def _make_request(
    flow: setups.Flow, number: int, now: float, caller_delay: float
) -> events.Request:
    return events.Request(
        f'id-{number}',
        'GET',
        setups.get_path(flow),
        'host',
        (),
        b'',
        now,
        now + flow.timeout,
        caller_delay,
        key_digest=flow.customer,
    )


def _get_cost(setup: setups.Setup, step: events.Event | events.Action) -> float:
    """Return the processor seconds for an event or an action."""
    match step:
        case (
            events.TargetAnswered()
            | events.TargetRefused()
            | events.SendAttempt()
        ):
            return setup.part_cost
        case (
            events.DelegationReportReceived()
            | events.Delegate()
            | events.SendDelegationReport()
        ):
            return setup.delegation_cost
    return 0.0
