"""Send requests to hosts as callers do, on persistent connections."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import Final

from bench.soak import checks, customers, hosts, targets

PATHS: Final = {'search': '/search/1', 'one': '/one/1', 'once': '/once/1'}
DEADLINE_MS: Final = 1500
#: A complete answer of any status must arrive within this time.
MAX_ANSWER_S: Final = 4.0
MAX_PAUSE_S: Final = 0.05
PROBE_INTERVAL_S: Final = 0.5
MAX_FAILED_PROBES: Final = 2
#: The percentage of requests with a key that was never valid.
UNKNOWN_KEY_PERCENT: Final = 4


class Balancer:
    """Select the hosts in rotation by probing their readiness."""

    def __init__(self, all_hosts: list[hosts.Host]) -> None:
        """Create a balancer with every host in rotation."""
        self.hosts = all_hosts
        self._failed_probes = dict.fromkeys(
            (host.name for host in all_hosts), 0
        )

    def list_ready(self) -> list[hosts.Host]:
        """List the hosts in rotation, or all if none is."""
        ready = [
            it
            for it in self.hosts
            if self._failed_probes[it.name] < MAX_FAILED_PROBES
        ]
        return ready or self.hosts

    async def probe_repeatedly(self) -> None:
        """Probe each host at intervals until cancelled."""
        while True:
            await asyncio.gather(*[self._probe(host) for host in self.hosts])
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, host: hosts.Host) -> None:
        status = 0
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(PROBE_INTERVAL_S):
                status = await _fetch_ready(host)
        failed = self._failed_probes[host.name] + 1
        self._failed_probes[host.name] = 0 if status == checks.OK else failed


class Caller:
    """Send requests on one connection at a time and record the answers."""

    def __init__(
        self, name: str, balancer: Balancer, seed: int, customer: str = ''
    ) -> None:
        """Create a caller of one customer, or of random ones if empty."""
        self._customer = customer
        self.observations: list[checks.Observation] = []
        self._name = name
        self._balancer = balancer
        self._rng = random.Random(f'{seed} {name}')
        self._numbers = itertools.count()

    async def send_repeatedly(self) -> None:
        """Send one request after another until cancelled."""
        while True:
            host = self._rng.choice(self._balancer.list_ready())
            with contextlib.suppress(OSError):
                address, _, port = host.get_address(1).rpartition(':')
                reader, writer = await asyncio.open_connection(
                    address, int(port)
                )
                with contextlib.closing(writer):
                    await self._use_connection(host, reader, writer)
            await asyncio.sleep(MAX_PAUSE_S)

    async def _use_connection(
        self,
        host: hosts.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_open = True
        while is_open:
            is_open = await self._send_request(host, reader, writer)
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)

    async def _send_request(
        self,
        host: hosts.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        kind = self._rng.choice(tuple(PATHS))
        request_id = f'{self._name}x{next(self._numbers)}'
        customer = self._draw_customer()
        method = 'POST' if kind == 'once' else 'GET'
        text = (
            f'{method} {PATHS[kind]} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Fuchsiahaven-Request-Id: {request_id}\r\n'
            f'Fuchsiahaven-Deadline-Ms: {DEADLINE_MS}\r\n'
            f'Authorization: Token {customers.get_key(customer)}\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        sent_at = time.monotonic()
        if reader.at_eof():
            return False
        writer.write(text.encode())
        status, fields, body = await _read_answer(reader)
        ended_at = time.monotonic()
        self.observations.append(
            checks.Observation(
                request_id,
                kind,
                status,
                fields,
                body,
                sent_at,
                ended_at,
                host.stopping and not host.disturbed,
                # A request that crosses the close of an idle connection was
                # not read by the host.
                ended_at - sent_at > MAX_PAUSE_S,
                customer,
            )
        )
        return status > 0 and fields.get('connection') != 'close'

    def _draw_customer(self) -> str:
        if self._customer:
            return self._customer
        if self._rng.randrange(100) < UNKNOWN_KEY_PERCENT:
            return customers.NO_CUSTOMER
        return self._rng.choice(tuple(customers.KEYS))


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            head = await reader.readuntil(targets.HEAD_END)
            fields = targets.decode_fields(head)
            body = await reader.readexactly(int(fields['content-length']))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''
    return int(head.split(b' ')[1]), fields, body


async def _fetch_ready(host: hosts.Host) -> int:
    address, _, port = host.get_address(2).rpartition(':')
    reader, writer = await asyncio.open_connection(address, int(port))
    with contextlib.closing(writer):
        writer.write(
            b'GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        )
        line = await reader.readline()
        return int(line.split(b' ')[1])
