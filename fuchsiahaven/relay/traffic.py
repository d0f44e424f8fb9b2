"""Count the bytes on connections that this host opened, by what they carry.

Each exchange is counted once in the fleet: by the host that asked. Bytes
between data centres are dear, and which of them grow with searches, with hosts
or with changes can only be told where they are sent.
"""

import enum
from typing import NamedTuple


class Kind(enum.StrEnum):
    """Say what a connection carries.

    PARTS are requests to targets, SHARES what other hosts gather, NEWS what
    hosts tell each other of the store, STORE the calls to it, QUOTAS what
    hosts tell each other of customers' tokens.
    """

    PARTS = enum.auto()
    SHARES = enum.auto()
    NEWS = enum.auto()
    STORE = enum.auto()
    QUOTAS = enum.auto()


class Flow(NamedTuple):
    """Identify connections; `far` ones lead to another data centre."""

    kind: Kind
    cross_centre: bool


class ByteCounts:
    """Own the count of one flow, in bytes."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.received = 0


class TrafficCounts:
    """Own the counts of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.by_flow: dict[Flow, ByteCounts] = {}

    def get_counts(self, kind: Kind, *, cross_centre: bool) -> ByteCounts:
        """Find the count of a flow."""
        return self.by_flow.setdefault(Flow(kind, cross_centre), ByteCounts())
