"""Define the messages between the membership and the edge."""

from typing import NamedTuple

from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import members


class Gossip(NamedTuple):
    """Hold a gossip message, which is a request or the answer to one.

    `digest` is the digest of all members that take part; `buckets` are the
    digests by bucket, sent where the digests differ. `news` are members with
    recent changes, or in a bucket that differs. `relay` asks the receiver to
    probe that member; `reached` is the answer to it.
    """

    sender: members.Member
    data_centre: str
    stamp: patches.Stamp
    digest: str
    news: tuple[members.Member, ...] = ()
    buckets: tuple[str, ...] = ()
    relay: members.Member | None = None
    reached: bool | None = None


class RequestReceived(NamedTuple):
    """Report a request; `token` identifies it in the `Respond` action."""

    token: int
    gossip: Gossip


class ExchangeAnswered(NamedTuple):
    """Report the answer to the request sent under `token`."""

    token: int
    gossip: Gossip


class ExchangeFailed(NamedTuple):
    """Report that the request sent under `token` ended without an answer."""

    token: int


class SeedsFound(NamedTuple):
    """Report addresses at which other hosts of the data centre may be."""

    addresses: tuple[str, ...]


class ConfigurationInForce(NamedTuple):
    """Report the stamp of the configuration in force on this host."""

    stamp: patches.Stamp


class TrafficReceived(NamedTuple):
    """Report traffic of a member other than gossip, as a sign of life."""

    name: str


class LeaveRequested(NamedTuple):
    """Announce a planned stop; the host still serves."""


class ServingEnded(NamedTuple):
    """Announce that the host has stopped serving."""


class Tick(NamedTuple):
    """Report that time has passed."""


class SendRequest(NamedTuple):
    """Send gossip; `ExchangeAnswered` or `ExchangeFailed` follows.

    `timeout_s` bounds the whole exchange.
    """

    token: int
    address: str
    gossip: Gossip
    timeout_s: float


class Respond(NamedTuple):
    """Answer a request."""

    token: int
    gossip: Gossip


class MembersListed(NamedTuple):
    """List the members that take part; those in `staying` plan no stop."""

    live: tuple[str, ...]
    staying: tuple[str, ...]


class StampReceived(NamedTuple):
    """Report the stamp of the configuration in force on a member."""

    name: str
    stamp: patches.Stamp


class ReportMember(NamedTuple):
    """Report an event of a member to the operator."""

    text: str
    name: str
    is_urgent: bool = False


Event = (
    RequestReceived
    | ExchangeAnswered
    | ExchangeFailed
    | SeedsFound
    | ConfigurationInForce
    | TrafficReceived
    | LeaveRequested
    | ServingEnded
    | Tick
)
Action = SendRequest | Respond | MembersListed | StampReceived | ReportMember
