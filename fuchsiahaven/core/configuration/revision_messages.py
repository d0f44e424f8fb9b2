"""Define the events and actions of the state machine in `revisions`."""

import enum
import math
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations, patches


class Fault(enum.StrEnum):
    """List the faults of the configuration that are reported to operators."""

    PLATFORM_DOWN = 'platform_down'
    PLATFORM_OLDER = 'platform_older'
    PLATFORM_FORKED = 'platform_forked'
    CONTENT_DIFFERS = 'content_differs'
    UNREADABLE = 'unreadable'
    UNVOUCHED = 'unvouched'
    DAMAGED = 'damaged'


class RevisionChange(NamedTuple):
    """Identify the change that turned one revision into the next."""

    revision: int
    change_id: str
    previous_revision: int


#: The send time of a call whose age is not needed.
UNKNOWN_TIME: Final = -math.inf


class ManifestRead(NamedTuple):
    """Report the manifest that was read from the platform.

    `store_revision` is the store's revision of the manifest's key, `changes`
    are the last ones of its history. The configuration is None if there is no
    manifest. `by_watch` is true if a watch returned it, `sent_at` is when the
    call was sent.
    """

    store_revision: int
    configuration: configurations.Configuration | None = None
    changes: tuple[RevisionChange, ...] = ()
    by_watch: bool = False
    sent_at: float = UNKNOWN_TIME


class StoreRevisionRead(NamedTuple):
    """Report the store's revision of the manifest; 0 if there is none.

    `sent_at` is when the call was sent.
    """

    store_revision: int
    sent_at: float = UNKNOWN_TIME


class WatchEnded(NamedTuple):
    """Report that a watch ended without a change."""


class PlatformCallFailed(NamedTuple):
    """Report a failed call to the platform.

    `answered` is true if the platform returned an unusable manifest, false if
    it gave no answer.
    """

    by_watch: bool
    detail: str
    answered: bool = False


class StampReceived(NamedTuple):
    """Report the stamp that another member has in force."""

    member: str
    stamp: patches.Stamp


class PatchReceived(NamedTuple):
    """Report a patch that another member pushed."""

    member: str
    patch: patches.Patch


class PullAnswered(NamedTuple):
    """Report a member's answer to a pull; no patches mean nothing newer."""

    member: str
    patches: tuple[patches.Patch, ...]


class MemberUnreachable(NamedTuple):
    """Report a member that could not be reached, by a push or a pull.

    `missed_patch` is the patch that could not be pushed.
    """

    member: str
    missed_patch: patches.Patch | None = None


class MembersListed(NamedTuple):
    """Report the live members of the data centre, this host included."""

    members: tuple[str, ...]


class CheckRequested(NamedTuple):
    """Request an immediate check of the platform.

    With `read_manifest` the manifest is read even if the store's revision is
    unchanged.
    """

    read_manifest: bool = False


class Ticked(NamedTuple):
    """Report that time has passed."""


class ReadManifest(NamedTuple):
    """Read the manifest and its parts."""


class ReadStoreRevision(NamedTuple):
    """Read the store's revision of the manifest."""


class WatchManifest(NamedTuple):
    """Wait up to `wait_s` seconds for a store revision above a given one."""

    above_revision: int
    wait_s: float


class PushPatch(NamedTuple):
    """Send a patch to members."""

    members: tuple[str, ...]
    patch: patches.Patch


class PullPatches(NamedTuple):
    """Fetch a member's patches above a stamp."""

    member: str
    above_stamp: patches.Stamp


class PutInForce(NamedTuple):
    """Put a configuration into force on this host."""

    stamped: patches.StampedConfiguration


class ConfirmInForce(NamedTuple):
    """Confirm that the platform held what is in force at `sent_at` or later."""

    stamp: patches.Stamp
    sent_at: float


class ReportFault(NamedTuple):
    """Report a fault to the operator; `text` is empty once it has ended."""

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
