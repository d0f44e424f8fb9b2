"""Start the control tasks of one host and wire them together."""

import contextlib
import functools
import math
import time
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import addresses, suspects
from fuchsiahaven.core.configuration import (
    patches,
    revision_messages,
    revisions,
)
from fuchsiahaven.core.customers import freshness, proof_exchange
from fuchsiahaven.core.members import (
    member_messages,
    member_tables,
    members,
    membership,
    patch_codecs,
)
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    claim_members,
    doors,
    gossip,
    hostlist,
    listings,
    openings,
    patch_calls,
    peer_calls,
    peers,
    proofs,
)
from fuchsiahaven.edge import revisions as revision_tasks
from fuchsiahaven.operate import settings

#: Nothing else on the host is told more of the stop than its members.
FAREWELL_S: Final = 0.5

Event = (
    messages.ConfigurationReceived
    | messages.MembersChanged
    | messages.HostListRead
)


class Links(NamedTuple):
    """Say whom the control tasks tell: dispatch loop, claims and door."""

    post: Callable[[Event], None]
    take_claims: Callable[[bytes], bytes | None]
    note_members: Callable[[claim_members.Listed], None]
    door: doors.Door
    list_quarantined: Callable[[], tuple[suspects.News, ...]] = tuple


class Control:
    """Join the configuration, the membership and the peer port of a host."""

    def __init__(
        self,
        own: members.Member,
        chosen: settings.Settings,
        links: Links,
        caller: peer_calls.Caller,
    ) -> None:
        """Prepare the tasks without starting them."""
        self.name = own.name
        self.take_claims = links.take_claims
        self._chosen = chosen
        self._links = links
        seeds = tuple(
            addresses.format_address(seed) for seed in chosen.peers.seeds
        )
        rules = openings.read_rules(chosen)
        now = time.monotonic()
        state = membership.start(
            own, chosen.host.data_centre, rules, seeds, now
        )
        self.gossip = gossip.Task(state, caller, self._take_members)
        self.revisions = revision_tasks.Task(
            revisions.start(
                own.name,
                now,
                revisions.Timings(watch_timeout_s=chosen.platform.watch_s),
                alone=not state.seeds,
            ),
            chosen.host.data_centre,
            patch_calls.Exchange(own.name, caller, self._find_address),
            self._take_configuration,
            links.door,
        )
        self._proofs = proofs.Task(
            links.door,
            caller,
            lambda: self.revisions.state,
            self._find_address,
            lambda whole: self.revisions.post(
                revision_messages.CheckRequested(whole)
            ),
        )

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the tasks; the stack ends them."""
        chosen = self._chosen
        self._lister = listings.Lister(
            openings.open_store(chosen, stack),
            chosen.platform.host_list_interval_s,
            self._take_listing,
        )
        stores = openings.open_stores(chosen, stack)
        openings.start_thread(self.gossip.run, gossip.PART, stack)
        stack.callback(self.gossip.post, gossip.Stopped())
        stack.callback(self._say_farewell)
        openings.start_thread(
            functools.partial(self.revisions.run, stores),
            revision_tasks.PART,
            stack,
        )
        stack.callback(self.revisions.stop)
        if self._links.door.freshness.revoke_s is not None:
            openings.start_thread(self._proofs.run, proofs.PART, stack)
            stack.callback(self._proofs.stop)
        openings.start_thread(self._lister.run, listings.PART, stack)
        stack.callback(self._lister.stop)

    def announce_stop(self) -> None:
        """Tell the members that this host is about to stop."""
        self.gossip.post(member_messages.LeaveRequested())

    def explain(self) -> str:
        """Say why this host cannot serve yet; empty where it can."""
        return self.revisions.explain() or ''

    def exchange(
        self, told: member_messages.Gossip
    ) -> member_messages.Gossip | None:
        """Answer gossip; None where this host is too busy."""
        return self.gossip.exchange(told)

    def prove(self) -> bytes | None:
        """Tell how old the knowledge of keys is; None if nothing is proved."""
        told = self._links.door.prove()
        return None if told is None else proof_exchange.encode_answer(told)

    def take_patches(self, parcel: patch_codecs.PatchMessage) -> patches.Stamp:
        """Take patches that were pushed; return what is in force."""
        self.gossip.post(member_messages.TrafficReceived(parcel.sender))
        for patch in parcel.patches:
            self.revisions.post(
                revision_messages.PatchReceived(parcel.sender, patch)
            )
        return self.revisions.state.in_force.stamp

    def find_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """List what leads from a stamp to what is in force."""
        return revisions.list_patches(self.revisions.state, above)

    def describe(self) -> Mapping[str, object]:
        """Describe this host for an operator."""
        state = self.revisions.state
        table = self.gossip.state.table
        known = (entry.member for entry in table.entries.values())
        held = [_describe_held(it) for it in self._links.list_quarantined()]
        return {
            'host': self.name,
            'data_centre': self._chosen.host.data_centre,
            'state': member_tables.get_own(table).standing,
            'revision': state.in_force.stamp.revision,
            'digest': state.in_force.stamp.digest,
            'watches': revisions.is_watcher(state),
            'faults': dict(state.faults),
            'obstacle': self.explain(),
            **_describe_keys(self._links.door.freshness),
            'health': self.gossip.state.slowness,
            'members': [member._asdict() for member in sorted(known)],
            **({'quarantined': held} if held else {}),
        }

    def _take_configuration(
        self, stamped: patches.StampedConfiguration
    ) -> None:
        self._links.door.note(stamped)
        self._links.post(messages.ConfigurationReceived(stamped.configuration))
        self.gossip.post(member_messages.ConfigurationInForce(stamped.stamp))

    def _take_members(
        self,
        told: member_messages.MembersListed | member_messages.StampReceived,
    ) -> None:
        match told:
            case member_messages.MembersListed(live, staying):
                self._links.post(messages.MembersChanged(live, self.name))
                self._links.note_members(self._list_staying(staying))
                self.revisions.post(revision_messages.MembersListed(staying))
                self._lister.members = len(live)
            case member_messages.StampReceived():
                self.revisions.post(revision_messages.StampReceived(*told))

    def _take_listing(self, listing: hostlist.Listing) -> None:
        self._links.post(listing.targets)
        seeds = tuple(
            entry.address
            for entry in listing.entries
            if entry.data_centre == self._chosen.host.data_centre
            and not entry.leaving
        )
        self.gossip.post(member_messages.SeedsFound(seeds))

    def _list_staying(self, staying: tuple[str, ...]) -> claim_members.Listed:
        places = {name: self._find_address(name) for name in staying}
        return claim_members.Listed(
            self.name,
            {name: place for name, place in places.items() if place},
        )

    def _find_address(self, name: str) -> str | None:
        member = member_tables.find_member(self.gossip.state.table, name)
        return member.address if member else None

    def _say_farewell(self) -> None:
        self.gossip.post(member_messages.ServingEnded())
        # Members that miss it find out by suspicion, some seconds later.
        self.gossip.wait_told(FAREWELL_S)


def _describe_keys(known: freshness.Freshness) -> Mapping[str, object]:
    if not known.is_enforced:
        return {}
    age = known.compute_age()
    told = round(age, 2) if math.isfinite(age) else None
    return {'keys': {'age_s': told, 'bound_s': known.revoke_s}}


def start(
    chosen: settings.Settings,
    links: Links,
    caller: peer_calls.Caller,
    stack: contextlib.ExitStack,
) -> Control:
    """Bind the peer port and start all tasks; the stack ends them.

    Raises OSError where the port is taken or a TLS file cannot be used.
    """
    application = peers.Application()
    place, server = openings.bind_peer_port(chosen, application)
    own = members.Member(*place, 1, members.Standing.ALIVE)
    control = Control(own, chosen, links, caller)
    application.attach(own.name, control)
    control.start(stack)
    openings.start_thread(server.serve, 'peers', stack)
    stack.callback(server.stop)
    return control


def _describe_held(news: suspects.News) -> Mapping[str, object]:
    """Describe a query that is refused as it ends its targets."""
    return {
        'digest': news.identity.digest,
        'request_class': news.identity.customer,
        'crashes': news.crashes,
        'wait': round(news.wait, 1),
        'targets': list(news.targets),
    }
