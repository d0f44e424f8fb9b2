"""Choose which member writes the claims of a bucket, to save calls."""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.claims import claim_calls, claim_codecs

# A member that did not answer is skipped for this long.
SILENT_RETRY_DELAY_S: Final = 5.0
FORWARD_TIMEOUT_S: Final = 0.4

SendClaims = Callable[[str, bytes, float], bytes | None]


class MemberAddresses(NamedTuple):
    """Hold the members of the data centre: name to peer address."""

    own_name: str
    addresses: Mapping[str, str]


class ClaimOwners:
    """Choose the members that write claims for this host, and call them."""

    def __init__(self, send: SendClaims, clock: Callable[[], float]) -> None:
        """Start empty; `send` posts a body to an address with a timeout."""
        self.members = MemberAddresses('', {})
        self._send = send
        self._clock = clock
        self._silent_until: dict[str, float] = {}

    def choose_owner(self, key: str) -> str:
        """Choose the member that writes this bucket; empty for this host.

        All hosts choose alike, so that few of them write the same key. The
        choice only saves calls: the platform decides each claim, whoever
        writes it.
        """
        bucket = key.rpartition('/')[0]
        names = rendezvous.rank(bucket, self.members.addresses)
        if not names or names[0] == self.members.own_name:
            return ''
        silent_until = self._silent_until.get(names[0], 0)
        return names[0] if silent_until <= self._clock() else ''

    def forward(
        self, call: claim_calls.ForwardSteps, owner: str
    ) -> claim_calls.Result:
        """Forward steps to a member and return its results."""
        address = self.members.addresses.get(owner)
        if address is None:
            return claim_calls.ForwardRefused()
        batch = claim_codecs.Batch(call.key, call.steps)
        body = self._send(
            address, claim_codecs.encode_batch(batch), FORWARD_TIMEOUT_S
        )
        results = body and claim_codecs.decode_results(body, call.steps)
        if results:
            return results
        self._silent_until[owner] = self._clock() + SILENT_RETRY_DELAY_S
        return claim_calls.ForwardLost()
