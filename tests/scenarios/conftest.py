"""Implement the steps of the scenarios that set up and disturb a cluster."""

import functools
import random
import re
from collections.abc import Callable, Mapping
from typing import Any, Final

import pytest
from pytest_bdd import given, parsers, when

from fuchsiahaven.core.configuration import changes, configurations, proposals
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import target_protocol
from tests.scenarios import fakes, world

RequestClass = configurations.RequestClass
CLASS_KINDS: Final[dict[str, Callable[[RequestClass], RequestClass]]] = {
    'may be partial': lambda request_class: request_class,
    'must be complete': lambda request_class: request_class._replace(
        needs=configurations.Needs.COMPLETE
    ),
    'runs at most once': lambda request_class: request_class._replace(
        needs=configurations.Needs.COMPLETE,
        repeat=configurations.Repeat.AT_MOST_ONCE,
        fan_out=configurations.FanOut.KEYED,
        hedge_share=0.0,
    ),
}
STARTUP_S: Final = 3.0
IN_FLIGHT_S: Final = 0.002
LEAVING: Final = messages.TargetState.LEAVING


def lose_target(cluster: world.World, target: fakes.Target) -> None:
    cluster.lose_target(target.config.name)


def restore_target(cluster: world.World, target: fakes.Target) -> None:
    target.restart()
    cluster.lost_targets.discard(target.config.name)


def freeze(cluster: world.World, target: fakes.Target) -> None:
    target.frozen = True


def thaw(cluster: world.World, target: fakes.Target) -> None:
    target.thaw()


def cross_answers(cluster: world.World, target: fakes.Target) -> None:
    target.crosses_answers = True


def hide_load(cluster: world.World, target: fakes.Target) -> None:
    target.reports_load = False


def start_leaving(cluster: world.World, target: fakes.Target) -> None:
    target.left_at = cluster.clock.now
    target.enter_state(LEAVING)


def list_as_leaving(cluster: world.World, target: fakes.Target) -> None:
    target.left_at = cluster.clock.now
    cluster.publish_host_list(leaving=target.config.name)


def mark_as_leaving(cluster: world.World, target: fakes.Target) -> None:
    target.left_at = cluster.clock.now
    group = target.config.name.rpartition('-')[0]
    cluster.commit_change(
        'ana', changes.MarkLeaving(group, (target.config.name,))
    )


def drop_answers(cluster: world.World, target: fakes.Target) -> None:
    target.drops_answers = True


TARGET_EVENTS: Final[
    Mapping[str, Callable[[world.World, fakes.Target], None]]
] = {
    'is lost': lose_target,
    'is back': restore_target,
    'freezes': freeze,
    'goes on': thaw,
    'gives each caller the answer before': cross_answers,
    'breaks off once it has run': drop_answers,
    'reports no load': hide_load,
    'begins to leave': start_leaving,
    'is listed as leaving': list_as_leaving,
    'is marked as leaving': mark_as_leaving,
}

#: Events of the platform, as control orders to its stand-in.
PLATFORM_ORDERS: Final[Mapping[str, dict[str, object]]] = {
    'goes down': {'down': True},
    'is up again': {'down': False},
    'is too slow to answer': {'slow_s': 30.0},
    'is quick again': {'slow_s': 0.0},
    'loses the answer to the next write': {'lose_writes': 1},
    'is copied': {'save': True},
    'is put back to the copy': {'restore': True},
}


@pytest.fixture(name='cluster')
def make_cluster(monkeypatch: pytest.MonkeyPatch) -> world.World:
    """Create an empty world, whose clock is also the adapters' time of day."""
    cluster = world.World()

    class Time:
        time = staticmethod(lambda: cluster.clock.now)

    monkeypatch.setattr(target_protocol, 'time', Time)
    return cluster


def parse_step(text: str) -> Any:
    """Parse the text of a step with named fields."""
    return parsers.parse(text)


def split_names(names: str) -> list[str]:
    """Split a list of names such as `a, b and c`."""
    return re.split(', | and ', names)


def get_target(cluster: world.World, group: str, number: int) -> fakes.Target:
    """Return a target by its number in its group."""
    return cluster.targets[f'{group}-{number:02}']


def list_targets(cluster: world.World, group: str) -> list[fakes.Target]:
    """List the targets of a group."""
    return [
        target
        for name, target in cluster.targets.items()
        if name.startswith(f'{group}-')
    ]


