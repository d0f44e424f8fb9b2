"""Define what passes between a key's commits, the platform and members."""

import enum
from typing import NamedTuple

from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.targets import messages


class Uncertainty(enum.IntFlag):
    """Say why an attempt may stand although nobody has told us so."""

    NONE = 0
    UNCLEAR_WRITE = 1
    FORWARDED = 2


class PendingStep(NamedTuple):
    """Hold one step that waits until `give_up`, in monotonic seconds.

    `own` tells a step of this host from one that a member asked us to write.
    Nobody waits for an outcome, so until `hurry` it starts no write of its
    own but goes along with a claim's.
    """

    step: claims.Step
    deadline: float
    is_own: bool = True
    uncertainty: Uncertainty = Uncertainty.NONE
    write_at: float = 0.0


class StepResult(NamedTuple):
    """Hold what came of one step.

    Steps other than attempts settle as GRANTED once noted.
    """

    pending: PendingStep
    result: messages.ClaimResult
    claim: claims.Claim | None = None
    maybe_written: bool = False
    detail: str = ''


class ForwardSteps(NamedTuple):
    """Ask that a member writes the steps; it saves writes, no more."""

    key: str
    steps: tuple[claims.Step, ...]


class ReadKey(NamedTuple):
    """Ask for the value and revision of a key."""

    key: str


class CompareAndSwap(NamedTuple):
    """Ask for a write of a key at a revision."""

    key: str
    value: str
    revision: int


Call = ForwardSteps | ReadKey | CompareAndSwap


class ForwardAnswered(NamedTuple):
    """Bring the member's verdicts on some of the steps."""

    results: tuple[StepResult, ...]


class ForwardLost(NamedTuple):
    """Bring that the member may have the steps and said nothing."""


class ForwardRefused(NamedTuple):
    """Bring that the member certainly does not have the steps."""


class KeyRead(NamedTuple):
    """Bring a key as read; revision 0 where it does not exist."""

    value: str | None
    revision: int


class KeyWritten(NamedTuple):
    """Bring the revision that a write gave."""

    revision: int


class WriteConflict(NamedTuple):
    """Bring that the key had moved on; nothing was written."""


class CallFailed(NamedTuple):
    """Bring that a read gave nothing or a write had no effect."""

    detail: str


class WriteDistrusted(NamedTuple):
    """Bring that a write took effect but grants nothing."""

    detail: str


class WriteUnclear(NamedTuple):
    """Bring that the answer to a write was lost."""


Result = (
    ForwardAnswered
    | ForwardLost
    | ForwardRefused
    | KeyRead
    | KeyWritten
    | WriteConflict
    | CallFailed
    | WriteDistrusted
    | WriteUnclear
)
StepResults = tuple[StepResult, ...]
