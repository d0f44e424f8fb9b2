"""Test that parts of a split keep to their weights, over many hosts.

The users' rule: within 0.1 of its share in steady state, within 0.2 while a
part is short of room, and what does not fit is refused and not moved.
"""

import collections
import random
from collections.abc import Sequence

import pytest

from fuchsiahaven.core import errors, request_identities
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

PARTS = ('new', 'old', 'trial')
HOSTS = 60
STEADY = 0.1
SHORT_OF_ROOM = 0.2
EXTRA = places.ExtraLoad(0.2, 300.0, 10.0)


def make_configured(
    version: int, weights: Sequence[float]
) -> events.Configured:
    """Put a split with these weights in force."""
    parts = map(configs.Weighted, PARTS, weights)
    route = desk_rig.make_route(configs.Split(tuple(parts)))
    return events.Configured(
        configs.Configuration(version, (route,), (), configs.Limits())
    )


class Fleet:
    """Own hosts of which some are asked often and most seldom."""

    def __init__(self, seed: int, weights: Sequence[float]) -> None:
        """Start all hosts."""
        self.numbers = random.Random(seed)
        self.full: frozenset[str] = frozenset()
        self.targets = desk_rig.make_instances(PARTS)
        self.refusals: list[errors.Failure] = []
        self.sent: collections.Counter[str] = collections.Counter()
        self.ran: collections.Counter[str] = collections.Counter()
        self.now = 100.0
        self._configured = make_configured(1, weights)
        self._order = 0
        self._rates = [
            self.numbers.lognormvariate(0, 1.5) for _ in range(HOSTS)
        ]
        self.hosts = [self._start(number) for number in range(HOSTS)]

    def restart(self, share: float) -> None:
        """Start a share of the hosts again; they know nothing."""
        for number in range(HOSTS):
            if self.numbers.random() < share:
                self.hosts[number] = self._start(number)

    def configure(self, version: int, weights: Sequence[float]) -> None:
        """Change the weights on all hosts."""
        self._configured = make_configured(version, weights)
        for desk in self.hosts:
            desks.handle(desk, self._configured, self.now)

    def direct(self, targets: list[instances.Instance], gone: str = '') -> None:
        """Bring other targets to all hosts, those of a data centre gone."""
        self.targets = targets
        for desk in self.hosts:
            self._direct(desk, gone)

    def ask(self, count: int) -> None:
        """Ask for so much, each at a host by how often that is asked."""
        numbers = range(HOSTS)
        for number in self.numbers.choices(numbers, self._rates, k=count):
            self.now += self.numbers.expovariate(40)
            self._ask(self.hosts[number])

    def list_shares(self) -> dict[str, float]:
        """List the share of each part in what was asked since last time."""
        total = sum(self.sent.values())
        shares = {part: self.sent[part] / total for part in PARTS}
        self.sent.clear()
        return shares

    def _start(self, number: int) -> states.Desk:
        host = places.Host(f'host-{number}', str(number), 'north')
        desk = states.Desk(host, EXTRA, self.numbers.random)
        desks.handle(desk, self._configured, self.now)
        desks.handle(desk, events.Counted(HOSTS), self.now)
        self._direct(desk, '')
        return desk

    def _direct(self, desk: states.Desk, gone: str) -> None:
        directory = instances.build_directory(self.targets, (gone,))
        desks.handle(desk, events.Directed(directory), self.now)

    def _ask(self, desk: states.Desk) -> None:
        self._order += 1
        request = events.Request(
            f'id-{self._order}',
            'GET',
            '/search/1',
            'shop.example',
            (),
            b'',
            self.now,
            self.now + 0.8,
            0.006,
            request_identities.identify(
                'shop.example', str(self._order).encode()
            ),
        )
        asked = events.Asked(self._order, request)
        left = desks.handle(desk, asked, self.now)
        (part,) = self._find_part(desk, left)
        self.sent[part] += 1
        while left:
            left = [it for one in left for it in self._react(desk, one, part)]

    def _find_part(
        self, desk: states.Desk, actions: list[events.Action]
    ) -> list[str]:
        sent = [it for it in actions if isinstance(it, events.Send)]
        if sent:
            return [it.key.service for it in sent]
        stories = [it for it in actions if isinstance(it, events.Story)]
        assert stories
        return [it.lacking[0].partition(':')[0] for it in stories]

    def _react(
        self, desk: states.Desk, action: events.Action, part: str
    ) -> list[events.Action]:
        match action:
            case events.Send(key):
                # Nothing goes to another part than the one it is counted to.
                assert key.service == part
                if part in self.full:
                    shed = messages.RefusalReason.SHED
                    return desks.handle(
                        desk, events.Refused(key, shed), self.now
                    )
                self.ran[part] += 1
                answer = events.Answer(200, (), 'signed', b'')
                return desks.handle(
                    desk, events.Answered(key, answer), self.now
                )
            case events.Reply(_, errors.Failure() as failure):
                self.refusals.append(failure)
        return []


