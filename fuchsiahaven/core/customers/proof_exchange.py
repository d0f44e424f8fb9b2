"""Say which other host to ask for proof of how old knowledge of keys is."""

import json
import math
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import json_texts, rendezvous
from fuchsiahaven.core.customers import freshness

#: A number may be too large for what it is read as.
_DECODE_ERRORS: Final = (ValueError, TypeError, KeyError, OverflowError)


class ProofAnswer(NamedTuple):
    """Hold what a host proves, and of which configuration.

    `revision` and `digest` are of what it has in force, read after the proof.
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
    """Find whom a host asks that was not told anything so many times.

    It is the parent in the tree over an order, then those above it, then the
    first of the order, who ask the platform. They ask nobody.
    """
    watchers = ranking[:watcher_count]
    if name in watchers or name not in ranking:
        return None
    ancestors = rendezvous.list_ancestors(ranking, name)
    # From the first that asks the platform on the tree brings nothing more.
    non_watchers = [it for it in ancestors if it not in watchers]
    candidates = [
        *non_watchers,
        *[it for it in ancestors if it in watchers][:1],
    ]
    candidates += [it for it in watchers if it not in candidates]
    return candidates[failed_attempts % len(candidates)]


def encode_answer(answer: ProofAnswer) -> bytes:
    """Write what a host proves."""
    row = {
        'lead': answer.proof.lead_s,
        'stamp': [answer.revision, answer.digest],
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_answer(body: bytes, elapsed_s: float) -> ProofAnswer | None:
    """Read what came after so many seconds; None for what is no proof.

    A lead beyond the time of the exchange is of a clock that is wrong.
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
