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


class RevisionChange(NamedTuple):
    """Name the change that made a revision out of the one it follows."""

    revision: int
    change_id: str
    previous_revision: int


#: When a call left whose age is not asked for.
UNKNOWN_TIME: Final = -math.inf


class ManifestRead(NamedTuple):
    """Bring what the platform holds; `left` is when it was asked.

    `store_revision` is the platform's number of the manifest, `changes` are
    the last ones of its history. The configuration is None where there is no
    manifest.
    """

    store_revision: int
    configuration: configurations.Configuration | None = None
    changes: tuple[RevisionChange, ...] = ()
    by_watch: bool = False
    sent_at: float = UNKNOWN_TIME


class StoreRevisionRead(NamedTuple):
    """Bring the platform's number of the manifest; 0 where there is none.

    `left` is when it was asked.
    """

    store_revision: int
    sent_at: float = UNKNOWN_TIME


class WatchEnded(NamedTuple):
    """Bring the end of a watch that saw no change."""


class PlatformCallFailed(NamedTuple):
    """Bring a failed call of the platform.

    `reached` tells a manifest that cannot be used from no answer at all.
    """

    by_watch: bool
    detail: str
    answered: bool = False


class StampReceived(NamedTuple):
    """Bring the stamp that a member has in force."""

    member: str
    stamp: patches.Stamp


class PatchReceived(NamedTuple):
    """Bring a patch that a member sent."""

    member: str
    patch: patches.Patch


class PullAnswered(NamedTuple):
    """Bring what a member answered to a pull; empty: nothing newer."""

    member: str
    patches: tuple[patches.Patch, ...]


class MemberUnreachable(NamedTuple):
    """Bring a member that could not be reached; `push` is what it missed."""

    member: str
    missed_patch: patches.Patch | None = None


class MembersListed(NamedTuple):
    """Bring the live members of the data centre, this host included."""

    members: tuple[str, ...]


class CheckRequested(NamedTuple):
    """Ask that the platform be asked at once.

    `whole` asks that its number alone be not believed this time.
    """

    read_manifest: bool = False


class Ticked(NamedTuple):
    """Bring the passing of time."""


class ReadManifest(NamedTuple):
    """Ask the edge to read the manifest and its parts."""


class ReadStoreRevision(NamedTuple):
    """Ask the edge for the platform's number of the manifest."""


class WatchManifest(NamedTuple):
    """Ask the edge to wait for a number above one; both end within bounds."""

    above_revision: int
    wait_s: float


class PushPatch(NamedTuple):
    """Ask the edge to send a patch to members."""

    members: tuple[str, ...]
    patch: patches.Patch


class PullPatches(NamedTuple):
    """Ask the edge to fetch what a member has above a stamp."""

    member: str
    above_stamp: patches.Stamp


class PutInForce(NamedTuple):
    """Tell this host's other tasks what is in force from now on."""

    stamped: patches.StampedConfiguration


class ConfirmInForce(NamedTuple):
    """Tell that the platform held just what is in force after a time."""

    stamp: patches.Stamp
    sent_at: float


class ReportFault(NamedTuple):
    """Tell the operator of a fault; `text` is empty once it has ended."""

    fault: Fault
    text: str


Event = (
    ManifestRead
    | StoreRevisionRead
    | WatchEnded
    | PlatformCallFailed
    | StampReceived
    | PatchReceived
    | PullAnswered
    | MemberUnreachable
    | MembersListed
    | CheckRequested
    | Ticked
)
Action = (
    ReadManifest
    | ReadStoreRevision
    | WatchManifest
    | PushPatch
    | PullPatches
    | PutInForce
    | ConfirmInForce
    | ReportFault
)
