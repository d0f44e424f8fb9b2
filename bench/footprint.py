"""Measure the memory and time of a host's decisions at the intended size.

No sockets and no processes: the state of one host is built for a data centre
of the size that the users intend, and each kind of event is timed on it.
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

DATA_CENTRE: Final = 'Quilicura'
REPLICAS: Final = 12
CONNECTIONS: Final = 25
POSITIONS: Final = 65_536
GROUPS: Final = 9
CHANGES: Final = 9
US_PER_S: Final = 1e6
LOAD: Final = messages.Load(0, 0, 2)


class Size(NamedTuple):
    """Hold the size of the data centre."""

    hosts: int
    shards: int


class Footprint(NamedTuple):
    """Hold the figures of one size; times are of the processor."""

    hosts: int
    targets: int
    bytes_per_target: float
    start_ms: float
    change_ms: float
    member_ms: float
    report_us: float
    longest_event_ms: float


class _TimedState:
    """Pass events to the state of one host and time each."""

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.now = 1000.0
        self.max_event_s = 0.0

    def handle(self, event: messages.Event) -> float:
        """Handle an event; return its processor time in seconds."""
        started_at = time.process_time()
        result = dispatch.handle_event(self.state, event, self.now)
        self.state = result[0]
        cpu_s = time.process_time() - started_at
        self.max_event_s = max(self.max_event_s, cpu_s)
        return cpu_s

    def run_timers(self) -> float:
        """Run the timers of ten seconds; return processor seconds."""
        cpu_s = 0.0
        for _ in range(1000):
            self.now += 0.01
            cpu_s += self.handle(messages.Tick())
        return cpu_s


def measure(size: Size) -> Footprint:
    """Measure one size."""
    # Tracing allocations is slow, so memory is measured in a separate run.
    tracemalloc.start()
    traced = _start(size)[0]
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    traced.state.tables.timers.clear()
    timed, configuration, start_s = _start(size)
    idle_s = timed.run_timers()
    change_s = statistics.median(_time_changes(timed, configuration))
    member_s = statistics.median(_time_members(timed, size, idle_s))
    names = list(timed.state.tables.targets)
    report_s = sum(map(timed.handle, _list_reports(size, names, 99))) / len(
        names
    )
    return Footprint(
        size.hosts,
        len(names),
        round(traced_bytes / len(names)),
        round(start_s * 1000, 1),
        round(change_s * 1000, 1),
        round(member_s * 1000, 1),
        round(report_s * US_PER_S, 1),
        round(timed.max_event_s * 1000, 1),
    )


def _start(
    size: Size,
) -> tuple[_TimedState, configurations.Configuration, float]:
    draw = random.Random(1).random
    state = states.make_state(DATA_CENTRE, draw)._replace(own_name='host-0')
    timed = _TimedState(state)
    configuration = _make_configuration(size)
    hosts = tuple(f'host-{number}' for number in range(size.hosts))
    cpu_s = timed.handle(messages.MembersChanged(hosts))
    cpu_s += timed.handle(messages.ConfigurationReceived(configuration))
    names = [target.name for target in _list_targets(configuration)]
    cpu_s += sum(map(timed.handle, _list_reports(size, names, 1)))
    return timed, configuration, cpu_s + timed.run_timers()


def _time_changes(
    timed: _TimedState, configuration: configurations.Configuration
) -> Iterable[float]:
    for number in range(CHANGES):
        label = ('tier', f'{number}')
        first = configuration.groups[0]._replace(labels=(label,))
        configuration = configuration._replace(
            revision=configuration.revision + 1,
            groups=(first, *configuration.groups[1:]),
        )
        # No connection moves, so only probes follow later.
        yield timed.handle(messages.ConfigurationReceived(configuration))


def _time_members(
    timed: _TimedState, size: Size, idle_s: float
) -> Iterable[float]:
    for number in range(CHANGES):
        hosts = [f'host-{each}' for each in range(size.hosts)]
        hosts[-1] = f'newcomer-{number}'
        cpu_s = timed.handle(messages.MembersChanged(tuple(hosts)))
        yield cpu_s + max(0.0, timed.run_timers() - idle_s)


def _make_configuration(size: Size) -> configurations.Configuration:
    groups = []
    for number in range(GROUPS):
        shards = range(number, size.shards, GROUPS)
        targets = tuple(
            configurations.Target(
                f'group-{number}-{shard}/{copy}',
                f'10.{number}.{shard % 250}.{copy}:{8000 + shard}',
                DATA_CENTRE,
            )
            for shard in shards
            for copy in range(REPLICAS)
        )
        labels = (('part', f'{number}'),)
        groups.append(
            configurations.Group(
                f'group-{number}', labels, targets, 2, CONNECTIONS
            )
        )
    request_class = configurations.RequestClass('search')
    selector = configurations.Selector('search', 'search', 'part')
    return configurations.Configuration(
        1, tuple(groups), (selector,), (request_class,)
    )


def _list_targets(
    configuration: configurations.Configuration,
) -> Iterable[configurations.Target]:
    for group in configuration.groups:
        yield from group.targets


def _list_reports(
    size: Size, names: list[str], sequence: int
) -> Iterable[messages.TargetProbed]:
    for name in names:
        group, shard = map(int, name.partition('/')[0].split('-')[1:])
        shards = len(range(group, size.shards, GROUPS))
        shard_index = (shard - group) // GROUPS
        low = POSITIONS * shard_index // shards
        high = POSITIONS * (shard_index + 1) // shards
        holding = snapshots.Holding(1, shard_index, shards, low, high)
        health = messages.Health(
            name, messages.TargetState.LIVE, 1.0, sequence, LOAD, (holding,)
        )
        yield messages.TargetProbed(name, health)


def main(write: Callable[[str], None]) -> None:
    """Print 8 hosts, and 1/4, 1/2 and all of the intended size, as JSON."""
    for size in (Size(8, 68), Size(28, 68), Size(55, 135), Size(110, 270)):
        write(json.dumps(measure(size)._asdict()))
