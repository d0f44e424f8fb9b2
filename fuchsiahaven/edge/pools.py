"""Own the connections to one target and the exchanges on them.

Every exchange that is handed in ends in exactly one event, but for
cancellations, which end in none: the decisions count what is in flight by it.
"""

import collections
import selectors
from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges, frames, links, looks

BACK_OFF_S: Final = 0.1
LONGEST_BACK_OFF_S: Final = 2.0
BOTH: Final = selectors.EVENT_READ | selectors.EVENT_WRITE


class Shop(NamedTuple):
    """Hold what all pools share.

    `report` takes an event, or None where there is nothing to tell.
    """

    selector: selectors.BaseSelector
    ask: Callable[[configurations.Target], None]
    report: Callable[[messages.Event | None], None]
    answer_bytes: int


class Pool:
    """Own the connections to one target."""

    def __init__(self, target: configurations.Target, shop: Shop) -> None:
        """Start without a connection."""
        self.target = target
        self.seats = 0
        self.links: set[links.Link] = set()
        self._shop = shop
        self._opening = 0
        self._idle: list[links.Link] = []
        self._queue: collections.deque[exchanges.Exchange] = collections.deque()
        self._failures = 0
        self._closed_until = 0.0
        self._look = looks.Look()

    def place(self, exchange: exchanges.Exchange, now: float) -> None:
        """Send at once where a connection is idle, or else when one is."""
        while self._idle:
            link = self._idle.pop()
            if exchanges.needs_proof(exchange) and not link.answered:
                # It goes out once the connection has answered a probe.
                self._queue.append(exchange)
                exchange = exchanges.probe(self.target, exchange.expires)
            if self._start(link, exchange, now):
                return
        if not self.links and now < self._closed_until:
            reason = messages.RefusalReason.NO_CONNECTION
            self._shop.report(exchanges.refuse(exchange, reason))
            return
        self._queue.append(exchange)
        self._open_more(now)

    def cancel(self, cancel: exchanges.Exchange, now: float) -> None:
        """Cancel a sub-request, or close its connection where no seat is left.

        Closing would lose a connection that costs up to 6 ms to open, and
        tell the target nothing: it would run on.
        """
        assert isinstance(cancel.action, messages.Cancel)
        part = cancel.action.part
        link = _find(self.links, part)
        if link is None or link.exchange is None:
            self._shop.report(_withdraw(self._queue, part))
            return
        exchange = link.exchange
        # The cancelled one is answered at once, or its target is in trouble.
        link.exchange = exchange._replace(expires=cancel.expires)
        assert isinstance(exchange.action, messages.Send)
        cancel = cancel._replace(cancelled=exchange.action)
        while self._idle:
            if self._start(self._idle.pop(), cancel, now):
                return
        if len(self.links) + self._opening < self.seats:
            self._queue.append(cancel)
            self._open_more(now)
        else:
            self._drop(link, messages.Fault.TIMED_OUT, now)

    def take(self, outcome: connectors.Outcome, now: float) -> None:
        """Take a connection that was asked for, or the news of none."""
        self._opening -= 1
        self._shop.report(self._look.end(outcome))
        match outcome:
            case connectors.Opened(target, connection):
                link = links.Link(target.address, connection)
                self.links.add(link)
                self._shop.selector.register(
                    link.sock, selectors.EVENT_READ, (self, link)
                )
                self._shop.report(_count(self.target.name, self.links))
                self._release(link, now)
            case connectors.Unopened():
                self._back_off(now)

    def serve(self, link: links.Link, mask: int, now: float) -> None:
        """Send and receive what a connection is ready for."""
        try:
            if mask & selectors.EVENT_WRITE:
                link.push()
                mask = BOTH if link.rest else selectors.EVENT_READ
                self._shop.selector.modify(link.sock, mask, (self, link))
            frame = link.pull(self._shop.answer_bytes)
        except frames.FrameError as error:
            self._drop(link, error.fault, now)
        except links.LinkError:
            if not link.answered:
                # A target past its cap closes what is new unread.
                self._back_off(now)
            self._drop(link, messages.Fault.CONNECTION_LOST, now)
        else:
            if frame is not None:
                self._take_frame(link, frame, now)

    def sweep(self, now: float) -> None:
        """End the exchanges whose time is over."""
        for link in tuple(self.links):
            exchange = link.exchange
            if exchange is not None and exchange.expires < now:
                self._drop(link, messages.Fault.TIMED_OUT, now)
        late = [queued for queued in self._queue if queued.expires < now]
        for exchange in late:
            self._queue.remove(exchange)
            reason = messages.RefusalReason.DEADLINE
            self._shop.report(exchanges.refuse(exchange, reason))
        self._open_more(now)

    def is_busy(self) -> bool:
        """Tell whether anything is under way."""
        if self._queue or self._opening:
            return True
        return any(link.exchange is not None for link in self.links)

    def allot(self, seats: int, now: float) -> None:
        """Bound the connections; what is idle beyond that is closed."""
        self.seats = seats
        while self._idle and len(self.links) > seats:
            self._discard(self._idle[0])
        self._open_more(now)

    def _open_more(self, now: float) -> None:
        if now < self._closed_until or len(self._queue) <= self._opening:
            return
        # Without a seat there is one connection for a while, out of the
        # target's reserve, to ask what it holds.
        if len(self.links) + self._opening < max(1, self.seats):
            self._opening += 1
            self._shop.ask(self.target)

    def _start(
        self, link: links.Link, exchange: exchanges.Exchange, now: float
    ) -> bool:
        """Send on an idle connection; False where it turned out closed."""
        if not exchanges.may_start(exchange, now):
            self._idle.append(link)
            reason = messages.RefusalReason.DEADLINE
            self._shop.report(exchanges.refuse(exchange, reason))
            return True
        if exchanges.needs_proof(exchange) and not link.is_open():
            self._discard(link)
            return False
        try:
            link.start(exchange, exchanges.write_payload(exchange, now))
        except links.LinkError:
            # Not a byte has left, so it may go out on another connection.
            self._discard(link)
            return False
        if link.rest:
            self._shop.selector.modify(link.sock, BOTH, (self, link))
        return True

    def _take_frame(
        self, link: links.Link, frame: frames.Frame, now: float
    ) -> None:
        exchange = link.exchange
        assert exchange is not None
        link.finish()
        event = exchanges.read_frame(exchange, frame)
        self._shop.report(event)
        if frame.closes or isinstance(event, messages.PartFailed):
            self._discard(link)
            self._open_more(now)
        else:
            self._failures = 0
            self._release(link, now)

    def _release(self, link: links.Link, now: float) -> None:
        self._idle.append(link)
        while self._queue and self._idle:
            self.place(self._queue.popleft(), now)
        self.allot(self.seats, now)

    def _drop(
        self, link: links.Link, fault: messages.Fault, now: float
    ) -> None:
        """Close a connection and report what was under way on it."""
        exchange = link.exchange
        self._discard(link)
        if exchange is not None:
            self._shop.report(exchanges.give_up(exchange, fault))
            if self._look.begin(exchange, fault) and not self._opening:
                self._opening += 1
                self._shop.ask(self.target)
        self._open_more(now)

    def _discard(self, link: links.Link) -> None:
        link.exchange = None
        self._shop.selector.unregister(link.sock)
        link.close()
        self.links.discard(link)
        if link in self._idle:
            self._idle.remove(link)
        self._shop.report(_count(self.target.name, self.links))

    def _back_off(self, now: float) -> None:
        pause = min(LONGEST_BACK_OFF_S, BACK_OFF_S * 2**self._failures)
        self._failures += 1
        self._closed_until = now + pause
        # With a connection left the queue moves on; without one, what is in
        # it would wait for nothing.
        while self._queue and not self.links and not self._opening:
            reason = messages.RefusalReason.NO_CONNECTION
            exchange = self._queue.popleft()
            self._shop.report(exchanges.refuse(exchange, reason))


def _find(
    owned: Iterable[links.Link], part: messages.PartKey
) -> links.Link | None:
    for link in owned:
        if exchanges.names_part(link.exchange, part):
            return link
    return None


def _withdraw(
    queue: collections.deque[exchanges.Exchange], part: messages.PartKey
) -> messages.Event | None:
    """Take back a sub-request that still waits for a connection."""
    for exchange in queue:
        if exchanges.names_part(exchange, part):
            queue.remove(exchange)
            reason = messages.RefusalReason.CANCELLED
            return exchanges.refuse(exchange, reason)
    return None


def _count(
    name: str, owned: Collection[links.Link]
) -> messages.ConnectionsChanged:
    idle = sum(1 for link in owned if link.exchange is None)
    return messages.ConnectionsChanged(name, len(owned), idle)
