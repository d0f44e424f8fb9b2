"""Test that hosts together stop sending a request that ends its targets."""

import heapq
import itertools
from typing import Final, NamedTuple

from hypothesis import given, settings, strategies

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    desks,
    events,
    instances,
    places,
    states,
)
from tests.routing import desk_rig

SHARDS: Final = tuple(f'shard-{number}' for number in range(6))
ROUTES: Final = (
    desk_rig.make_route(configs.Gather(SHARDS, 2, 0.8)),
    desk_rig.make_route(
        configs.Single('records'), prefix='/one/', repeat=desk_rig.ONCE
    ),
)
HOSTS: Final = tuple(
    places.Host(f'host-{number}', f'10.0.0.{number}:7000', 'north')
    for number in range(4)
)
REPLICAS: Final = 3
#: One way to a target, how long it takes to accept a connection, and to run.
WAY_S: Final = 0.001
ACCEPT_S: Final = 0.006
RUN_S: Final = 0.02
#: How soon another process stands in for a target that ended, and hosts know.
BACK_S: Final = 2.0
#: How soon news of a host reach the others, and what is in the store.
TOLD_S: Final = 0.003
STORED_S: Final = 0.6
#: After its third target a request reaches no more than so many others, from
#: hosts that were in touch for so long.
IN_TOUCH_S: Final = 4.0
MOST_AFTER: Final = 3
DEADLY: Final = 'death'
ENDS: Final = (events.Answered, events.Broken, events.Unsent)


class Step(NamedTuple):
    """Say what callers, or a fault, do after a pause in seconds."""

    pause: float
    host: int
    what: str


class Fleet:
    """Own hosts that decide, targets that end, and the clock."""

    def __init__(self) -> None:
        """Start everything."""
        self.now = 100.0
        self.ended: list[float] = []
        self.reached: list[float] = []
        self.outcomes: dict[str, list[events.Outcome]] = {}
        self._order = itertools.count()
        self._due: list[tuple[float, int, int, events.Event]] = []
        self._numbers = itertools.count(1)
        self._paths: dict[tuple[int, int], str] = {}
        self._aloft: dict[tuple[int, events.FlightKey], events.Send] = {}
        self._left: set[tuple[int, events.FlightKey]] = set()
        self._stored: dict[
            request_identities.Identity, suspects.SuspectReport
        ] = {}
        names = (*SHARDS, 'records')
        self._targets = desk_rig.make_instances(names, REPLICAS)
        self.desks = [self._make_desk(host) for host in HOSTS]

    def _make_desk(self, host: places.Host) -> states.Desk:
        desk = states.Desk(host, desk_rig.EXTRA, float)
        configuration = configs.Configuration(1, ROUTES, (), configs.Limits())
        news = tuple(self._stored.values())
        directory = instances.build_directory(self._targets)
        for event in (
            events.Configured(configuration),
            events.Counted(len(HOSTS), HOSTS),
            events.Directed(directory),
            events.Suspected(news),
        ):
            desks.handle(desk, event, self.now)
        return desk

    def play(self, steps: list[Step]) -> None:
        """Take steps, and let what is under way end."""
        for step in steps:
            self.run_to(self.now + step.pause)
            match step.what:
                case 'start':
                    self.desks[step.host] = self._make_desk(HOSTS[step.host])
                case path:
                    self.ask(step.host, path)
        self.run_to(self.now + 1)

    def ask(self, host: int, path: str) -> None:
        """Bring a request to a host."""
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
        self.post(host, events.Asked(number, request))

    def run_to(self, when: float) -> None:
        """Let time pass."""
        while (due := self._find_next()) <= when:
            self.now = max(self.now, due)
            self._tick()
            while self._due and self._due[0][0] <= self.now:
                self._take(*heapq.heappop(self._due)[2:])
        self.now = when

    def _tick(self) -> None:
        for number, desk in enumerate(self.desks):
            wake = desk.next_wake()
            if wake is not None and wake <= self.now:
                self.post(number, events.Ticked())

    def _find_next(self) -> float:
        wakes = [desk.next_wake() for desk in self.desks]
        times = [wake for wake in wakes if wake is not None]
        times.extend(due[0] for due in self._due[:1])
        return min(times, default=float('inf'))

    def post(self, host: int, event: events.Event) -> None:
        """Bring an event to a host and do what it asks for."""
        for action in desks.handle(self.desks[host], event, self.now):
            match action:
                case events.Send():
                    self._send(host, action)
                case events.Withdraw(key):
                    self._withdraw(host, key)
                case events.Reply(number, outcome):
                    path = self._paths.pop((host, number))
                    self.outcomes.setdefault(path, []).append(outcome)
                case events.Suspicion(news, passed_on=True):
                    self._tell(host, news)

    def _add(self, after: float, host: int, event: events.Event) -> None:
        item = (self.now + after, next(self._order), host, event)
        heapq.heappush(self._due, item)

    def _add_all(
        self, after: float, event: events.Event, but: int | None = None
    ) -> None:
        for number, _ in enumerate(HOSTS):
            if number != but:
                self._add(after, number, event)

    def _tell(self, host: int, news: suspects.SuspectReport) -> None:
        told = events.Suspected((news,))
        self._add_all(TOLD_S, told, but=host)
        if news.crashes > 1 or not news.crashes:
            self._add_all(STORED_S, told, but=host)
        if news.crashes > 1 or news.identity in self._stored:
            self._stored[news.identity] = news._replace(host='')

    def _send(self, host: int, send: events.Send) -> None:
        self._aloft[host, send.key] = send
        # It leaves once its connection is open.
        wait = ACCEPT_S + 2 * WAY_S if send.fresh else 0
        self._add(wait, host, send_marker(send.key))

    def _withdraw(self, host: int, key: events.FlightKey) -> None:
        if (host, key) in self._aloft and (host, key) not in self._left:
            self._aloft.pop((host, key))
            self.post(host, events.Unsent(key, False, withdrawn=True))

    def _take(self, host: int, event: events.Event) -> None:
        if isinstance(event, events.Cancel):
            self._leave(host, event.key)
            return
        if isinstance(event, ENDS):
            if self._aloft.pop((host, event.key), None) is None:
                return
            self._left.discard((host, event.key))
        self.post(host, event)

    def _leave(self, host: int, key: events.FlightKey) -> None:
        """Have a sending arrive at its target, if it has not ended."""
        send = self._aloft.get((host, key))
        if send is None:
            return
        self._left.add((host, key))
        if send.instance not in self._targets:
            self._add(2 * WAY_S, host, events.Unsent(key, unreachable=True))
            return
        if DEADLY in send.request.target:
            self.reached.append(self.now)
            self.end_target(send.instance, RUN_S + WAY_S)
            return
        answer = events.Answer(200, (), f'{key}', b'')
        self._add(RUN_S + 2 * WAY_S, host, events.Answered(key, answer))

    def list_targets(self) -> list[instances.Instance]:
        """List the targets, one of each service after the other."""
        return sorted(self._targets, key=lambda it: it.name[-1])

    def end_target(
        self, target: instances.Instance, after: float = WAY_S
    ) -> None:
        """Have a target end, with all that is under way there."""
        self._targets.remove(target)
        self.ended.append(self.now + after)
        for (host, key), send in tuple(self._aloft.items()):
            if send.instance == target and (host, key) in self._left:
                lost = messages.Fault.CONNECTION_LOST
                self._add(after, host, events.Broken(key, lost))
        self._add_all(after + 2 * WAY_S, events.Ended(target.name))
        again = target._replace(name=f'{target.name}+', id=f'{target.id}+')
        self._targets.append(again)
        directory = instances.build_directory(self._targets)
        self._add_all(BACK_S, events.Directed(directory))

    def count_late(self) -> int:
        """Count what reached a target long after it had ended the third."""
        ended = sorted(self.ended)
        if len(ended) < 3:
            return 0
        since = ended[2] + IN_TOUCH_S
        return sum(1 for when in self.reached if when > since)


