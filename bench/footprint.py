"""Measure what one host's decisions hold and cost at the size aimed at.

No sockets and no processes: one host's state is built for a data centre of
the size that the users aim at, and each kind of event is timed on it.
"""

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import dispatch, states
from fuchsiahaven.core.targets import messages, snapshots

CENTRE: Final = 'Quilicura'
REPLICAS: Final = 12
CAP: Final = 25
POSITIONS: Final = 65_536
GROUPS: Final = 9
CHANGES: Final = 9
MICROSECONDS: Final = 1e6
LOAD: Final = messages.Load(0, 0, 2)


class Size(NamedTuple):
    """Say how large the data centre is."""

    hosts: int
    shards: int


class Footprint(NamedTuple):
    """Hold the figures of one size; times are processor time."""

    hosts: int
    targets: int
    bytes_per_target: float
    start_ms: float
    change_ms: float
    member_ms: float
    report_us: float
    longest_event_ms: float


class _Clocked:
    """Drive one host's decisions and time each event."""

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.now = 1000.0
        self.longest = 0.0

    def tell(self, event: messages.Event) -> float:
        """Let an event happen; return its processor time in seconds."""
        began = time.process_time()
        handled = dispatch.handle_event(self.state, event, self.now)
        self.state = handled[0]
        took = time.process_time() - began
        self.longest = max(self.longest, took)
        return took

    def settle(self) -> float:
        """Let the timers of ten seconds go off; return processor time."""
        took = 0.0
        for _ in range(1000):
            self.now += 0.01
            took += self.tell(messages.Tick())
        return took


def measure(size: Size) -> Footprint:
    """Measure one size."""
    # Following each allocation is slow, so it is done on a run of its own.
    tracemalloc.start()
    followed = _start(size)[0]
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    followed.state.tables.timers.clear()
    clocked, configuration, start_s = _start(size)
    quiet = clocked.settle()
    change_s = statistics.median(_time_changes(clocked, configuration))
    member_s = statistics.median(_time_members(clocked, size, quiet))
    names = list(clocked.state.tables.targets)
    report_s = sum(map(clocked.tell, _report_all(size, names, 99))) / len(names)
    return Footprint(
        size.hosts,
        len(names),
        round(grown / len(names)),
        round(start_s * 1000, 1),
        round(change_s * 1000, 1),
        round(member_s * 1000, 1),
        round(report_s * MICROSECONDS, 1),
        round(clocked.longest * 1000, 1),
    )


def _start(
    size: Size,
) -> tuple[_Clocked, configurations.Configuration, float]:
    draw = random.Random(1).random
    state = states.make_state(CENTRE, draw)._replace(own_name='host-0')
    clocked = _Clocked(state)
    configuration = _configure(size)
    hosts = tuple(f'host-{number}' for number in range(size.hosts))
    took = clocked.tell(messages.MembersChanged(hosts))
    took += clocked.tell(messages.ConfigurationReceived(configuration))
    names = [target.name for target in _list_targets(configuration)]
    took += sum(map(clocked.tell, _report_all(size, names, 1)))
    return clocked, configuration, took + clocked.settle()


def _time_changes(
    clocked: _Clocked, configuration: configurations.Configuration
) -> Iterable[float]:
    for number in range(CHANGES):
        label = ('tier', f'{number}')
        first = configuration.groups[0]._replace(labels=(label,))
        configuration = configuration._replace(
            revision=configuration.revision + 1,
            groups=(first, *configuration.groups[1:]),
        )
        # No seat moves, so nothing but probes comes of it later.
        yield clocked.tell(messages.ConfigurationReceived(configuration))


def _time_members(
    clocked: _Clocked, size: Size, quiet: float
) -> Iterable[float]:
    for number in range(CHANGES):
        hosts = [f'host-{each}' for each in range(size.hosts)]
        hosts[-1] = f'newcomer-{number}'
        took = clocked.tell(messages.MembersChanged(tuple(hosts)))
        yield took + max(0.0, clocked.settle() - quiet)


def _configure(size: Size) -> configurations.Configuration:
    groups = []
    for number in range(GROUPS):
        shards = range(number, size.shards, GROUPS)
        targets = tuple(
            configurations.Target(
                f'group-{number}-{shard}/{copy}',
                f'10.{number}.{shard % 250}.{copy}:{8000 + shard}',
                CENTRE,
            )
            for shard in shards
            for copy in range(REPLICAS)
        )
        labels = (('part', f'{number}'),)
        groups.append(
            configurations.Group(f'group-{number}', labels, targets, 2, CAP)
        )
    one = configurations.RequestClass('search')
    selector = configurations.Selector('search', 'search', 'part')
    return configurations.Configuration(1, tuple(groups), (selector,), (one,))


def _list_targets(
    configuration: configurations.Configuration,
) -> Iterable[configurations.Target]:
    for group in configuration.groups:
        yield from group.targets


def _report_all(
    size: Size, names: list[str], sequence: int
) -> Iterable[messages.TargetProbed]:
    for name in names:
        group, shard = map(int, name.partition('/')[0].split('-')[1:])
        shards = len(range(group, size.shards, GROUPS))
        place = (shard - group) // GROUPS
        low = POSITIONS * place // shards
        high = POSITIONS * (place + 1) // shards
        holding = snapshots.Holding(1, place, shards, low, high)
        health = messages.Health(
            name, messages.TargetState.LIVE, 1.0, sequence, LOAD, (holding,)
        )
        yield messages.TargetProbed(name, health)


def main(write: Callable[[str], None]) -> None:
    """Measure the sizes of a quarter, a half and the whole."""
    for size in (Size(8, 68), Size(28, 68), Size(55, 135), Size(110, 270)):
        write(json.dumps(measure(size)._asdict()))
