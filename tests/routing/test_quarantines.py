"""Test that a fleet of hosts stops sending a request that crashes targets."""

import heapq
import itertools
from typing import Final, NamedTuple

from hypothesis import given, settings, strategies

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    deployments,
    dispatch,
    events,
    instances,
    states,
)
from tests.routing import router_rig

SHARDS: Final = tuple(f'shard-{number}' for number in range(6))
ROUTES: Final = (
    router_rig.make_route(configs.Gather(SHARDS, 2, 0.8)),
    router_rig.make_route(
        configs.Single('records'),
        prefix='/one/',
        repeat=router_rig.AT_MOST_ONCE,
    ),
)
HOSTS: Final = tuple(
    deployments.Host(f'host-{number}', f'10.0.0.{number}:7000', 'north')
    for number in range(4)
)
REPLICAS: Final = 3
#: One-way delay to a target, the time to accept a connection, and the work.
ONE_WAY_S: Final = 0.001
ACCEPT_DELAY_S: Final = 0.006
WORK_S: Final = 0.02
#: When hosts know of the process that replaces an exited target.
REPLACEMENT_DELAY_S: Final = 2.0
#: When a host's reports reach the other hosts, and when those in the store do.
BROADCAST_DELAY_S: Final = 0.003
STORE_DELAY_S: Final = 0.6
#: Bound on the targets that a request reaches this long after it has crashed
#: the third one. By then all connected hosts have the reports.
PROPAGATION_S: Final = 4.0
MAX_LATE_ARRIVALS: Final = 3
DEADLY_PATH: Final = 'death'
END_EVENTS: Final = (
    events.TargetAnswered,
    events.AttemptBroken,
    events.AttemptUnsent,
)


class Step(NamedTuple):
    """Describe a request, or the restart of a host, after a pause."""

    pause_s: float
    host: int
    action: str


