"""Measure configuration changes: `python -m bench.changes`.

Print the times and sizes of the codec, then the time and platform calls of
each kind of change against the platform's stand-in in a separate process.
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

from bench import testbeds
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

CHANGES_PER_CASE: Final = 15
DATA_CENTRES: Final = 28
TARGETS_PER_DATA_CENTRE: Final = 3250
GROUPS: Final = 4
#: Far above the budget of a process. A single command does not reach the
#: budget, but this process makes many changes in a row.
STORE_RATE: Final = rates.Rate(100_000, burst=100_000)
STORE_LIMITS: Final = store.Limits(read_rate=STORE_RATE, write_rate=STORE_RATE)


class Case(NamedTuple):
    """Hold a configuration and a factory of numbered changes to it."""

    name: str
    configuration: configurations.Configuration
    make_change: Callable[[int], changes.Change]


def main() -> None:
    """Run all measurements and print each as a line of JSON."""
    if sys.argv[1:] == ['race']:
        measure_races(build_configuration(3, 24))
        return
    for data_centres in (1, DATA_CENTRES):
        print_row(
            measure_codec(
                build_configuration(
                    data_centres, TARGETS_PER_DATA_CENTRE // GROUPS
                )
            )
        )
    small, medium = (
        build_configuration(3, 24),
        build_configuration(3, TARGETS_PER_DATA_CENTRE // GROUPS),
    )
    large = build_configuration(DATA_CENTRES, TARGETS_PER_DATA_CENTRE // GROUPS)
    cases = (
        Case('label, 288 targets', small, make_label_change),
        Case('label, 9,744 targets', medium, make_label_change),
        Case('add a target, 9,744 targets', medium, make_addition),
        Case('drain, 9,744 targets', medium, make_drain),
        Case('drain, data centre named', medium, make_drain_in_data_centre),
        Case('label, 90,944 targets', large, make_label_change),
        Case('add a target, 90,944 targets', large, make_addition),
    )
    for case in cases:
        with contextlib.ExitStack() as stack:
            print_row(measure_changes(case, start_platform(stack)))
    measure_races(small)


def measure_manifest(platform: store.Store) -> int:
    """Return the size of the stored manifest with its audit log, in bytes."""
    stored = platform.read(manifests.MANIFEST_KEY)
    return len(stored.value.encode()) if stored else 0


def measure_races(configuration: configurations.Configuration) -> None:
    """Measure 1, 2, 4 and 8 operators who commit changes concurrently."""
    for operators in (1, 2, 4, 8):
        with contextlib.ExitStack() as stack:
            url = start_platform(stack)
            print_row(measure_race(configuration, operators, url))


def print_row(row: dict[str, Any]) -> None:
    """Print one measurement as JSON."""
    print(json.dumps(row), flush=True)


def build_configuration(
    data_centres: int, group_size: int
) -> configurations.Configuration:
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
                for c in range(data_centres)
                for t in range(group_size)
            ),
        )
        for g in range(GROUPS)
    )
    return configurations.Configuration(1, groups)


def make_label_change(number: int) -> changes.Change:
    """Return a change that sets a label of a group."""
    return changes.LabelGroup('service-0', (('turn', f't{number}'),))


def make_drain(number: int) -> changes.Change:
    """Return a change that marks a target as leaving or unmarks it."""
    name = f'dc00-service-0-{number // 2:04}/1'
    return changes.MarkLeaving('service-0', (name,), number % 2 == 0)


def make_drain_in_data_centre(number: int) -> changes.Change:
    """Return a drain that also names the data centre of the target."""
    name = f'dc00-service-0-{number // 2:04}/1'
    leaving = number % 2 == 0
    return changes.MarkLeaving('service-0', (name,), leaving, 'dc00')


def make_addition(number: int) -> changes.Change:
    """Return a change that adds a target to a group."""
    target = configurations.Target(
        f'new-{number}/1', f'10.99.0.{number}:1', 'dc00'
    )
    return changes.AddTargets('service-0', (target,))


def measure_codec(
    configuration: configurations.Configuration,
) -> dict[str, Any]:
    """Measure the times of encoding and decoding, and the sizes."""
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    stored_parts = encoded.manifest.stored_parts
    targets = sum(len(group.targets) for group in configuration.groups)
    parts = [len(text.encode()) for text in encoded.part_texts.values()]
    return {
        'codec': f'{targets} targets in {len(stored_parts)} parts',
        'encode_ms': time_ms(lambda: manifests.encode(configuration)),
        'encode_kept_ms': time_ms(
            lambda: manifests.encode(configuration, (), stored_parts)
        ),
        'decode_ms': time_ms(
            lambda: manifests.decode(encoded.text, encoded.part_texts)
        ),
        'manifest_bytes': len(encoded.text.encode()),
        'manifest_bytes_per_part': len(encoded.text.encode())
        / len(stored_parts),
        'part_bytes_per_target': sum(parts) / targets,
    }


def time_ms(work: Callable[[], object]) -> float:
    """Return the median processor time of several runs, in milliseconds."""
    work()
    times_ms = []
    for _ in range(CHANGES_PER_CASE):
        started_at = time.process_time()
        work()
        times_ms.append((time.process_time() - started_at) * 1000)
    return round(statistics.median(times_ms), 2)


def start_platform(stack: contextlib.ExitStack) -> str:
    """Start the platform's stand-in and return its URL."""
    port = next(testbeds.find_free_ports())
    arguments = ('-m', 'standins', 'platform', '--port', str(port))
    process = subprocess.Popen(  # noqa: S603
        (sys.executable, *arguments), stdout=subprocess.PIPE, text=True
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    assert process.stdout is not None
    assert process.stdout.readline().startswith('ready')
    return f'http://{wire.LOOPBACK}:{port}'


def open_store(url: str, stack: contextlib.ExitStack) -> store.Store:
    """Open a store client without an effective rate limit."""
    opened = store.Store(url, STORE_LIMITS)
    stack.callback(opened.close)
    return opened


def commit_change(
    platform: store.Store, change: changes.Change
) -> transactions.Outcome:
    """Commit one change under a new change id."""
    bits = int.from_bytes(os.urandom(9)) & ((1 << request_ids.RANDOM_BITS) - 1)
    change_id = request_ids.make_request_id(time.time(), bits)
    request = proposals.ChangeRequest(change_id, 'bench', change, force=True)
    return config_client.commit_change(platform, request, time.time())


def measure_changes(case: Case, url: str) -> dict[str, Any]:
    """Measure the time and the platform calls of one kind of change."""
    with contextlib.ExitStack() as stack:
        platform = open_store(url, stack)
        store_configuration(platform, case.configuration)
        # The audit log is filled first, so that each change archives an entry.
        for number in range(proposals.MAX_KEPT_ENTRIES):
            commit_change(platform, make_label_change(number + 1000))
        platform.calls.clear()
        wall_times, processor_times = [], []
        for number in range(CHANGES_PER_CASE):
            started_at, cpu_start_s = time.monotonic(), time.process_time()
            outcome = commit_change(platform, case.make_change(number))
            assert isinstance(outcome, proposals.ChangeAccepted), outcome
            wall_times.append((time.monotonic() - started_at) * 1000)
            processor_times.append((time.process_time() - cpu_start_s) * 1000)
        return {
            'change': case.name,
            'wall_ms': round(statistics.median(wall_times), 1),
            'worst_ms': round(max(wall_times), 1),
            'processor_ms': round(statistics.median(processor_times), 1),
            'calls': {
                call: count / CHANGES_PER_CASE
                for call, count in platform.calls.items()
            },
            'manifest_bytes': measure_manifest(platform),
        }


def store_configuration(
    platform: store.Store, configuration: configurations.Configuration
) -> None:
    """Store a configuration directly, without a change request."""
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded)
    for key, text in encoded.part_texts.items():
        platform.swap(key, text, 0)
    platform.swap(manifests.MANIFEST_KEY, encoded.text, 0)


