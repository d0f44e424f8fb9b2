"""Compare two ways to decide on the same loads and seeds.

A way is `stands`, or constants of `fuchsiahaven.routing` with other values,
separated by commas:

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

from bench import model, shapes, targets
from fuchsiahaven.routing import chunk_assignments

STANDS: Final = 'stands'
PACKAGE: Final = 'fuchsiahaven.routing'
LOADS: Final[Mapping[str, targets.Load]] = {
    'quiet': targets.Load(),
    'paused': targets.Load(pause=0.25),
    'lost': targets.Load(pause=0.25, share=0.5, lost=0.4, begins=3, ends=7),
    'deadly': targets.Load(pause=0.25, deadly=0.002),
    'slow': targets.Load(pause=0.25, share=0.16, slow=8, begins=3, ends=7),
}
#: Worth that a late answer keeps, as the users' sheets state it for searches.
LATE_WORTH: Final = 0.1
MICROSECONDS: Final = 1_000_000
BYTES_OF_KB: Final = 1000
LONGEST_US: Final = 10 * MICROSECONDS
DIGITS: Final = 2
P99: Final = 99


class Score(NamedTuple):
    """Hold what a way was worth with one seed; times are in seconds.

    `ends` and `late` are of a query that ends its targets.
    """

    worth: float
    failed: float
    p99: float
    repeats: float
    crossed_kb: float
    ends: float = 0.0
    late: float = 0.0


def apply_way(way: str, stack: contextlib.ExitStack) -> None:
    """Put a way in force until the stack ends; raises ValueError."""
    if way == STANDS:
        return
    for setting in way.split(','):
        name, equals, text = setting.partition('=')
        module_name, dot, constant = name.partition('.')
        if not (equals and dot):
            raise ValueError(f'{setting!r} is not module.CONSTANT=value')
        module = importlib.import_module(f'{PACKAGE}.{module_name}')
        usual = getattr(module, constant)
        changed = type(usual)(float(text))
        stack.enter_context(mock.patch.object(module, constant, changed))
    # What was worked out with other constants is not to be found there.
    chunk_assignments.find_chunks.cache_clear()
    stack.callback(chunk_assignments.find_chunks.cache_clear)


def play(
    way: str, load: targets.Load, shape: shapes.Shape, seed: int, seconds: float
) -> Score:
    """Play one way with one seed."""
    with contextlib.ExitStack() as stack:
        apply_way(way, stack)
        played = model.Fleet(shape, load, seed).play(seconds)
    return weigh(played, shape)


def weigh(played: model.Result, shape: shapes.Shape) -> Score:
    """Weigh what became of the queries as the users' sheets do."""
    times = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
    worth = 0.0
    for ending in played.endings:
        times.record_value(max(1, int(ending.took * MICROSECONDS)))
        kept = 1 if ending.took <= shape.objective else LATE_WORTH
        worth += kept * ending.covered * ending.covered
    total = max(1, len(played.endings))
    failed = sum(1 for it in played.endings if not it.covered)
    return Score(
        worth / total,
        failed / total,
        times.get_value_at_percentile(P99) / MICROSECONDS,
        played.repeats / total,
        played.crossed_bytes / total / BYTES_OF_KB,
        played.ends,
        played.late,
    )


def tabulate(ways: Sequence[str], scores: Sequence[list[Score]]) -> list[str]:
    """Write the middle and the spread of each figure, a way a line."""
    titles = ''.join(f'{it:>22}' for it in Score._fields)
    rows = [f'{"way":40}{titles}']
    for way, found in zip(ways, scores, strict=True):
        cells = ''.join(_write(figures) for figures in zip(*found, strict=True))
        rows.append(f'{way:40}{cells}')
    return rows


def _write(figures: Sequence[float]) -> str:
    middle = statistics.median(figures)
    spread = f'({min(figures):.3f} to {max(figures):.3f})'
    return f'{middle:>6.3f}{spread:>16}'


def main(arguments: list[str] | None = None) -> None:
    """Play each way with each seed and print both."""
    parser = argparse.ArgumentParser(prog='trial', description=__doc__)
    parser.add_argument('ways', nargs='+')
    parser.add_argument('--load', choices=LOADS, default='lost')
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--hosts', type=int, default=shapes.Shape().hosts)
    parser.add_argument('--shards', type=int, default=shapes.Shape().shards)
    given = parser.parse_args(arguments)
    shape = shapes.Shape(hosts=given.hosts, shards=given.shards)
    load = LOADS[given.load]
    began = time.perf_counter()
    scores = [list(_play_seeds(way, load, shape, given)) for way in given.ways]
    took = time.perf_counter() - began
    sys.stdout.write('\n'.join([*tabulate(given.ways, scores), '']))
    sys.stdout.write(f'{given.load}, {given.seeds} seeds, {took:.0f} s\n')


def _play_seeds(
    way: str,
    load: targets.Load,
    shape: shapes.Shape,
    given: argparse.Namespace,
) -> Iterator[Score]:
    for seed in range(given.seeds):
        yield play(way, load, shape, seed, given.seconds)


if __name__ == '__main__':
    main()
