"""Define what passes between a key's commits, the platform and members."""

import enum
from typing import NamedTuple

from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.targets import messages


class Doubt(enum.IntFlag):
    """Say why an attempt may stand although nobody has told us so."""

    NONE = 0
    UNCLEAR_WRITE = 1
    FORWARDED = 2


class Pending(NamedTuple):
    """Hold one step that waits until `give_up`, in monotonic seconds.

    `own` tells a step of this host from one that a member asked us to write.
    Nobody waits for an outcome, so until `hurry` it starts no write of its
    own but goes along with a claim's.
    """

    step: claims.Step
    give_up: float
    own: bool = True
    doubt: Doubt = Doubt.NONE
    hurry: float = 0.0


class Settled(NamedTuple):
    """Hold what came of one step.

    Steps other than attempts settle as GRANTED once noted.
    """

    pending: Pending
    result: messages.ClaimResult
    held: claims.Held | None = None
    maybe_written: bool = False
    detail: str = ''


class Forward(NamedTuple):
    """Ask that a member writes the steps; it saves writes, no more."""

    key: str
    steps: tuple[claims.Step, ...]


class Read(NamedTuple):
    """Ask for the value and revision of a key."""

    key: str


class Swap(NamedTuple):
    """Ask for a write of a key at a revision."""

    key: str
    value: str
    revision: int


Call = Forward | Read | Swap


class Forwarded(NamedTuple):
    """Bring the member's verdicts on some of the steps."""

    settled: tuple[Settled, ...]


class ForwardLost(NamedTuple):
    """Bring that the member may have the steps and said nothing."""


class ForwardRefused(NamedTuple):
    """Bring that the member certainly does not have the steps."""


class Found(NamedTuple):
    """Bring a key as read; revision 0 where it does not exist."""

    value: str | None
    revision: int


class Written(NamedTuple):
    """Bring the revision that a write gave."""

    revision: int


class Conflict(NamedTuple):
    """Bring that the key had moved on; nothing was written."""


class Failed(NamedTuple):
    """Bring that a read gave nothing or a write had no effect."""

    detail: str


class Distrusted(NamedTuple):
    """Bring that a write took effect but grants nothing."""

    detail: str


class Unclear(NamedTuple):
    """Bring that the answer to a write was lost."""


Result = (
    Forwarded
    | ForwardLost
    | ForwardRefused
    | Found
    | Written
    | Conflict
    | Failed
    | Distrusted
    | Unclear
)
Settlements = tuple[Settled, ...]
