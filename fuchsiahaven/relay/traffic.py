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
    far: bool


class Tally:
    """Own the count of one flow, in bytes."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.received = 0


class Traffic:
    """Own the counts of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.tallies: dict[Flow, Tally] = {}

    def find(self, kind: Kind, *, far: bool) -> Tally:
        """Find the count of a flow."""
        return self.tallies.setdefault(Flow(kind, far), Tally())
