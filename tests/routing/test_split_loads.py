"""Test that the parts of a split follow their weights, over many hosts.

The users require each part to be within 0.1 of its share in steady state, and
within 0.2 while a part is short of capacity. Requests over its capacity are
refused, and not moved to another part.
"""

import collections
import random
from collections.abc import Sequence

import pytest

from fuchsiahaven.core import errors, request_identities
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

PARTS = ('new', 'old', 'trial')
HOST_COUNT = 60
STEADY_TOLERANCE = 0.1
SHORTAGE_TOLERANCE = 0.2
EXTRA_LOAD = deployments.ExtraLoadLimit(0.2, 300.0, 10.0)


def make_configuration_event(
    version: int, weights: Sequence[float]
) -> events.ConfigurationReceived:
    """Make the event for a configuration with a split of these weights."""
    parts = map(configs.Weighted, PARTS, weights)
    route = router_rig.make_route(configs.Split(tuple(parts)))
    return events.ConfigurationReceived(
        configs.Configuration(version, (route,), (), configs.Limits())
    )


class Fleet:
    """Own hosts with very different rates of requests."""

    def __init__(self, seed: int, weights: Sequence[float]) -> None:
        """Start all hosts with these weights."""
        self.random = random.Random(seed)
        self.full_parts: frozenset[str] = frozenset()
        self.targets = router_rig.make_instances(PARTS)
        self.refusals: list[errors.Failure] = []
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.now = 100.0
        self._configuration_event = make_configuration_event(1, weights)
        self._last_number = 0
        self._rates = [
            self.random.lognormvariate(0, 1.5) for _ in range(HOST_COUNT)
        ]
        self.routers = [self._start(number) for number in range(HOST_COUNT)]

    def restart(self, share: float) -> None:
        """Restart a share of the hosts, with empty state."""
        for number in range(HOST_COUNT):
            if self.random.random() < share:
                self.routers[number] = self._start(number)

    def configure(self, version: int, weights: Sequence[float]) -> None:
        """Change the weights on all hosts."""
        self._configuration_event = make_configuration_event(version, weights)
        for router in self.routers:
            dispatch.handle_event(router, self._configuration_event, self.now)

    def replace_targets(
        self, targets: list[instances.Instance], evacuated: str = ''
    ) -> None:
        """Post other targets to all hosts, with one data centre evacuated."""
        self.targets = targets
        for router in self.routers:
            self._post_directory(router, evacuated)

    def send_requests(self, count: int) -> None:
        """Send requests to hosts chosen by their rates."""
        numbers = range(HOST_COUNT)
        for number in self.random.choices(numbers, self._rates, k=count):
            self.now += self.random.expovariate(40)
            self._send_request(self.routers[number])

    def list_shares(self) -> dict[str, float]:
        """List the share of each part in the requests since the last call."""
        total = sum(self.sent_counts.values())
        shares = {part: self.sent_counts[part] / total for part in PARTS}
        self.sent_counts.clear()
        return shares

    def _start(self, number: int) -> states.Router:
        host = deployments.Host(f'host-{number}', str(number), 'north')
        router = states.Router(host, EXTRA_LOAD, self.random.random)
        dispatch.handle_event(router, self._configuration_event, self.now)
        dispatch.handle_event(router, events.HostsChanged(HOST_COUNT), self.now)
        self._post_directory(router, '')
        return router

    def _post_directory(self, router: states.Router, evacuated: str) -> None:
        directory = instances.build_directory(self.targets, (evacuated,))
        dispatch.handle_event(
            router, events.DirectoryChanged(directory), self.now
        )

    def _send_request(self, router: states.Router) -> None:
        self._last_number += 1
        request = events.Request(
            f'id-{self._last_number}',
            'GET',
            '/search/1',
            'shop.example',
            (),
            b'',
            self.now,
            self.now + 0.8,
            0.006,
            request_identities.identify(
                'shop.example', str(self._last_number).encode()
            ),
        )
        received = events.RequestReceived(self._last_number, request)
        pending = dispatch.handle_event(router, received, self.now)
        (part,) = self._list_parts(router, pending)
        self.sent_counts[part] += 1
        while pending:
            pending = [
                it
                for action in pending
                for it in self._react(router, action, part)
            ]

    def _list_parts(
        self, router: states.Router, actions: list[events.Action]
    ) -> list[str]:
        sent = [it for it in actions if isinstance(it, events.SendAttempt)]
        if sent:
            return [it.key.service for it in sent]
        summaries = [
            it for it in actions if isinstance(it, events.RequestSummary)
        ]
        assert summaries
        return [it.lacking[0].partition(':')[0] for it in summaries]

    def _react(
        self, router: states.Router, action: events.Action, part: str
    ) -> list[events.Action]:
        match action:
            case events.SendAttempt(key):
                # A request is sent only to the part for which it is counted.
                assert key.service == part
                if part in self.full_parts:
                    shed = messages.RefusalReason.SHED
                    return dispatch.handle_event(
                        router, events.TargetRefused(key, shed), self.now
                    )
                self.run_counts[part] += 1
                answer = events.Answer(200, (), 'signed', b'')
                return dispatch.handle_event(
                    router, events.TargetAnswered(key, answer), self.now
                )
            case events.Reply(_, errors.Failure() as failure):
                self.refusals.append(failure)
        return []


