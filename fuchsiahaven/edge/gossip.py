"""Run the membership task: track the live hosts of the data centre."""

import contextlib
import functools
import queue
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.members import gossip_codecs, membership
from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_states as states
from fuchsiahaven.edge import peer_client, worker_pools
from fuchsiahaven.operate import logs

PART: Final = 'gossip'
TICK_S: Final = 0.25
FLUSH_POLL_S: Final = 0.05
THREADS: Final = 3
PATH: Final = '/v1/gossip'
#: How long the peer port waits for an answer; relayed probes take longest.
ANSWER_TIMEOUT_S: Final = 5.0

ReplyQueue = queue.SimpleQueue[messages.Gossip | None]


class GossipReceived(NamedTuple):
    """Hold gossip of another host and the queue for the answer."""

    gossip: messages.Gossip
    reply_to: ReplyQueue


class StopRequested(NamedTuple):
    """Request the end of the task."""


class PendingReply(NamedTuple):
    """Hold the queue for an answer and when its request came."""

    reply_to: ReplyQueue
    received_at: float


Message = messages.Event | GossipReceived | StopRequested
Sink = Callable[[messages.MembersListed | messages.StampReceived], None]


class Task:
    """Own the membership of this host."""

    def __init__(
        self, state: states.State, client: peer_client.PeerClient, sink: Sink
    ) -> None:
        """Prepare without starting; `run` needs a thread of its own."""
        self.state = state
        self._client = client
        self._sink = sink
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._random = random.SystemRandom().random
        self._pending: dict[int, PendingReply] = {}
        self._last_token = 0
        self._running = True

    def post(self, message: Message) -> None:
        """Queue a message; any thread may call this."""
        self._inbox.put(message)

    def exchange_gossip(
        self, gossip: messages.Gossip
    ) -> messages.Gossip | None:
        """Return the answer to gossip; None if it takes too long."""
        reply_to: ReplyQueue = queue.SimpleQueue()
        self.post(GossipReceived(gossip, reply_to))
        with contextlib.suppress(queue.Empty):
            return reply_to.get(timeout=ANSWER_TIMEOUT_S)
        return None

    def wait_for_sent(self, timeout_s: float) -> None:
        """Wait until all exchanges are done and no news is pending."""
        deadline = time.monotonic() + timeout_s
        # Sleep first: the task may not have emptied its inbox yet.
        while time.monotonic() < deadline:
            time.sleep(FLUSH_POLL_S)
            if not self.state.exchanges and not self.state.next_flush_at:
                return

    def run(self) -> None:
        """Serve until stopped."""
        with contextlib.closing(worker_pools.WorkerPool(PART, THREADS)) as pool:
            while self._running:
                self._run_once(pool)

    def _run_once(self, pool: worker_pools.WorkerPool) -> None:
        try:
            message = self._inbox.get(timeout=TICK_S)
        except queue.Empty:
            message = messages.Tick()
        now = time.monotonic()
        match message:
            case StopRequested():
                self._running = False
            case GossipReceived(gossip, reply_to):
                self._last_token += 1
                self._pending[self._last_token] = PendingReply(reply_to, now)
                received = messages.RequestReceived(self._last_token, gossip)
                self._handle_event(received, now, pool)
            case _:
                self._handle_event(message, now, pool)
        self._handle_event(messages.Tick(), now, pool)
        self._expire_pending(now)

    def _handle_event(
        self, event: messages.Event, now: float, pool: worker_pools.WorkerPool
    ) -> None:
        state, actions = membership.handle_event(
            self.state, event, now, self._random
        )
        self.state = state
        for action in actions:
            self._perform(action, pool)

    def _perform(
        self, action: messages.Action, pool: worker_pools.WorkerPool
    ) -> None:
        match action:
            case messages.SendRequest():
                pool.submit(functools.partial(self._send, action))
            case messages.Respond(token, gossip):
                pending = self._pending.pop(token, None)
                if pending is not None:
                    pending.reply_to.put(gossip)
            case messages.MembersListed() | messages.StampReceived():
                self._sink(action)
            case messages.ReportMember(text, name, urgent):
                log = logs.error if urgent else logs.info
                log(PART, text, member=name)

    def _send(self, action: messages.SendRequest) -> None:
        request = peer_client.Request(
            'POST',
            action.address,
            PATH,
            gossip_codecs.encode_gossip(action.gossip),
            action.timeout_s,
        )
        body = self._client.call(request)
        gossip = None if body is None else gossip_codecs.decode_gossip(body)
        if gossip is None:
            self.post(messages.ExchangeFailed(action.token))
        else:
            self.post(messages.ExchangeAnswered(action.token, gossip))

    def _expire_pending(self, now: float) -> None:
        # A pause drops relayed probes in flight, which get no answer.
        stale = [
            token
            for token, pending in self._pending.items()
            if now - pending.received_at > ANSWER_TIMEOUT_S
        ]
        for token in stale:
            self._pending.pop(token)
