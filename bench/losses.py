"""Say from the logs of a day where the worth of requests was lost, and when.

Read what `fleetbench run ... --log all` prints, or the hosts' own logs. Each
request's line tells its route, what came of it, after how long and how many
parts lack; a part of the worth is lost where an answer is late, partial or not
given at all. Callers' own retries are requests of their own here, and those
that never reached a host are not seen. What hosts gather for each other is no
request, and a request for a service that never had a target, as those that
test which configuration is in force, has no worth. One table is by data centre,
which hosts that start name, and one tells where most was lost, by time, route
and data centre. The last one counts the requests that were not served, by
cause.

    python -m bench.losses LOG [--objective ROUTE=SECONDS ...]
"""

import argparse
import collections
import json
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple

#: Worth that a late answer keeps, as the users' sheets state it for searches.
LATE_WORTH: Final = 0.1
#: Seconds of a row of the table by time.
TIME_STEP_S: Final = 2.0
#: The balancer and the network on the way to a caller, there and back.
CALLER_ROUND_TRIP_S: Final = 0.006
REQUEST_MARK: Final = '"part":"request"'
STARTED_MARK: Final = '"text":"started"'
#: Rows of the table of where most was lost.
MAX_ROWS: Final = 12
UNKNOWN: Final = '?'
NO_REPLICA_SUFFIX: Final = ': no_replica'
SERVED_RESULTS: Final = frozenset(('complete', 'partial', 'relayed 200'))


class Ending(NamedTuple):
    """Hold what a host logged at the end of one request; times in seconds."""

    at: float
    host: str
    route: str
    result: str
    took: float
    parts: int
    missing: int
    objective: float
    cause: str = ''
    data_centre: str = UNKNOWN


class Loss(NamedTuple):
    """Hold which shares of a request's worth were lost, by cause."""

    late: float = 0.0
    partial: float = 0.0
    unserved: float = 0.0


CAUSES: Final = Loss._fields


def read_endings(
    lines: Iterable[str], objectives: Mapping[str, float]
) -> Iterator[Ending]:
    """Read the lines of requests; those of other parts are passed over.

    Hosts that start name their data centres.
    """
    data_centres: dict[str, str] = {}
    for prefix, row in _read_rows(lines):
        if row['part'] != 'request':
            data_centres.update(_parse_data_centre(row))
        elif not row.get('assists'):
            words = prefix.split()
            at = float(words[0]) if words else row['up']
            ending = _make_ending(row, at, objectives)
            data_centre = data_centres.get(ending.host, UNKNOWN)
            yield ending._replace(data_centre=data_centre)


