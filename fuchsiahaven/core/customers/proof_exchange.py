"""Request and answer proofs of how recent the knowledge of keys is."""

import json
import math
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import json_texts, rendezvous
from fuchsiahaven.core.customers import freshness

#: Raised by malformed answers; OverflowError by numbers that are too large.
_DECODE_ERRORS: Final = (ValueError, TypeError, KeyError, OverflowError)


class ProofAnswer(NamedTuple):
    """Hold a host's proof and the stamp of its configuration.

    `revision` and `digest` are those of the configuration in force, read
    after the proof was made.
    """

    proof: freshness.Proof
    revision: int
    digest: str


def find_member_to_ask(
    ranking: tuple[str, ...],
    name: str,
    watcher_count: int,
    failed_attempts: int,
) -> str | None:
    """Return the member to ask after some failed attempts, or None.

    The candidates are the ancestors in the tree, the parent first, and then
    the watchers, who read the platform themselves and ask nobody.
    """
    watchers = ranking[:watcher_count]
    if name in watchers or name not in ranking:
        return None
    ancestors = rendezvous.list_ancestors(ranking, name)
    # A watcher reads the platform itself, so its own ancestors add nothing:
    # only the nearest watcher above is asked before the other watchers.
    non_watchers = [it for it in ancestors if it not in watchers]
    candidates = [
        *non_watchers,
        *[it for it in ancestors if it in watchers][:1],
    ]
    candidates += [it for it in watchers if it not in candidates]
    return candidates[failed_attempts % len(candidates)]


def encode_answer(answer: ProofAnswer) -> bytes:
    """Encode a host's proof and stamp."""
    row = {
        'lead': answer.proof.lead_s,
        'stamp': [answer.revision, answer.digest],
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_answer(body: bytes, elapsed_s: float) -> ProofAnswer | None:
    """Decode an answer that took `elapsed_s`; None if it is malformed.

    A lead longer than the exchange can only come from a wrong clock.
    """
    try:
        row: Any = json_texts.load(body)
        lead_s = float(row['lead'])
        revision, digest = row['stamp']
        answer = ProofAnswer(
            freshness.Proof(lead_s, freshness.NO_ERA),
            int(revision),
            str(digest),
        )
    except _DECODE_ERRORS:
        return None
    return answer if math.isfinite(lead_s) and lead_s <= elapsed_s else None
