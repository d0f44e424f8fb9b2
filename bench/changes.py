"""Measure accepting changes: `python -m bench.changes`.

Prints the codec's times and sizes, then time and platform calls for each kind
of change against the platform's stand-in in a process of its own.
"""

import concurrent.futures
import contextlib
import json
import os
import statistics
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bench import worlds
from fuchsiahaven.core import rates, request_ids
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    manifests,
    proposals,
    transactions,
)
from fuchsiahaven.edge import config_client, store
from standins import wire

ROUNDS: Final = 15
CENTRES: Final = 28
TARGETS: Final = 3250
GROUPS: Final = 4
#: Far above the budget of a process, which one command does not reach.
RATE: Final = rates.Rate(100_000, burst=100_000)
LIMITS: Final = store.Limits(read_rate=RATE, write_rate=RATE)


class Case(NamedTuple):
    """Name a configuration and the changes that are made to it by turns."""

    name: str
    configuration: configurations.Configuration
    make: Callable[[int], changes.Change]


def main() -> None:
    """Print one line of JSON for each measurement."""
    if sys.argv[1:] == ['race']:
        measure_races(build(3, 24))
        return
    for centres in (1, CENTRES):
        show(measure_codec(build(centres, TARGETS // GROUPS)))
    small, large = build(3, 24), build(3, TARGETS // GROUPS)
    huge = build(CENTRES, TARGETS // GROUPS)
    cases = (
        Case('label, 288 targets', small, label),
        Case('label, 9,744 targets', large, label),
        Case('add a target, 9,744 targets', large, add_target),
        Case('drain, 9,744 targets', large, drain),
        Case('drain, data centre named', large, drain_there),
        Case('label, 90,944 targets', huge, label),
        Case('add a target, 90,944 targets', huge, add_target),
    )
    for case in cases:
        with contextlib.ExitStack() as stack:
            show(measure_changes(case, start_platform(stack)))
    measure_races(small)


def measure_manifest(platform: store.Store) -> int:
    """Return the bytes of the stored manifest, its last changes included."""
    found = platform.read(manifests.MANIFEST_KEY)
    return len(found.value.encode()) if found else 0


def measure_races(configuration: configurations.Configuration) -> None:
    """Measure operators who make changes at once."""
    for operators in (1, 2, 4, 8):
        with contextlib.ExitStack() as stack:
            url = start_platform(stack)
            show(measure_race(configuration, operators, url))


def show(row: dict[str, Any]) -> None:
    """Print one measurement."""
    print(json.dumps(row), flush=True)


def build(centres: int, size: int) -> configurations.Configuration:
    """Build `GROUPS` groups of `size` targets in each data centre."""
    groups = tuple(
        configurations.Group(
            f'service-{g}',
            (('kind', f'kind-{g}'), ('tier', 'gold')),
            tuple(
                configurations.Target(
                    f'dc{c:02}-service-{g}-{t:04}/1',
                    f'10.{c}.{g * 32 + t // 250}.{t % 250}:7001',
                    f'dc{c:02}',
                )
                for c in range(centres)
                for t in range(size)
            ),
        )
        for g in range(GROUPS)
    )
    return configurations.Configuration(1, groups)


def label(turn: int) -> changes.Change:
    """Set a label of a group."""
    return changes.LabelGroup('service-0', (('turn', f't{turn}'),))


def drain(turn: int) -> changes.Change:
    """Mark one target as leaving, or not any more."""
    name = f'dc00-service-0-{turn // 2:04}/1'
    return changes.MarkLeaving('service-0', (name,), turn % 2 == 0)


def drain_there(turn: int) -> changes.Change:
    """Mark one target as leaving, and say in which data centre it is."""
    name = f'dc00-service-0-{turn // 2:04}/1'
    leaving = turn % 2 == 0
    return changes.MarkLeaving('service-0', (name,), leaving, 'dc00')


def add_target(turn: int) -> changes.Change:
    """Add a target to a group."""
    added = configurations.Target(f'new-{turn}/1', f'10.99.0.{turn}:1', 'dc00')
    return changes.AddTargets('service-0', (added,))


def measure_codec(
    configuration: configurations.Configuration,
) -> dict[str, Any]:
    """Time encoding and decoding, and measure the sizes."""
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    kept = encoded.manifest.stored_parts
    targets = sum(len(group.targets) for group in configuration.groups)
    parts = [len(text.encode()) for text in encoded.part_texts.values()]
    return {
        'codec': f'{targets} targets in {len(kept)} parts',
        'encode_ms': time_ms(lambda: manifests.encode(configuration)),
        'encode_kept_ms': time_ms(
            lambda: manifests.encode(configuration, (), kept)
        ),
        'decode_ms': time_ms(
            lambda: manifests.decode(encoded.text, encoded.part_texts)
        ),
        'manifest_bytes': len(encoded.text.encode()),
        'manifest_bytes_per_part': len(encoded.text.encode()) / len(kept),
        'part_bytes_per_target': sum(parts) / targets,
    }


def time_ms(work: Callable[[], object]) -> float:
    """Return the median processor time of some runs, in milliseconds."""
    work()
    spent = []
    for _ in range(ROUNDS):
        began = time.process_time()
        work()
        spent.append((time.process_time() - began) * 1000)
    return round(statistics.median(spent), 2)


def start_platform(stack: contextlib.ExitStack) -> str:
    """Start the platform's stand-in and return its URL."""
    port = next(worlds.find_free_ports())
    words = ('-m', 'standins', 'platform', '--port', str(port))
    process = subprocess.Popen(  # noqa: S603
        (sys.executable, *words), stdout=subprocess.PIPE, text=True
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    assert process.stdout is not None
    assert process.stdout.readline().startswith('ready')
    return f'http://{wire.LOOPBACK}:{port}'


def open_store(url: str, stack: contextlib.ExitStack) -> store.Store:
    """Open a store that measures more calls a second than it may make."""
    opened = store.Store(url, LIMITS)
    stack.callback(opened.close)
    return opened


def make(platform: store.Store, change: changes.Change) -> transactions.Outcome:
    """Make one change."""
    bits = int.from_bytes(os.urandom(9)) & ((1 << request_ids.RANDOM_BITS) - 1)
    change_id = request_ids.make_request_id(time.time(), bits)
    request = proposals.ChangeRequest(change_id, 'bench', change, force=True)
    return config_client.commit_change(platform, request, time.time())


def measure_changes(case: Case, url: str) -> dict[str, Any]:
    """Time one kind of change and count its calls of the platform."""
    with contextlib.ExitStack() as stack:
        platform = open_store(url, stack)
        fill(platform, case.configuration)
        # The trail is filled first, so that each change archives an entry.
        for turn in range(proposals.MAX_KEPT_ENTRIES):
            make(platform, label(turn + 1000))
        platform.calls.clear()
        walls, work = [], []
        for turn in range(ROUNDS):
            wall, processor = time.monotonic(), time.process_time()
            told = make(platform, case.make(turn))
            assert isinstance(told, proposals.ChangeAccepted), told
            walls.append((time.monotonic() - wall) * 1000)
            work.append((time.process_time() - processor) * 1000)
        return {
            'change': case.name,
            'wall_ms': round(statistics.median(walls), 1),
            'worst_ms': round(max(walls), 1),
            'processor_ms': round(statistics.median(work), 1),
            'calls': {k: n / ROUNDS for k, n in platform.calls.items()},
            'manifest_bytes': measure_manifest(platform),
        }


def fill(
    platform: store.Store, configuration: configurations.Configuration
) -> None:
    """Store a configuration as it is, without a change."""
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    for key, text in encoded.part_texts.items():
        platform.swap(key, text, 0)
    platform.swap(manifests.MANIFEST_KEY, encoded.text, 0)


def measure_race(
    configuration: configurations.Configuration, operators: int, url: str
) -> dict[str, Any]:
    """Let operators set labels of their own at once, as fast as they can."""
    with contextlib.ExitStack() as stack:
        stores = [open_store(url, stack) for _ in range(operators)]
        fill(stores[0], configuration)
        stores[0].calls.clear()
        began = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(operators) as pool:
            times = list(pool.map(race, stores, range(operators)))
        spent = time.monotonic() - began
        accepted = [it for found in times for it in found]
        calls = sum(sum(each.calls.values()) for each in stores)
        return {
            'race': f'{operators} operators',
            'accepted': len(accepted),
            'refused': operators * ROUNDS - len(accepted),
            'accepted_per_s': round(len(accepted) / spent, 1),
            'calls_per_change': round(calls / len(accepted), 2),
            'median_ms': round(statistics.median(accepted), 1),
            'worst_ms': round(max(accepted), 1),
        }


def race(platform: store.Store, number: int) -> list[float]:
    """Set one label again and again; return the times of those accepted."""
    times = []
    for turn in range(ROUNDS):
        change = changes.LabelGroup('service-0', ((f'o{number}', f't{turn}'),))
        began = time.monotonic()
        if isinstance(make(platform, change), proposals.ChangeAccepted):
            times.append((time.monotonic() - began) * 1000)
    return times


if __name__ == '__main__':
    main()