class Fleet:
    """Hold the routers of some hosts, targets that crash, and the clock."""

    def __init__(self) -> None:
        """Start all hosts and targets."""
        self.now = 100.0
        self.exits: list[float] = []
        self.deadly_arrivals: list[float] = []
        self.outcomes: dict[str, list[events.Outcome]] = {}
        self._order = itertools.count()
        self._pending: list[tuple[float, int, int, events.Event]] = []
        self._numbers = itertools.count(1)
        self._paths: dict[tuple[int, int], str] = {}
        self._in_flight: dict[
            tuple[int, events.AttemptKey], events.SendAttempt
        ] = {}
        self._departed: set[tuple[int, events.AttemptKey]] = set()
        self._store: dict[request_identities.Identity, suspects.News] = {}
        names = (*SHARDS, 'records')
        self._targets = router_rig.make_instances(names, REPLICAS)
        self.routers = [self._make_router(host) for host in HOSTS]

    def _make_router(self, host: deployments.Host) -> states.Router:
        router = states.Router(host, router_rig.EXTRA_LOAD, float)
        configuration = configs.Configuration(1, ROUTES, (), configs.Limits())
        reports = tuple(self._store.values())
        directory = instances.build_directory(self._targets)
        for event in (
            events.ConfigurationReceived(configuration),
            events.HostsChanged(len(HOSTS), HOSTS),
            events.DirectoryChanged(directory),
            events.SuspectsReported(reports),
        ):
            dispatch.handle_event(router, event, self.now)
        return router

    def run(self, steps: list[Step]) -> None:
        """Run the steps, and let the active requests end."""
        for step in steps:
            self.run_to(self.now + step.pause_s)
            match step.action:
                case 'start':
                    self.routers[step.host] = self._make_router(
                        HOSTS[step.host]
                    )
                case path:
                    self.send_request(step.host, path)
        self.run_to(self.now + 1)

    def send_request(self, host: int, path: str) -> None:
        """Send a request to a host."""
        number = next(self._numbers)
        self._paths[host, number] = path
        request = events.Request(
            f'id-{number}',
            'GET',
            path,
            'shop.example',
            (),
            b'',
            self.now,
            self.now + 0.8,
            identity=request_identities.identify('shop.example', path.encode()),
        )
        self.post(host, events.RequestReceived(number, request))

    def run_to(self, end: float) -> None:
        """Advance the clock, with all events until then."""
        while (moment := self._find_next_moment()) <= end:
            self.now = max(self.now, moment)
            self._fire_timers()
            while self._pending and self._pending[0][0] <= self.now:
                self._deliver(*heapq.heappop(self._pending)[2:])
        self.now = end

    def _fire_timers(self) -> None:
        for number, router in enumerate(self.routers):
            deadline = router.find_next_deadline()
            if deadline is not None and deadline <= self.now:
                self.post(number, events.ClockTicked())

    def _find_next_moment(self) -> float:
        deadlines = [router.find_next_deadline() for router in self.routers]
        times = [deadline for deadline in deadlines if deadline is not None]
        times.extend(entry[0] for entry in self._pending[:1])
        return min(times, default=float('inf'))

    def post(self, host: int, event: events.Event) -> None:
        """Post an event to a host and carry out the resulting actions."""
        for action in dispatch.handle_event(
            self.routers[host], event, self.now
        ):
            match action:
                case events.SendAttempt():
                    self._send(host, action)
                case events.WithdrawAttempt(key):
                    self._withdraw(host, key)
                case events.Reply(number, outcome):
                    path = self._paths.pop((host, number))
                    self.outcomes.setdefault(path, []).append(outcome)
                case events.SuspicionChanged(report, broadcast=True):
                    self._broadcast(host, report)

    def _schedule(self, delay_s: float, host: int, event: events.Event) -> None:
        item = (self.now + delay_s, next(self._order), host, event)
        heapq.heappush(self._pending, item)

    def _schedule_all(
        self, delay_s: float, event: events.Event, excluded: int | None = None
    ) -> None:
        for number, _ in enumerate(HOSTS):
            if number != excluded:
                self._schedule(delay_s, number, event)

    def _broadcast(self, host: int, report: suspects.News) -> None:
        event = events.SuspectsReported((report,))
        self._schedule_all(BROADCAST_DELAY_S, event, excluded=host)
        if report.crashes > 1 or not report.crashes:
            self._schedule_all(STORE_DELAY_S, event, excluded=host)
        if report.crashes > 1 or report.identity in self._store:
            self._store[report.identity] = report._replace(host='')

    def _send(self, host: int, send: events.SendAttempt) -> None:
        self._in_flight[host, send.key] = send
        # The request is sent once its connection is open.
        delay_s = ACCEPT_DELAY_S + 2 * ONE_WAY_S if send.fresh_connection else 0
        self._schedule(delay_s, host, make_departure_marker(send.key))

    def _withdraw(self, host: int, key: events.AttemptKey) -> None:
        if (host, key) in self._in_flight and (host, key) not in self._departed:
            self._in_flight.pop((host, key))
            self.post(host, events.AttemptUnsent(key, False, withdrawn=True))

    def _deliver(self, host: int, event: events.Event) -> None:
        if isinstance(event, events.CancelAttempt):
            self._depart(host, event.key)
            return
        if isinstance(event, END_EVENTS):
            if self._in_flight.pop((host, event.key), None) is None:
                return
            self._departed.discard((host, event.key))
        self.post(host, event)

    def _depart(self, host: int, key: events.AttemptKey) -> None:
        """Send an attempt to its target, if it was not withdrawn."""
        send = self._in_flight.get((host, key))
        if send is None:
            return
        self._departed.add((host, key))
        if send.instance not in self._targets:
            self._schedule(
                2 * ONE_WAY_S, host, events.AttemptUnsent(key, unreachable=True)
            )
            return
        if DEADLY_PATH in send.request.uri:
            self.deadly_arrivals.append(self.now)
            self.end_target(send.instance, WORK_S + ONE_WAY_S)
            return
        answer = events.Answer(200, (), f'{key}', b'')
        self._schedule(
            WORK_S + 2 * ONE_WAY_S, host, events.TargetAnswered(key, answer)
        )

    def list_targets(self) -> list[instances.Instance]:
        """List the targets, one replica of each service after the other."""
        return sorted(self._targets, key=lambda it: it.name[-1])

    def end_target(
        self, target: instances.Instance, delay_s: float = ONE_WAY_S
    ) -> None:
        """Have a target exit, with all requests that it is running."""
        self._targets.remove(target)
        self.exits.append(self.now + delay_s)
        for (host, key), send in tuple(self._in_flight.items()):
            if send.instance == target and (host, key) in self._departed:
                lost = messages.Fault.CONNECTION_LOST
                self._schedule(delay_s, host, events.AttemptBroken(key, lost))
        self._schedule_all(
            delay_s + 2 * ONE_WAY_S, events.TargetExited(target.name)
        )
        replacement = target._replace(
            name=f'{target.name}+', id=f'{target.id}+'
        )
        self._targets.append(replacement)
        directory = instances.build_directory(self._targets)
        self._schedule_all(
            REPLACEMENT_DELAY_S, events.DirectoryChanged(directory)
        )

    def count_late_arrivals(self) -> int:
        """Count the arrivals of deadly requests long after the third exit."""
        exits = sorted(self.exits)
        if len(exits) < 3:
            return 0
        since = exits[2] + PROPAGATION_S
        return sum(
            1 for arrived_at in self.deadly_arrivals if arrived_at > since
        )


