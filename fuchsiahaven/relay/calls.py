"""Call the store and other hosts, one call at a time on each connection."""

import asyncio
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs, store
from fuchsiahaven.relay import encodings, links, traffic
from fuchsiahaven.routing import events, report_codecs


class CallFailed(Exception):
    """Report that a call brought no answer, and whether it may have run."""


class Done(NamedTuple):
    """Hold the answer to a call."""

    status: int
    body: bytes
    fields: events.Fields = ()


#: A connection takes one round trip; a host that is gone takes for ever.
CONNECT_S: Final = 0.3


class Client:
    """Own a connection to one address, opened when it is needed."""

    def __init__(
        self, address: str, tally: traffic.Tally | None = None
    ) -> None:
        """Start without a connection; bytes go into the tally."""
        self.address = address
        self._tally = tally
        self.calls = 0
        self._link: links.Link | None = None
        self._waiting: asyncio.Future[http_codecs.Message] | None = None
        self._lock = asyncio.Lock()

    async def call(
        self,
        call: store.Call,
        seconds: float,
        *,
        connect_seconds: float = CONNECT_S,
        more: events.Fields = (),
    ) -> Done:
        """Make a call; raises CallFailed after so many seconds at most.

        `more` fields are sent with it.
        """
        try:
            async with self._lock, asyncio.timeout(seconds):
                return await self._call(call, connect_seconds, more)
        except (OSError, TimeoutError, report_codecs.MalformedReport) as error:
            self.close()
            raise CallFailed(f'{self.address}: {error!r}') from error

    def close(self) -> None:
        """Close the connection: what still comes on it is not wanted."""
        link = self._link
        self._link = None
        if link is not None:
            link.close(messages.Fault.TIMED_OUT)

    def take_message(
        self, link: links.Link, message: http_codecs.Message
    ) -> None:
        """Take the answer to the call."""
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(message)

    def take_end(self, link: links.Link, fault: messages.Fault) -> None:
        """Take the end of the connection."""
        if self._link is link:
            self._link = None
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(ConnectionError(fault.value))

    async def _call(
        self, call: store.Call, connect_seconds: float, more: events.Fields
    ) -> Done:
        link = self._link
        if link is None or not link.reusable:
            link = await self._open(connect_seconds)
        self.calls += 1
        waiting: asyncio.Future[http_codecs.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting = waiting
        fields = (
            ('host', self.address),
            ('content-type', 'application/json'),
            ('content-length', str(len(call.body))),
            *more,
        )
        link.start(
            links.Exchange(
                call.method, call.path, fields, call.body, lambda _: True
            )
        )
        message = await waiting
        body = message.body
        if encodings.is_packed(message.fields):
            body = encodings.unpack(body)
        return Done(message.status, body, message.fields)

    async def _open(self, seconds: float) -> links.Link:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = links.Link(self, self._tally)
        async with asyncio.timeout(seconds):
            await loop.create_connection(lambda: link, host, int(port))
        self._link = link
        return link


class Clients:
    """Own the connections to other hosts, opened when they are needed."""

    def __init__(self, counted: traffic.Traffic) -> None:
        """Start without a connection."""
        self._traffic = counted
        self._clients: dict[str, Client] = {}

    def find(self, address: str, *, far: bool) -> Client:
        """Find the client of a host, which is `far` in another data centre."""
        client = self._clients.get(address)
        if client is None:
            tally = self._traffic.find(traffic.Kind.NEWS, far=far)
            client = Client(address, tally)
            self._clients[address] = client
        return client

    def close(self) -> None:
        """Close all of them."""
        for client in self._clients.values():
            client.close()
