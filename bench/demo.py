"""Show the whole path: ask two deployments, each through a host of its own.

This script starts stand-ins and hosts as separate processes, because no
program of the project starts another, and ends each by its process id.
"""

import contextlib
import json
import sys
import time
from typing import Final, NamedTuple

import urllib3

from bench import worlds
from fuchsiahaven.core import addresses
from fuchsiahaven.operate import command_query, host_client
from standins import wire

HTTP_OK: Final = 200
START_S: Final = 20.0
PAUSE_S: Final = 0.1


class Visit(NamedTuple):
    """Hold one question, and the deployment that it is put to."""

    deployment: str
    body: host_client.JsonObject


VISITS: Final = (
    Visit(
        'santiago',
        {
            'class': 'price-check',
            'query': {'text': 'combi oven', 'limit': 3},
        },
    ),
    Visit(
        'ishikari',
        {
            'class': 'gate-lookup',
            'query': {'text': 'city pass adult', 'limit': 3},
        },
    ),
)


def main() -> int:
    """Put each question and tell by the exit code whether all was answered."""
    ports = worlds.find_free_ports()
    with contextlib.ExitStack() as stack:
        started = [
            (visit, _start(visit, next(ports), stack)) for visit in VISITS
        ]
        answered = [_visit(visit, host) for visit, host in started]
    return 0 if all(answered) else 1


def _start(
    visit: Visit, first_port: int, stack: contextlib.ExitStack
) -> addresses.Address:
    plan = worlds.Plan(visit.deployment, first_port, hosts=1)
    world = worlds.World(plan, stack)
    print(f'{visit.deployment}: {len(world.layout.holdings)} searchers')
    return addresses.Address(wire.LOOPBACK, world.hosts[0].port)


def _visit(visit: Visit, host: addresses.Address) -> bool:
    if not _wait_ready(host):
        print(f'{visit.deployment}: the host did not get ready')
        return False
    told = host_client.send_request(host, 'POST', '/v1/search', body=visit.body)
    if isinstance(told, host_client.NoResponse):
        print(f'{visit.deployment}: no answer: {told.reason}')
        return False
    print(json.dumps(told.body, ensure_ascii=False))
    lines = command_query.format_response(told)
    print(f'{visit.deployment}, {visit.body["class"]}: {lines[-1]}')
    return told.body.get('status') == 'complete'


def _wait_ready(host: addresses.Address) -> bool:
    until = time.monotonic() + START_S
    while time.monotonic() < until:
        if _is_ready(host):
            return True
        time.sleep(PAUSE_S)
    return False


def _is_ready(host: addresses.Address) -> bool:
    url = f'http://{addresses.format_address(host)}/readyz'
    try:
        return urllib3.request('GET', url, retries=False).status == HTTP_OK
    except urllib3.exceptions.HTTPError:
        return False


if __name__ == '__main__':
    sys.exit(main())
