"""Carry quota messages between hosts as UDP datagrams."""

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
START_ID_BITS: Final = 31
#: Headers of IP and UDP that each datagram adds.
HEADER_BYTES: Final = 28


def make_quota_settings(settings: deployments.Settings) -> quotas.Settings:
    """Make the quota settings of this host."""
    start_id = random.getrandbits(START_ID_BITS)
    centres = settings.data_centres or (settings.host.data_centre,)
    return quotas.Settings(settings.quota, centres, start_id)


class QuotaSocket:
    """Send and receive quota messages; the socket is open if quotas are set."""

    def __init__(
        self,
        settings: deployments.Settings,
        host_quotas: quotas.Quotas,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
        post_event: Callable[[quota_messages.MessageReceived], None],
    ) -> None:
        """Start without a socket."""
        self._host = settings.host
        self._quotas = host_quotas
        self._quotas.settings = make_quota_settings(settings)
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._log = log
        self._traffic_counts = traffic_counts
        self._post_event = post_event
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Bind to the address on which this host answers other hosts.

        Without the socket no quota holder can be asked: requests of
        customers are refused here, requests without one are served.
        """
        if self._transport is not None or self._quotas.settings.quota is None:
            return
        loop = asyncio.get_running_loop()
        try:
            endpoint = await loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(
                    self._handle_datagram, self._log_error
                ),
                local_addr=_parse_address(self._host.address),
            )
        except OSError as error:
            self._log.log_event(PART, 'no socket', error=str(error))
        else:
            self._transport = endpoint[0]

    def update_settings(self, settings: deployments.Settings) -> None:
        """Apply changed quota settings, and open the socket if they need it."""
        quota_settings = self._quotas.settings
        self._quotas.settings = quota_settings._replace(quota=settings.quota)
        task = asyncio.create_task(self.open())
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    def close(self) -> None:
        """Close the socket."""
        for task in tuple(self._open_tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self,
        action: quota_messages.SendMessage,
        local_hosts: Iterable[deployments.Host],
    ) -> None:
        """Send a message to a host.

        `local_hosts` are the hosts of this data centre, for the byte counts.
        """
        if self._transport is None:
            return
        datagram = quota_codecs.encode_message(action.message)
        try:
            self._transport.sendto(datagram, _parse_address(action.address))
        except (OSError, ValueError) as error:
            self._log_error(error)
            return
        cross_centre = all(
            host.address != action.address for host in local_hosts
        )
        byte_counts = self._traffic_counts.get_counts(
            traffic.Kind.QUOTAS, cross_centre=cross_centre
        )
        byte_counts.sent += len(datagram) + HEADER_BYTES

    def _handle_datagram(self, datagram: bytes, sender: str) -> None:
        try:
            message = quota_codecs.decode_message(datagram)
        except report_codecs.MalformedReport as error:
            self._log.log_request(
                PART, 'malformed', good=False, why=str(error), sender=sender
            )
            return
        self._post_event(quota_messages.MessageReceived(message, sender))

    def _log_error(self, error: Exception) -> None:
        self._log.log_request(PART, 'not sent', good=False, why=str(error))


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Pass datagrams and their senders' addresses to callbacks."""

    def __init__(
        self,
        handle_datagram: Callable[[bytes, str], None],
        log_error: Callable[[Exception], None],
    ) -> None:
        """Keep the callbacks."""
        self._handle_datagram = handle_datagram
        self._log_error = log_error

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Handle one datagram."""
        self._handle_datagram(data, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Handle an undelivered datagram."""
        self._log_error(exc)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
