"""Keep proved how old this host's knowledge of customers' keys is."""

import random
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core.configuration import revisions
from fuchsiahaven.core.customers import freshness, proof_exchange
from fuchsiahaven.edge import doors, peer_calls
from fuchsiahaven.operate import logs

PART: Final = 'keys'
PATH: Final = '/v1/keys'
#: How often this looks whether there is something to do, in seconds.
TICK_S: Final = 0.05
#: Part of the bound between two questions to the platform past the age from
#: which a second way is tried, on average.
URGENT_PAUSE_SHARE: Final = 0.1


class Task:
    """Own a thread that asks for proofs while keys have to die in time."""

    def __init__(
        self,
        door: doors.Door,
        caller: peer_calls.Caller,
        find_state: Callable[[], revisions.State],
        find_address: Callable[[str], str | None],
        urge: Callable[[bool], None],
    ) -> None:
        """Prepare without starting; `urge` has the platform asked.

        It is told whether the number alone is no proof, as this host has been
        out of touch.
        """
        self._door = door
        self._caller = caller
        self._find_state = find_state
        self._find_address = find_address
        self._urge = urge
        self._missed = 0
        self._ask_at = 0.0
        self._urge_at = 0.0
        self._ended = threading.Event()

    def stop(self) -> None:
        """Ask `run` to end."""
        self._ended.set()

    def run(self) -> None:
        """Ask until stopped."""
        while not self._ended.wait(TICK_S):
            known = self._door.freshness
            if known.is_enforced and known.revoke_s is not None:
                self._turn(known, known.revoke_s)

    def _turn(self, known: freshness.Freshness, revoke: float) -> None:
        now = known.read_clock()
        state = self._find_state()
        watches = revisions.is_watcher(state)
        urgent = known.compute_urgent_delay() <= 0
        if now >= self._urge_at and (watches or urgent):
            share = freshness.PAUSE_FRACTION
            if not watches:
                share = URGENT_PAUSE_SHARE * (0.5 + random.random())
            self._urge_at = now + share * revoke
            self._urge(urgent)
        if not watches and now >= self._ask_at:
            pause = freshness.MIN_GAIN_FRACTION * revoke
            self._ask_at = now + pause
            self._ask(known, state, pause)

    def _ask(
        self, known: freshness.Freshness, state: revisions.State, wait: float
    ) -> None:
        member = proof_exchange.find_member_to_ask(
            state.ranking, state.name, revisions.WATCHER_COUNT, self._missed
        )
        address = None if member is None else self._find_address(member)
        if address is None:
            self._missed += 1
            return
        left = known.read_clock()
        body = self._caller.call(
            peer_calls.Request('GET', address, PATH, b'', wait)
        )
        told = None
        if body:
            told = proof_exchange.decode_answer(body, known.read_clock() - left)
        if told is not None and self._door.note_told(left, told):
            self._missed = 0
            return
        self._missed += 1
        if known.compute_urgent_delay() <= 0:
            logs.info(PART, 'not confirmed', member=member)