def send_marker(key: events.FlightKey) -> events.Event:
    """Make what stands for the moment at which a sending leaves."""
    return events.Cancel(key)  # type: ignore[return-value]


def make_steps(*paths: str) -> strategies.SearchStrategy[list[Step]]:
    """Draw requests at any hosts, close together and far apart."""
    pauses = strategies.sampled_from((0.0, 0.002, 0.03, 0.4, 1.1, 5.0, 30.0))
    whats = strategies.sampled_from((*paths, *paths, *paths, 'start'))
    hosts = strategies.integers(0, len(HOSTS) - 1)
    step = strategies.builds(Step, pauses, hosts, whats)
    return strategies.lists(step, min_size=4, max_size=24)


@settings(max_examples=150)
@given(make_steps('/search/death', '/search/1'))
def test_reaches_few_targets_after_the_third_has_ended(
    steps: list[Step],
) -> None:
    """Symptom: each host, and each that starts, finds out anew.

    A query over shards comes at any host, at any time; hosts start again and
    know only what is in the store. Others are served beside it.
    """
    fleet = Fleet()
    fleet.play(steps)
    assert fleet.count_late() <= MOST_AFTER
    # What nothing speaks against is never refused for it.
    for outcome in fleet.outcomes.get('/search/1', ()):
        if isinstance(outcome, errors.Failure):
            assert outcome.kind is not errors.Kind.QUARANTINED


@settings(max_examples=100)
@given(make_steps('/one/death', '/one/1'))
def test_reaches_few_targets_that_may_run_it_once(steps: list[Step]) -> None:
    """It is not repeated by a host, but by its callers."""
    fleet = Fleet()
    fleet.play(steps)
    assert fleet.count_late() <= MOST_AFTER


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
def test_hosts_asked_at_one_moment_end_one_target(
    asked: list[tuple[int, float]], path: str, moments: int
) -> None:
    """Symptom: each host tries a suspect request beside the others.

    All of them know the moments at which it ended targets, and hear of each
    other's trials only once they have begun their own.
    """
    fleet = Fleet()
    identity = request_identities.identify('shop.example', path.encode())
    news = suspects.SuspectReport(identity, 0, moments, 0.0, (), ('shard-1',))
    for number, _ in enumerate(HOSTS):
        fleet.post(number, events.Suspected((news,)))
    fleet.run_to(fleet.now + 2)
    for host, pause in asked:
        fleet.run_to(fleet.now + pause)
        fleet.ask(host, path)
    fleet.run_to(fleet.now + 0.5)
    assert len(fleet.reached) == 1


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
def test_serves_what_was_under_way_when_targets_ended_at_once(
    asked: list[tuple[int, float]], count: int
) -> None:
    """Symptom: what many callers ask for is refused because a rack died."""
    fleet = Fleet()
    for host, pause in asked:
        fleet.run_to(fleet.now + pause)
        fleet.ask(host, '/search/1')
    for target in fleet.list_targets()[:count]:
        fleet.end_target(target)
    fleet.run_to(fleet.now + 0.7)
    fleet.outcomes.clear()
    for number, _ in enumerate(HOSTS):
        fleet.ask(number, '/search/1')
    fleet.run_to(fleet.now + 0.7)
    told = fleet.outcomes['/search/1']
    assert len(told) == len(HOSTS)
    assert all(isinstance(it, events.Merged) for it in told)