def measure_race(
    configuration: configurations.Configuration, operators: int, url: str
) -> dict[str, Any]:
    """Measure operators who set different labels as fast as possible."""
    with contextlib.ExitStack() as stack:
        stores = [open_store(url, stack) for _ in range(operators)]
        store_configuration(stores[0], configuration)
        stores[0].calls.clear()
        started_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(operators) as pool:
            times = list(pool.map(commit_repeatedly, stores, range(operators)))
        elapsed_s = time.monotonic() - started_at
        accepted = [it for operator_times in times for it in operator_times]
        calls = sum(sum(each.calls.values()) for each in stores)
        return {
            'race': f'{operators} operators',
            'accepted': len(accepted),
            'refused': operators * CHANGES_PER_CASE - len(accepted),
            'accepted_per_s': round(len(accepted) / elapsed_s, 1),
            'calls_per_change': round(calls / len(accepted), 2),
            'median_ms': round(statistics.median(accepted), 1),
            'worst_ms': round(max(accepted), 1),
        }


def commit_repeatedly(platform: store.Store, number: int) -> list[float]:
    """Set one label repeatedly; return the times in ms of accepted changes."""
    times = []
    for round_number in range(CHANGES_PER_CASE):
        change = changes.LabelGroup(
            'service-0', ((f'o{number}', f't{round_number}'),)
        )
        started_at = time.monotonic()
        if isinstance(
            commit_change(platform, change), proposals.ChangeAccepted
        ):
            times.append((time.monotonic() - started_at) * 1000)
    return times


if __name__ == '__main__':
    main()
