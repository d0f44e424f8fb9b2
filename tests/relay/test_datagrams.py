"""Test that words about quotas pass between hosts."""

import asyncio
import contextlib
import json
import os
import socket
from typing import Final

import pytest

from fuchsiahaven.relay import datagrams, journal, traffic
from fuchsiahaven.routing import deployments, quota_messages, quotas
from tests.relay import peers

QUOTA: Final = deployments.QuotaTolerance(5.0, 0.1, 20.0)
WORD: Final = quota_messages.TokenRequest('shop', 1, 2, 3, 4)


def find_port() -> int:
    """Find a port that is free for datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((peers.LOOPBACK, 0))
        return int(probe.getsockname()[1])


class Side:
    """Own one host's socket, and what it heard and logged."""

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        quota: deployments.QuotaTolerance | None,
        port: int = 0,
    ) -> None:
        """Prepare without listening."""
        read, write = os.pipe()
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        self._read = read
        self.log = journal.Journal('host', write)
        stack.callback(self.log.close)
        self.heard: asyncio.Queue[quota_messages.MessageReceived] = (
            asyncio.Queue()
        )
        self.traffic = traffic.Traffic()
        self.address = f'{peers.LOOPBACK}:{port or find_port()}'
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
        self.datagrams = datagrams.Datagrams(
            self.settings,
            quotas.Quotas(self.host),
            self.log,
            self.traffic,
            self.heard.put_nowait,
        )
        stack.callback(self.datagrams.close)

    def read_line(self) -> str:
        """Read what the first line of the log tells."""
        self.log.close()
        line = os.read(self._read, 65_536).splitlines()[0]
        return str(json.loads(line)['text'])


@pytest.mark.parametrize(
    'stray', [b'no word', b'["ask"]', b'\xff', b'[' * 9999]
)
def test_a_word_comes_after_what_is_none(stray: bytes) -> None:
    """Guard against bytes of something else that stop the words."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            one = Side(stack, QUOTA)
            other = Side(stack, QUOTA)
            await one.datagrams.open()
            await other.datagrams.open()
            host, _, port = other.address.rpartition(':')
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(stray, (host, int(port)))
            told = quota_messages.SendMessage(WORD, other.address)
            one.datagrams.tell(told, (other.host,))
            found = await other.heard.get()
            assert found == quota_messages.MessageReceived(WORD, one.address)
            assert other.read_line() == 'malformed'
            assert one.traffic.find(traffic.Kind.QUOTAS, far=False).sent

    peers.run(check())


def test_without_quota_no_port_is_opened() -> None:
    """Guard against a port that deployments without quotas do not need."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            side = Side(stack, None)
            await side.datagrams.open()
            again = Side(stack, QUOTA, int(side.address.rpartition(':')[2]))
            await again.datagrams.open()
            again.datagrams.tell(
                quota_messages.SendMessage(WORD, again.address), ()
            )
            assert (await again.heard.get()).message == WORD
            side.datagrams.tell(
                quota_messages.SendMessage(WORD, again.address), ()
            )
            assert again.heard.empty()

    peers.run(check())


def test_goes_on_where_the_port_is_taken() -> None:
    """Guard against a host that does not start for want of this port."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            one = Side(stack, QUOTA)
            await one.datagrams.open()
            other = Side(stack, QUOTA, int(one.address.rpartition(':')[2]))
            await other.datagrams.open()
            assert other.read_line() == 'no socket'

    peers.run(check())


def test_opens_the_port_when_the_settings_bring_a_quota() -> None:
    """Guard against a reload after which nobody can be asked."""

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            side = Side(stack, None)
            side.datagrams.reload(side.settings._replace(quota=QUOTA))
            await asyncio.sleep(0)
            other = Side(stack, QUOTA)
            await other.datagrams.open()
            tell = quota_messages.SendMessage(WORD, side.address)
            other.datagrams.tell(tell, ())
            async with asyncio.timeout(5):
                assert (await side.heard.get()).message == WORD

    peers.run(check())
