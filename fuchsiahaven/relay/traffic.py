"""Count the bytes on connections that this host has opened, by their kind.

Each exchange is counted by the host that sends the request, so only once in a
deployment. Traffic between data centres is expensive; only the sender can say
whether it grows with searches, with hosts or with changes.
"""

import enum
from typing import NamedTuple


class Kind(enum.StrEnum):
    """List the kinds of traffic.

    PARTS are requests to targets, SHARES delegated requests, NEWS reports
    between hosts, STORE calls to the store, QUOTAS messages about customers'
    tokens.
    """

    PARTS = enum.auto()
    SHARES = enum.auto()
    NEWS = enum.auto()
    STORE = enum.auto()
    QUOTAS = enum.auto()


class Flow(NamedTuple):
    """Identify a kind of traffic, within or across data centres."""

    kind: Kind
    cross_centre: bool


class ByteCounts:
    """Count the bytes of one flow."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.received = 0


class TrafficCounts:
    """Hold the byte counts of one process by flow."""

    def __init__(self) -> None:
        """Start at zero."""
        self.by_flow: dict[Flow, ByteCounts] = {}

    def get_counts(self, kind: Kind, *, cross_centre: bool) -> ByteCounts:
        """Return the byte counts of a flow."""
        return self.by_flow.setdefault(Flow(kind, cross_centre), ByteCounts())
