"""Start the control tasks of one host and connect them."""

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
    authenticators,
    claim_owners,
    gossip,
    host_list,
    host_list_poller,
    patch_client,
    peer_client,
    peer_port,
    proof_task,
    resources,
    revision_task,
)
from fuchsiahaven.operate import settings

#: How long a stopping host waits for its members to learn of the stop.
LEAVE_TIMEOUT_S: Final = 0.5

Event = (
    messages.ConfigurationReceived
    | messages.MembersChanged
    | messages.HostListRead
)


class Callbacks(NamedTuple):
    """Hold what the control tasks call: loop, claims, authenticator."""

    post: Callable[[Event], None]
    handle_claims: Callable[[bytes], bytes | None]
    update_members: Callable[[claim_owners.MemberAddresses], None]
    authenticator: authenticators.Authenticator
    list_quarantined: Callable[[], tuple[suspects.News, ...]] = tuple


class Control:
    """Connect the configuration, membership and peer port of a host."""

    def __init__(
        self,
        own_member: members.Member,
        host_settings: settings.Settings,
        callbacks: Callbacks,
        client: peer_client.PeerClient,
    ) -> None:
        """Prepare the tasks without starting them."""
        self.name = own_member.name
        self.handle_claims = callbacks.handle_claims
        self._settings = host_settings
        self._callbacks = callbacks
        seeds = tuple(
            addresses.format_address(seed) for seed in host_settings.peers.seeds
        )
        timings = resources.make_timings(host_settings)
        now = time.monotonic()
        state = membership.start(
            own_member, host_settings.host.data_centre, timings, seeds, now
        )
        self.gossip = gossip.Task(state, client, self._handle_members)
        self.revisions = revision_task.Task(
            revisions.start(
                own_member.name,
                now,
                revisions.Timings(
                    watch_timeout_s=host_settings.platform.watch_s
                ),
                alone=not state.seeds,
            ),
            host_settings.host.data_centre,
            patch_client.PatchClient(
                own_member.name, client, self._find_address
            ),
            self._handle_configuration,
            callbacks.authenticator,
        )
        self._proofs = proof_task.Task(
            callbacks.authenticator,
            client,
            lambda: self.revisions.state,
            self._find_address,
            lambda reads_manifest: self.revisions.post(
                revision_messages.CheckRequested(reads_manifest)
            ),
        )

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the tasks; the stack stops them."""
        host_settings = self._settings
        self._host_list_poller = host_list_poller.HostListPoller(
            resources.open_store(host_settings, stack),
            host_settings.platform.host_list_interval_s,
            self._handle_host_list,
        )
        stores = resources.open_stores(host_settings, stack)
        resources.start_thread(self.gossip.run, gossip.PART, stack)
        stack.callback(self.gossip.post, gossip.StopRequested())
        stack.callback(self._send_leave)
        resources.start_thread(
            functools.partial(self.revisions.run, stores),
            revision_task.PART,
            stack,
        )
        stack.callback(self.revisions.stop)
        if self._callbacks.authenticator.freshness.revoke_s is not None:
            resources.start_thread(self._proofs.run, proof_task.PART, stack)
            stack.callback(self._proofs.stop)
        resources.start_thread(
            self._host_list_poller.run, host_list_poller.PART, stack
        )
        stack.callback(self._host_list_poller.stop)

    def announce_stop(self) -> None:
        """Announce to the members that this host is about to stop."""
        self.gossip.post(member_messages.LeaveRequested())

    def find_unready_reason(self) -> str:
        """Return why this host cannot serve yet; empty if it can."""
        return self.revisions.find_unready_reason() or ''

    def exchange_gossip(
        self, received: member_messages.Gossip
    ) -> member_messages.Gossip | None:
        """Answer gossip; None if this host is too busy."""
        return self.gossip.exchange_gossip(received)

    def encode_proof(self) -> bytes | None:
        """Encode the proof of how old the known keys are; None without."""
        answer = self._callbacks.authenticator.make_proof_answer()
        return None if answer is None else proof_exchange.encode_answer(answer)

    def handle_patches(
        self, message: patch_codecs.PatchMessage
    ) -> patches.Stamp:
        """Apply pushed patches; return the stamp in force."""
        self.gossip.post(member_messages.TrafficReceived(message.sender))
        for patch in message.patches:
            self.revisions.post(
                revision_messages.PatchReceived(message.sender, patch)
            )
        return self.revisions.state.in_force.stamp

    def list_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """List the patches from a stamp to the configuration in force."""
        return revisions.list_patches(self.revisions.state, above)

    def describe(self) -> Mapping[str, object]:
        """Describe this host for an operator."""
        state = self.revisions.state
        table = self.gossip.state.table
        known_members = (entry.member for entry in table.entries.values())
        quarantined = [
            _describe_quarantined(it)
            for it in self._callbacks.list_quarantined()
        ]
        return {
            'host': self.name,
            'data_centre': self._settings.host.data_centre,
            'state': member_tables.get_own(table).standing,
            'revision': state.in_force.stamp.revision,
            'digest': state.in_force.stamp.digest,
            'watches': revisions.is_watcher(state),
            'faults': dict(state.faults),
            'obstacle': self.find_unready_reason(),
            **_describe_keys(self._callbacks.authenticator.freshness),
            'health': self.gossip.state.slowness,
            'members': [member._asdict() for member in sorted(known_members)],
            **({'quarantined': quarantined} if quarantined else {}),
        }

    def _handle_configuration(
        self, stamped: patches.StampedConfiguration
    ) -> None:
        self._callbacks.authenticator.update_configuration(stamped)
        self._callbacks.post(
            messages.ConfigurationReceived(stamped.configuration)
        )
        self.gossip.post(member_messages.ConfigurationInForce(stamped.stamp))

    def _handle_members(
        self,
        event: member_messages.MembersListed | member_messages.StampReceived,
    ) -> None:
        match event:
            case member_messages.MembersListed(live, remaining):
                self._callbacks.post(messages.MembersChanged(live, self.name))
                self._callbacks.update_members(self._list_addresses(remaining))
                self.revisions.post(revision_messages.MembersListed(remaining))
                self._host_list_poller.member_count = len(live)
            case member_messages.StampReceived():
                self.revisions.post(revision_messages.StampReceived(*event))

    def _handle_host_list(self, listed_hosts: host_list.HostListing) -> None:
        self._callbacks.post(listed_hosts.targets)
        seeds = tuple(
            entry.address
            for entry in listed_hosts.entry_hosts
            if entry.data_centre == self._settings.host.data_centre
            and not entry.leaving
        )
        self.gossip.post(member_messages.SeedsFound(seeds))

    def _list_addresses(
        self, member_names: tuple[str, ...]
    ) -> claim_owners.MemberAddresses:
        found = {name: self._find_address(name) for name in member_names}
        return claim_owners.MemberAddresses(
            self.name,
            {name: address for name, address in found.items() if address},
        )

    def _find_address(self, name: str) -> str | None:
        member = member_tables.find_member(self.gossip.state.table, name)
        return member.address if member else None

    def _send_leave(self) -> None:
        self.gossip.post(member_messages.ServingEnded())
        # Members that miss the message suspect this host seconds later.
        self.gossip.wait_for_sent(LEAVE_TIMEOUT_S)


def _describe_keys(key_freshness: freshness.Freshness) -> Mapping[str, object]:
    if not key_freshness.is_enforced:
        return {}
    age = key_freshness.compute_age()
    finite_age = round(age, 2) if math.isfinite(age) else None
    return {'keys': {'age_s': finite_age, 'bound_s': key_freshness.revoke_s}}


def start(
    host_settings: settings.Settings,
    callbacks: Callbacks,
    client: peer_client.PeerClient,
    stack: contextlib.ExitStack,
) -> Control:
    """Bind the peer port and start all tasks; the stack stops them.

    Raises OSError if the port is taken or a TLS file cannot be used.
    """
    application = peer_port.Application()
    process_address, server = resources.bind_peer_port(
        host_settings, application
    )
    own_member = members.Member(*process_address, 1, members.Standing.ALIVE)
    control = Control(own_member, host_settings, callbacks, client)
    application.attach(own_member.name, control)
    control.start(stack)
    resources.start_thread(server.serve, 'peers', stack)
    stack.callback(server.stop)
    return control


def _describe_quarantined(report: suspects.News) -> Mapping[str, object]:
    """Describe a query that is refused because it crashes targets."""
    return {
        'digest': report.identity.digest,
        'request_class': report.identity.customer,
        'crashes': report.crashes,
        'wait': round(report.wait, 1),
        'targets': list(report.targets),
    }
