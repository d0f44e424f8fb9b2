"""Define the messages between the choice of a revision and the edge."""

import enum
import math
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations, patches


class Fault(enum.StrEnum):
    """List what an operator has to be told about the configuration."""

    PLATFORM_DOWN = 'platform_down'
    PLATFORM_OLDER = 'platform_older'
    PLATFORM_FORKED = 'platform_forked'
    CONTENT_DIFFERS = 'content_differs'
    UNREADABLE = 'unreadable'
    UNVOUCHED = 'unvouched'
    DAMAGED = 'damaged'


class Change(NamedTuple):
    """Name the change that made a revision out of the one it follows."""

    revision: int
    change_id: str
    follows: int


#: When a call left whose age is not asked for.
NO_TIME: Final = -math.inf


class Found(NamedTuple):
    """Bring what the platform holds; `left` is when it was asked.

    `store_revision` is the platform's number of the manifest, `changes` are
    the last ones of its history. The configuration is None where there is no
    manifest.
    """

    store_revision: int
    configuration: configurations.Configuration | None = None
    changes: tuple[Change, ...] = ()
    watched: bool = False
    left: float = NO_TIME


class Checked(NamedTuple):
    """Bring the platform's number of the manifest; 0 where there is none.

    `left` is when it was asked.
    """

    store_revision: int
    left: float = NO_TIME


class Quiet(NamedTuple):
    """Bring the end of a watch that saw no change."""


class Failed(NamedTuple):
    """Bring a failed call of the platform.

    `reached` tells a manifest that cannot be used from no answer at all.
    """

    watched: bool
    detail: str
    reached: bool = False


class Heard(NamedTuple):
    """Bring the stamp that a member has in force."""

    member: str
    stamp: patches.Stamp


class Pushed(NamedTuple):
    """Bring a patch that a member sent."""

    member: str
    patch: patches.Patch


class Pulled(NamedTuple):
    """Bring what a member answered to a pull; empty: nothing newer."""

    member: str
    patches: tuple[patches.Patch, ...]


class Unreached(NamedTuple):
    """Bring a member that could not be reached; `push` is what it missed."""

    member: str
    push: patches.Patch | None = None


class Listed(NamedTuple):
    """Bring the live members of the data centre, this host included."""

    members: tuple[str, ...]


class Urged(NamedTuple):
    """Ask that the platform be asked at once.

    `whole` asks that its number alone be not believed this time.
    """

    whole: bool = False


class Ticked(NamedTuple):
    """Bring the passing of time."""


class Read(NamedTuple):
    """Ask the edge to read the manifest and its parts."""


class Check(NamedTuple):
    """Ask the edge for the platform's number of the manifest."""


class Watch(NamedTuple):
    """Ask the edge to wait for a number above one; both end within bounds."""

    above: int
    wait_s: float


class Push(NamedTuple):
    """Ask the edge to send a patch to members."""

    members: tuple[str, ...]
    patch: patches.Patch


class Pull(NamedTuple):
    """Ask the edge to fetch what a member has above a stamp."""

    member: str
    above: patches.Stamp


class Configure(NamedTuple):
    """Tell this host's other tasks what is in force from now on."""

    stamped: patches.Stamped


class Confirm(NamedTuple):
    """Tell that the platform held just what is in force after a time."""

    stamp: patches.Stamp
    left: float


class Report(NamedTuple):
    """Tell the operator of a fault; `text` is empty once it has ended."""

    fault: Fault
    text: str


Event = (
    Found
    | Checked
    | Quiet
    | Failed
    | Heard
    | Pushed
    | Pulled
    | Unreached
    | Listed
    | Urged
    | Ticked
)
Action = Read | Check | Watch | Push | Pull | Configure | Confirm | Report
