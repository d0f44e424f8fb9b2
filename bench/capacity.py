"""Work out from measured slopes what each role costs at the size aimed at.

`python -m bench capacity` reads `bench/slopes.json` and prints the table of
docs/CAPACITY.md. Every line shows its arithmetic.
"""

import json
import statistics
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

SLOPES: Final = Path(__file__).with_name('slopes.json')
DAY_S: Final = 86_400
KIB: Final = 1024
MIB: Final = 1024 * 1024
#: The deal of seats gives each host this many replicas of a shard.
REPLICAS_DEALT: Final = 2
#: The platform takes several hundred writes a second.
CLAIM_WRITES_S: Final = 300


SERVING: Final = 'host, serving'
CONTROL: Final = 'host, control'
PLATFORM: Final = 'platform service'

Slopes = dict[str, Any]


class Size(NamedTuple):
    """Hold the size that the users aim at."""

    nodes: int = 3100
    searchers: int = 91_000
    data_centres: int = 28
    queries_s: float = 2.8e6
    fan_out: int = 270
    changes_day: int = 51_000
    fails_day: int = 260
    restarts_day: int = 9400

    @property
    def hosts(self) -> float:
        """Count the hosts of one data centre."""
        return self.nodes / self.data_centres

    @property
    def targets(self) -> float:
        """Count the targets of one data centre."""
        return self.searchers / self.data_centres

    @property
    def changes_s(self) -> float:
        """Count the changes of configuration in a second."""
        return self.changes_day / DAY_S

    @property
    def member_events_s(self) -> float:
        """Count joins and leaves in one data centre in a second."""
        events = self.fails_day * 2 + self.restarts_day * 2
        return events / self.data_centres / DAY_S


class Line(NamedTuple):
    """Hold one line of the table."""

    role: str
    what: str
    arithmetic: str
    figure: str


def main(write: Callable[[str], None]) -> None:
    """Print the table."""
    slopes = json.loads(SLOPES.read_text(encoding='utf-8'))
    write('| role | what | arithmetic | at that size |\n|---|---|---|---|')
    for line in list_lines(Size(), slopes):
        write(f'| {" | ".join(line)} |')


def list_lines(size: Size, slopes: Slopes) -> Iterator[Line]:
    """Work out every line."""
    yield from _list_serving(size, slopes)
    yield from _list_member(size, slopes)
    yield from _list_platform(size, slopes)


def fit(points: dict[str, float], at: float) -> float:
    """Extend measured points by a straight line; one point stands alone."""
    places = [float(place) for place in points]
    if len(places) < 2:
        return statistics.mean(points.values())
    line = statistics.linear_regression(places, list(points.values()))
    return line.intercept + line.slope * at


def _list_serving(size: Size, slopes: Slopes) -> Iterator[Line]:
    role = SERVING
    queries = size.queries_s / size.nodes
    parts = queries * size.fan_out
    yield Line(
        role,
        'sub-requests a second',
        f'{size.queries_s:,.0f} / {size.nodes} x {size.fan_out}',
        f'{parts:,.0f}',
    )
    for name in ('sub_request_us_loop', 'sub_request_us_process'):
        cost = slopes[name]['value']
        yield Line(
            role,
            f'cores ({name})',
            f'{parts:,.0f} x {cost} us',
            f'{parts * cost / 1e6:,.0f}',
        )
    yield Line(
        role,
        'targets with a seat, at least',
        f'{size.fan_out} shards x {REPLICAS_DEALT} replicas',
        f'{size.fan_out * REPLICAS_DEALT:,}',
    )


def _list_member(size: Size, slopes: Slopes) -> Iterator[Line]:
    yield from _list_control_cpu(size, slopes)
    yield from _list_control_bytes(size, slopes)
    each = slopes['state_bytes_per_target']['value']
    yield Line(
        CONTROL,
        'memory of the decisions',
        f'{size.targets:,.0f} targets x {each} bytes',
        f'{size.targets * each / MIB:.1f} MB',
    )


