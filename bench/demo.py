"""Show the whole path: ask two deployments, each through a host of its own.

This script starts stand-ins and hosts as separate processes, because no
program of the project starts another, and ends each by its process id.
"""

import contextlib
import json
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

import urllib3

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import command_query, exchanges

FIRST_RANGE: Final = 21_000
LAST_RANGE: Final = 30_000
RANGE: Final = 300
#: The ports of a range beyond those of the targets.
PLATFORM_PORT: Final = 290
CALLER_PORT: Final = 291
PEER_PORT: Final = 292
HTTP_OK: Final = 200
START_S: Final = 20.0
PAUSE_S: Final = 0.1
STOP_S: Final = 10.0

SETTINGS: Final = """
[host]
name = {data_centre}-01
data_centre = {data_centre}
[callers]
address = 127.0.0.1:{caller}
[peers]
address = 127.0.0.1:{peer}
allow_plain = yes
[platform]
addresses = 127.0.0.1:{platform}
[limits]
balancer_lag_s = 0
drain_s = 2
[logs]
verbosity = warning
"""


class Host(NamedTuple):
    """Hold a started host and where it takes questions."""

    address: addresses.Address
    process: subprocess.Popen[str]


class Visit(NamedTuple):
    """Hold one question, and the deployment that it is put to."""

    deployment: str
    data_centre: str
    body: exchanges.Body


VISITS: Final = (
    Visit(
        'santiago',
        'Quilicura',
        {
            'class': 'price-check',
            'query': {'text': 'combi oven', 'limit': 3},
        },
    ),
    Visit(
        'ishikari',
        'Odori',
        {
            'class': 'gate-lookup',
            'query': {'text': 'city pass adult', 'limit': 3},
        },
    ),
)


def main() -> int:
    """Put each question and tell by the exit code whether all was answered."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        ports = _find_ranges(len(VISITS))
        hosts = [
            _start(stack, visit, port, Path(folder))
            for visit, port in zip(VISITS, ports, strict=True)
        ]
        answered = [
            _visit(visit, host)
            for visit, host in zip(VISITS, hosts, strict=True)
        ]
    return 0 if all(answered) else 1


def _find_ranges(count: int) -> list[int]:
    """Find port ranges that nothing uses, so that two demos do not meet."""
    ranges = range(FIRST_RANGE, LAST_RANGE, RANGE)
    free = [first for first in ranges if _is_free(first)]
    return free[:count]


def _is_free(first: int) -> bool:
    for port in range(first, first + RANGE):
        with socket.socket() as probe:
            # What closed a moment ago may be bound again, as servers do.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


def _start(
    stack: contextlib.ExitStack,
    visit: Visit,
    first: int,
    folder: Path,
) -> Host:
    place = ('--deployment', visit.deployment, '--first-port', str(first))
    store = str(first + PLATFORM_PORT)
    ready = [
        _run(stack, 'standins', 'platform', '--port', store, *place),
        _run(stack, 'standins', 'searchers', *place),
    ]
    for standin in ready:
        assert standin.stdout
        print(standin.stdout.readline().strip(), flush=True)
    path = folder / f'{visit.deployment}.ini'
    path.write_text(
        SETTINGS.format(
            data_centre=visit.data_centre,
            platform=store,
            caller=first + CALLER_PORT,
            peer=first + PEER_PORT,
        ),
    )
    process = _run(stack, 'fuchsiahaven', 'serve', '--settings', str(path))
    address = addresses.Address('127.0.0.1', first + CALLER_PORT)
    return Host(address, process)


def _run(
    stack: contextlib.ExitStack,
    module: str,
    *words: str,
) -> subprocess.Popen[str]:
    """Run a module as a process of its own, which the stack ends."""
    process = subprocess.Popen(
        (sys.executable, '-m', module, *words),
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(_end, process)
    return process


def _end(process: subprocess.Popen[str]) -> None:
    process.terminate()
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        print(f'process {process.pid} did not stop when asked', flush=True)
        process.kill()
        process.wait()


def _visit(visit: Visit, host: Host) -> bool:
    if not _wait_ready(host):
        print(f'{visit.deployment}: the host did not get ready')
        return False
    told = exchanges.ask(host.address, 'POST', '/v1/search', body=visit.body)
    if isinstance(told, exchanges.Silent):
        print(f'{visit.deployment}: no answer: {told.reason}')
        return False
    print(json.dumps(told.body, ensure_ascii=False))
    lines = command_query.describe(told)
    print(f'{visit.deployment}, {visit.body["class"]}: {lines[-1]}')
    return told.body.get('status') == 'complete'


def _wait_ready(host: Host) -> bool:
    until = time.monotonic() + START_S
    while time.monotonic() < until and host.process.poll() is None:
        if _is_ready(host):
            return True
        time.sleep(PAUSE_S)
    return False


def _is_ready(host: Host) -> bool:
    url = f'http://{addresses.write(host.address)}/readyz'
    try:
        return urllib3.request('GET', url, retries=False).status == HTTP_OK
    except urllib3.exceptions.HTTPError:
        return False


if __name__ == '__main__':
    sys.exit(main())
