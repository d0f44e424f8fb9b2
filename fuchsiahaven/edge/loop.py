"""Run the dispatch loop: one thread that owns all target connections.

Other tasks hand messages in by `post`; nothing here blocks but the selector.
"""

import collections
import contextlib
import queue
import selectors
import socket
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import errors, suspects
from fuchsiahaven.core.queries import dispatch, states, tables
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, fleets, links, pools, tls

SWEEP_S: Final = 0.25
#: How often what waits for admission is looked at.
ADMIT_S: Final = 0.05
WAKE_SIZE: Final = 4096
MESSAGES_A_TURN: Final = 4
ENDED: Final = errors.make_failure(
    errors.Kind.INTERNAL, 'loop', 'the dispatch loop has ended'
)

ReplyQueue = queue.SimpleQueue[messages.Reply]
ClaimAction = messages.Claim | messages.RecordOutcome | messages.ReleaseClaim


class Asked(NamedTuple):
    """Bring one query and where its one reply goes."""

    query: messages.Query
    reply_to: ReplyQueue


class Closed(NamedTuple):
    """Ask the loop to end."""


Message = Asked | Closed | connectors.Outcome | messages.Event


class Sample(NamedTuple):
    """Show the loop to other threads, as it was a moment ago.

    `obstacle` says why no new work should come here; empty if it may.
    `unanswered` counts the queries that have yet to get their reply,
    `quarantined` are those that are refused as they end their targets.
    """

    obstacle: str
    revision: int
    unanswered: int
    queued: int
    in_flight: int
    connections: int
    counts: collections.Counter[tables.Count]
    quarantined: tuple[suspects.News, ...] = ()


class Settings(NamedTuple):
    """Bound what the loop does with targets."""

    answer_bytes: int
    probe_s: float
    connect_s: float
    identity: tls.Identity | None = None


class Loop:
    """Own the dispatch state and the connections of one process."""

    def __init__(
        self,
        state: states.State,
        settings: Settings,
        claim: Callable[[ClaimAction], None],
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.sample = Sample('starting', 0, 0, 0, 0, 0, collections.Counter())
        self._state = state
        self._claim = claim
        self._settings = settings
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._events: collections.deque[messages.Event] = collections.deque()
        self._replies: dict[int, ReplyQueue] = {}
        self._last_token = 0
        self._closing = False
        self._ended = False
        self._awake = False
        self._swept = 0.0
        self._selector = selectors.DefaultSelector()
        pair = socket.socketpair()
        self._bell = pair[0]
        self._ringer = pair[1]
        for end in pair:
            end.settimeout(0)
        self._selector.register(self._bell, selectors.EVENT_READ, None)

    def post(self, message: Message) -> None:
        """Hand in a message; any thread may call this."""
        self._inbox.put(message)
        if self._ended:
            self._refuse_rest()
        if not self._awake:
            self._awake = True
            # A full pipe wakes the loop as well as one more byte would.
            with contextlib.suppress(OSError):
                self._ringer.send(b'\0')

    def run(self) -> None:
        """Serve until `Closed` comes."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._bell.close)
            stack.callback(self._ringer.close)
            stack.callback(self._selector.close)
            opener = connectors.Connectors(
                self.post, self._settings.connect_s, self._settings.identity
            )
            stack.callback(opener.close)
            shop = pools.Shop(
                self._selector,
                opener.ask,
                self._report,
                self._settings.answer_bytes,
            )
            fleet = fleets.Fleet(shop, self._settings.probe_s)
            stack.callback(fleet.close)
            stack.callback(self._end)
            while not self._closing:
                self._turn(fleet)

    def _end(self) -> None:
        """Tell whoever still waits, also where an error has ended the loop.

        Callers' threads would wait for minutes otherwise, and the host would
        look alive but answer nothing.
        """
        self._ended = True
        self.sample = self.sample._replace(obstacle='ended')
        for token in tuple(self._replies):
            reply = messages.Reply(token, ENDED)
            self._replies.pop(token).put(reply)
        self._refuse_rest()

    def _refuse_rest(self) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                message = self._inbox.get_nowait()
                if isinstance(message, Asked):
                    failure = ENDED._replace(ran=errors.Ran.NO)
                    message.reply_to.put(messages.Reply(0, failure))

    def _report(self, event: messages.Event | None) -> None:
        if event is not None:
            self._events.append(event)

    def _turn(self, fleet: fleets.Fleet) -> None:
        ready = self._selector.select(self._wait())
        for key, mask in ready:
            # The time is taken anew each time: what this loop takes must not
            # be counted as the time that a target takes.
            now = time.monotonic()
            self._serve(key.data, mask, now)
            self._drain(fleet, now)
        # New queries must not hold up the answers to those under way.
        for _ in range(min(MESSAGES_A_TURN, self._inbox.qsize())):
            now = time.monotonic()
            self._take(self._inbox.get(), fleet, now)
            self._drain(fleet, now)
        now = time.monotonic()
        self._handle(messages.Tick(), fleet, now)
        if now - self._swept >= SWEEP_S:
            self._swept = now
            fleet.sweep(now)
            self.sample = self._sample(fleet)
        self._drain(fleet, now)

    def _sample(self, fleet: fleets.Fleet) -> Sample:
        known = self._state.tables
        held = known.suspects.list_reports(time.monotonic())
        return Sample(
            dispatch.find_unready_reason(self._state),
            self._state.configuration.revision,
            len(self._replies),
            len(known.queued_queries),
            len(known.attempts),
            fleet.count_links(),
            collections.Counter(known.counts),
            tuple(suspects.select_quarantined(held)),
        )

    def _wait(self) -> float:
        if not self._inbox.empty():
            return 0
        wake = dispatch.find_wake_time(self._state)
        longest = ADMIT_S if self._state.tables.queued_queries else SWEEP_S
        if wake is None:
            return longest
        return min(longest, max(0.0, wake - time.monotonic()))

    def _serve(
        self, owner: tuple[pools.Pool, links.Link] | None, mask: int, now: float
    ) -> None:
        if owner is None:
            # The flag falls before the inbox is emptied: a message that
            # comes in between rings again, and none is left lying.
            self._bell.recv(WAKE_SIZE)
            self._awake = False
            return
        pool, link = owner
        if not link.closed:
            pool.serve(link, mask, now)

    def _take(self, message: Message, fleet: fleets.Fleet, now: float) -> None:
        match message:
            case Asked(query, reply_to):
                self._last_token += 1
                token = self._last_token
                self._replies[token] = reply_to
                self._handle(messages.QuerySubmitted(token, query), fleet, now)
            case connectors.Opened() | connectors.Unopened():
                fleet.take(message, now)
            case Closed():
                self._closing = True
            case _:
                self._handle(message, fleet, now)

    def _drain(self, fleet: fleets.Fleet, now: float) -> None:
        while self._events:
            self._handle(self._events.popleft(), fleet, now)

    def _handle(
        self, event: messages.Event, fleet: fleets.Fleet, now: float
    ) -> None:
        state, actions = dispatch.handle_event(self._state, event, now)
        self._state = state
        for action in actions:
            self._perform(action, fleet, now)

    def _perform(
        self, action: messages.Action, fleet: fleets.Fleet, now: float
    ) -> None:
        match action:
            case messages.Send():
                fleet.send(action, now)
            case messages.Cancel():
                fleet.cancel(action, now)
            case messages.Reply():
                self._replies.pop(action.token).put(action)
            case messages.Probe():
                fleet.probe(action, now)
            case messages.LimitConnections():
                fleet.allot(action, now)
            case _:
                self._claim(action)