def _read_rows(
    lines: Iterable[str],
) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Read the lines that count, each with what stands before it."""
    for line in lines:
        prefix, brace, json_tail = line.partition('{')
        if REQUEST_MARK in json_tail or STARTED_MARK in json_tail:
            row = _parse_row(f'{brace}{json_tail}')
            if row is not None:
                yield prefix, row


def _parse_data_centre(row: Mapping[str, Any]) -> dict[str, str]:
    """Read the data centre of a host that has started."""
    settings = row.get('settings')
    if not settings:
        return {}
    name, _, data_centre = settings[0]
    return {name: data_centre}


def _parse_row(text: str) -> dict[str, Any] | None:
    """Read a line; None for one that was cut where the process was killed."""
    try:
        row: dict[str, Any] = json.loads(text)
    except ValueError:
        return None
    return row


def _make_ending(
    row: Mapping[str, Any], at: float, objectives: Mapping[str, float]
) -> Ending:
    route = row['route']
    objective = row.get('objective') or objectives.get(route, float('inf'))
    return Ending(
        at,
        row['host'],
        route,
        row['result'],
        row['took'],
        row['parts'],
        row['missing'],
        objective,
        _describe_cause(row),
    )


def _describe_cause(row: Mapping[str, Any]) -> str:
    """Name why a request was not served, without names of targets.

    What befell the first part that lacks tells it best, or else how its first
    try ended.
    """
    for entry in (*row.get('lacking', ()), *row.get('tries', ())):
        _, _, text = entry.partition(': ')
        if text.startswith('waits at'):
            text = 'waits at a helper' if 'helper' in text else 'waits'
        return f'{row["result"]}: {text}'
    return str(row['result'])


def count_causes(endings: Iterable[Ending]) -> list[str]:
    """Write how many requests were not served for which cause, most first."""
    counts = collections.Counter(
        (it.cause, 'once' if it.parts == 1 else 'shards')
        for it in endings
        if it.result not in SERVED_RESULTS
    )
    return [
        f'{count:6} {kind:7} {cause}'
        for (cause, kind), count in counts.most_common()
    ]


def compute_loss(ending: Ending) -> Loss:
    """Split what a request has lost by cause."""
    if ending.result not in SERVED_RESULTS:
        return Loss(unserved=1.0)
    covered = 1 - ending.missing / max(1, ending.parts)
    worth = covered * covered
    if ending.took + CALLER_ROUND_TRIP_S > ending.objective:
        return Loss(late=worth * (1 - LATE_WORTH), partial=1 - worth)
    return Loss(partial=1 - worth)


def tabulate(
    endings: Iterable[Ending], get_row_name: Callable[[Ending], str]
) -> list[str]:
    """Write a table of the worth lost, in % of what each row could earn."""
    counts: collections.Counter[str] = collections.Counter()
    sums: dict[str, collections.Counter[str]] = {}
    for ending in endings:
        row = get_row_name(ending)
        counts[row] += 1
        row_losses = sums.setdefault(row, collections.Counter())
        row_losses.update(compute_loss(ending)._asdict())
    titles = ''.join(f'{it:>10}' for it in CAUSES)
    rows = [f'{"":14} {"requests":>8}{titles}']
    for row in sorted(counts):
        shares = [100 * sums[row][it] / counts[row] for it in CAUSES]
        cells = ''.join(f'{share:10.1f}' for share in shares)
        rows.append(f'{row:14} {counts[row]:8}{cells}')
    return rows


def list_largest(endings: Iterable[Ending]) -> list[str]:
    """List where most was lost: time, route and data centre, by cause."""
    lost: dict[str, collections.Counter[str]] = {}
    for ending in endings:
        step = _format_step(ending)
        key = f'{step} {ending.route} {ending.data_centre}'
        lost.setdefault(key, collections.Counter()).update(
            compute_loss(ending)._asdict()
        )
    ranked = sorted(lost, key=lambda it: -lost[it].total())
    return [
        f'{lost[key].total():8.2f} {key}: {_format_loss(lost[key])}'
        for key in ranked[:MAX_ROWS]
        if lost[key].total()
    ]


def _format_loss(lost: collections.Counter[str]) -> str:
    return ', '.join(f'{name} {lost[name]:.2f}' for name in CAUSES)


def _format_step(ending: Ending) -> str:
    return f'{ending.at // TIME_STEP_S * TIME_STEP_S:6.0f} s'


def _parse_objective(text: str) -> tuple[str, float]:
    route, _, seconds = text.partition('=')
    return route, float(seconds)


def main(arguments: list[str] | None = None) -> None:
    """Print the tables by route, data centre, host and time."""
    parser = argparse.ArgumentParser(prog='losses', description=__doc__)
    parser.add_argument('log', type=argparse.FileType('r', errors='replace'))
    parser.add_argument(
        '--objective', type=_parse_objective, action='append', default=[]
    )
    options = parser.parse_args(arguments)
    endings = [
        ending
        for ending in read_endings(options.log, dict(options.objective))
        if ending.route
        and ending.result != 'abandoned'
        and not ending.cause.endswith(NO_REPLICA_SUFFIX)
    ]
    row_names = (
        lambda it: it.route,
        lambda it: it.data_centre,
        lambda it: it.host,
        _format_step,
    )
    for get_row_name in row_names:
        sys.stdout.write('\n'.join([*tabulate(endings, get_row_name), '', '']))
    sys.stdout.write('\n'.join([*list_largest(endings), '', '']))
    sys.stdout.write('\n'.join([*count_causes(endings), '']))


if __name__ == '__main__':
    main()
