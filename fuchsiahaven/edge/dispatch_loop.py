"""Run the dispatch loop: one thread that owns all target connections.

Other tasks submit messages with `post`; only the selector blocks here.
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
from fuchsiahaven.edge import connections, connectors, pools, target_pools, tls

SWEEP_INTERVAL_S: Final = 0.25
#: How often queued queries are checked for admission.
ADMISSION_INTERVAL_S: Final = 0.05
WAKE_READ_BYTES: Final = 4096
MAX_MESSAGES_PER_TURN: Final = 4
LOOP_ENDED: Final = errors.make_failure(
    errors.Kind.INTERNAL, 'loop', 'the dispatch loop has ended'
)

ReplyQueue = queue.SimpleQueue[messages.Reply]
ClaimAction = messages.Claim | messages.RecordOutcome | messages.ReleaseClaim


class QueryReceived(NamedTuple):
    """Hold a query and the queue for its only reply."""

    query: messages.Query
    reply_to: ReplyQueue


class StopRequested(NamedTuple):
    """Request the end of the loop."""


Message = QueryReceived | StopRequested | connectors.Outcome | messages.Event


class LoopStatus(NamedTuple):
    """Hold the state of the loop for other threads, slightly outdated.

    `unready_reason` says why the host takes no new work; empty if it does.
    `unanswered` counts the queries without a reply yet, `quarantined` lists
    the queries that are refused because they crash targets.
    """

    unready_reason: str
    revision: int
    unanswered: int
    queued: int
    in_flight: int
    connections: int
    counts: collections.Counter[tables.Count]
    quarantined: tuple[suspects.News, ...] = ()


class Settings(NamedTuple):
    """Hold the limits of the exchanges with targets."""

    max_answer_bytes: int
    probe_timeout_s: float
    connect_timeout_s: float
    identity: tls.Identity | None = None


class DispatchLoop:
    """Own the dispatch state and target connections of a process."""

    def __init__(
        self,
        state: states.State,
        settings: Settings,
        perform_claim: Callable[[ClaimAction], None],
    ) -> None:
        """Prepare without starting; `run` needs a thread of its own."""
        self.status = LoopStatus(
            'starting', 0, 0, 0, 0, 0, collections.Counter()
        )
        self._state = state
        self._perform_claim = perform_claim
        self._settings = settings
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._events: collections.deque[messages.Event] = collections.deque()
        self._replies: dict[int, ReplyQueue] = {}
        self._last_token = 0
        self._stopping = False
        self._ended = False
        self._is_woken = False
        self._swept_at = 0.0
        self._selector = selectors.DefaultSelector()
        sockets = socket.socketpair()
        self._wake_receiver = sockets[0]
        self._wake_sender = sockets[1]
        for sock in sockets:
            sock.settimeout(0)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)

    def post(self, message: Message) -> None:
        """Queue a message; any thread may call this."""
        self._inbox.put(message)
        if self._ended:
            self._refuse_queued()
        if not self._is_woken:
            self._is_woken = True
            # A full socket buffer wakes the loop as well as another byte.
            with contextlib.suppress(OSError):
                self._wake_sender.send(b'\0')

    def run(self) -> None:
        """Serve until `StopRequested`."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._wake_receiver.close)
            stack.callback(self._wake_sender.close)
            stack.callback(self._selector.close)
            connector = connectors.Connectors(
                self.post,
                self._settings.connect_timeout_s,
                self._settings.identity,
            )
            stack.callback(connector.close)
            context = pools.PoolContext(
                self._selector,
                connector.request_connection,
                self._report,
                self._settings.max_answer_bytes,
            )
            all_pools = target_pools.TargetPools(
                context, self._settings.probe_timeout_s
            )
            stack.callback(all_pools.close)
            stack.callback(self._fail_unanswered)
            while not self._stopping:
                self._run_once(all_pools)

    def _fail_unanswered(self) -> None:
        """Fail all unanswered queries, also when an error ended the loop.

        Otherwise callers' threads would wait for minutes, and the host would
        look alive but answer nothing.
        """
        self._ended = True
        self.status = self.status._replace(unready_reason='ended')
        for token in tuple(self._replies):
            reply = messages.Reply(token, LOOP_ENDED)
            self._replies.pop(token).put(reply)
        self._refuse_queued()

    def _refuse_queued(self) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                message = self._inbox.get_nowait()
                if isinstance(message, QueryReceived):
                    failure = LOOP_ENDED._replace(ran=errors.Ran.NO)
                    message.reply_to.put(messages.Reply(0, failure))

    def _report(self, event: messages.Event | None) -> None:
        if event is not None:
            self._events.append(event)

    def _run_once(self, all_pools: target_pools.TargetPools) -> None:
        ready = self._selector.select(self._compute_wait())
        for key, mask in ready:
            # Read the clock for each event: the time spent in this loop must
            # not count as the latency of a target.
            now = time.monotonic()
            self._handle_ready(key.data, mask, now)
            self._handle_events(all_pools, now)
        # Limited, so that new queries do not delay answers in flight.
        for _ in range(min(MAX_MESSAGES_PER_TURN, self._inbox.qsize())):
            now = time.monotonic()
            self._handle_message(self._inbox.get(), all_pools, now)
            self._handle_events(all_pools, now)
        now = time.monotonic()
        self._handle_event(messages.Tick(), all_pools, now)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            all_pools.expire(now)
            self.status = self._build_status(all_pools)
        self._handle_events(all_pools, now)

    def _build_status(self, all_pools: target_pools.TargetPools) -> LoopStatus:
        state_tables = self._state.tables
        reports = state_tables.suspects.list_reports(time.monotonic())
        return LoopStatus(
            dispatch.find_unready_reason(self._state),
            self._state.configuration.revision,
            len(self._replies),
            len(state_tables.queued_queries),
            len(state_tables.attempts),
            all_pools.count_connections(),
            collections.Counter(state_tables.counts),
            tuple(suspects.select_quarantined(reports)),
        )

    def _compute_wait(self) -> float:
        if not self._inbox.empty():
            return 0
        wake_time = dispatch.find_wake_time(self._state)
        max_wait_s = (
            ADMISSION_INTERVAL_S
            if self._state.tables.queued_queries
            else SWEEP_INTERVAL_S
        )
        if wake_time is None:
            return max_wait_s
        return min(max_wait_s, max(0.0, wake_time - time.monotonic()))

    def _handle_ready(
        self,
        owner: tuple[pools.Pool, connections.Connection] | None,
        mask: int,
        now: float,
    ) -> None:
        if owner is None:
            # The flag is cleared before the inbox is read: a message that
            # arrives in between wakes the loop again, and none is missed.
            self._wake_receiver.recv(WAKE_READ_BYTES)
            self._is_woken = False
            return
        pool, connection = owner
        if not connection.closed:
            pool.handle_ready(connection, mask, now)

    def _handle_message(
        self, message: Message, all_pools: target_pools.TargetPools, now: float
    ) -> None:
        match message:
            case QueryReceived(query, reply_to):
                self._last_token += 1
                token = self._last_token
                self._replies[token] = reply_to
                self._handle_event(
                    messages.QuerySubmitted(token, query), all_pools, now
                )
            case connectors.ConnectionOpened() | connectors.ConnectionFailed():
                all_pools.handle_connection(message, now)
            case StopRequested():
                self._stopping = True
            case _:
                self._handle_event(message, all_pools, now)

    def _handle_events(
        self, all_pools: target_pools.TargetPools, now: float
    ) -> None:
        while self._events:
            self._handle_event(self._events.popleft(), all_pools, now)

    def _handle_event(
        self,
        event: messages.Event,
        all_pools: target_pools.TargetPools,
        now: float,
    ) -> None:
        state, actions = dispatch.handle_event(self._state, event, now)
        self._state = state
        for action in actions:
            self._perform(action, all_pools, now)

    def _perform(
        self,
        action: messages.Action,
        all_pools: target_pools.TargetPools,
        now: float,
    ) -> None:
        match action:
            case messages.Send():
                all_pools.send(action, now)
            case messages.Cancel():
                all_pools.cancel(action, now)
            case messages.Reply():
                self._replies.pop(action.token).put(action)
            case messages.Probe():
                all_pools.probe(action, now)
            case messages.LimitConnections():
                all_pools.limit_connections(action, now)
            case _:
                self._perform_claim(action)
