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
KINDS: Final[dict[str, Callable[[RequestClass], RequestClass]]] = {
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
START_S: Final = 3.0
UNDER_WAY_S: Final = 0.002
LEAVING: Final = messages.TargetState.LEAVING


def lose(stage: world.World, target: fakes.Target) -> None:
    stage.lose_target(target.config.name)


def bring_back(stage: world.World, target: fakes.Target) -> None:
    target.restart()
    stage.lost.discard(target.config.name)


def freeze(stage: world.World, target: fakes.Target) -> None:
    target.frozen = True


def thaw(stage: world.World, target: fakes.Target) -> None:
    target.thaw()


def cross(stage: world.World, target: fakes.Target) -> None:
    target.crossed = True


def mislead(stage: world.World, target: fakes.Target) -> None:
    target.shows_load = False


def leave(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    target.enter(LEAVING)


def list_as_leaving(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    stage.list_hosts(leaving=target.config.name)


def mark_as_leaving(stage: world.World, target: fakes.Target) -> None:
    target.left_at = stage.clock.now
    group = target.config.name.rpartition('-')[0]
    stage.change('ana', changes.MarkLeaving(group, (target.config.name,)))


def drop_answers(stage: world.World, target: fakes.Target) -> None:
    target.drops = True


EVENTS: Final[Mapping[str, Callable[[world.World, fakes.Target], None]]] = {
    'is lost': lose,
    'is back': bring_back,
    'freezes': freeze,
    'goes on': thaw,
    'gives each caller the answer before': cross,
    'breaks off once it has run': drop_answers,
    'reports no load': mislead,
    'begins to leave': leave,
    'is listed as leaving': list_as_leaving,
    'is marked as leaving': mark_as_leaving,
}

#: What the platform does, as orders to its stand-in.
ORDERS: Final[Mapping[str, dict[str, object]]] = {
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


def step(text: str) -> Any:
    """Read the words of a step, with named fields."""
    return parsers.parse(text)


def split(names: str) -> list[str]:
    """Read names in a list such as `a, b and c`."""
    return re.split(', | and ', names)


def find(stage: world.World, group: str, number: int) -> fakes.Target:
    """Find a target by its number in its group."""
    return stage.targets[f'{group}-{number:02}']


def list_targets(stage: world.World, group: str) -> list[fakes.Target]:
    """List the targets of a group."""
    return [
        target
        for name, target in stage.targets.items()
        if name.startswith(f'{group}-')
    ]


@given(step('a group {name} of {count:d} targets in {place}'))
def add_group(stage: world.World, name: str, count: int, place: str) -> None:
    stage.add_group(name, count, count // 2, place)


@given(step('a class {name} that {kind}, within {ms:d} ms, over {groups}'))
def add_class(
    stage: world.World, name: str, kind: str, ms: int, groups: str
) -> None:
    stage.add_class(KINDS[kind](RequestClass(name, ms)), split(groups))


@given(step('hosts {names} in {place}'))
def add_hosts(stage: world.World, names: str, place: str) -> None:
    for name in split(names):
        stage.add_host(name, place)


@given('all of it runs')
def start(stage: world.World) -> None:
    done = stage.change(
        'setup', changes.ReplaceConfiguration(stage.configuration)
    )
    assert isinstance(done, proposals.ChangeAccepted), done
    stage.clock.run(START_S)


@when(step('{count:d} {name} queries arrive in {seconds:g} s'))
def ask_over_time(
    stage: world.World, count: int, name: str, seconds: float
) -> None:
    for number in range(count):
        ask_next(stage, name, number)
        stage.clock.run(seconds / count)


@when(step('{count:d} {name} queries are under way'))
def ask_at_once(stage: world.World, count: int, name: str) -> None:
    for number in range(count):
        ask_next(stage, name, number)
    stage.clock.run(UNDER_WAY_S)


def ask_next(stage: world.World, name: str, number: int) -> None:
    serving = [host.name for host in stage.hosts.values() if host.alive]
    stage.ask(serving[number % len(serving)], name, key=f'key-{number}')


@when(step('{seconds:g} s pass'))
def pass_time(stage: world.World, seconds: float) -> None:
    stage.clock.run(seconds)


@when(parsers.re(r'searcher (?P<number>\d+) of (?P<group>\S+) (?P<event>\D+)$'))
def happen(stage: world.World, number: str, group: str, event: str) -> None:
    EVENTS[event](stage, find(stage, group, int(number)))


@when(step('searcher {number:d} of {group} answers {factor:g} times slower'))
def slow_down(
    stage: world.World, number: int, group: str, factor: float
) -> None:
    find(stage, group, number).factor = factor


@when(step('searcher {number:d} of {group} reports {seconds:g} s late'))
def lag(stage: world.World, number: int, group: str, seconds: float) -> None:
    find(stage, group, number).report_lag_s = seconds


@when(step('{group} loads snapshot {snapshot:d} in {shards:d} shards'))
def load(stage: world.World, group: str, snapshot: int, shards: int) -> None:
    names = [name for name in stage.targets if name.startswith(group)]
    stage.load_snapshot(names, snapshot, shards)


@when(step('{group} drops snapshot {snapshot:d}'))
def drop(stage: world.World, group: str, snapshot: int) -> None:
    for name, target in stage.targets.items():
        if name.startswith(group):
            target.drop(snapshot)


@when(
    step(
        'the targets of {group} restart in turn, each after a drain of '
        '{seconds:g} s, under {rate:d} {name} queries a second'
    )
)
def restart_in_turn(
    stage: world.World, group: str, seconds: float, rate: int, name: str
) -> None:
    for target in list_targets(stage, group):
        leave(stage, target)
        ask_over_time(stage, int(rate * seconds), name, seconds)
        target.back_at = stage.clock.now
        lose(stage, target)
        bring_back(stage, target)


@when(
    step(
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
    for place, target in enumerate(list_targets(stage, group)):
        target.drop(snapshot - 1)
        target.hold(snapshot, place % shards, shards)
        ask_over_time(stage, int(rate * seconds), name, seconds)


@when(step('the watchers of {place} are cut off from the platform'))
def cut_watchers(stage: world.World, place: str) -> None:
    for host in stage.hosts.values():
        if host.watches and host.data_centre == place:
            stage.cuts.add(frozenset((host.name, world.PLATFORM)))


@when(step('{one} is cut off from {other}'))
def cut(stage: world.World, one: str, other: str) -> None:
    stage.cuts.add(frozenset((one, other)))


@when(step('{one} reaches {other} again'))
def join(stage: world.World, one: str, other: str) -> None:
    stage.cuts.discard(frozenset((one, other)))


@when(parsers.re('the platform (?P<event>.+)$'))
def order(stage: world.World, event: str) -> None:
    stage.platform.control(ORDERS[event])


@when(step('host {name} is paused'))
def pause(stage: world.World, name: str) -> None:
    stage.clock.frozen.add(name)
    stage.stalled.add(name)


@when(step('host {name} goes on'))
def wake(stage: world.World, name: str) -> None:
    stage.hosts[name].wake()


@when(step('host {name} is killed'))
def kill(stage: world.World, name: str) -> None:
    stage.hosts[name].alive = False
    stage.clock.kill(name)


@when(step('host {name} starts anew'))
def start_anew(stage: world.World, name: str) -> None:
    stage.add_host(name, stage.hosts[name].data_centre)


@when(step('refund {name} is asked at {host}'))
def refund(stage: world.World, name: str, host: str) -> None:
    request_id = stage.ids.setdefault(name, stage.mint())
    stage.ask(host, 'refund', request_id, key=name)


@when(step('the claim of refund {name} is written'))
def await_claim(stage: world.World, name: str) -> None:
    while stage.ids[name] not in stage.read_claims():
        stage.clock.run(0.001)


@when(step('host {name} starts in {place}'))
def start_host(stage: world.World, name: str, place: str) -> None:
    stage.add_host(name, place)


@when(step('operator {name} labels {group} {key}={value}'))
def label(
    stage: world.World, name: str, group: str, key: str, value: str
) -> None:
    change = changes.LabelGroup(group, ((key, value),))
    stage.outcomes[name] = stage.change(name, change)


@when(
    step(
        'operator {name} labels {group} {key}={value} just before {other} does'
    )
)
def race(
    stage: world.World, name: str, group: str, key: str, value: str, other: str
) -> None:
    del other
    stage.line.interrupt = functools.partial(
        label, stage, name, group, key, value
    )


@when(step('{count:d} failures come in an order drawn from {seed:d}'))
def storm(stage: world.World, count: int, seed: int) -> None:
    draws = random.Random(seed)
    for number in range(count):
        draws.choice(STORM)(stage, draws)
        serving = [host.name for host in stage.hosts.values() if host.alive]
        refund(stage, f'R{number // 3}', draws.choice(serving))
        ask_next(stage, 'gate-lookup', number)
        stage.clock.run(draws.choice((0, 0.002, 0.01, 0.3, 4)))
    for name in tuple(stage.clock.frozen):
        wake(stage, name)
    stage.cuts.clear()
    order(stage, 'is up again')
    order(stage, 'is quick again')
    stage.clock.run(START_S)


def strike_target(stage: world.World, draws: random.Random) -> None:
    target = stage.targets[draws.choice(list(stage.targets))]
    events = [event for name, event in EVENTS.items() if 'leav' not in name]
    draws.choice(events)(stage, target)


def strike_platform(stage: world.World, draws: random.Random) -> None:
    order(stage, draws.choice([name for name in ORDERS if 'cop' not in name]))


def strike_host(stage: world.World, draws: random.Random) -> None:
    name = draws.choice(list(stage.hosts))
    if name in stage.clock.frozen:
        wake(stage, name)
    elif stage.hosts[name].alive:
        draws.choice((pause, pause, kill))(stage, name)
    else:
        start_anew(stage, name)


def strike_network(stage: world.World, draws: random.Random) -> None:
    places = (world.PLATFORM, 'Odori', *stage.hosts)
    cut(stage, *draws.sample(places, 2))


def strike_index(stage: world.World, draws: random.Random) -> None:
    # A number stands for one partition of one index for ever.
    held = {key[0] for one in stage.targets.values() for key in one.holdings}
    newest = max(held, default=1)
    load(stage, 'turnstile', newest + 1, draws.choice((2, 3, 4)))
    drop(stage, 'turnstile', newest - 1)


STORM: Final = (
    strike_target,
    strike_platform,
    strike_host,
    strike_network,
    strike_index,
)
