"""Define the calls that commit claims, and their results."""

import enum
from typing import NamedTuple

from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.targets import messages


class Uncertainty(enum.IntFlag):
    """List why an attempt may be in the ledger without a result that says so.

    UNCLEAR_WRITE: a write that contained it got no trusted answer. FORWARDED:
    a member was asked to write it and did not say what became of it.
    """

    NONE = 0
    UNCLEAR_WRITE = 1
    FORWARDED = 2


class PendingStep(NamedTuple):
    """Hold one step that waits to be written.

    `deadline` is the time at which the step is given up, and `write_at` the
    time from which it causes a write by itself, both in monotonic seconds.
    Before `write_at` the step is written only together with others: no
    caller waits for the write of an outcome. `is_own` is false for a step
    that a member asked this host to write.
    """

    step: claims.Step
    deadline: float
    is_own: bool = True
    uncertainty: Uncertainty = Uncertainty.NONE
    write_at: float = 0.0


class StepResult(NamedTuple):
    """Hold the result of one step.

    The result of an outcome or a return is GRANTED once the step is applied.
    `claim` is the claim under the request id that decided the result.
    `maybe_written` is true where an attempt that was not granted may still be
    in the ledger.
    """

    pending: PendingStep
    result: messages.ClaimResult
    claim: claims.Claim | None = None
    maybe_written: bool = False
    detail: str = ''


class ForwardSteps(NamedTuple):
    """Ask a member to write the steps.

    Forwarding only saves writes; the host could write the steps itself.
    """

    key: str
    steps: tuple[claims.Step, ...]


class ReadKey(NamedTuple):
    """Read the value and the revision of a key."""

    key: str


class CompareAndSwap(NamedTuple):
    """Write a key if it still has this revision."""

    key: str
    value: str
    revision: int


Call = ForwardSteps | ReadKey | CompareAndSwap


class ForwardAnswered(NamedTuple):
    """Report the member's results for some or all of the steps."""

    results: tuple[StepResult, ...]


class ForwardLost(NamedTuple):
    """Report that the member may have the steps but did not answer."""


class ForwardRefused(NamedTuple):
    """Report that the member certainly does not have the steps."""


class KeyRead(NamedTuple):
    """Report the key as read; the revision is 0 if it does not exist."""

    value: str | None
    revision: int


class KeyWritten(NamedTuple):
    """Report a successful write and the new revision of the key."""

    revision: int


class WriteConflict(NamedTuple):
    """Report that the key had another revision; nothing was written."""


class CallFailed(NamedTuple):
    """Report that a read failed or that a write had no effect."""

    detail: str


class WriteDistrusted(NamedTuple):
    """Report a write that took effect but must not grant any claim."""

    detail: str


class WriteUnclear(NamedTuple):
    """Report a write without an answer; it may or may not take effect."""


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