def check_shares(
    fleet: Fleet, weights: Sequence[float], tolerance: float
) -> None:
    """Check that each part got its share of the requests."""
    shares = fleet.list_shares()
    total = sum(weights)
    for part, weight in zip(PARTS, weights, strict=True):
        assert abs(shares[part] - weight / total) <= tolerance, (part, shares)


@pytest.mark.parametrize('weights', [(7, 2, 1), (0.9, 0.05, 0.05), (1, 1, 0)])
@pytest.mark.parametrize('seed', range(4))
def test_keeps_to_weights_on_restarting_hosts(
    seed: int, weights: tuple[float, float, float]
) -> None:
    """Symptom: after restarts the heaviest part gets nearly all requests.

    Most hosts get one or two requests between two restarts, and a fixed first
    position would send these to the heaviest part.
    """
    fleet = Fleet(seed, weights)
    for _ in range(8):
        fleet.send_requests(HOST_COUNT)
        fleet.restart(0.9)
    check_shares(fleet, weights, STEADY_TOLERANCE)


@pytest.mark.parametrize('seed', range(4))
def test_follows_weights_of_another_scale(seed: int) -> None:
    """Symptom: a part with half of the weight gets no request for a while.

    The weights change from hundreds to ones. A position saved under the old
    weights must not distort the choice under the new ones.
    """
    fleet = Fleet(seed, (900, 50, 50))
    fleet.send_requests(600)
    check_shares(fleet, (900, 50, 50), STEADY_TOLERANCE)
    fleet.configure(2, (1, 1, 2))
    fleet.send_requests(300)
    check_shares(fleet, (1, 1, 2), STEADY_TOLERANCE)
    fleet.configure(3, (0.02, 0.08, 0))
    fleet.send_requests(300)
    check_shares(fleet, (0.02, 0.08, 0), STEADY_TOLERANCE)


def remove_capacity(fleet: Fleet, shortage: str) -> None:
    """Remove the capacity of the part `old`."""
    others = [it for it in fleet.targets if it.service != 'old']
    own_targets = [it for it in fleet.targets if it.service == 'old']
    match shortage:
        case 'full':
            fleet.full_parts = frozenset(('old',))
        case 'gone':
            fleet.replace_targets(others)
        case 'evacuated':
            moved = [it._replace(data_centre='south') for it in own_targets]
            fleet.replace_targets([*others, *moved], 'south')
        case _:
            cold = [it._replace(warming=5.0) for it in own_targets]
            for router in fleet.routers:
                router.warmups.limit = deployments.WarmUpLimit(1.2, 3.0)
            fleet.replace_targets([*others, *cold])


@pytest.mark.parametrize('shortage', ['full', 'gone', 'evacuated', 'cold'])
@pytest.mark.parametrize('seed', range(3))
def test_refuses_excess_without_moving_it(seed: int, shortage: str) -> None:
    """Shares follow the weights, old and new, while a part has no capacity.

    Refused requests have not run, and the refusal says when to retry.
    """
    fleet = Fleet(seed, (5, 4, 1))
    fleet.send_requests(300)
    check_shares(fleet, (5, 4, 1), STEADY_TOLERANCE)
    remove_capacity(fleet, shortage)
    fleet.send_requests(200)
    check_shares(fleet, (5, 4, 1), SHORTAGE_TOLERANCE)
    fleet.restart(0.3)
    fleet.configure(2, (30, 60, 10))
    fleet.send_requests(200)
    check_shares(fleet, (30, 60, 10), SHORTAGE_TOLERANCE)
    if shortage != 'cold':
        assert fleet.refusals
    for failure in fleet.refusals:
        assert failure.retry_after
        assert failure.ran is errors.Ran.NO
