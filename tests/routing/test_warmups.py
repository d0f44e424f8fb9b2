"""Test that cold targets get no more than they bear, over all hosts."""

from typing import Final, NamedTuple

import pytest
from hypothesis import given, settings, strategies

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    configs,
    events,
    instances,
    places,
    warmups,
)
from tests.routing import router_rig

TERMS: Final = places.WarmUp(1.5, 5)
STEP_S: Final = 0.05
LAST_S: Final = 8.0
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


def make_hosts(count: int) -> list[places.Host]:
    """Make hosts, every other one in the north."""
    return [
        places.Host(
            f'host-{number}',
            f'10.0.0.{number}:7000',
            ('north', 'south')[number % 2],
        )
        for number in range(count)
    ]


class Change(NamedTuple):
    """Tell that a host comes or goes; each other host hears with a lag."""

    when: float
    host: int
    lags: tuple[float, ...]


HOSTS: Final = 8
ALL_HOSTS: Final = make_hosts(HOSTS)
LAGS: Final = strategies.floats(0, warmups.SETTLE_S - 0.01)
CHANGES: Final = strategies.lists(
    strategies.builds(
        Change,
        strategies.floats(0, LAST_S),
        strategies.integers(0, HOSTS - 1),
        strategies.tuples(*[LAGS] * HOSTS),
    ),
    max_size=4,
)


def list_views(
    changes: list[Change], own: int
) -> list[tuple[float, frozenset[int]]]:
    """List when a host hears of which set of hosts, the last word last."""
    there = set(range(HOSTS))
    heard = 0.0
    views = [(-10.0, frozenset(there))]
    for change in sorted(changes):
        there ^= {change.host}
        # Revisions never go back, so what comes late comes with the next.
        heard = max(heard, change.when + change.lags[own])
        views.append((heard, frozenset(there)))
    return views


class Sender(NamedTuple):
    """Hold one host, and when it hears of which hosts."""

    known: warmups.Warmups
    views: list[tuple[float, frozenset[int]]]


def make_sender(
    own: int, one: instances.Instance, changes: list[Change]
) -> Sender:
    """Make a host that knows of a cold target."""
    known = warmups.Warmups(ALL_HOSTS[own])
    known.terms = TERMS
    known.note_targets(instances.EMPTY, instances.build_directory([one]), 0)
    return Sender(known, list_views(changes, own))


def hear(sender: Sender, now: float) -> None:
    """Have a host hear what it has heard by now."""
    while sender.views and sender.views[0][0] <= now:
        when, there = sender.views.pop(0)
        sender.known.note_hosts([ALL_HOSTS[it] for it in sorted(there)], when)


def send_all(
    rate: float, changes: list[Change], waits: list[float], target: str
) -> list[float]:
    """Have each host send all that it may; list when it leaves."""
    index = make_index(rate)
    one = COLD._replace(service=target)
    left: list[float] = []
    for own in range(HOSTS):
        sender = make_sender(own, one, changes)
        for step in range(int(LAST_S / STEP_S)):
            now = step * STEP_S
            hear(sender, now)
            while sender.known.may_send(one, index, now):
                sender.known.note_sent(one, now)
                left.append(now + waits[len(left) % len(waits)])
    return sorted(left)


@given(
    rate=strategies.sampled_from([0.0, 1.0, 4.0, 20.0]),
    changes=CHANGES,
    waits=strategies.lists(
        strategies.floats(0, warmups.WINDOW_S - 1), min_size=1, max_size=9
    ),
    target=strategies.sampled_from(['records', 's-20']),
)
@settings(max_examples=60, deadline=None)
def test_no_second_brings_more_than_a_cold_target_bears(
    rate: float, changes: list[Change], waits: list[float], target: str
) -> None:
    """Symptom: a target that has just started falls over under all hosts.

    Hosts come and go, each hears of it up to two seconds and a half later, and
    what is sent waits for a connection. In no second that anybody may lay does
    more leave than the target bears.
    """
    left = send_all(rate, changes, waits, target)
    bound = rate * TERMS.overage + TERMS.slack
    assert left or changes
    for first in left:
        assert sum(first <= it < first + 1 for it in left) <= bound


@pytest.mark.parametrize('target', ['records', 's-20'])
def test_cold_targets_get_most_of_what_they_bear(target: str) -> None:
    """While no host comes or goes the bound is used, and not by one host."""
    left = send_all(20.0, [], [0.0], target)
    used = sum(4 <= it < 4 + warmups.WINDOW_S for it in left)
    assert used >= 0.6 * (20 * TERMS.overage + TERMS.slack)


def make_rig(rate: float, *targets: instances.Instance) -> router_rig.Rig:
    """Make a host that is not among those that may send to the targets."""
    rig = router_rig.Rig(ROUTES, targets)
    rig.router.warmups.terms = TERMS
    configuration = make_index(rate).configuration._replace(version=2)
    rig.post(events.ConfigurationReceived(configuration))
    return rig


def test_spares_cold_targets_while_there_are_warm_ones() -> None:
    """Symptom: a release costs answers, as each new target is slow at first."""
    warm = COLD._replace(
        name='warm', id='warm', data_centre='south', warming=0.0
    )
    rig = make_rig(0.0, COLD, warm)
    for _ in range(9):
        rig.send_request('/one/1')
    assert {send.instance.name for send in rig.pop_sent()} == {'warm'}


def test_leaves_out_at_once_what_only_cold_targets_could_take() -> None:
    """Symptom: all targets of a service crash again as soon as they return.

    All of them are cold, and this host does not know yet which hosts there
    are. Callers are told at once that nothing has run, and when to come back.
    """
    rig = make_rig(4.0, COLD)
    rig.send_request('/one/1')
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.NO
    assert 'warming' in outcome.detail
    assert outcome.retry_after
    assert not rig.pop_sent()


def test_uses_cold_targets_that_name_no_rate() -> None:
    """A service that names no rate is spared, but not at a caller's cost."""
    rig = make_rig(0.0, COLD)
    for _ in range(9):
        rig.send_request('/one/1')
    assert len(rig.pop_sent()) == 9


def test_a_target_counts_as_warm_in_the_end() -> None:
    """Symptom: a target gets nothing as long as the store is down.

    Its last entry says that it is cold, and no other one comes.
    """
    known = warmups.Warmups(router_rig.HOST)
    cold = COLD._replace(warming=3.0)
    known.note_targets(instances.EMPTY, instances.build_directory([cold]), 10)
    assert known.is_cold(cold, 13)
    assert not known.is_cold(cold, 13 + warmups.LAPSE_S)


def test_a_whole_data_centre_is_cold_when_it_is_used_again() -> None:
    """Its entries still say that it is warm; they are a heartbeat old."""
    known = warmups.Warmups(router_rig.HOST)
    warm = COLD._replace(warming=0.0)
    evacuated = instances.build_directory([warm], {'north'})
    used = instances.build_directory([warm])
    known.note_targets(evacuated, used, 10)
    assert known.is_cold(warm, 10 + warmups.RETURN_S - 0.1)
    known.note_targets(used, used, 10 + warmups.RETURN_S)
    assert not known.is_cold(warm, 10 + warmups.RETURN_S)
