"""Ask other hosts to gather parts, over connections that are kept."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import encodings, idles, links, openers, traffic
from fuchsiahaven.routing import delegation_codecs, events, report_codecs

PATH: Final = '/v1/assist'
OK: Final = 200
#: A helper ends its work at the time that it is given; what has not ended so
#: long after it never will.
PATIENCE_S: Final = 0.5


class Busy(NamedTuple):
    """Hold what a connection carries, what has come, and until when."""

    delegate: events.Delegate
    received: bytearray
    expires: float
    unpacker: encodings.Unpacker


class Helper:
    """Own the connections to one host that gathers parts."""

    def __init__(
        self,
        address: str,
        report: Callable[[events.Event], None],
        clock: Callable[[], float],
        tally: traffic.Tally,
    ) -> None:
        """Start without a connection; bytes go into the tally."""
        self._address = address
        self._report = report
        self._clock = clock
        self._waiting: list[events.Delegate] = []
        self._busy: dict[links.Link, Busy] = {}
        self._idle = idles.Idles()
        self._opener = openers.Opener(
            address, lambda: links.Link(self, tally), self._take_link
        )

    def place(self, delegate: events.Delegate) -> None:
        """Ask at once where a connection is idle, or else when one is."""
        link = self._idle.take(self._clock(), fresh=False)
        if link is not None:
            self._start(link, delegate)
            return
        self._waiting.append(delegate)
        if self._clock() < self._opener.closed_until:
            self._give_up()
        else:
            self._opener.open()

    def dismiss(self, key: events.DelegationKey) -> None:
        """End the assistance: its host notices that the connection closes."""
        found = [
            it for it, busy in self._busy.items() if busy.delegate.key == key
        ]
        for link in found:
            link.close(messages.Fault.TIMED_OUT)

    def sweep(self, now: float) -> None:
        """End what its host has forgotten."""
        late = [it for it, busy in self._busy.items() if busy.expires < now]
        for link in late:
            link.close(messages.Fault.TIMED_OUT)

    def close(self) -> None:
        """Close every connection."""
        self._opener.close()
        self._idle.close()
        for link in tuple(self._busy):
            link.close(messages.Fault.CONNECTION_LOST)

    def take_message(
        self, link: links.Link, message: http_codecs.Message
    ) -> None:
        """Take the end of an answer, or a refusal to assist."""
        busy = self._busy.pop(link)
        if link.reusable:
            self._idle.put(link, float('inf'))
        # What has ended with its last share is known as ended; otherwise the
        # parts that are left are sent for directly.
        asked = message.status == OK
        why = 'incomplete' if asked else f'status {message.status}'
        absence = events.HelperFault.REFUSED
        if message.status == HTTPStatus.TOO_EARLY:
            absence = events.HelperFault.STARTING
        self._report(
            events.DelegationFailed(busy.delegate.key, asked, why, absence)
        )

    def take_end(self, link: links.Link, fault: messages.Fault) -> None:
        """Take the end of a connection."""
        self._idle.drop(link)
        busy = self._busy.pop(link, None)
        if busy is not None:
            key = busy.delegate.key
            self._report(events.DelegationFailed(key, True, fault.value))

    def _start(self, link: links.Link, delegate: events.Delegate) -> None:
        now = self._clock()
        body = delegation_codecs.encode_request(delegate.delegated, now)
        expires = delegate.delegated.deadline + PATIENCE_S
        self._busy[link] = Busy(
            delegate, bytearray(), expires, encodings.Unpacker()
        )
        fields = (
            ('host', self._address),
            encodings.ACCEPT,
            ('content-type', 'application/json'),
            ('content-length', str(len(body))),
        )
        link.start(
            links.Exchange(
                'POST',
                PATH,
                fields,
                body,
                lambda _: True,
                lambda chunk: self._take_chunk(link, chunk),
            )
        )

    def _take_chunk(self, link: links.Link, chunk: bytes) -> None:
        busy = self._busy[link]
        try:
            if encodings.is_packed(link.fields):
                chunk = busy.unpacker.unpack(chunk)
            busy.received.extend(chunk)
            self._take_lines(busy)
        except report_codecs.MalformedReport:
            link.close(messages.Fault.MALFORMED)

    def _take_lines(self, busy: Busy) -> None:
        while (end := busy.received.find(b'\n')) >= 0:
            line = bytes(busy.received[:end])
            del busy.received[: end + 1]
            share = delegation_codecs.decode_report(line)
            self._report(
                events.DelegationReportReceived(busy.delegate.key, share)
            )

    def _take_link(self, link: links.Link | None) -> None:
        if link is None:
            self._give_up()
        elif self._waiting:
            self._start(link, self._waiting.pop(0))
        else:
            self._idle.put(link, float('inf'))

    def _give_up(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for delegate in waiting:
            key = delegate.key
            self._report(events.DelegationFailed(key, False, 'no connection'))


class Assistants:
    """Own the connections to all hosts that gather parts."""

    def __init__(
        self,
        report: Callable[[events.Event], None],
        clock: Callable[[], float],
        counted: traffic.Traffic,
        data_centre: str,
    ) -> None:
        """Start without a connection, in a data centre."""
        self._report = report
        self._clock = clock
        self._traffic = counted
        self._data_centre = data_centre
        self._helpers: dict[str, Helper] = {}

    def place(self, delegate: events.Delegate) -> None:
        """Ask a host for assistance."""
        address = delegate.helper.address
        helper = self._helpers.get(address)
        if helper is None:
            far = delegate.helper.data_centre != self._data_centre
            tally = self._traffic.find(traffic.Kind.SHARES, far=far)
            helper = Helper(address, self._report, self._clock, tally)
            self._helpers[address] = helper
        helper.place(delegate)

    def dismiss(self, key: events.DelegationKey) -> None:
        """End the assistance for a caller that has left."""
        for helper in self._list_helpers():
            helper.dismiss(key)

    def sweep(self, now: float) -> None:
        """End what the hosts have forgotten."""
        for helper in self._list_helpers():
            helper.sweep(now)

    def close(self) -> None:
        """Close every connection."""
        for helper in self._list_helpers():
            helper.close()

    def _list_helpers(self) -> tuple[Helper, ...]:
        # What ends at one host may be asked of another one at once.
        return tuple(self._helpers.values())
