"""Define the calls of the platform's service and the ways they end.

A decision that takes several calls is a generator: it yields calls and gets
results, so that a test can run several operators side by side, lose any
answer, and replay what it found.
"""

from collections.abc import Generator
from typing import NamedTuple, TypeVar


class ReadKey(NamedTuple):
    """Ask for the value of a key; answered by `Found` or `Missing`."""

    key: str


class CompareAndSwap(NamedTuple):
    """Ask to write a key that is at `revision` (0: that does not exist).

    Answered by `Written` or `Conflict`.
    """

    key: str
    value: str
    revision: int


class ListKeys(NamedTuple):
    """Ask for the keys that begin with a prefix; answered by `Listed`."""

    prefix: str


class DeleteKey(NamedTuple):
    """Ask to delete a key that is at `revision`; any answer will do."""

    key: str
    revision: int


class Backoff(NamedTuple):
    """Ask to wait a random while before try `turn`; answered by `Rested`."""

    attempt: int


class BackoffEnded(NamedTuple):
    """Answer a rest: it is over."""


class KeyFound(NamedTuple):
    """Answer a read: the value and the key's revision in the store."""

    value: str
    revision: int


class KeyMissing(NamedTuple):
    """Answer a read: there is no such key."""


class KeysListed(NamedTuple):
    """Answer a list: keys with their revisions in the store."""

    keys: tuple[tuple[str, int], ...]


class KeyWritten(NamedTuple):
    """Answer a write: it took effect."""


class WriteConflict(NamedTuple):
    """Answer a write: the key is at another revision; nothing was written."""


class CallFailed(NamedTuple):
    """Answer any call: it gave nothing, and nothing was written."""

    text: str


class WriteUnclear(NamedTuple):
    """Answer a write: it may have taken effect, or may do so later."""

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
