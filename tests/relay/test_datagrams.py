"""Test that words about customers' use pass between hosts."""

import asyncio
import contextlib
import json
import os
from typing import Final

import pytest

from fuchsiahaven.relay import datagrams, journal, traffic
from fuchsiahaven.routing import places, quota_words

QUOTA: Final = places.Quota(5.0, 0.1, 20.0)
WORD: Final = quota_words.Alert('shop', 'host-1', asking=True)


def make_settings(
    quota: places.Quota | None, name: str, address: str
) -> places.Settings:
    """Make the settings of a host that has no other ports."""
    return places.Settings(
        places.Host(name, address, 'north'),
        ('north',),
        '',
        '',
        '',
        (),
        '',
        places.ExtraLoad(0.2, 1.0, 10.0),
        1.0,
        1.0,
        quota=quota,
    )


class Side:
    """Own one host's socket, and what it heard and logged."""

    def __init__(
        self, stack: contextlib.AsyncExitStack, quota: places.Quota | None
    ) -> None:
        """Prepare without listening."""
        read, write = os.pipe()
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        self._read = read
        self.log = journal.Journal('host', write)
        stack.callback(self.log.close)
        self.heard: asyncio.Queue[quota_words.Heard] = asyncio.Queue()
        self.traffic = traffic.Traffic()
        self.datagrams = datagrams.Datagrams(
            make_settings(quota, 'host', '127.0.0.1:0'),
            self.log,
            self.traffic,
            self.heard.put_nowait,
        )

    def read_line(self) -> str:
        """Read what the first line of the log tells."""
        self.log.close()
        line = os.read(self._read, 65_536).splitlines()[0]
        return str(json.loads(line)['text'])


async def carry(stray: bytes) -> None:
    """Have one host tell another a word, after some other bytes."""
    async with contextlib.AsyncExitStack() as stack:
        one = Side(stack, QUOTA)
        other = Side(stack, QUOTA)
        await one.datagrams.listen(stack)
        await other.datagrams.listen(stack)
        one.datagrams.send(stray, other.datagrams.address)
        one.datagrams.tell(WORD, other.datagrams.address, ())
        found = await other.heard.get()
        assert found == quota_words.Heard(WORD, one.datagrams.address)
        assert other.read_line() == 'malformed'
        assert one.traffic.find(traffic.Kind.QUOTAS, far=False).sent


@pytest.mark.parametrize('stray', [b'no word', b'["u1"]', b'\xff'])
def test_a_word_comes_after_what_is_none(stray: bytes) -> None:
    """Symptom: bytes of something else on the port stop the words."""
    asyncio.run(carry(stray))


async def listen_without_quota() -> str:
    """Start where customers have no quota."""
    async with contextlib.AsyncExitStack() as stack:
        side = Side(stack, None)
        await side.datagrams.listen(stack)
        return side.datagrams.address


def test_without_quota_no_port_is_opened() -> None:
    """Symptom: deployments without quotas open a port that nobody needs."""
    assert not asyncio.run(listen_without_quota())
