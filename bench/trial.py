"""Compare variants of the routing decisions on the same loads and seeds.

A variant is `stands` for the code as it is, or constants of
`fuchsiahaven.routing` with other values, separated by commas:

    python -m bench.trial stands delegations.MAX_PART_SENDINGS=0 --seeds 5
    python -m bench.trial stands chunk_assignments.SHARDS_PER_CHUNK=30
"""

import argparse
import contextlib
import importlib
import statistics
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Final, NamedTuple
from unittest import mock

from hdrh import histogram

from bench import setups, simulation, targets
from fuchsiahaven.routing import chunk_assignments

UNCHANGED: Final = 'stands'
PACKAGE: Final = 'fuchsiahaven.routing'
LOADS: Final[Mapping[str, targets.TargetLoad]] = {
    'quiet': targets.TargetLoad(),
    'paused': targets.TargetLoad(pause_s=0.25),
    'lost': targets.TargetLoad(
        pause_s=0.25,
        troubled_fraction=0.5,
        lost_fraction=0.4,
        trouble_start=3,
        trouble_end=7,
    ),
    'deadly': targets.TargetLoad(pause_s=0.25, deadly_fraction=0.002),
    'slow': targets.TargetLoad(
        pause_s=0.25,
        troubled_fraction=0.16,
        slow_factor=8,
        trouble_start=3,
        trouble_end=7,
    ),
}
#: The worth of a late answer, as the users' requirements state for searches.
LATE_WORTH: Final = 0.1
US_PER_S: Final = 1_000_000
BYTES_PER_KB: Final = 1000
MAX_LATENCY_US: Final = 10 * US_PER_S
SIGNIFICANT_DIGITS: Final = 2
P99_PERCENT: Final = 99


class Score(NamedTuple):
    """Hold the score of a variant with one seed; times are in seconds.

    `ends` counts the targets that the deadly query crashed, `late` those that
    it crashed long after the third.
    """

    worth: float
    failed: float
    p99: float
    repeats: float
    crossed_kb: float
    ends: float = 0.0
    late: float = 0.0


def apply_variant(variant: str, stack: contextlib.ExitStack) -> None:
    """Apply a variant until the stack ends; raise ValueError if malformed."""
    if variant == UNCHANGED:
        return
    for setting in variant.split(','):
        name, equals, text = setting.partition('=')
        module_name, dot, constant = name.partition('.')
        if not (equals and dot):
            raise ValueError(f'{setting!r} is not module.CONSTANT=value')
        module = importlib.import_module(f'{PACKAGE}.{module_name}')
        current = getattr(module, constant)
        changed = type(current)(float(text))
        stack.enter_context(mock.patch.object(module, constant, changed))
    # The cache must not hold results of other constants.
    chunk_assignments.find_chunks.cache_clear()
    stack.callback(chunk_assignments.find_chunks.cache_clear)


def run_variant(
    variant: str,
    load: targets.TargetLoad,
    setup: setups.Setup,
    seed: int,
    seconds: float,
) -> Score:
    """Simulate one variant with one seed."""
    with contextlib.ExitStack() as stack:
        apply_variant(variant, stack)
        result = simulation.Simulation(setup, load, seed).run(seconds)
    return compute_score(result, setup)


def compute_score(result: simulation.Result, setup: setups.Setup) -> Score:
    """Compute the score of a result by the worth that users state."""
    times = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    worth = 0.0
    for ending in result.endings:
        times.record_value(max(1, int(ending.elapsed_s * US_PER_S)))
        value = 1 if ending.elapsed_s <= setup.objective else LATE_WORTH
        worth += value * ending.covered * ending.covered
    queries = max(1, len(result.endings))
    failed = sum(1 for it in result.endings if not it.covered)
    return Score(
        worth / queries,
        failed / queries,
        times.get_value_at_percentile(P99_PERCENT) / US_PER_S,
        result.extra_attempts / queries,
        result.crossed_bytes / queries / BYTES_PER_KB,
        result.exits,
        result.late_exits,
    )


def tabulate(
    variants: Sequence[str], scores: Sequence[list[Score]]
) -> list[str]:
    """Return a table of medians and ranges with a row for each variant."""
    titles = ''.join(f'{it:>22}' for it in Score._fields)
    rows = [f'{"way":40}{titles}']
    for variant, variant_scores in zip(variants, scores, strict=True):
        cells = ''.join(
            _format_spread(figures)
            for figures in zip(*variant_scores, strict=True)
        )
        rows.append(f'{variant:40}{cells}')
    return rows


def _format_spread(figures: Sequence[float]) -> str:
    median = statistics.median(figures)
    spread = f'({min(figures):.3f} to {max(figures):.3f})'
    return f'{median:>6.3f}{spread:>16}'


def main(arguments: list[str] | None = None) -> None:
    """Simulate each variant with each seed and print the table."""
    parser = argparse.ArgumentParser(prog='trial', description=__doc__)
    parser.add_argument('ways', nargs='+')
    parser.add_argument('--load', choices=LOADS, default='lost')
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--hosts', type=int, default=setups.Setup().hosts)
    parser.add_argument('--shards', type=int, default=setups.Setup().shards)
    options = parser.parse_args(arguments)
    setup = setups.Setup(hosts=options.hosts, shards=options.shards)
    load = LOADS[options.load]
    started_at = time.perf_counter()
    scores = [
        list(_run_seeds(variant, load, setup, options))
        for variant in options.ways
    ]
    elapsed_s = time.perf_counter() - started_at
    sys.stdout.write('\n'.join([*tabulate(options.ways, scores), '']))
    sys.stdout.write(
        f'{options.load}, {options.seeds} seeds, {elapsed_s:.0f} s\n'
    )


def _run_seeds(
    variant: str,
    load: targets.TargetLoad,
    setup: setups.Setup,
    options: argparse.Namespace,
) -> Iterator[Score]:
    for seed in range(options.seeds):
        yield run_variant(variant, load, setup, seed, options.seconds)


if __name__ == '__main__':
    main()
