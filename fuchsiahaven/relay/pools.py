"""Own the connections to one target and what is under way on them.

Every sending that is handed in ends in exactly one event.
"""

import collections
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import idles, links, openers, traffic
from fuchsiahaven.routing import events, instances

#: A sending is given up so long after its end: the target's own answer that
#: the time is over may come a little late.
PATIENCE_S: Final = 0.25
#: Work for a caller that has left is broken off after this time; most of it
#: ends sooner, and the connection is kept.
CANCEL_S: Final = 0.2
#: Kept back from the time after which a target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
KEEP_ALIVE: Final = 'timeout='


def _go_always(key: events.AttemptKey) -> bool:
    return True


class Busy(NamedTuple):
    """Hold what a connection carries, and until when."""

    send: events.SendAttempt
    expires: float


class Pool:
    """Own the connections to one target."""

    def __init__(
        self,
        instance: instances.Instance,
        report: Callable[[events.Event], None],
        clock: Callable[[], float],
        tally: traffic.Tally | None = None,
        may_leave: Callable[[events.AttemptKey], bool] = _go_always,
    ) -> None:
        """Start without a connection; bytes go into the tally.

        `may_leave` tells whether what has waited for a connection is still to
        be sent.
        """
        self._may_leave = may_leave
        self.instance = instance
        self.seats = 1
        self._report = report
        self._clock = clock
        self._retired = False
        self._queue: collections.deque[events.SendAttempt] = collections.deque()
        self._busy: dict[links.Link, Busy] = {}
        self._idle = idles.Idles()
        self.opener = openers.Opener(
            instance.address, lambda: links.Link(self, tally), self._take_link
        )

    def place(self, send: events.SendAttempt) -> None:
        """Send at once where a connection is idle, or else when one is."""
        now = self._clock()
        link = self._idle.take(now, fresh=send.fresh_connection)
        if link is not None:
            self._start(link, send, now)
            return
        self._queue.append(send)
        self._open_more(now)

    def stop(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Do not send what has not left; end soon what has, if asked to."""
        for send in self._queue:
            if send.key == key:
                self._queue.remove(send)
                self._report(events.AttemptUnsent(key, False, withdrawn=True))
                return
        carried = [
            it for it, busy in self._busy.items() if busy.send.key == key
        ]
        for link in carried if also_sent else ():
            busy = self._busy[link]
            expires = min(busy.expires, self._clock() + CANCEL_S)
            self._busy[link] = busy._replace(expires=expires)

    def sweep(self, now: float) -> None:
        """End what has taken too long, and connections idle for too long."""
        late = [it for it, busy in self._busy.items() if busy.expires < now]
        for link in late:
            link.close(messages.Fault.TIMED_OUT)
        self._idle.close_old(now)
        self._open_more(now)

    def retire(self) -> bool:
        """Send nothing that waits; tell whether nothing is under way."""
        self._retired = True
        while self._queue:
            key = self._queue.popleft().key
            self._report(events.AttemptUnsent(key, unreachable=False))
        return not (self._busy or self.opener.count())

    def try_way(self) -> None:
        """Open a connection to see whether the target can be reached."""
        if not self.opener.count():
            self.opener.open()

    def count_links(self) -> int:
        """Count the connections, those being opened included."""
        return len(self._busy) + len(self._idle) + self.opener.count()

    def close(self) -> None:
        """Close every connection; what is under way ends as broken."""
        self._retired = True
        self.opener.close()
        self._idle.close()
        for link in tuple(self._busy):
            link.close(messages.Fault.CONNECTION_LOST)
        self.retire()

    def take_message(
        self, link: links.Link, message: http_codecs.Message
    ) -> None:
        """Take an answer, and use the connection again."""
        now = self._clock()
        busy = self._busy.pop(link)
        self._idle.prove(link, now)
        if link.reusable:
            self._release(link, now + _read_idle(message))
        self._report(http_codecs.decode_answer(busy.send, message))

    def take_end(self, link: links.Link, fault: messages.Fault) -> None:
        """Take the end of a connection."""
        self._idle.drop(link)
        busy = self._busy.pop(link, None)
        if busy is not None:
            self._report(events.AttemptBroken(busy.send.key, fault))
            if fault is messages.Fault.CONNECTION_LOST and not self._retired:
                # Only another connection tells whether the target has ended.
                self.try_way()
        self._open_more(self._clock())

    def _start(
        self, link: links.Link, send: events.SendAttempt, now: float
    ) -> None:
        request = send.request
        self._busy[link] = Busy(send, send.deadline + PATIENCE_S)
        link.start(
            links.Exchange(
                request.method,
                request.uri,
                http_codecs.encode_request_fields(send, now),
                request.body,
                lambda message: http_codecs.is_answer_to(message, request),
            )
        )

    def _release(self, link: links.Link, until: float) -> None:
        while self._queue:
            send = self._queue.popleft()
            if self._may_leave(send.key):
                self._start(link, send, self._clock())
                return
            self._report(events.AttemptUnsent(send.key, unreachable=False))
        self._idle.put(link, until)

    def _open_more(self, now: float) -> None:
        if len(self._queue) <= self.opener.count():
            return
        if now < self.opener.closed_until:
            self._give_up()
        elif self.count_links() < self.seats:
            self.opener.open()
        elif self._idle:
            # Those idle are too old for what waits.
            self._idle.close_oldest()

    def _take_link(self, link: links.Link | None) -> None:
        if link is None:
            if self.opener.refused:
                self._report(events.TargetExited(self.instance.name))
            self._give_up()
            return
        self._idle.prove(link, self._clock())
        self._release(link, float('inf'))
        self._report(events.TargetConnected(self.instance.name))

    def _give_up(self) -> None:
        """Send nothing that waits for a connection that cannot be had."""
        unreachable = not (self._busy or self._idle)
        if not unreachable and not any(
            it.fresh_connection for it in self._queue
        ):
            # A connection in use takes what waits when it is done.
            return
        waiting = tuple(self._queue)
        self._queue.clear()
        for send in waiting:
            self._report(
                events.AttemptUnsent(send.key, unreachable=unreachable)
            )


def _read_idle(message: http_codecs.Message) -> float:
    """Read for how many seconds a target keeps a connection open."""
    told = dict(message.fields).get('keep-alive', '')
    _, found, seconds = told.partition(KEEP_ALIVE)
    digits = seconds.partition(',')[0].strip()
    if not found or not digits.isdigit():
        return float('inf')
    return int(digits) - IDLE_MARGIN_S