def check_shares(fleet: Fleet, weights: Sequence[float], within: float) -> None:
    """Check that each part has its share."""
    found = fleet.list_shares()
    total = sum(weights)
    for part, weight in zip(PARTS, weights, strict=True):
        assert abs(found[part] - weight / total) <= within, (part, found)


@pytest.mark.parametrize('weights', [(7, 2, 1), (0.9, 0.05, 0.05), (1, 1, 0)])
@pytest.mark.parametrize('seed', range(4))
def test_keeps_to_weights_at_hosts_that_start_again(
    seed: int, weights: tuple[float, float, float]
) -> None:
    """Symptom: after restarts the heaviest part gets nearly all.

    Most hosts are asked once or twice between two starts of theirs.
    """
    fleet = Fleet(seed, weights)
    for _ in range(8):
        fleet.ask(HOSTS)
        fleet.restart(0.9)
    check_shares(fleet, weights, STEADY)


@pytest.mark.parametrize('seed', range(4))
def test_follows_weights_of_another_scale(seed: int) -> None:
    """Symptom: a part that is to get half gets nothing for a while.

    Weights of hundreds become weights of one; what was saved by the old ones
    must not decide by the new ones.
    """
    fleet = Fleet(seed, (900, 50, 50))
    fleet.ask(600)
    check_shares(fleet, (900, 50, 50), STEADY)
    fleet.configure(2, (1, 1, 2))
    fleet.ask(300)
    check_shares(fleet, (1, 1, 2), STEADY)
    fleet.configure(3, (0.02, 0.08, 0))
    fleet.ask(300)
    check_shares(fleet, (0.02, 0.08, 0), STEADY)


def make_short(fleet: Fleet, way: str) -> None:
    """Take the room of the part `old` away."""
    others = [it for it in fleet.targets if it.service != 'old']
    own = [it for it in fleet.targets if it.service == 'old']
    match way:
        case 'full':
            fleet.full = frozenset(('old',))
        case 'gone':
            fleet.direct(others)
        case 'evacuated':
            away = [it._replace(data_centre='south') for it in own]
            fleet.direct([*others, *away], 'south')
        case _:
            cold = [it._replace(warming=5.0) for it in own]
            for desk in fleet.hosts:
                desk.warmups.terms = places.WarmUp(1.2, 3.0)
            fleet.direct([*others, *cold])


@pytest.mark.parametrize('way', ['full', 'gone', 'evacuated', 'cold'])
@pytest.mark.parametrize('seed', range(3))
def test_refuses_what_does_not_fit_and_moves_none(seed: int, way: str) -> None:
    """Shares hold while a part has no room, and beside new weights.

    What is refused was refused at once, and says when to come back.
    """
    fleet = Fleet(seed, (5, 4, 1))
    fleet.ask(300)
    check_shares(fleet, (5, 4, 1), STEADY)
    make_short(fleet, way)
    fleet.ask(200)
    check_shares(fleet, (5, 4, 1), SHORT_OF_ROOM)
    fleet.restart(0.3)
    fleet.configure(2, (30, 60, 10))
    fleet.ask(200)
    check_shares(fleet, (30, 60, 10), SHORT_OF_ROOM)
    if way != 'cold':
        assert fleet.refusals
    for failure in fleet.refusals:
        assert failure.retry_after
        assert failure.ran is errors.Ran.NO
