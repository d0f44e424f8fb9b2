"""Say what the steps of the scenarios do."""

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
    'may be partial': lambda one: one,
    'must be complete': lambda one: one._replace(
        needs=configurations.Needs.COMPLETE
    ),
    'runs at most once': lambda one: one._replace(
        needs=configurations.Needs.COMPLETE,
        repeat=configurations.Repeat.AT_MOST_ONCE,
        fan_out=configurations.FanOut.KEYED,
        hedge_share=0.0,
    ),
}
STARTUP_S: Final = 3.0
IN_FLIGHT_S: Final = 0.002
LEAVING: Final = messages.TargetState.LEAVING


def lose_target(stage: world.World, target: fakes.Target) -> None:
    stage.lose_target(target.config.name)


def restore_target(stage: world.World, target: fakes.Target) -> None:
    target.restart()
    stage.lost_targets.discard(target.config.name)


def freeze(stage: world.World, target: fakes.Target) -> None:
    target.frozen = True


def thaw(stage: world.World, target: fakes.Target) -> None:
    target.thaw()


def cross_answers(stage: world.World, target: fakes.Target) -> None:
    target.crosses_answers = True


def hide_load(stage: world.World, target: fakes.Target) -> None:
    target.reports_load = False


def start_leaving(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    target.enter_state(LEAVING)


def list_as_leaving(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    stage.publish_host_list(leaving=target.config.name)


def mark_as_leaving(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    group = target.config.name.rpartition('-')[0]
    stage.commit_change(
        'ana', changes.MarkLeaving(group, (target.config.name,))
    )


def drop_answers(stage: world.World, target: fakes.Target) -> None:
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

#: What the platform does, as orders to its stand-in.
PLATFORM_ORDERS: Final[Mapping[str, dict[str, object]]] = {
    'goes down': {'down': True},
    'is up again': {'down': False},
    'is too slow to answer': {'slow_s': 30.0},
    'is quick again': {'slow_s': 0.0},
    'loses the answer to the next write': {'lose_writes': 1},
    'is copied': {'save': True},
    'is put back to the copy': {'restore': True},
}


@pytest.fixture(name='stage')
def make_stage(monkeypatch: pytest.MonkeyPatch) -> world.World:
    """Make an empty world, whose time is also the adapters' time of day."""
    stage = world.World()

    class Time:
        time = staticmethod(lambda: stage.clock.now)

    monkeypatch.setattr(target_protocol, 'time', Time)
    return stage


def parse_step(text: str) -> Any:
    """Read the words of a step, with named fields."""
    return parsers.parse(text)


def split_names(names: str) -> list[str]:
    """Read names in a list such as `a, b and c`."""
    return re.split(', | and ', names)


def get_target(stage: world.World, group: str, number: int) -> fakes.Target:
    """Find a target by its number in its group."""
    return stage.targets[f'{group}-{number:02}']


def list_targets(stage: world.World, group: str) -> list[fakes.Target]:
    """List the targets of a group."""
    return [
        target
        for name, target in stage.targets.items()
        if name.startswith(f'{group}-')
    ]


@given(parse_step('a group {name} of {count:d} targets in {place}'))
def add_group(stage: world.World, name: str, count: int, place: str) -> None:
    stage.add_group(name, count, count // 2, place)


@given(
    parse_step('a class {name} that {kind}, within {ms:d} ms, over {groups}')
)
def add_class(
    stage: world.World, name: str, kind: str, ms: int, groups: str
) -> None:
    stage.add_class(
        CLASS_KINDS[kind](RequestClass(name, ms)), split_names(groups)
    )


@given(parse_step('hosts {names} in {place}'))
def add_hosts(stage: world.World, names: str, place: str) -> None:
    for name in split_names(names):
        stage.add_host(name, place)


@given('all of it runs')
def start_all(stage: world.World) -> None:
    outcome = stage.commit_change(
        'setup', changes.ReplaceConfiguration(stage.configuration)
    )
    assert isinstance(outcome, proposals.ChangeAccepted), outcome
    stage.clock.run(STARTUP_S)


@when(parse_step('{count:d} {name} queries arrive in {seconds:g} s'))
def submit_over_time(
    stage: world.World, count: int, name: str, seconds: float
) -> None:
    for number in range(count):
        submit_next(stage, name, number)
        stage.clock.run(seconds / count)


@when(parse_step('{count:d} {name} queries are under way'))
def submit_at_once(stage: world.World, count: int, name: str) -> None:
    for number in range(count):
        submit_next(stage, name, number)
    stage.clock.run(IN_FLIGHT_S)


def submit_next(stage: world.World, name: str, number: int) -> None:
    serving = [host.name for host in stage.hosts.values() if host.alive]
    stage.submit_query(
        serving[number % len(serving)], name, key=f'key-{number}'
    )


@when(parse_step('{seconds:g} s pass'))
def pass_time(stage: world.World, seconds: float) -> None:
    stage.clock.run(seconds)


@when(parsers.re(r'searcher (?P<number>\d+) of (?P<group>\S+) (?P<event>\D+)$'))
def apply_target_event(
    stage: world.World, number: str, group: str, event: str
) -> None:
    TARGET_EVENTS[event](stage, get_target(stage, group, int(number)))


@when(
    parse_step('searcher {number:d} of {group} answers {factor:g} times slower')
)
def slow_down(
    stage: world.World, number: int, group: str, factor: float
) -> None:
    get_target(stage, group, number).slowdown = factor


@when(parse_step('searcher {number:d} of {group} reports {seconds:g} s late'))
def delay_reports(
    stage: world.World, number: int, group: str, seconds: float
) -> None:
    get_target(stage, group, number).report_lag_s = seconds


@when(parse_step('{group} loads snapshot {snapshot:d} in {shards:d} shards'))
def load_snapshot(
    stage: world.World, group: str, snapshot: int, shards: int
) -> None:
    names = [name for name in stage.targets if name.startswith(group)]
    stage.load_snapshot(names, snapshot, shards)


@when(parse_step('{group} drops snapshot {snapshot:d}'))
def drop_snapshot(stage: world.World, group: str, snapshot: int) -> None:
    for name, target in stage.targets.items():
        if name.startswith(group):
            target.drop_snapshot(snapshot)


@when(
    parse_step(
        'the targets of {group} restart in turn, each after a drain of '
        '{seconds:g} s, under {rate:d} {name} queries a second'
    )
)
def restart_in_turn(
    stage: world.World, group: str, seconds: float, rate: int, name: str
) -> None:
    for target in list_targets(stage, group):
        start_leaving(stage, target)
        submit_over_time(stage, int(rate * seconds), name, seconds)
        target.back_at = stage.clock.now
        lose_target(stage, target)
        restore_target(stage, target)


@when(
    parse_step(
        'the targets of {group} change in turn to snapshot {snapshot:d} in '
        '{shards:d} shards, each {seconds:g} s, under {rate:d} {name} '
        'queries a second'
    )
)
def change_in_turn(
    stage: world.World,
    group: str,
    snapshot: int,
    shards: int,
    seconds: float,
    rate: int,
    name: str,
) -> None:
    for index, target in enumerate(list_targets(stage, group)):
        target.drop_snapshot(snapshot - 1)
        target.add_shard(snapshot, index % shards, shards)
        submit_over_time(stage, int(rate * seconds), name, seconds)


@when(parse_step('the watchers of {place} are cut off from the platform'))
def cut_watchers(stage: world.World, place: str) -> None:
    for host in stage.hosts.values():
        if host.is_watcher and host.data_centre == place:
            stage.cut_links.add(frozenset((host.name, world.PLATFORM)))


@when(parse_step('{one} is cut off from {other}'))
def cut_link(stage: world.World, one: str, other: str) -> None:
    stage.cut_links.add(frozenset((one, other)))


@when(parse_step('{one} reaches {other} again'))
def restore_link(stage: world.World, one: str, other: str) -> None:
    stage.cut_links.discard(frozenset((one, other)))


@when(parsers.re('the platform (?P<event>.+)$'))
def order_platform(stage: world.World, event: str) -> None:
    stage.platform.control(PLATFORM_ORDERS[event])


@when(parse_step('host {name} is paused'))
def pause_host(stage: world.World, name: str) -> None:
    stage.clock.frozen.add(name)
    stage.once_paused.add(name)


@when(parse_step('host {name} goes on'))
def resume_host(stage: world.World, name: str) -> None:
    stage.hosts[name].resume()


@when(parse_step('host {name} is killed'))
def kill_host(stage: world.World, name: str) -> None:
    stage.hosts[name].alive = False
    stage.clock.kill(name)


@when(parse_step('host {name} starts anew'))
def restart_host(stage: world.World, name: str) -> None:
    stage.add_host(name, stage.hosts[name].data_centre)


@when(parse_step('refund {name} is asked at {host}'))
def submit_refund(stage: world.World, name: str, host: str) -> None:
    request_id = stage.request_ids.setdefault(name, stage.make_request_id())
    stage.submit_query(host, 'refund', request_id, key=name)


@when(parse_step('the claim of refund {name} is written'))
def wait_for_claim(stage: world.World, name: str) -> None:
    while stage.request_ids[name] not in stage.read_claims():
        stage.clock.run(0.001)


@when(parse_step('host {name} starts in {place}'))
def start_host(stage: world.World, name: str, place: str) -> None:
    stage.add_host(name, place)


@when(parse_step('operator {name} labels {group} {key}={value}'))
def label_group(
    stage: world.World, name: str, group: str, key: str, value: str
) -> None:
    change = changes.LabelGroup(group, ((key, value),))
    stage.outcomes[name] = stage.commit_change(name, change)


@when(
    parse_step(
        'operator {name} labels {group} {key}={value} just before {other} does'
    )
)
def label_just_before(
    stage: world.World, name: str, group: str, key: str, value: str, other: str
) -> None:
    del other
    stage.operator_pool.before_write = functools.partial(
        label_group, stage, name, group, key, value
    )


@when(parse_step('{count:d} failures come in an order drawn from {seed:d}'))
def inject_failures(stage: world.World, count: int, seed: int) -> None:
    rng = random.Random(seed)
    for number in range(count):
        rng.choice(FAILURES)(stage, rng)
        serving = [host.name for host in stage.hosts.values() if host.alive]
        submit_refund(stage, f'R{number // 3}', rng.choice(serving))
        submit_next(stage, 'gate-lookup', number)
        stage.clock.run(rng.choice((0, 0.002, 0.01, 0.3, 4)))
    for name in tuple(stage.clock.frozen):
        resume_host(stage, name)
    stage.cut_links.clear()
    order_platform(stage, 'is up again')
    order_platform(stage, 'is quick again')
    stage.clock.run(STARTUP_S)


def disturb_target(stage: world.World, rng: random.Random) -> None:
    target = stage.targets[rng.choice(list(stage.targets))]
    events = [
        event for name, event in TARGET_EVENTS.items() if 'leav' not in name
    ]
    rng.choice(events)(stage, target)


def disturb_platform(stage: world.World, rng: random.Random) -> None:
    order_platform(
        stage,
        rng.choice([name for name in PLATFORM_ORDERS if 'cop' not in name]),
    )


def disturb_host(stage: world.World, rng: random.Random) -> None:
    name = rng.choice(list(stage.hosts))
    if name in stage.clock.frozen:
        resume_host(stage, name)
    elif stage.hosts[name].alive:
        rng.choice((pause_host, pause_host, kill_host))(stage, name)
    else:
        restart_host(stage, name)


def cut_random_link(stage: world.World, rng: random.Random) -> None:
    places = (world.PLATFORM, 'Odori', *stage.hosts)
    cut_link(stage, *rng.sample(places, 2))


def replace_snapshot(stage: world.World, rng: random.Random) -> None:
    # A number stands for one partition of one index for ever.
    snapshots = {
        key[0] for target in stage.targets.values() for key in target.holdings
    }
    newest = max(snapshots, default=1)
    load_snapshot(stage, 'turnstile', newest + 1, rng.choice((2, 3, 4)))
    drop_snapshot(stage, 'turnstile', newest - 1)


FAILURES: Final = (
    disturb_target,
    disturb_platform,
    disturb_host,
    cut_random_link,
    replace_snapshot,
)