@given(parse_step('a group {name} of {count:d} targets in {data_centre}'))
def add_group(
    cluster: world.World, name: str, count: int, data_centre: str
) -> None:
    cluster.add_group(name, count, count // 2, data_centre)


@given(
    parse_step('a class {name} that {kind}, within {ms:d} ms, over {groups}')
)
def add_class(
    cluster: world.World, name: str, kind: str, ms: int, groups: str
) -> None:
    cluster.add_class(
        CLASS_KINDS[kind](RequestClass(name, ms)), split_names(groups)
    )


@given(parse_step('hosts {names} in {data_centre}'))
def add_hosts(cluster: world.World, names: str, data_centre: str) -> None:
    for name in split_names(names):
        cluster.add_host(name, data_centre)


@given('all of it runs')
def start_all(cluster: world.World) -> None:
    outcome = cluster.commit_change(
        'setup', changes.ReplaceConfiguration(cluster.configuration)
    )
    assert isinstance(outcome, proposals.ChangeAccepted), outcome
    cluster.clock.run(STARTUP_S)


@when(parse_step('{count:d} {name} queries arrive in {seconds:g} s'))
def submit_over_time(
    cluster: world.World, count: int, name: str, seconds: float
) -> None:
    for number in range(count):
        submit_next(cluster, name, number)
        cluster.clock.run(seconds / count)


@when(parse_step('{count:d} {name} queries are under way'))
def submit_at_once(cluster: world.World, count: int, name: str) -> None:
    for number in range(count):
        submit_next(cluster, name, number)
    cluster.clock.run(IN_FLIGHT_S)


def submit_next(cluster: world.World, name: str, number: int) -> None:
    serving = [host.name for host in cluster.hosts.values() if host.alive]
    cluster.submit_query(
        serving[number % len(serving)], name, key=f'key-{number}'
    )


@when(parse_step('{seconds:g} s pass'))
def pass_time(cluster: world.World, seconds: float) -> None:
    cluster.clock.run(seconds)


@when(parsers.re(r'searcher (?P<number>\d+) of (?P<group>\S+) (?P<event>\D+)$'))
def apply_target_event(
    cluster: world.World, number: str, group: str, event: str
) -> None:
    TARGET_EVENTS[event](cluster, get_target(cluster, group, int(number)))


@when(
    parse_step('searcher {number:d} of {group} answers {factor:g} times slower')
)
def slow_down(
    cluster: world.World, number: int, group: str, factor: float
) -> None:
    get_target(cluster, group, number).slowdown = factor


@when(parse_step('searcher {number:d} of {group} reports {seconds:g} s late'))
def delay_reports(
    cluster: world.World, number: int, group: str, seconds: float
) -> None:
    get_target(cluster, group, number).report_lag_s = seconds


@when(parse_step('{group} loads snapshot {snapshot:d} in {shards:d} shards'))
def load_snapshot(
    cluster: world.World, group: str, snapshot: int, shards: int
) -> None:
    names = [name for name in cluster.targets if name.startswith(group)]
    cluster.load_snapshot(names, snapshot, shards)


@when(parse_step('{group} drops snapshot {snapshot:d}'))
def drop_snapshot(cluster: world.World, group: str, snapshot: int) -> None:
    for name, target in cluster.targets.items():
        if name.startswith(group):
            target.drop_snapshot(snapshot)


@when(
    parse_step(
        'the targets of {group} restart in turn, each after a drain of '
        '{seconds:g} s, under {rate:d} {name} queries a second'
    )
)
def restart_in_turn(
    cluster: world.World, group: str, seconds: float, rate: int, name: str
) -> None:
    for target in list_targets(cluster, group):
        start_leaving(cluster, target)
        submit_over_time(cluster, int(rate * seconds), name, seconds)
        target.back_at = cluster.clock.now
        lose_target(cluster, target)
        restore_target(cluster, target)


@when(
    parse_step(
        'the targets of {group} change in turn to snapshot {snapshot:d} in '
        '{shards:d} shards, each {seconds:g} s, under {rate:d} {name} '
        'queries a second'
    )
)
def change_in_turn(
    cluster: world.World,
    group: str,
    snapshot: int,
    shards: int,
    seconds: float,
    rate: int,
    name: str,
) -> None:
    for index, target in enumerate(list_targets(cluster, group)):
        target.drop_snapshot(snapshot - 1)
        target.add_shard(snapshot, index % shards, shards)
        submit_over_time(cluster, int(rate * seconds), name, seconds)


@when(parse_step('the watchers of {data_centre} are cut off from the platform'))
def cut_watchers(cluster: world.World, data_centre: str) -> None:
    for host in cluster.hosts.values():
        if host.is_watcher and host.data_centre == data_centre:
            cluster.cut_links.add(frozenset((host.name, world.PLATFORM)))


@when(parse_step('{one} is cut off from {other}'))
def cut_link(cluster: world.World, one: str, other: str) -> None:
    cluster.cut_links.add(frozenset((one, other)))


@when(parse_step('{one} reaches {other} again'))
def restore_link(cluster: world.World, one: str, other: str) -> None:
    cluster.cut_links.discard(frozenset((one, other)))


@when(parsers.re('the platform (?P<event>.+)$'))
def order_platform(cluster: world.World, event: str) -> None:
    cluster.platform.control(PLATFORM_ORDERS[event])


@when(parse_step('host {name} is paused'))
def pause_host(cluster: world.World, name: str) -> None:
    cluster.clock.frozen.add(name)
    cluster.once_paused.add(name)


@when(parse_step('host {name} goes on'))
def resume_host(cluster: world.World, name: str) -> None:
    cluster.hosts[name].resume()


@when(parse_step('host {name} is killed'))
def kill_host(cluster: world.World, name: str) -> None:
    cluster.hosts[name].alive = False
    cluster.clock.kill(name)


@when(parse_step('host {name} starts anew'))
def restart_host(cluster: world.World, name: str) -> None:
    cluster.add_host(name, cluster.hosts[name].data_centre)


@when(parse_step('refund {name} is asked at {host}'))
def submit_refund(cluster: world.World, name: str, host: str) -> None:
    request_id = cluster.request_ids.setdefault(name, cluster.make_request_id())
    cluster.submit_query(host, 'refund', request_id, key=name)


@when(parse_step('the claim of refund {name} is written'))
def wait_for_claim(cluster: world.World, name: str) -> None:
    while cluster.request_ids[name] not in cluster.read_claims():
        cluster.clock.run(0.001)


@when(parse_step('host {name} starts in {data_centre}'))
def start_host(cluster: world.World, name: str, data_centre: str) -> None:
    cluster.add_host(name, data_centre)


@when(parse_step('operator {name} labels {group} {key}={value}'))
def label_group(
    cluster: world.World, name: str, group: str, key: str, value: str
) -> None:
    change = changes.LabelGroup(group, ((key, value),))
    cluster.outcomes[name] = cluster.commit_change(name, change)


@when(
    parse_step(
        'operator {name} labels {group} {key}={value} just before {other} does'
    )
)
def label_just_before(
    cluster: world.World,
    name: str,
    group: str,
    key: str,
    value: str,
    other: str,
) -> None:
    del other
    cluster.operator_pool.before_write = functools.partial(
        label_group, cluster, name, group, key, value
    )


@when(parse_step('{count:d} failures come in an order drawn from {seed:d}'))
def inject_failures(cluster: world.World, count: int, seed: int) -> None:
    rng = random.Random(seed)
    for number in range(count):
        rng.choice(FAILURES)(cluster, rng)
        serving = [host.name for host in cluster.hosts.values() if host.alive]
        submit_refund(cluster, f'R{number // 3}', rng.choice(serving))
        submit_next(cluster, 'gate-lookup', number)
        cluster.clock.run(rng.choice((0, 0.002, 0.01, 0.3, 4)))
    for name in tuple(cluster.clock.frozen):
        resume_host(cluster, name)
    cluster.cut_links.clear()
    order_platform(cluster, 'is up again')
    order_platform(cluster, 'is quick again')
    cluster.clock.run(STARTUP_S)


def disturb_target(cluster: world.World, rng: random.Random) -> None:
    target = cluster.targets[rng.choice(list(cluster.targets))]
    events = [
        event for name, event in TARGET_EVENTS.items() if 'leav' not in name
    ]
    rng.choice(events)(cluster, target)


def disturb_platform(cluster: world.World, rng: random.Random) -> None:
    order_platform(
        cluster,
        rng.choice([name for name in PLATFORM_ORDERS if 'cop' not in name]),
    )


def disturb_host(cluster: world.World, rng: random.Random) -> None:
    name = rng.choice(list(cluster.hosts))
    if name in cluster.clock.frozen:
        resume_host(cluster, name)
    elif cluster.hosts[name].alive:
        rng.choice((pause_host, pause_host, kill_host))(cluster, name)
    else:
        restart_host(cluster, name)


def cut_random_link(cluster: world.World, rng: random.Random) -> None:
    sites = (world.PLATFORM, 'Odori', *cluster.hosts)
    cut_link(cluster, *rng.sample(sites, 2))


def replace_snapshot(cluster: world.World, rng: random.Random) -> None:
    # A snapshot number always means the same partition of the same index.
    snapshots = {
        key[0] for target in cluster.targets.values() for key in target.holdings
    }
    newest = max(snapshots, default=1)
    load_snapshot(cluster, 'turnstile', newest + 1, rng.choice((2, 3, 4)))
    drop_snapshot(cluster, 'turnstile', newest - 1)


FAILURES: Final = (
    disturb_target,
    disturb_platform,
    disturb_host,
    cut_random_link,
    replace_snapshot,
)
