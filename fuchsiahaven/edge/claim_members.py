"""Let one member write the claims of a bucket, as a hint that saves calls."""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.claims import claim_calls, claim_codecs

# A member that has not answered is asked again after this long, in seconds.
AGAIN_S: Final = 5.0
TIMEOUT_S: Final = 0.4

Ask = Callable[[str, bytes, float], bytes | None]


class Listed(NamedTuple):
    """Bring the members of the data centre: name to peer address."""

    own: str
    addresses: Mapping[str, str]


class Members:
    """Own what is known of the members that could write for us."""

    def __init__(self, ask: Ask, clock: Callable[[], float]) -> None:
        """Know nobody; `ask` posts a body to an address within seconds."""
        self.listed = Listed('', {})
        self._ask = ask
        self._clock = clock
        self._silent: dict[str, float] = {}

    def choose_owner(self, key: str) -> str:
        """Choose the member that writes this bucket; empty for ourselves.

        All hosts choose alike, so that few of them write one key. Whoever
        writes, the platform decides.
        """
        bucket = key.rpartition('/')[0]
        names = rendezvous.rank(bucket, self.listed.addresses)
        if not names or names[0] == self.listed.own:
            return ''
        silent_until = self._silent.get(names[0], 0)
        return names[0] if silent_until <= self._clock() else ''

    def forward(
        self, call: claim_calls.ForwardSteps, owner: str
    ) -> claim_calls.Result:
        """Ask a member for its verdicts."""
        address = self.listed.addresses.get(owner)
        if address is None:
            return claim_calls.ForwardRefused()
        batch = claim_codecs.Batch(call.key, call.steps)
        body = self._ask(address, claim_codecs.encode_batch(batch), TIMEOUT_S)
        verdicts = body and claim_codecs.decode_results(body, call.steps)
        if verdicts:
            return verdicts
        self._silent[owner] = self._clock() + AGAIN_S
        return claim_calls.ForwardLost()
