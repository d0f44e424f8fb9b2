"""Extrapolate the cost of each role to the intended size.

`python -m bench capacity` reads the measured slopes in `bench/slopes.json` and
prints the table of docs/CAPACITY.md. Each row shows its arithmetic.
"""

import json
import statistics
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

SLOPES_PATH: Final = Path(__file__).with_name('slopes.json')
DAY_S: Final = 86_400
KIB: Final = 1024
MIB: Final = 1024 * 1024
#: The allocator connects each host to this many replicas of a shard.
REPLICAS_PER_HOST: Final = 2
#: The platform accepts several hundred writes per second.
CLAIM_WRITES_PER_S: Final = 300


SERVING: Final = 'host, serving'
CONTROL: Final = 'host, control'
PLATFORM: Final = 'platform service'

Slopes = dict[str, Any]


class CapacityTarget(NamedTuple):
    """State the deployment size that the users intend to reach."""

    nodes: int = 3100
    searchers: int = 91_000
    data_centres: int = 28
    queries_per_s: float = 2.8e6
    fan_out: int = 270
    changes_per_day: int = 51_000
    failures_per_day: int = 260
    restarts_per_day: int = 9400

    @property
    def hosts(self) -> float:
        """Return the mean number of hosts per data centre."""
        return self.nodes / self.data_centres

    @property
    def targets(self) -> float:
        """Return the mean number of targets per data centre."""
        return self.searchers / self.data_centres

    @property
    def changes_per_s(self) -> float:
        """Return the configuration changes per second."""
        return self.changes_per_day / DAY_S

    @property
    def member_events_per_s(self) -> float:
        """Return the joins and leaves per second in one data centre."""
        events = self.failures_per_day * 2 + self.restarts_per_day * 2
        return events / self.data_centres / DAY_S


class TableRow(NamedTuple):
    """Hold one row of the table."""

    role: str
    quantity: str
    arithmetic: str
    value: str


def main(write: Callable[[str], None]) -> None:
    """Print the capacity table as Markdown."""
    slopes = json.loads(SLOPES_PATH.read_text(encoding='utf-8'))
    write('| role | what | arithmetic | at that size |\n|---|---|---|---|')
    for row in list_rows(CapacityTarget(), slopes):
        write(f'| {" | ".join(row)} |')


def list_rows(size: CapacityTarget, slopes: Slopes) -> Iterator[TableRow]:
    """Compute every row of the table."""
    yield from _list_serving(size, slopes)
    yield from _list_control(size, slopes)
    yield from _list_platform(size, slopes)


def extrapolate(points: dict[str, float], size: float) -> float:
    """Extrapolate measured points linearly; a single point is a constant."""
    sizes = [float(place) for place in points]
    if len(sizes) < 2:
        return statistics.mean(points.values())
    line = statistics.linear_regression(sizes, list(points.values()))
    return line.intercept + line.slope * size


def _list_serving(size: CapacityTarget, slopes: Slopes) -> Iterator[TableRow]:
    role = SERVING
    queries = size.queries_per_s / size.nodes
    sub_requests = queries * size.fan_out
    yield TableRow(
        role,
        'sub-requests a second',
        f'{size.queries_per_s:,.0f} / {size.nodes} x {size.fan_out}',
        f'{sub_requests:,.0f}',
    )
    for name in ('sub_request_us_loop', 'sub_request_us_process'):
        cost = slopes[name]['value']
        yield TableRow(
            role,
            f'cores ({name})',
            f'{sub_requests:,.0f} x {cost} us',
            f'{sub_requests * cost / 1e6:,.0f}',
        )
    yield TableRow(
        role,
        'targets with a seat, at least',
        f'{size.fan_out} shards x {REPLICAS_PER_HOST} replicas',
        f'{size.fan_out * REPLICAS_PER_HOST:,}',
    )


def _list_control(size: CapacityTarget, slopes: Slopes) -> Iterator[TableRow]:
    yield from _list_control_cpu(size, slopes)
    yield from _list_control_bytes(size, slopes)
    target_bytes = slopes['state_bytes_per_target']['value']
    yield TableRow(
        CONTROL,
        'memory of the decisions',
        f'{size.targets:,.0f} targets x {target_bytes} bytes',
        f'{size.targets * target_bytes / MIB:.1f} MB',
    )


