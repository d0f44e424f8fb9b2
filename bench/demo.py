"""Demonstrate the whole request path: query two deployments, each by a host.

This script starts stand-ins and hosts as separate processes, because no
program of the project starts another, and stops each by its process id.
"""

import contextlib
import json
import sys
import time
from typing import Final, NamedTuple

import urllib3

from bench import testbeds
from fuchsiahaven.core import addresses
from fuchsiahaven.operate import command_query, host_client
from standins import wire

HTTP_OK: Final = 200
MAX_START_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.1


class DemoQuery(NamedTuple):
    """Hold one query and the deployment that it is sent to."""

    deployment: str
    body: host_client.JsonObject


QUERIES: Final = (
    DemoQuery(
        'santiago',
        {
            'class': 'price-check',
            'query': {'text': 'combi oven', 'limit': 3},
        },
    ),
    DemoQuery(
        'ishikari',
        {
            'class': 'gate-lookup',
            'query': {'text': 'city pass adult', 'limit': 3},
        },
    ),
)


def main() -> int:
    """Run each query; return 0 if all answers are complete, else 1."""
    ports = testbeds.find_free_ports()
    with contextlib.ExitStack() as stack:
        running = [
            (query, _start(query, next(ports), stack)) for query in QUERIES
        ]
        complete = [_run_query(query, host) for query, host in running]
    return 0 if all(complete) else 1


def _start(
    query: DemoQuery, first_port: int, stack: contextlib.ExitStack
) -> addresses.Address:
    plan = testbeds.Plan(query.deployment, first_port, hosts=1)
    testbed = testbeds.Testbed(plan, stack)
    print(f'{query.deployment}: {len(testbed.layout.holdings)} searchers')
    return addresses.Address(wire.LOOPBACK, testbed.hosts[0].port)


def _run_query(query: DemoQuery, host: addresses.Address) -> bool:
    if not _wait_until_ready(host):
        print(f'{query.deployment}: the host did not become ready')
        return False
    response = host_client.send_request(
        host, 'POST', '/v1/search', body=query.body
    )
    if isinstance(response, host_client.NoResponse):
        print(f'{query.deployment}: no answer: {response.reason}')
        return False
    print(json.dumps(response.body, ensure_ascii=False))
    lines = command_query.format_response(response)
    print(f'{query.deployment}, {query.body["class"]}: {lines[-1]}')
    return response.body.get('status') == 'complete'


def _wait_until_ready(host: addresses.Address) -> bool:
    deadline = time.monotonic() + MAX_START_S
    while time.monotonic() < deadline:
        if _is_ready(host):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def _is_ready(host: addresses.Address) -> bool:
    url = f'http://{addresses.format_address(host)}/readyz'
    try:
        return urllib3.request('GET', url, retries=False).status == HTTP_OK
    except urllib3.exceptions.HTTPError:
        return False


if __name__ == '__main__':
    sys.exit(main())