def _list_control_cpu(size: Size, slopes: Slopes) -> Iterator[Line]:
    quiet = fit(slopes['quiet_cpu_percent']['value'], size.hosts)
    task = fit(slopes['change_cpu_ms']['value'], size.hosts)
    taken = slopes['change_dispatch_ms']['value']
    deal = slopes['member_dispatch_ms']['value']
    for_changes = size.changes_s * (task + taken) / 10
    for_members = size.member_events_s * deal / 10
    yield Line(
        CONTROL,
        'core at rest',
        f'line through the points, {size.hosts:.0f} hosts',
        f'{quiet:.2f} %',
    )
    yield Line(
        CONTROL,
        'core for changes',
        f'{size.changes_s:.2f}/s x ({task:.1f} + {taken}) ms',
        f'{for_changes:.2f} %',
    )
    yield Line(
        CONTROL,
        'core for members that come and go',
        f'{size.member_events_s:.4f}/s x {deal} ms',
        f'{for_members:.2f} %',
    )
    yield Line(
        CONTROL,
        'core, sum (2.8 % allowed)',
        'the three above',
        f'{quiet + for_changes + for_members:.2f} %',
    )


def _list_control_bytes(size: Size, slopes: Slopes) -> Iterator[Line]:
    gossip = fit(slopes['quiet_peer_bytes_s']['value'], size.hosts)
    for kind, name in (
        ('mean host', 'change_peer_bytes'),
        ('host with the most', 'change_peer_bytes_most'),
    ):
        spread = fit(slopes[name]['value'], size.hosts)
        total = gossip + size.changes_s * spread
        yield Line(
            CONTROL,
            f'bytes a second between hosts, {kind}',
            f'{gossip:,.0f} + {size.changes_s:.2f}/s x {spread:,.0f}',
            f'{total / KIB:.2f} KB',
        )
    yield from _list_watcher(size, slopes)


def _list_watcher(size: Size, slopes: Slopes) -> Iterator[Line]:
    # A watcher reads the whole manifest for each change, so its costs grow
    # with the targets that stand in it: here those of one data centre.
    role = 'host, watcher'
    cost = fit(slopes['change_cpu_ms_watcher']['value'], size.targets)
    yield Line(
        role,
        'core for changes, in place of the above',
        f'{size.changes_s:.2f}/s x {cost:.1f} ms',
        f'{size.changes_s * cost / 10:.2f} %',
    )
    read = fit(slopes['change_platform_bytes_watcher']['value'], size.targets)
    yield Line(
        role,
        'bytes a second from the platform, besides',
        f'{size.changes_s:.2f}/s x {read:,.0f}',
        f'{size.changes_s * read / KIB:.2f} KB',
    )


def _list_platform(size: Size, slopes: Slopes) -> Iterator[Line]:
    calls = slopes['editor_calls_per_change']['value']
    watch = slopes['watcher_calls_per_change']['value']
    rest = fit(slopes['quiet_calls_minute']['value'], size.hosts)
    yield Line(
        PLATFORM,
        'calls of commands, a second',
        f'{size.changes_s:.2f}/s x {calls}',
        f'{size.changes_s * calls:.1f}',
    )
    yield Line(
        PLATFORM,
        'calls of watchers, a second',
        f'{size.changes_s:.2f}/s x {size.data_centres} x {watch}',
        f'{size.changes_s * size.data_centres * watch:.0f}',
    )
    yield Line(
        PLATFORM,
        'calls of all hosts at rest, a second',
        f'{size.data_centres} x {rest:.0f} / 60',
        f'{size.data_centres * rest / 60:.0f}',
    )
    for rate, each in slopes['claims_per_write']['value'].items():
        yield Line(
            PLATFORM,
            f'claims a second in {CLAIM_WRITES_S} writes, as at {rate}/s',
            f'{CLAIM_WRITES_S} x {each}',
            f'{CLAIM_WRITES_S * each:,.0f}',
        )
