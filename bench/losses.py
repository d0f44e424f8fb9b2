"""Report from the logs of a day where and when requests lost their worth.

Read the output of `fleetbench run ... --log all`, or the logs of the hosts. The
line of each request holds its route, result, duration and number of missing
parts. Worth is lost where an answer is late, partial or missing. A retry by a
caller counts as another request, and requests that never reached a host are not
seen. Delegated requests are not counted. Requests for a service that never had
a target have no worth: they only test which configuration is in force.

Tables list the worth lost by route, data centre, host and time. Data centres
are those that hosts log when they start. Two more tables list the largest
losses by time, route and data centre, and the unserved requests by cause.

    python -m bench.losses LOG [--objective ROUTE=SECONDS ...]
"""

import argparse
import collections
import json
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple

#: The worth of a late answer, as the users' requirements state for searches.
LATE_WORTH: Final = 0.1
#: Seconds per row of the table by time.
TIME_STEP_S: Final = 2.0
#: Round trip between a caller and a host through the balancer and network.
CALLER_ROUND_TRIP_S: Final = 0.006
REQUEST_MARK: Final = '"part":"request"'
STARTED_MARK: Final = '"text":"started"'
#: Rows in the table of the largest losses.
MAX_ROWS: Final = 12
UNKNOWN: Final = '?'
NO_REPLICA_SUFFIX: Final = ': no_replica'
SERVED_RESULTS: Final = frozenset(('complete', 'partial', 'relayed 200'))


class Ending(NamedTuple):
    """Hold the log record of a finished request; times are in seconds."""

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
    """Hold the fractions of a request's worth that were lost, by cause."""

    late: float = 0.0
    partial: float = 0.0
    unserved: float = 0.0


CAUSES: Final = Loss._fields


def read_endings(
    lines: Iterable[str], objectives: Mapping[str, float]
) -> Iterator[Ending]:
    """Yield the requests in log lines, and skip other lines.

    Data centres come from the lines that hosts log at their start.
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
    """Yield the relevant lines, each as its prefix and its JSON fields."""
    for line in lines:
        prefix, brace, json_tail = line.partition('{')
        if REQUEST_MARK in json_tail or STARTED_MARK in json_tail:
            row = _parse_row(f'{brace}{json_tail}')
            if row is not None:
                yield prefix, row


def _parse_data_centre(row: Mapping[str, Any]) -> dict[str, str]:
    """Return the data centre of a started host by its name."""
    settings = row.get('settings')
    if not settings:
        return {}
    name, _, data_centre = settings[0]
    return {name: data_centre}


def _parse_row(text: str) -> dict[str, Any] | None:
    """Parse a line; None if it is truncated because the process was killed."""
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
    """Describe why a request was not served, without names of targets.

    The state of the first missing part is the best description, and the result
    of the first attempt the next best.
    """
    for entry in (*row.get('lacking', ()), *row.get('tries', ())):
        _, _, text = entry.partition(': ')
        if text.startswith('waits at'):
            text = 'waits at a helper' if 'helper' in text else 'waits'
        return f'{row["result"]}: {text}'
    return str(row['result'])


def count_causes(endings: Iterable[Ending]) -> list[str]:
    """Return lines with the number of unserved requests by cause, sorted."""
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
    """Compute the lost worth of a request by cause."""
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
    """Return a table of the lost worth, in % of the full worth of each row."""
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
    """List the largest losses by time, route and data centre."""
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
