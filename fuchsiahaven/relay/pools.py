"""Own the connections to one target and what is under way on them.

Every sending that is handed in ends in exactly one event.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import messages
from fuchsiahaven.platform import exchanges
from fuchsiahaven.relay import links
from fuchsiahaven.routing import events, instances

#: A connection that is not open by then is not waited for; a new one takes
#: one round trip, at most 3 ms here, and up to 6 ms of the target's time.
CONNECT_S: Final = 0.25
#: A target past its bound on connections resets new ones; trying again at once
#: would meet the same.
BACK_OFF_S: Final = 0.5
#: An answer so recent proves that a connection works.
PROVEN_S: Final = 0.2
#: A sending is given up so long after its end: the target's own answer that
#: the time is over may come a little late.
PATIENCE_S: Final = 0.25
#: Work for a caller that has left is broken off after this time; most of it
#: ends sooner, and the connection is kept.
CANCEL_S: Final = 0.2
#: Kept back from the time after which a target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
KEEP_ALIVE: Final = 'timeout='


class Busy(NamedTuple):
    """Hold what a connection carries, and until when."""

    send: events.Send
    expires: float


class Pool:
    """Own the connections to one target."""

    def __init__(
        self,
        instance: instances.Instance,
        report: Callable[[events.Event], None],
        clock: Callable[[], float],
    ) -> None:
        """Start without a connection."""
        self.instance = instance
        self.seats = 1
        self.opened = 0
        self._report = report
        self._clock = clock
        self._queue: collections.deque[events.Send] = collections.deque()
        self._busy: dict[links.Link, Busy] = {}
        # Idle connections, and until when each may be used.
        self._idle: dict[links.Link, float] = {}
        self._proven: dict[links.Link, float] = {}
        self._opening: set[asyncio.Task[None]] = set()
        self._closed_until = 0.0

    def place(self, send: events.Send) -> None:
        """Send at once where a connection is idle, or else when one is."""
        now = self._clock()
        link = self._take_idle(now, fresh=send.fresh)
        if link is not None:
            self._start(link, send, now)
            return
        self._queue.append(send)
        self._open_more(now)

    def withdraw(self, key: events.FlightKey) -> None:
        """Do not send what has not left yet."""
        for send in self._queue:
            if send.key == key:
                self._queue.remove(send)
                self._report(events.Unsent(key, unreachable=False))
                return

    def cancel(self, key: events.FlightKey) -> None:
        """End the work on a sending soon."""
        self.withdraw(key)
        for link, busy in self._busy.items():
            if busy.send.key == key:
                expires = min(busy.expires, self._clock() + CANCEL_S)
                self._busy[link] = busy._replace(expires=expires)

    def sweep(self, now: float) -> None:
        """End what has taken too long, and connections idle for too long."""
        for link in [
            it for it, busy in self._busy.items() if busy.expires < now
        ]:
            link.close(messages.Fault.TIMED_OUT)
        for link in [it for it, until in self._idle.items() if until < now]:
            link.close(messages.Fault.CONNECTION_LOST)
        self._open_more(now)

    def is_unused(self) -> bool:
        """Tell whether nothing is under way."""
        return not (self._busy or self._queue or self._opening)

    def count_links(self) -> int:
        """Count the connections, those being opened included."""
        return len(self._busy) + len(self._idle) + len(self._opening)

    def warm(self) -> None:
        """Open a first connection before a request needs it."""
        if not self.count_links():
            self._open()

    def close(self) -> None:
        """Close every connection; what is under way ends as broken."""
        for task in tuple(self._opening):
            task.cancel()
        for link in (*self._busy, *self._idle):
            link.close(messages.Fault.CONNECTION_LOST)
        while self._queue:
            key = self._queue.popleft().key
            self._report(events.Unsent(key, unreachable=False))

    def take_message(
        self, link: links.Link, message: exchanges.Message
    ) -> None:
        """Take an answer, and use the connection again."""
        now = self._clock()
        busy = self._busy.pop(link)
        self._proven[link] = now
        if link.reusable:
            self._release(link, now + _read_idle(message))
        self._report(exchanges.read_answer(busy.send, message))

    def take_end(self, link: links.Link, fault: messages.Fault) -> None:
        """Take the end of a connection."""
        self._idle.pop(link, None)
        self._proven.pop(link, None)
        busy = self._busy.pop(link, None)
        if busy is not None:
            self._report(events.Broken(busy.send.key, fault))
        self._open_more(self._clock())

    def _take_idle(self, now: float, *, fresh: bool) -> links.Link | None:
        # The one used last comes first, so that those not needed fall idle.
        for link in reversed(self._idle):
            proven = now - self._proven.get(link, 0) <= PROVEN_S
            if self._idle[link] > now and (proven or not fresh):
                self._idle.pop(link)
                return link
        return None

    def _start(self, link: links.Link, send: events.Send, now: float) -> None:
        request = send.request
        self._busy[link] = Busy(send, send.ends + PATIENCE_S)
        link.start(
            links.Exchange(
                request.method,
                request.target,
                exchanges.write_request(send, now),
                request.body,
                lambda message: exchanges.is_answer_to(message, request),
            )
        )

    def _release(self, link: links.Link, until: float) -> None:
        if self._queue:
            self._start(link, self._queue.popleft(), self._clock())
        else:
            self._idle[link] = until

    def _open_more(self, now: float) -> None:
        if len(self._queue) <= len(self._opening):
            return
        if now < self._closed_until:
            self._give_up(unreachable=not (self._busy or self._idle))
            return
        if self.count_links() >= self.seats and self._idle:
            # Those idle are too old for what waits.
            next(iter(self._idle)).close(messages.Fault.CONNECTION_LOST)
        elif self.count_links() < self.seats:
            self._open()

    def _open(self) -> None:
        task = asyncio.create_task(self._connect())
        self._opening.add(task)

    async def _connect(self) -> None:
        host, _, port = self.instance.address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = links.Link(self)
        task = asyncio.current_task()
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError):
            self._opening.discard(task)
            self._back_off()
            return
        except asyncio.CancelledError:
            self._opening.discard(task)
            raise
        self._opening.discard(task)
        self.opened += 1
        if link.closed:
            return
        now = self._clock()
        self._proven[link] = now
        self._release(link, float('inf'))

    def _back_off(self) -> None:
        self._closed_until = self._clock() + BACK_OFF_S
        self._give_up(unreachable=not (self._busy or self._idle))

    def _give_up(self, *, unreachable: bool) -> None:
        if not unreachable and not any(it.fresh for it in self._queue):
            # A connection in use takes what waits when it is done.
            return
        waiting = tuple(self._queue)
        self._queue.clear()
        for send in waiting:
            self._report(events.Unsent(send.key, unreachable=unreachable))


def _read_idle(message: exchanges.Message) -> float:
    """Read for how many seconds a target keeps a connection open."""
    told = dict(message.fields).get('keep-alive', '')
    _, found, seconds = told.partition(KEEP_ALIVE)
    digits = seconds.partition(',')[0].strip()
    if not found or not digits.isdigit():
        return float('inf')
    return int(digits) - IDLE_MARGIN_S
