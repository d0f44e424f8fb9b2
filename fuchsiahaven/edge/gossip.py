"""Run the membership task: know which hosts of the data centre take part."""

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
from fuchsiahaven.edge import peer_calls, workers
from fuchsiahaven.operate import logs

PART: Final = 'gossip'
TICK_S: Final = 0.25
POLL_S: Final = 0.05
THREADS: Final = 3
PATH: Final = '/v1/gossip'
#: How long the peer port waits for an answer; a relay takes the longest.
ANSWER_S: Final = 5.0

Reply = queue.SimpleQueue[messages.Gossip | None]


class Request(NamedTuple):
    """Bring gossip of another host and where its answer goes."""

    gossip: messages.Gossip
    reply_to: Reply


class Stopped(NamedTuple):
    """Ask the task to end."""


class Waiting(NamedTuple):
    """Hold where an answer goes and since when it is owed."""

    reply_to: Reply
    since: float


Message = messages.Event | Request | Stopped
Sink = Callable[[messages.MembersListed | messages.StampReceived], None]


class Task:
    """Own the membership of this host."""

    def __init__(
        self, state: states.State, caller: peer_calls.Caller, sink: Sink
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.state = state
        self._caller = caller
        self._sink = sink
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._draws = random.SystemRandom().random
        self._waiting: dict[int, Waiting] = {}
        self._last_token = 0
        self._running = True

    def post(self, message: Message) -> None:
        """Hand in a message; any thread may call this."""
        self._inbox.put(message)

    def exchange(self, gossip: messages.Gossip) -> messages.Gossip | None:
        """Answer gossip; None where no answer is there in time."""
        reply_to: Reply = queue.SimpleQueue()
        self.post(Request(gossip, reply_to))
        with contextlib.suppress(queue.Empty):
            return reply_to.get(timeout=ANSWER_S)
        return None

    def wait_told(self, longest_s: float) -> None:
        """Wait until nothing that was asked is open any more."""
        give_up = time.monotonic() + longest_s
        # The first look may come before the task has taken its inbox in.
        while time.monotonic() < give_up:
            time.sleep(POLL_S)
            if not self.state.exchanges and not self.state.next_flush_at:
                return

    def run(self) -> None:
        """Serve until stopped."""
        with contextlib.closing(workers.Workers(PART, THREADS)) as pool:
            while self._running:
                self._turn(pool)

    def _turn(self, pool: workers.Workers) -> None:
        try:
            message = self._inbox.get(timeout=TICK_S)
        except queue.Empty:
            message = messages.Tick()
        now = time.monotonic()
        match message:
            case Stopped():
                self._running = False
            case Request(gossip, reply_to):
                self._last_token += 1
                self._waiting[self._last_token] = Waiting(reply_to, now)
                received = messages.RequestReceived(self._last_token, gossip)
                self._handle(received, now, pool)
            case _:
                self._handle(message, now, pool)
        self._handle(messages.Tick(), now, pool)
        self._drop_stale(now)

    def _handle(
        self, event: messages.Event, now: float, pool: workers.Workers
    ) -> None:
        state, actions = membership.handle_event(
            self.state, event, now, self._draws
        )
        self.state = state
        for action in actions:
            self._act(action, pool)

    def _act(self, action: messages.Action, pool: workers.Workers) -> None:
        match action:
            case messages.SendRequest():
                pool.ask(functools.partial(self._ask, action))
            case messages.Respond(token, gossip):
                waiting = self._waiting.pop(token, None)
                if waiting is not None:
                    waiting.reply_to.put(gossip)
            case messages.MembersListed() | messages.StampReceived():
                self._sink(action)
            case messages.ReportMember(text, name, urgent):
                tell = logs.error if urgent else logs.info
                tell(PART, text, member=name)

    def _ask(self, ask: messages.SendRequest) -> None:
        request = peer_calls.Request(
            'POST',
            ask.address,
            PATH,
            gossip_codecs.encode_gossip(ask.gossip),
            ask.timeout_s,
        )
        body = self._caller.call(request)
        gossip = None if body is None else gossip_codecs.decode_gossip(body)
        if gossip is None:
            self.post(messages.ExchangeFailed(ask.token))
        else:
            self.post(messages.ExchangeAnswered(ask.token, gossip))

    def _drop_stale(self, now: float) -> None:
        # A pause drops the relays under way, whose answers never come then.
        stale = [
            token
            for token, waiting in self._waiting.items()
            if now - waiting.since > ANSWER_S
        ]
        for token in stale:
            self._waiting.pop(token)
