"""Test that cold targets get no more than their limit, over all hosts."""

from typing import Final, NamedTuple

import pytest
from hypothesis import given, settings, strategies

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    configs,
    deployments,
    events,
    instances,
    warmups,
)
from tests.routing import router_rig

LIMIT: Final = deployments.WarmUpLimit(1.5, 5)
STEP_S: Final = 0.05
DURATION_S: Final = 8.0
SHARDS: Final = tuple(f's-{number:02}' for number in range(50))
ROUTES: Final = (
    router_rig.make_route(configs.Gather(SHARDS, 5, 0.5)),
    router_rig.make_route(configs.Single('records'), prefix='/one/'),
)
COLD: Final = instances.Instance(
    'cold', 'cold', 'records', '10.0.1.1:80', 'north', 2, False, 60.0
)


def make_index(rate: float) -> configs.Index:
    """Make a configuration whose services name a rate for cold targets."""
    services = tuple(
        configs.Service(name, 26, rate) for name in (*SHARDS, 'records')
    )
    return configs.build_index(
        configs.Configuration(1, ROUTES, services, configs.Limits())
    )


def make_hosts(count: int) -> list[deployments.Host]:
    """Make hosts, every other one in the north."""
    return [
        deployments.Host(
            f'host-{number}',
            f'10.0.0.{number}:7000',
            ('north', 'south')[number % 2],
        )
        for number in range(count)
    ]


class HostChange(NamedTuple):
    """Describe a host that comes or goes; the others see it after a delay."""

    at: float
    host: int
    delays: tuple[float, ...]


HOSTS: Final = 8
ALL_HOSTS: Final = make_hosts(HOSTS)
DELAYS: Final = strategies.floats(0, warmups.HOSTS_SETTLE_S - 0.01)
CHANGES: Final = strategies.lists(
    strategies.builds(
        HostChange,
        strategies.floats(0, DURATION_S),
        strategies.integers(0, HOSTS - 1),
        strategies.tuples(*[DELAYS] * HOSTS),
    ),
    max_size=4,
)


def list_views(
    changes: list[HostChange], own: int
) -> list[tuple[float, frozenset[int]]]:
    """List when a host sees which set of hosts."""
    present = set(range(HOSTS))
    seen_at = 0.0
    views = [(-10.0, frozenset(present))]
    for change in sorted(changes):
        present ^= {change.host}
        # Revisions never go back, so a late change arrives with the next one.
        seen_at = max(seen_at, change.at + change.delays[own])
        views.append((seen_at, frozenset(present)))
    return views


class Sender(NamedTuple):
    """Hold the warm-ups of one host, and when it sees which hosts."""

    warmups: warmups.Warmups
    views: list[tuple[float, frozenset[int]]]


def make_sender(
    own: int, instance: instances.Instance, changes: list[HostChange]
) -> Sender:
    """Make a host that knows a cold target."""
    sender_warmups = warmups.Warmups(ALL_HOSTS[own])
    sender_warmups.limit = LIMIT
    sender_warmups.update_targets(
        instances.EMPTY_DIRECTORY, instances.build_directory([instance]), 0
    )
    return Sender(sender_warmups, list_views(changes, own))


def update_hosts(sender: Sender, now: float) -> None:
    """Apply the changes that a host has seen by now."""
    while sender.views and sender.views[0][0] <= now:
        at, present = sender.views.pop(0)
        sender.warmups.update_hosts(
            [ALL_HOSTS[it] for it in sorted(present)], at
        )


def send_all(
    rate: float, changes: list[HostChange], waits: list[float], target: str
) -> list[float]:
    """Have each host send all that it may; list when the requests leave."""
    index = make_index(rate)
    instance = COLD._replace(service=target)
    sent: list[float] = []
    for own in range(HOSTS):
        sender = make_sender(own, instance, changes)
        for step in range(int(DURATION_S / STEP_S)):
            now = step * STEP_S
            update_hosts(sender, now)
            while sender.warmups.may_send(instance, index, now):
                sender.warmups.record_sent(instance, now)
                sent.append(now + waits[len(sent) % len(waits)])
    return sorted(sent)