def _list_control_cpu(
    size: CapacityTarget, slopes: Slopes
) -> Iterator[TableRow]:
    idle_cpu = extrapolate(slopes['quiet_cpu_percent']['value'], size.hosts)
    task_ms = extrapolate(slopes['change_cpu_ms']['value'], size.hosts)
    dispatch_ms = slopes['change_dispatch_ms']['value']
    member_ms = slopes['member_dispatch_ms']['value']
    changes_cpu = size.changes_per_s * (task_ms + dispatch_ms) / 10
    members_cpu = size.member_events_per_s * member_ms / 10
    yield TableRow(
        CONTROL,
        'core at rest',
        f'line through the points, {size.hosts:.0f} hosts',
        f'{idle_cpu:.2f} %',
    )
    yield TableRow(
        CONTROL,
        'core for changes',
        f'{size.changes_per_s:.2f}/s x ({task_ms:.1f} + {dispatch_ms}) ms',
        f'{changes_cpu:.2f} %',
    )
    yield TableRow(
        CONTROL,
        'core for members that come and go',
        f'{size.member_events_per_s:.4f}/s x {member_ms} ms',
        f'{members_cpu:.2f} %',
    )
    yield TableRow(
        CONTROL,
        'core, sum (2.8 % allowed)',
        'the three above',
        f'{idle_cpu + changes_cpu + members_cpu:.2f} %',
    )


def _list_control_bytes(
    size: CapacityTarget, slopes: Slopes
) -> Iterator[TableRow]:
    gossip = extrapolate(slopes['quiet_peer_bytes_s']['value'], size.hosts)
    for kind, name in (
        ('mean host', 'change_peer_bytes'),
        ('host with the most', 'change_peer_bytes_most'),
    ):
        change_bytes = extrapolate(slopes[name]['value'], size.hosts)
        total = gossip + size.changes_per_s * change_bytes
        yield TableRow(
            CONTROL,
            f'bytes a second between hosts, {kind}',
            f'{gossip:,.0f} + {size.changes_per_s:.2f}/s x {change_bytes:,.0f}',
            f'{total / KIB:.2f} KB',
        )
    yield from _list_watcher(size, slopes)


def _list_watcher(size: CapacityTarget, slopes: Slopes) -> Iterator[TableRow]:
    # A watcher reads the whole manifest for each change, so its costs grow
    # with the number of targets in it: here those of one data centre.
    role = 'host, watcher'
    change_ms = extrapolate(
        slopes['change_cpu_ms_watcher']['value'], size.targets
    )
    yield TableRow(
        role,
        'core for changes, in place of the above',
        f'{size.changes_per_s:.2f}/s x {change_ms:.1f} ms',
        f'{size.changes_per_s * change_ms / 10:.2f} %',
    )
    change_bytes = extrapolate(
        slopes['change_platform_bytes_watcher']['value'], size.targets
    )
    yield TableRow(
        role,
        'bytes a second from the platform, besides',
        f'{size.changes_per_s:.2f}/s x {change_bytes:,.0f}',
        f'{size.changes_per_s * change_bytes / KIB:.2f} KB',
    )


def _list_platform(size: CapacityTarget, slopes: Slopes) -> Iterator[TableRow]:
    editor_calls = slopes['editor_calls_per_change']['value']
    watcher_calls = slopes['watcher_calls_per_change']['value']
    idle_calls = extrapolate(slopes['quiet_calls_minute']['value'], size.hosts)
    yield TableRow(
        PLATFORM,
        'calls of commands, a second',
        f'{size.changes_per_s:.2f}/s x {editor_calls}',
        f'{size.changes_per_s * editor_calls:.1f}',
    )
    yield TableRow(
        PLATFORM,
        'calls of watchers, a second',
        f'{size.changes_per_s:.2f}/s x {size.data_centres} x {watcher_calls}',
        f'{size.changes_per_s * size.data_centres * watcher_calls:.0f}',
    )
    yield TableRow(
        PLATFORM,
        'calls of all hosts at rest, a second',
        f'{size.data_centres} x {idle_calls:.0f} / 60',
        f'{size.data_centres * idle_calls / 60:.0f}',
    )
    for rate, claims_per_write in slopes['claims_per_write']['value'].items():
        yield TableRow(
            PLATFORM,
            f'claims a second in {CLAIM_WRITES_PER_S} writes, as at {rate}/s',
            f'{CLAIM_WRITES_PER_S} x {claims_per_write}',
            f'{CLAIM_WRITES_PER_S * claims_per_write:,.0f}',
        )
