"""Ask hosts as callers do, on connections that are kept until they end."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import Final

from bench.soak import checks, customers, hosts, targets

PATHS: Final = {'search': '/search/1', 'one': '/one/1', 'once': '/once/1'}
DEADLINE_MS: Final = 1500
#: A whole answer has to be there by then, good or bad.
LONGEST_S: Final = 4.0
PAUSE_S: Final = 0.05
ASK_READY_S: Final = 0.5
MISSES: Final = 2
#: Requests of a hundred that show a key that was never valid.
STRANGE: Final = 4


class Balancer:
    """Own which hosts are in rotation, by asking each whether it is ready."""

    def __init__(self, known: list[hosts.Host]) -> None:
        """Start with every host in rotation."""
        self.known = known
        self._misses = dict.fromkeys((host.name for host in known), 0)

    def list_ready(self) -> list[hosts.Host]:
        """List the hosts in rotation, or all where none is."""
        ready = [it for it in self.known if self._misses[it.name] < MISSES]
        return ready or self.known

    async def watch(self) -> None:
        """Ask each host from time to time, for ever."""
        while True:
            await asyncio.gather(*[self._ask(host) for host in self.known])
            await asyncio.sleep(ASK_READY_S)

    async def _ask(self, host: hosts.Host) -> None:
        status = 0
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(ASK_READY_S):
                status = await _fetch_ready(host)
        missed = self._misses[host.name] + 1
        self._misses[host.name] = 0 if status == checks.OK else missed


class Caller:
    """Own one connection at a time, and what was seen on them."""

    def __init__(
        self, name: str, balancer: Balancer, seed: int, customer: str = ''
    ) -> None:
        """Start without a connection; one customer's alone, or any's."""
        self._customer = customer
        self.seen: list[checks.Seen] = []
        self._name = name
        self._balancer = balancer
        self._random = random.Random(f'{seed} {name}')
        self._numbers = itertools.count()

    async def ask(self) -> None:
        """Ask one request after the other, for ever."""
        while True:
            host = self._random.choice(self._balancer.list_ready())
            with contextlib.suppress(OSError):
                address, _, port = host.name_address(1).rpartition(':')
                reader, writer = await asyncio.open_connection(
                    address, int(port)
                )
                with contextlib.closing(writer):
                    await self._use(host, reader, writer)
            await asyncio.sleep(PAUSE_S)

    async def _use(
        self,
        host: hosts.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        goes_on = True
        while goes_on:
            goes_on = await self._ask_one(host, reader, writer)
            await asyncio.sleep(self._random.random() * PAUSE_S)

    async def _ask_one(
        self,
        host: hosts.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        kind = self._random.choice(tuple(PATHS))
        request_id = f'{self._name}x{next(self._numbers)}'
        customer = self._draw_customer()
        method = 'POST' if kind == 'once' else 'GET'
        text = (
            f'{method} {PATHS[kind]} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Fuchsiahaven-Request-Id: {request_id}\r\n'
            f'Fuchsiahaven-Deadline-Ms: {DEADLINE_MS}\r\n'
            f'Authorization: Token {customers.find_key(customer)}\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        sent = time.monotonic()
        if reader.at_eof():
            return False
        writer.write(text.encode())
        status, fields, body = await _read_answer(reader)
        ended = time.monotonic()
        self.seen.append(
            checks.Seen(
                request_id,
                kind,
                status,
                fields,
                body,
                sent,
                ended,
                host.stopping and not host.hurt,
                # What crosses the end of an idle connection was not read.
                ended - sent > PAUSE_S,
                customer,
            )
        )
        return status > 0 and fields.get('connection') != 'close'

    def _draw_customer(self) -> str:
        if self._customer:
            return self._customer
        if self._random.randrange(100) < STRANGE:
            return customers.STRANGER
        return self._random.choice(tuple(customers.KEYS))


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    try:
        async with asyncio.timeout(LONGEST_S):
            head = await reader.readuntil(targets.END_OF_HEAD)
            fields = targets.read_fields(head)
            body = await reader.readexactly(int(fields['content-length']))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''
    return int(head.split(b' ')[1]), fields, body


async def _fetch_ready(host: hosts.Host) -> int:
    address, _, port = host.name_address(2).rpartition(':')
    reader, writer = await asyncio.open_connection(address, int(port))
    with contextlib.closing(writer):
        writer.write(
            b'GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        )
        line = await reader.readline()
        return int(line.split(b' ')[1])
