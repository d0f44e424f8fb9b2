"""Test the exchange of quota messages between hosts."""

import asyncio
import contextlib
import json
import os
import socket
from typing import Final

import pytest

from fuchsiahaven.relay import journal, quota_sockets, traffic
from fuchsiahaven.routing import deployments, quota_messages, quotas
from tests.relay import servers

QUOTA: Final = deployments.QuotaTolerance(5.0, 0.1, 20.0)
MESSAGE: Final = quota_messages.TokenRequest('shop', 1, 2, 3, 4)


def find_port() -> int:
    """Find a port that is free for datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((servers.LOOPBACK, 0))
        return int(probe.getsockname()[1])


class QuotaHost:
    """Hold one host's socket, its received messages and its log."""

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        quota: deployments.QuotaTolerance | None,
        port: int = 0,
    ) -> None:
        """Start without a socket."""
        read, write = os.pipe()
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        self._read = read
        self.log = journal.Journal('host', write)
        stack.callback(self.log.close)
        self.received: asyncio.Queue[quota_messages.MessageReceived] = (
            asyncio.Queue()
        )
        self.traffic_counts = traffic.TrafficCounts()
        self.address = f'{servers.LOOPBACK}:{port or find_port()}'
        self.host = deployments.Host('host', self.address, 'north')
        self.settings = deployments.Settings(
            self.host,
            ('north',),
            '',
            '',
            '',
            (),
            '',
            deployments.ExtraLoadLimit(0.2, 1.0, 10.0),
            1.0,
            1.0,
            quota=quota,
        )
        self.quota_socket = quota_sockets.QuotaSocket(
            self.settings,
            quotas.Quotas(self.host),
            self.log,
            self.traffic_counts,
            self.received.put_nowait,
        )
        stack.callback(self.quota_socket.close)

    def read_line(self) -> str:
        """Return the text of the first log line."""
        self.log.close()
        line = os.read(self._read, 65_536).splitlines()[0]
        return str(json.loads(line)['text'])


@pytest.mark.parametrize(
    'garbage', [b'no word', b'["ask"]', b'\xff', b'[' * 9999]
)
def test_receives_a_message_after_garbage(garbage: bytes) -> None:
    """Guard against invalid datagrams that stop the socket."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            sending = QuotaHost(stack, QUOTA)
            receiving = QuotaHost(stack, QUOTA)
            await sending.quota_socket.open()
            await receiving.quota_socket.open()
            host, _, port = receiving.address.rpartition(':')
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(garbage, (host, int(port)))
            action = quota_messages.SendMessage(MESSAGE, receiving.address)
            sending.quota_socket.send(action, (receiving.host,))
            event = await receiving.received.get()
            assert event == quota_messages.MessageReceived(
                MESSAGE, sending.address
            )
            assert receiving.read_line() == 'malformed'
            assert sending.traffic_counts.get_counts(
                traffic.Kind.QUOTAS, cross_centre=False
            ).sent

    servers.run(check())


def test_opens_no_port_without_quotas() -> None:
    """Guard against an unneeded port in deployments without quotas."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            side = QuotaHost(stack, None)
            await side.quota_socket.open()
            again = QuotaHost(
                stack, QUOTA, int(side.address.rpartition(':')[2])
            )
            await again.quota_socket.open()
            again.quota_socket.send(
                quota_messages.SendMessage(MESSAGE, again.address), ()
            )
            assert (await again.received.get()).message == MESSAGE
            side.quota_socket.send(
                quota_messages.SendMessage(MESSAGE, again.address), ()
            )
            assert again.received.empty()

    servers.run(check())


def test_logs_a_port_in_use() -> None:
    """Guard against a host that fails to start if the port is in use."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            first = QuotaHost(stack, QUOTA)
            await first.quota_socket.open()
            second = QuotaHost(
                stack, QUOTA, int(first.address.rpartition(':')[2])
            )
            await second.quota_socket.open()
            assert second.read_line() == 'no socket'

    servers.run(check())


def test_opens_the_port_on_reload() -> None:
    """Guard against a reload that sets a quota but opens no socket."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            side = QuotaHost(stack, None)
            side.quota_socket.update_settings(
                side.settings._replace(quota=QUOTA)
            )
            await asyncio.sleep(0)
            other = QuotaHost(stack, QUOTA)
            await other.quota_socket.open()
            action = quota_messages.SendMessage(MESSAGE, side.address)
            other.quota_socket.send(action, ())
            async with asyncio.timeout(5):
                assert (await side.received.get()).message == MESSAGE

    servers.run(check())
