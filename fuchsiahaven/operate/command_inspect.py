"""Show the state that a host on the platform reports."""

import argparse
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.operate import exit_codes

EPILOG = """examples:
  fuchsiahaven inspect --at 10.1.0.9:8106
  fuchsiahaven inspect --at 10.1.0.9:8106 --json
"""
STATE_TIMEOUT_S: Final = 3.0
SHOWN_FIELDS: Final = (
    'ready',
    'version',
    'news_age',
    'store_lost',
    'store_era',
    'source',
)
NOT_REPORTED: Final = 'not told'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        '--at',
        required=True,
        metavar='IP:PORT',
        help='the address at which the host answers other hosts',
    )
    parser.add_argument(
        '--json', action='store_true', help='print one JSON object'
    )


def run(arguments: argparse.Namespace) -> int:
    """Fetch the state of the host and print it."""
    import urllib3

    pool = urllib3.PoolManager(retries=False, timeout=STATE_TIMEOUT_S)
    try:
        answer = pool.request('GET', f'http://{arguments.at}/v1/state')
        state = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        print(f'{arguments.at}: {error}', file=sys.stderr)
        return exit_codes.UNREACHABLE
    if arguments.json:
        print(json.dumps(state))
    else:
        print('\n'.join(format_state(state)))
    return exit_codes.SUCCESS


def format_state(state: dict[str, Any]) -> list[str]:
    """Format the state of a host, one line for each field or service."""
    # Hosts of the previous version report no era.
    lines = [
        f'{name}: {state.get(name, NOT_REPORTED)}' for name in SHOWN_FIELDS
    ]
    lines.append(f'hosts: {", ".join(sorted(state["hosts"]))}')
    lines.extend(format_quarantined(state.get('quarantined', ())))
    lines.extend(format_customers(state.get('customers')))
    for service, targets in sorted(state['targets'].items()):
        descriptions = ', '.join(
            f'{name} {description}' for name, description in targets.items()
        )
        budget = state['budgets'][service]
        lines.append(f'{service}: {descriptions}; {budget} extra attempts left')
    return lines


def format_quarantined(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """Format the requests that are refused because they crash targets."""
    return [
        f'quarantined: {row["digest"]} for {row["wait"]:.0f} s, targets ended '
        f'at {row["crashes"]} moments: {", ".join(row["targets"])}'
        for row in rows
    ]


def format_customers(report: Mapping[str, Any] | None) -> list[str]:
    """Format the results of requests by customer; empty without customers."""
    if report is None:
        return []
    rows = {
        **{f'customer {name}': it for name, it in report['largest'].items()},
        'other customers': report['others'],
        'unknown keys': report['unknown_keys'],
    }
    lines = [f'customers: {report["known"]}']
    for name, results in rows.items():
        counts = ', '.join(f'{it} {count}' for it, count in results.items())
        lines.append(f'{name}: {counts or "none"}')
    return lines