def make_departure_marker(key: events.AttemptKey) -> events.Event:
    """Make an event that stands for the sending of an attempt."""
    return events.CancelAttempt(key)  # type: ignore[return-value]


def make_steps(*paths: str) -> strategies.SearchStrategy[list[Step]]:
    """Generate requests to any hosts, close together and far apart."""
    pauses = strategies.sampled_from((0.0, 0.002, 0.03, 0.4, 1.1, 5.0, 30.0))
    actions = strategies.sampled_from((*paths, *paths, *paths, 'start'))
    hosts = strategies.integers(0, len(HOSTS) - 1)
    step = strategies.builds(Step, pauses, hosts, actions)
    return strategies.lists(step, min_size=4, max_size=24)


@settings(max_examples=150)
@given(make_steps('/search/death', '/search/1'))
def test_few_arrivals_after_the_third_exit(
    steps: list[Step],
) -> None:
    """Symptom: every host, and every restarted one, crashes targets again.

    A query over shards arrives at any host at any time. Restarted hosts have
    only the reports in the store. Other queries are served meanwhile.
    """
    fleet = Fleet()
    fleet.run(steps)
    assert fleet.count_late_arrivals() <= MAX_LATE_ARRIVALS
    # A request that is not suspect is never refused as quarantined.
    for outcome in fleet.outcomes.get('/search/1', ()):
        if isinstance(outcome, errors.Failure):
            assert outcome.kind is not errors.Kind.QUARANTINED


@settings(max_examples=100)
@given(make_steps('/one/death', '/one/1'))
def test_few_arrivals_of_an_at_most_once_request(steps: list[Step]) -> None:
    """Such a request is repeated by its callers, and not by a host."""
    fleet = Fleet()
    fleet.run(steps)
    assert fleet.count_late_arrivals() <= MAX_LATE_ARRIVALS


@settings(max_examples=100)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.floats(0, 0.004)
        ),
        min_size=2,
        max_size=12,
    ),
    strategies.sampled_from(('/search/death', '/one/death')),
    strategies.integers(1, 2),
)
def test_simultaneous_requests_end_one_target(
    arrivals: list[tuple[int, float]], path: str, crashes: int
) -> None:
    """Symptom: every host tries a suspect request at the same time.

    All hosts have reports of its crashes, but learn of each other's trials only
    after they have started their own.
    """
    fleet = Fleet()
    identity = request_identities.identify('shop.example', path.encode())
    report = suspects.News(identity, 0, crashes, 0.0, (), ('shard-1',))
    for number, _ in enumerate(HOSTS):
        fleet.post(number, events.SuspectsReported((report,)))
    fleet.run_to(fleet.now + 2)
    for host, pause_s in arrivals:
        fleet.run_to(fleet.now + pause_s)
        fleet.send_request(host, path)
    fleet.run_to(fleet.now + 0.5)
    assert len(fleet.deadly_arrivals) == 1


@settings(max_examples=60)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.floats(0, 0.03)
        ),
        min_size=2,
        max_size=12,
    ),
    strategies.integers(1, 12),
)
def test_serves_requests_active_when_targets_exit_at_once(
    arrivals: list[tuple[int, float]], count: int
) -> None:
    """Symptom: a frequent request is refused because a rack failed."""
    fleet = Fleet()
    for host, pause_s in arrivals:
        fleet.run_to(fleet.now + pause_s)
        fleet.send_request(host, '/search/1')
    for target in fleet.list_targets()[:count]:
        fleet.end_target(target)
    fleet.run_to(fleet.now + 0.7)
    fleet.outcomes.clear()
    for number, _ in enumerate(HOSTS):
        fleet.send_request(number, '/search/1')
    fleet.run_to(fleet.now + 0.7)
    outcomes = fleet.outcomes['/search/1']
    assert len(outcomes) == len(HOSTS)
    assert all(isinstance(it, events.MergedAnswer) for it in outcomes)
