"""Carry the words about customers' quotas between hosts, as datagrams."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final

from fuchsiahaven.relay import journal, traffic
from fuchsiahaven.routing import (
    deployments,
    quota_codecs,
    quota_messages,
    quotas,
    report_codecs,
)

PART: Final = 'quotas'
START_BITS: Final = 31
#: What a datagram takes beside its own bytes.
HEAD_BYTES: Final = 28


def make_terms(settings: deployments.Settings) -> quotas.Settings:
    """Make the terms that quotas are kept by on this host."""
    start = random.getrandbits(START_BITS)
    centres = settings.data_centres or (settings.host.data_centre,)
    return quotas.Settings(settings.quota, centres, start)


class Datagrams:
    """Own the socket for datagrams, which is open where there are quotas."""

    def __init__(
        self,
        settings: deployments.Settings,
        kept: quotas.Quotas,
        log: journal.Journal,
        counted: traffic.Traffic,
        post: Callable[[quota_messages.MessageReceived], None],
    ) -> None:
        """Prepare without listening."""
        self._host = settings.host
        self._quotas = kept
        self._quotas.settings = make_terms(settings)
        self._opening: set[asyncio.Task[None]] = set()
        self._log = log
        self._traffic = counted
        self._post = post
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Listen on the port where this host answers other hosts.

        Without it no holder can be asked, and customers' requests are refused
        here; those of others are served.
        """
        if self._transport is not None or self._quotas.settings.quota is None:
            return
        loop = asyncio.get_running_loop()
        try:
            opened = await loop.create_datagram_endpoint(
                lambda: _Protocol(self._take, self._note_error),
                local_addr=_read_address(self._host.address),
            )
        except OSError as error:
            self._log.tell(PART, 'no socket', error=str(error))
        else:
            self._transport = opened[0]

    def reload(self, settings: deployments.Settings) -> None:
        """Take other bounds of the deployment."""
        terms = self._quotas.settings
        self._quotas.settings = terms._replace(quota=settings.quota)
        task = asyncio.create_task(self.open())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def close(self) -> None:
        """Close the socket."""
        for task in tuple(self._opening):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def tell(
        self, told: quota_messages.SendMessage, near: Iterable[deployments.Host]
    ) -> None:
        """Send a word to a host; those `near` are in this data centre."""
        if self._transport is None:
            return
        datagram = quota_codecs.encode_message(told.message)
        try:
            self._transport.sendto(datagram, _read_address(told.address))
        except (OSError, ValueError) as error:
            self._note_error(error)
            return
        far = all(host.address != told.address for host in near)
        tally = self._traffic.find(traffic.Kind.QUOTAS, far=far)
        tally.sent += len(datagram) + HEAD_BYTES

    def _take(self, datagram: bytes, sender: str) -> None:
        try:
            word = quota_codecs.decode_message(datagram)
        except report_codecs.MalformedReport as error:
            self._log.tell_request(
                PART, 'malformed', good=False, why=str(error), sender=sender
            )
            return
        self._post(quota_messages.MessageReceived(word, sender))

    def _note_error(self, error: Exception) -> None:
        self._log.tell_request(PART, 'not sent', good=False, why=str(error))


class _Protocol(asyncio.DatagramProtocol):
    """Pass datagrams on with their sender's address."""

    def __init__(
        self,
        take: Callable[[bytes, str], None],
        note_error: Callable[[Exception], None],
    ) -> None:
        """Take whom to pass them on to."""
        self._take = take
        self._note_error = note_error

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Pass one datagram on."""
        self._take(data, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram was not delivered."""
        self._note_error(exc)


def _read_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
