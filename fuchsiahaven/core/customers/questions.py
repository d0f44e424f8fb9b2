"""Say which other host to ask for proof of how old knowledge of keys is."""

import json
import math
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import json_texts, rendezvous
from fuchsiahaven.core.customers import freshness

#: A number may be too large for what it is read as.
_FAULTS: Final = (ValueError, TypeError, KeyError, OverflowError)


class Told(NamedTuple):
    """Hold what a host proves, and of which configuration.

    `revision` and `digest` are of what it has in force, read after the proof.
    """

    proof: freshness.Proof
    revision: int
    digest: str


def find_member(
    order: tuple[str, ...], name: str, watchers: int, missed: int
) -> str | None:
    """Find whom a host asks that was not told anything so many times.

    It is the parent in the tree over an order, then those above it, then the
    first of the order, who ask the platform. They ask nobody.
    """
    first = order[:watchers]
    if name in first or name not in order:
        return None
    above = rendezvous.find_ancestors(order, name)
    # From the first that asks the platform on the tree brings nothing more.
    near = [it for it in above if it not in first]
    asked = [*near, *[it for it in above if it in first][:1]]
    asked += [it for it in first if it not in asked]
    return asked[missed % len(asked)]


def write(told: Told) -> bytes:
    """Write what a host proves."""
    row = {
        'lead': told.proof.lead,
        'stamp': [told.revision, told.digest],
    }
    return json.dumps(row, separators=(',', ':')).encode()


def read(body: bytes, took: float) -> Told | None:
    """Read what came after so many seconds; None for what is no proof.

    A lead beyond the time of the exchange is of a clock that is wrong.
    """
    try:
        row: Any = json_texts.load(body)
        lead = float(row['lead'])
        revision, digest = row['stamp']
        told = Told(
            freshness.Proof(lead, freshness.NO_ERA), int(revision), str(digest)
        )
    except _FAULTS:
        return None
    return told if math.isfinite(lead) and lead <= took else None
