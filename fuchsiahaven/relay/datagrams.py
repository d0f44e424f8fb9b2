"""Carry the words about customers' use between hosts, as datagrams."""

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Final

from fuchsiahaven.relay import journal, traffic
from fuchsiahaven.routing import places, quota_codecs, quota_words, quotas

PART: Final = 'quotas'
START_BITS: Final = 31
#: What a datagram takes beside its own bytes.
HEAD_BYTES: Final = 28


def make_terms(settings: places.Settings) -> quotas.Terms:
    """Make the terms that quotas are kept by on this host."""
    return quotas.Terms(
        settings.quota,
        len(settings.data_centres),
        random.getrandbits(START_BITS),
        -math.inf if settings.first_start else count_seconds(),
        find_slept,
    )


def find_slept() -> float:
    """Return for how many seconds this host was suspended since its boot.

    The steady clock stands still meanwhile.
    """
    return count_seconds() - time.monotonic()


def count_seconds() -> float:
    """Return the seconds since the boot, those of suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Datagrams:
    """Own the socket for datagrams, where customers have quotas."""

    def __init__(
        self,
        settings: places.Settings,
        log: journal.Journal,
        counted: traffic.Traffic,
        post: Callable[[quota_words.Heard], None],
    ) -> None:
        """Prepare without listening."""
        self._settings = settings
        self._log = log
        self._traffic = counted
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None
        self._last: tuple[quota_words.Word, bytes] | None = None

    async def listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on the port where this host answers other hosts."""
        if self._settings.quota is None:
            return
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._take),
            local_addr=_read_address(self._settings.host.address),
        )
        stack.callback(transport.close)
        self._transport = transport

    @property
    def address(self) -> str:
        """Return where this host listens; empty where it does not."""
        if self._transport is None:
            return ''
        host, port = self._transport.get_extra_info('sockname')
        return f'{host}:{port}'

    def tell(
        self,
        word: quota_words.Word,
        address: str,
        hosts: Iterable[places.Host],
    ) -> None:
        """Send a word to a host."""
        if self._transport is None:
            return
        datagram = self._write(word)
        self.send(datagram, address)
        own = self._settings.host.data_centre
        far = any(
            host.address == address and host.data_centre != own
            for host in hosts
        )
        tally = self._traffic.find(traffic.Kind.QUOTAS, far=far)
        tally.sent += len(datagram) + HEAD_BYTES

    def send(self, datagram: bytes, address: str) -> None:
        """Send bytes to an address."""
        if self._transport is not None:
            self._transport.sendto(datagram, _read_address(address))

    def _write(self, word: quota_words.Word) -> bytes:
        # Most words go to several hosts, one after the other.
        if self._last is None or self._last[0] is not word:
            self._last = (word, quota_codecs.write_word(word))
        return self._last[1]

    def _take(self, datagram: bytes, sender: str) -> None:
        try:
            word = quota_codecs.read_word(datagram)
        except quota_codecs.Malformed as error:
            self._log.tell_request(
                PART, 'malformed', good=False, why=str(error), sender=sender
            )
            return
        self._post(quota_words.Heard(word, sender))


class _Protocol(asyncio.DatagramProtocol):
    """Pass datagrams on with their sender's address."""

    def __init__(self, take: Callable[[bytes, str], None]) -> None:
        """Take whom to pass them on to."""
        self._take = take

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Pass one datagram on."""
        self._take(data, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Pass over a host whose port is closed: its silence tells enough."""


def _read_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