@given(
    rate=strategies.sampled_from([0.0, 1.0, 4.0, 20.0]),
    changes=CHANGES,
    waits=strategies.lists(
        strategies.floats(0, warmups.RATE_WINDOW_S - 1), min_size=1, max_size=9
    ),
    target=strategies.sampled_from(['records', 's-20']),
)
@settings(max_examples=60, deadline=None)
def test_no_second_exceeds_the_limit_of_a_cold_target(
    rate: float, changes: list[HostChange], waits: list[float], target: str
) -> None:
    """Guard against a target that fails under all hosts just after its start.

    Hosts come and go, each sees it up to two and a half seconds later, and
    requests wait for a connection. In no stretch of a second may more requests
    leave than the limit.
    """
    sent = send_all(rate, changes, waits, target)
    bound = rate * LIMIT.overage + LIMIT.slack
    assert sent or changes
    for first in sent:
        assert sum(first <= it < first + 1 for it in sent) <= bound


@pytest.mark.parametrize('target', ['records', 's-20'])
def test_cold_targets_get_most_of_their_limit(target: str) -> None:
    """Without changes of the hosts the bound is used, and not by one host."""
    sent = send_all(20.0, [], [0.0], target)
    used = sum(4 <= it < 4 + warmups.RATE_WINDOW_S for it in sent)
    assert used >= 0.6 * (20 * LIMIT.overage + LIMIT.slack)


def make_rig(rate: float, *targets: instances.Instance) -> router_rig.Rig:
    """Make a host that may not send to cold targets with a rate."""
    rig = router_rig.Rig(ROUTES, targets)
    rig.router.warmups.limit = LIMIT
    configuration = make_index(rate).configuration._replace(version=2)
    rig.post(events.ConfigurationReceived(configuration))
    return rig


def test_prefers_warm_targets() -> None:
    """Guard against answers lost in a release, when each new target is slow."""
    warm = COLD._replace(
        name='warm', id='warm', data_centre='south', warming=0.0
    )
    rig = make_rig(0.0, COLD, warm)
    for _ in range(9):
        rig.send_request('/one/1')
    assert {send.instance.name for send in rig.pop_sent()} == {'warm'}


def test_refuses_at_once_what_only_cold_targets_could_serve() -> None:
    """Guard against a service whose targets crash again when they return.

    All of them are cold, and this host does not know yet which hosts there are.
    Callers learn at once that nothing has run, and when to retry.
    """
    rig = make_rig(4.0, COLD)
    rig.send_request('/one/1')
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.NO
    assert 'warming' in outcome.detail
    assert outcome.retry_after
    assert not rig.pop_sent()


def test_uses_cold_targets_without_a_rate() -> None:
    """They are avoided, but not at the cost of an answer."""
    rig = make_rig(0.0, COLD)
    for _ in range(9):
        rig.send_request('/one/1')
    assert len(rig.pop_sent()) == 9


def test_a_target_is_warm_after_its_warmup_without_reports() -> None:
    """Guard against a target without requests while the store is down.

    Its last entry says that it is cold, and no other one follows.
    """
    host_warmups = warmups.Warmups(router_rig.HOST)
    cold = COLD._replace(warming=3.0)
    host_warmups.update_targets(
        instances.EMPTY_DIRECTORY, instances.build_directory([cold]), 10
    )
    assert host_warmups.is_cold(cold, 13)
    assert not host_warmups.is_cold(cold, 13 + warmups.WARM_DELAY_S)


def test_all_targets_of_a_reused_data_centre_are_cold() -> None:
    """Their entries say that they are warm, but are a heartbeat old."""
    host_warmups = warmups.Warmups(router_rig.HOST)
    warm = COLD._replace(warming=0.0)
    evacuated = instances.build_directory([warm], {'north'})
    reused = instances.build_directory([warm])
    host_warmups.update_targets(evacuated, reused, 10)
    assert host_warmups.is_cold(warm, 10 + warmups.REUSE_COLD_S - 0.1)
    host_warmups.update_targets(reused, reused, 10 + warmups.REUSE_COLD_S)
    assert not host_warmups.is_cold(warm, 10 + warmups.REUSE_COLD_S)
