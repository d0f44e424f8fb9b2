"""Define the calls to the platform's store and their results.

An operation that takes several calls is a generator that yields calls and
receives results. Tests can thus interleave several operators, lose any
answer, and replay a failure.
"""

from collections.abc import Generator
from typing import NamedTuple, TypeVar


class ReadKey(NamedTuple):
    """Read the value of a key; returns `KeyFound` or `KeyMissing`."""

    key: str


class CompareAndSwap(NamedTuple):
    """Write a key if it is at `revision` (0: if it does not exist).

    Returns `KeyWritten` or `WriteConflict`.
    """

    key: str
    value: str
    revision: int


class ListKeys(NamedTuple):
    """List the keys that begin with a prefix; returns `KeysListed`."""

    prefix: str


class DeleteKey(NamedTuple):
    """Delete a key if it is at `revision`; the result is ignored."""

    key: str
    revision: int


class Backoff(NamedTuple):
    """Wait a random delay before an attempt; returns `BackoffEnded`.

    `attempt` counts from 1 and makes the delay grow.
    """

    attempt: int


class BackoffEnded(NamedTuple):
    """Report that the delay has passed."""


class KeyFound(NamedTuple):
    """Return the value and the store's revision of a key that was read."""

    value: str
    revision: int


class KeyMissing(NamedTuple):
    """Report that the key does not exist."""


class KeysListed(NamedTuple):
    """Return the keys that were listed, with their store revisions."""

    keys: tuple[tuple[str, int], ...]


class KeyWritten(NamedTuple):
    """Report that a write took effect."""


class WriteConflict(NamedTuple):
    """Report that the key is at another revision; nothing was written."""


class CallFailed(NamedTuple):
    """Report that a call failed; nothing was read or written."""

    text: str


class WriteUnclear(NamedTuple):
    """Report a write that may have taken effect, or may do so later."""

    text: str


Call = ReadKey | CompareAndSwap | ListKeys | DeleteKey | Backoff
Result = (
    KeyFound
    | KeyMissing
    | KeysListed
    | KeyWritten
    | WriteConflict
    | CallFailed
    | WriteUnclear
    | BackoffEnded
)
_Outcome = TypeVar('_Outcome')
Steps = Generator[Call, Result, _Outcome]
