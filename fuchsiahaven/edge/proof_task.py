"""Keep renewing the proof of how old this host's customer keys are."""

import random
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core.configuration import revisions
from fuchsiahaven.core.customers import freshness, proof_exchange
from fuchsiahaven.edge import authenticators, peer_client
from fuchsiahaven.operate import logs

PART: Final = 'keys'
PATH: Final = '/v1/keys'
#: How often this checks whether a request is due.
CHECK_INTERVAL_S: Final = 0.05
#: Mean pause between two checks with the platform by a host that does not
#: watch it, as a fraction of the revocation bound, once its proof is urgent.
URGENT_PAUSE_FRACTION: Final = 0.1


class Task:
    """Request proofs in a thread while revocation is bounded in time."""

    def __init__(
        self,
        authenticator: authenticators.Authenticator,
        client: peer_client.PeerClient,
        find_state: Callable[[], revisions.State],
        find_address: Callable[[str], str | None],
        request_check: Callable[[bool], None],
    ) -> None:
        """Prepare without starting; `request_check` queries the platform.

        Its argument is whether the whole manifest must be read: after a time
        without contact its revision alone proves nothing.
        """
        self._authenticator = authenticator
        self._client = client
        self._find_state = find_state
        self._find_address = find_address
        self._request_check = request_check
        self._failure_count = 0
        self._next_proof_at = 0.0
        self._next_check_at = 0.0
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Request `run` to end."""
        self._stopped.set()

    def run(self) -> None:
        """Request proofs until stopped."""
        while not self._stopped.wait(CHECK_INTERVAL_S):
            key_freshness = self._authenticator.freshness
            if key_freshness.is_enforced and key_freshness.revoke_s is not None:
                self._run_once(key_freshness, key_freshness.revoke_s)

    def _run_once(
        self, key_freshness: freshness.Freshness, revoke_s: float
    ) -> None:
        now = key_freshness.read_clock()
        state = self._find_state()
        is_watcher = revisions.is_watcher(state)
        urgent = key_freshness.compute_urgent_delay() <= 0
        if now >= self._next_check_at and (is_watcher or urgent):
            fraction = freshness.PAUSE_FRACTION
            if not is_watcher:
                fraction = URGENT_PAUSE_FRACTION * (0.5 + random.random())
            self._next_check_at = now + fraction * revoke_s
            self._request_check(urgent)
        if not is_watcher and now >= self._next_proof_at:
            pause_s = freshness.MIN_GAIN_FRACTION * revoke_s
            self._next_proof_at = now + pause_s
            self._request_proof(key_freshness, state, pause_s)

    def _request_proof(
        self,
        key_freshness: freshness.Freshness,
        state: revisions.State,
        timeout_s: float,
    ) -> None:
        member = proof_exchange.find_member_to_ask(
            state.ranking,
            state.name,
            revisions.WATCHER_COUNT,
            self._failure_count,
        )
        address = None if member is None else self._find_address(member)
        if address is None:
            self._failure_count += 1
            return
        sent_at = key_freshness.read_clock()
        body = self._client.call(
            peer_client.Request('GET', address, PATH, b'', timeout_s)
        )
        answer = None
        if body:
            answer = proof_exchange.decode_answer(
                body, key_freshness.read_clock() - sent_at
            )
        if answer is not None and self._authenticator.record_proof(
            sent_at, answer
        ):
            self._failure_count = 0
            return
        self._failure_count += 1
        if key_freshness.compute_urgent_delay() <= 0:
            logs.info(PART, 'not confirmed', member=member)
