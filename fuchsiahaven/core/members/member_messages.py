"""Define the messages between the membership and the edge."""

from typing import NamedTuple

from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import members


class Gossip(NamedTuple):
    """Hold what one host tells another, as a request or as its answer.

    `digest` is the sum of all members that take part; `buckets` its parts,
    where the sums differ. `news` are members that the sender heard of lately
    or that stand in a bucket that differs. `relay` asks the receiver to try
    that member; `reached` is the answer to it.
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
    """Bring a request; `token` names who waits for the answer."""

    token: int
    gossip: Gossip


class ExchangeAnswered(NamedTuple):
    """Bring the answer to what was asked under `token`."""

    token: int
    gossip: Gossip


class ExchangeFailed(NamedTuple):
    """Bring the end of what was asked under `token` without an answer."""

    token: int


class SeedsFound(NamedTuple):
    """Bring addresses at which other hosts of the data centre may be."""

    addresses: tuple[str, ...]


class ConfigurationInForce(NamedTuple):
    """Bring the stamp of the configuration in force on this host."""

    stamp: patches.Stamp


class TrafficReceived(NamedTuple):
    """Bring a sign of life that came with other traffic of a member."""

    name: str


class LeaveRequested(NamedTuple):
    """Announce a planned stop; the host goes on serving for now."""


class ServingEnded(NamedTuple):
    """Announce that the host has stopped serving."""


class Tick(NamedTuple):
    """Bring the passing of time."""


class SendRequest(NamedTuple):
    """Ask the edge to send gossip; `Answered` or `Lost` follows.

    `timeout_s` bounds the whole exchange.
    """

    token: int
    address: str
    gossip: Gossip
    timeout_s: float


class Respond(NamedTuple):
    """Give the answer to a request."""

    token: int
    gossip: Gossip


class MembersListed(NamedTuple):
    """Tell the other tasks who takes part; `staying` are not about to stop."""

    live: tuple[str, ...]
    staying: tuple[str, ...]


class StampReceived(NamedTuple):
    """Tell the configuration task what a member has in force."""

    name: str
    stamp: patches.Stamp


class ReportMember(NamedTuple):
    """Tell the operator what happened to a member."""

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
