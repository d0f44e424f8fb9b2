"""Test planned stops of whole hosts against targets on loopback."""

import asyncio
import collections
import contextlib
import itertools
import os
import signal
import socket
from collections.abc import AsyncIterator
from typing import Final

from fuchsiahaven.relay import process
from tests.relay import clusters, servers

#: Time from the signal to the kill: long enough for the balancer's lag.
GRACE_S: Final = 3.6
LONG_GRACE_S: Final = 12.0
MAX_ANSWER_S: Final = 15.0
CALLERS: Final = 12
WORK_S: Final = 0.1
NOT_RUN: Final = 503
LONG_BODY: Final = b'a record' * 250_000
#: Sizes of a usual network, where an answer takes many packets.
SEGMENT_BYTES: Final = 1448
RECEIVE_BUFFER_BYTES: Final = 8192
#: With this pause a long answer takes about four seconds, which is longer than
#: the balancer's lag.
SLOW_PAUSE_S: Final = 0.016


class StoppingHost:
    """Hold a host that is asked to stop, and what its callers get."""

    def __init__(
        self,
        host: process.Process,
        target: servers.Server,
        task: asyncio.Task[None],
    ) -> None:
        """Start without requests."""
        self.host = host
        self.target = target
        self.task = task
        self.statuses: dict[str, int] = {}
        self.cut: list[str] = []
        self._numbers = itertools.count()

    async def connect(self) -> socket.socket:
        """Open a connection of a caller on a usual network."""
        address, _, port = self.host.settings.caller_address.rpartition(':')
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address, int(port)))
        return sock

    async def send(self, request_id: str, method: str = 'GET') -> socket.socket:
        """Send a request whose deadline is after the stop."""
        sock = await self.connect()
        lines = (
            f'{method} /one/1 HTTP/1.1',
            'Host: shop.example',
            f'Fuchsiahaven-Request-Id: {request_id}',
            'Fuchsiahaven-Deadline-Ms: 8000',
            'Content-Length: 0',
        )
        sock.send('\r\n'.join((*lines, '', '')).encode())
        return sock

    async def request_stop(self) -> None:
        """Ask the host to stop, and wait until it has begun."""
        os.kill(os.getpid(), signal.SIGTERM)
        await servers.wait_for(self.host.find_obstacle)

    async def send_until_ended(self) -> None:
        """Send one request after the other until the host has ended."""
        while not self.task.done():
            request_id = f'id-{next(self._numbers)}'
            try:
                sock = await self.send(request_id, 'POST')
            except OSError:
                await asyncio.sleep(WORK_S)
                continue
            answer = await read_answer(sock)
            if answer:
                self.statuses[request_id] = int(answer.split(b' ')[1])
            else:
                self.cut.append(request_id)


async def read_answer(sock: socket.socket, pause_s: float = 0.0) -> bytes:
    """Read until the connection ends; empty if it ends without an answer.

    A caller on a slow link pauses after each buffer that it has read.
    """
    loop = asyncio.get_running_loop()
    received = bytearray()
    with contextlib.suppress(OSError, TimeoutError), contextlib.closing(sock):
        async with asyncio.timeout(MAX_ANSWER_S):
            while chunk := await loop.sock_recv(sock, RECEIVE_BUFFER_BYTES):
                received += chunk
                await asyncio.sleep(pause_s)
                if received.endswith(b'done'):
                    break
    return bytes(received)


@contextlib.asynccontextmanager
async def start(
    script: servers.Script, grace_s: float = GRACE_S, **changed: object
) -> AsyncIterator[StoppingHost]:
    """Run a host whose single requests all go to one target."""
    async with clusters.make() as cluster, servers.listen(script) as target:
        configuration = clusters.make_configuration(5, **changed)
        # A request that is partly received may take longer than the stop.
        configuration['limits'] = {'header_timeout_ms': 60_000}
        cluster.store.put('op/config', configuration)
        cluster.store.remove('servers/i-5')
        cluster.store.put_target('i-9', 'records', target.address)
        host = await cluster.add_host('host-1', grace_s=grace_s)
        yield StoppingHost(host, target, cluster.tasks['host-1'])


async def answer_soon(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer a request after some work."""
    await asyncio.sleep(WORK_S)
    request_id = servers.find_request_id(head)
    writer.write(servers.encode_response(request_id, b'done'))


def test_answers_each_request_that_arrives_during_a_stop() -> None:
    """Guard against a stop that breaks off the requests it took last.

    New requests arrive until the host has ended, as a balancer that has too few
    other hosts sends them on.
    """

    async def check() -> None:
        async with start(
            answer_soon, type='non_idempotent', timeout_ms=9000
        ) as rig:
            callers = [
                asyncio.create_task(rig.send_until_ended())
                for _ in range(CALLERS)
            ]
            await servers.wait_for(lambda: len(rig.statuses) >= CALLERS)
            await rig.request_stop()
            await asyncio.gather(*callers)
            runs = collections.Counter(
                servers.find_request_id(it) for it in rig.target.request_heads
            )
            assert not runs.keys() & set(rig.cut)
            assert {rig.statuses[it] for it in runs} == {200}
            assert set(rig.statuses.values()) == {200, NOT_RUN}
            assert set(runs.values()) == {1}

    servers.run(check())


def test_answers_a_request_that_outlasts_the_stop() -> None:
    """Guard against a connection that closes without an answer.

    The target is still at work when the host has to end.
    """
    may_answer = asyncio.Event()

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        await may_answer.wait()

    async def check() -> None:
        async with start(script, timeout_ms=9000) as rig:
            sock = await rig.send('id-1')
            await servers.wait_for(lambda: rig.target.request_heads)
            await rig.request_stop()
            assert (await read_answer(sock)).startswith(b'HTTP/1.1 504 ')
            may_answer.set()

    servers.run(check())


def test_sends_a_long_answer_before_it_ends() -> None:
    """Guard against a stop that drops the unsent end of an answer.

    The caller is on a slow link, and the answer fills the buffers of the host.
    """

    async def check() -> None:
        async with start(
            servers.make_script(LONG_BODY), grace_s=LONG_GRACE_S
        ) as rig:
            sock = await rig.send('id-1')
            await servers.wait_for(lambda: rig.target.request_heads)
            await rig.request_stop()
            connections = rig.host.caller_listener.connections
            unsent_counts: list[int] = []
            rig.task.add_done_callback(
                lambda _: unsent_counts.append(len(connections))
            )
            answer = await read_answer(sock, pause_s=SLOW_PAUSE_S)
            assert answer.endswith(LONG_BODY)
            await rig.task
            assert unsent_counts == [0]

    servers.run(check())


def test_rejects_a_request_that_is_half_read() -> None:
    """Guard against a caller that cannot tell whether its request has run.

    The rest of the request does not arrive before the host ends.
    """

    async def check() -> None:
        async with start(answer_soon) as rig:
            await rig.request_stop()
            sock = await rig.connect()
            sock.send(b'POST /one/1 HTTP/1.1\r\nHost: shop')
            assert (await read_answer(sock)).startswith(b'HTTP/1.1 503 ')

    servers.run(check())
