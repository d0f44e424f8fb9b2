"""Stand-ins for targets that record what they run."""

import asyncio
import collections
import contextlib
import hashlib
import random
import time
from typing import Final, NamedTuple

HEAD_END: Final = b'\r\n\r\n'
RECORDS_PER_ANSWER: Final = 4
RECORD_BYTES: Final = 16
WORK_S: Final = 0.004


class Run(NamedTuple):
    """Record that a target ran a request, and when."""

    request_id: str
    target: str
    at: float


class RunLog:
    """Record what all targets ran.

    `customers` are those that targets received with each request;
    `requests_with_key` are the requests that reached targets with a key.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self.runs: list[Run] = []
        self.requests_without_id: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.customers: dict[str, set[str]] = {}
        self.requests_with_key: set[str] = set()

    def record_run(self, fields: dict[str, str], target: str) -> None:
        """Record that a target runs a request with these fields."""
        request_id = fields['fuchsiahaven-request-id']
        self.runs.append(Run(request_id, target, time.monotonic()))
        self.counts[request_id] += 1
        customer = fields.get('fuchsiahaven-tenant', '')
        self.customers.setdefault(request_id, set()).add(customer)
        if 'authorization' in fields:
            self.requests_with_key.add(request_id)


def make_records(request_id: str, service: str) -> list[bytes]:
    """Return the records that each target of a service has for a request."""
    return [
        hashlib.sha256(f'{request_id} {service} {number}'.encode()).digest()[
            :RECORD_BYTES
        ]
        for number in range(RECORDS_PER_ANSWER)
    ]


class Target:
    """Serve as one target, which can be set to misbehave."""

    def __init__(self, name: str, service: str, run_log: RunLog) -> None:
        """Create a target that does not listen."""
        self.name = name
        self.service = service
        self.address = ''
        self.slow_factor = 1.0
        self.corrupted_fraction = 0.0
        self._run_log = run_log
        self._rng = random.Random(name)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def crash(self) -> None:
        """Close all sockets as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(HEAD_END)
                fields = decode_fields(head)
                length = int(fields.get('content-length', '0'))
                await reader.readexactly(length)
                await self._answer(fields, writer)
        self._writers.discard(writer)

    async def _answer(
        self, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = fields.get('fuchsiahaven-request-id', '')
        if not request_id:
            self._run_log.requests_without_id.append(str(fields))
            writer.write(
                b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'
            )
            return
        if fields.get('fuchsiahaven-target-instance') != self.name:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
            )
            return
        self._run_log.record_run(fields, self.name)
        await asyncio.sleep(WORK_S * self.slow_factor)
        body = b''.join(make_records(request_id, self.service))
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'Fuchsiahaven-Request-Id: {request_id}\r\n'
            f'Fuchsiahaven-Response-Signature: {request_id}.{self.service}\r\n'
            '\r\n'
        )
        answer = head.encode() + body
        if self._rng.random() < self.corrupted_fraction:
            # A truncated answer, a doubled one, or none.
            variants = (answer[:-20], answer * 2, b'')
            writer.write(self._rng.choice(variants))
            writer.close()
            return
        writer.write(answer)
        await writer.drain()


def decode_fields(head: bytes) -> dict[str, str]:
    """Decode the header fields of a message."""
    fields = {}
    for line in head.decode('latin-1').split('\r\n')[1:]:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return fields
