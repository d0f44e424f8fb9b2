"""Show what a host on the platform believes."""

import argparse
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.operate import exits

EPILOG = """examples:
  fuchsiahaven inspect --at 10.1.0.9:8106
  fuchsiahaven inspect --at 10.1.0.9:8106 --json
"""
TIMEOUT_S: Final = 3.0
SHOWN: Final = (
    'ready',
    'version',
    'news_age',
    'store_lost',
    'store_era',
    'source',
)
NOT_TOLD: Final = 'not told'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        '--at',
        required=True,
        metavar='IP:PORT',
        help='where the host answers other hosts',
    )
    parser.add_argument(
        '--json', action='store_true', help='print one JSON object'
    )


def run(arguments: argparse.Namespace) -> int:
    """Ask the host and print its answer."""
    import urllib3

    pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    try:
        answer = pool.request('GET', f'http://{arguments.at}/v1/state')
        told = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        print(f'{arguments.at}: {error}', file=sys.stderr)
        return exits.UNREACHABLE
    if arguments.json:
        print(json.dumps(told))
    else:
        print('\n'.join(list_lines(told)))
    return exits.DONE


def list_lines(told: dict[str, Any]) -> list[str]:
    """List what a host believes, a line for each thing."""
    # A host of the version before tells no era.
    lines = [f'{name}: {told.get(name, NOT_TOLD)}' for name in SHOWN]
    lines.append(f'hosts: {", ".join(sorted(told["hosts"]))}')
    lines.extend(list_quarantined(told.get('quarantined', ())))
    lines.extend(list_customers(told.get('customers')))
    for service, targets in sorted(told['targets'].items()):
        stands = ', '.join(f'{name} {how}' for name, how in targets.items())
        left = told['budgets'][service]
        lines.append(f'{service}: {stands}; {left} repeats left')
    return lines


def list_quarantined(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """List the requests that are refused as they end their targets."""
    return [
        f'quarantined: {row["digest"]} for {row["wait"]:.0f} s, targets ended '
        f'at {row["crashes"]} moments: {", ".join(row["targets"])}'
        for row in rows
    ]


def list_customers(told: Mapping[str, Any] | None) -> list[str]:
    """List how customers' requests ended, where there are customers."""
    if told is None:
        return []
    rows = {
        **{f'customer {name}': it for name, it in told['largest'].items()},
        'other customers': told['others'],
        'unknown keys': told['unknown_keys'],
    }
    lines = [f'customers: {told["known"]}']
    for name, results in rows.items():
        counts = ', '.join(f'{it} {count}' for it, count in results.items())
        lines.append(f'{name}: {counts or "none"}')
    return lines
