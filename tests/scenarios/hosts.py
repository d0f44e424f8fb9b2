"""Run the state machines of one host without threads or sockets."""

import functools
import random
from collections.abc import Callable
from typing import Final, Protocol

from fuchsiahaven.core.configuration import (
    patches,
    revision_messages,
    revisions,
)
from fuchsiahaven.core.members import member_messages
from fuchsiahaven.core.queries import dispatch, states
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    claim_stores,
    claim_task,
    frames,
    host_list,
    manifest_reader,
    store,
    target_protocol,
)
from tests.core import networks
from tests.scenarios import fakes, pools

NETWORK_DELAY_S: Final = 0.001
TIMEOUT_GRACE_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 1.0
WATCH_POLL_S: Final = 0.1

Callback = Callable[[], None]


class Environment(Protocol):
    """Describe what a host needs from its environment."""

    clock: networks.Network
    hosts: dict[str, 'Host']
    targets: dict[str, fakes.Target]
    lost_targets: set[str]

    def is_cut(self, site: str, other_site: str) -> bool:
        """Return whether two hosts, targets or sites are cut off."""

    def record_reply(self, host: str, reply: messages.Reply) -> None:
        """Record a reply for its caller."""


class Host:
    """Own one host: its state machines and their pending requests."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        pool: pools.PlatformPool,
        world: Environment,
    ) -> None:
        """Start without a configuration or members."""
        self.name = name
        self.data_centre = data_centre
        self.alive = True
        self.in_force: list[int] = []
        self.faults: set[revision_messages.Fault] = set()
        self._world = world
        self._clock = world.clock
        self._pool = pool
        self._backlog: list[Callback] = []
        self._in_flight: dict[messages.PartKey, messages.Send] = {}
        self._reader = manifest_reader.Reader(data_centre)
        self._store = pools.open_store(pool, self._clock)
        self._draw = random.Random(name).random
        self._dispatch = states.make_state(data_centre, self._draw)
        self._revisions = revisions.start(
            name, self._clock.now, revisions.Timings()
        )
        self._claims = self._open_claims()

    def handle_query_event(self, event: messages.Event) -> None:
        """Pass an event to the dispatch and perform its actions."""
        if self._defer_if_paused(
            functools.partial(self.handle_query_event, event)
        ):
            return
        state, actions = dispatch.handle_event(
            self._dispatch, event, self._clock.now
        )
        self._dispatch = state
        for action in actions:
            self._perform_query_action(action)

    def handle_revision_event(self, event: revision_messages.Event) -> None:
        """Pass an event to the revision choice and perform its actions."""
        if self._defer_if_paused(
            functools.partial(self.handle_revision_event, event)
        ):
            return
        state, actions = revisions.handle_event(
            self._revisions, event, self._clock.now, self._draw
        )
        self._revisions = state
        for action in actions:
            self._perform_revision_action(action)

    def handle_member_event(
        self,
        event: member_messages.MembersListed | member_messages.StampReceived,
    ) -> None:
        """Pass a change of the members, or a stamp, to the state machines."""
        match event:
            case member_messages.MembersListed(live, staying):
                self.handle_query_event(
                    messages.MembersChanged(live, self.name)
                )
                self.handle_revision_event(
                    revision_messages.MembersListed(staying)
                )
            case member_messages.StampReceived():
                self.handle_revision_event(
                    revision_messages.StampReceived(*event)
                )

    @property
    def is_watcher(self) -> bool:
        """Return whether this host watches the platform."""
        return revisions.is_watcher(self._revisions)

    @property
    def stamp(self) -> patches.Stamp:
        """Return the stamp of the configuration in force."""
        return self._revisions.in_force.stamp

    def find_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """List the patches that a member with a stamp is missing."""
        return revisions.list_patches(self._revisions, above)

    def tick(self) -> None:
        """Run one step of each task."""
        if self.alive and self.name not in self._clock.frozen:
            self.handle_query_event(messages.Tick())
            self.handle_revision_event(revision_messages.Ticked())
            for worker in self._claims._workers:
                worker._handle_messages(0)
                worker._run_once()

    def resume(self) -> None:
        """Resume after a pause, and handle the events deferred by it."""
        self._clock.frozen.discard(self.name)
        backlog = tuple(self._backlog)
        self._backlog.clear()
        for handle in backlog:
            handle()

    def read_host_list(self) -> None:
        """Read the platform's host list; ignore a failure."""
        try:
            listing = host_list.read_host_list(self._store)
        except store.StoreError:
            return
        self.handle_query_event(listing.targets)

    def break_connections(self, target: str) -> None:
        """Break every connection to a target."""
        for send in tuple(self._in_flight.values()):
            if send.target.name == target:
                fault = messages.Fault.CONNECTION_LOST
                self._finish_send(
                    send, messages.PartFailed(send.part, target, fault)
                )

    def _defer_if_paused(self, callback: Callback) -> bool:
        is_paused = self.name in self._clock.frozen
        if is_paused:
            self._backlog.append(callback)
        return is_paused or not self.alive

    def _open_claims(self) -> claim_task.Task:
        # The task's threads are not started: `tick` runs their steps.
        task = claim_task.Task(
            lambda: pools.open_store(self._pool, self._clock),
            lambda address, body, timeout_s: None,
            claim_stores.Clocks(
                lambda: self._clock.now, lambda: self._clock.now
            ),
        )
        task._post = self._post_settled_claim
        return task

    def _post_settled_claim(self, settled: messages.ClaimSettled) -> None:
        self._clock.call_later(
            self._pool.last_call_s, lambda: self.handle_query_event(settled)
        )

    def _perform_query_action(self, action: messages.Action) -> None:
        match action:
            case messages.Send():
                self._send(action)
            case messages.Cancel():
                self._cancel(action)
            case messages.Reply():
                self._world.record_reply(self.name, action)
            case messages.Probe():
                self._probe(action)
            case (
                messages.Claim()
                | messages.RecordOutcome()
                | messages.ReleaseClaim()
            ):
                self._claims.perform(action)

    def _send(self, send: messages.Send) -> None:
        name, now = send.target.name, self._clock.now
        finish = functools.partial(self._finish_send, send)
        self._in_flight[send.part] = send
        reason = None
        if not target_protocol.may_send(send.request, now):
            reason = messages.RefusalReason.DEADLINE
        elif name in self._world.lost_targets:
            reason = messages.RefusalReason.NO_CONNECTION
        if reason is not None:
            refusal = messages.PartRefused(send.part, name, reason)
            self._clock.call_later(NETWORK_DELAY_S, lambda: finish(refusal))
            return
        remaining_s = send.request.deadline + TIMEOUT_GRACE_S - now
        timeout = messages.PartFailed(send.part, name, messages.Fault.TIMED_OUT)
        self._clock.call_later(remaining_s, lambda: finish(timeout))
        payload = target_protocol.encode_search(send, now)

        def answer(frame: frames.Frame) -> None:
            event = target_protocol.decode_search(send, frame)
            self._deliver(name, lambda: finish(event))

        target = self._world.targets[name]
        self._deliver(name, lambda: target.handle_search(payload, answer))

    def _finish_send(self, send: messages.Send, event: messages.Event) -> None:
        # Each attempt ends with exactly one event.
        if self._in_flight.pop(send.part, None) is not None:
            self.handle_query_event(event)

    def _cancel(self, cancel: messages.Cancel) -> None:
        send = self._in_flight.get(cancel.part)
        if send is not None:
            request = send.request
            key = request.request_id, request.shard, request.attempt
            target = self._world.targets[cancel.target]
            self._deliver(cancel.target, lambda: target.cancel(key))

    def _probe(self, probe: messages.Probe) -> None:
        name = probe.target.name
        target = self._world.targets[name]
        if target.frozen or not self._can_reach(name):
            missed = messages.TargetProbed(name, None)
            self._clock.call_later(
                PROBE_TIMEOUT_S, lambda: self.handle_query_event(missed)
            )
            return
        event = target_protocol.decode_probe(probe, target.report_health())
        self._clock.call_later(
            2 * NETWORK_DELAY_S, lambda: self.handle_query_event(event)
        )

    def _deliver(self, target: str, callback: Callback) -> None:
        """Deliver a message unless the target is cut off or lost on arrival."""

        def arrive() -> None:
            if self._can_reach(target):
                callback()

        self._clock.call_later(NETWORK_DELAY_S, arrive)

    def _can_reach(self, target: str) -> bool:
        is_cut = self._world.is_cut(self.name, target)
        return not is_cut and target not in self._world.lost_targets

    def _perform_revision_action(
        self, action: revision_messages.Action
    ) -> None:
        match action:
            case revision_messages.ReadManifest():
                self._post_store_event(self._reader.read(self._store))
            case revision_messages.ReadStoreRevision():
                self._post_store_event(self._reader.read_revision(self._store))
            case revision_messages.WatchManifest(_, wait_s):
                self._watch(action, self._clock.now + wait_s)
            case revision_messages.PutInForce(stamped):
                self.in_force.append(stamped.stamp.revision)
                self.handle_query_event(
                    messages.ConfigurationReceived(stamped.configuration)
                )
                in_force = member_messages.ConfigurationInForce(stamped.stamp)
                self._clock.send(self.name, in_force)
            case revision_messages.PushPatch(names, patch):
                for member in names:
                    self._push(member, patch)
            case revision_messages.PullPatches(name, above):
                self._pull(name, above)
            case revision_messages.ReportFault(fault):
                self.faults.add(fault)

    def _push(self, name: str, patch: patches.Patch) -> None:
        member = self._find_reachable(name)
        event: revision_messages.Event = revision_messages.MemberUnreachable(
            name, patch
        )
        if member is not None:
            member.handle_revision_event(
                revision_messages.PatchReceived(self.name, patch)
            )
            event = revision_messages.StampReceived(name, member.stamp)
        self._clock.call_later(
            NETWORK_DELAY_S, lambda: self.handle_revision_event(event)
        )

    def _pull(self, name: str, above: patches.Stamp) -> None:
        member = self._find_reachable(name)
        event: revision_messages.Event = revision_messages.MemberUnreachable(
            name
        )
        if member is not None:
            event = revision_messages.PullAnswered(
                name, member.find_patches(above)
            )
        self._clock.call_later(
            NETWORK_DELAY_S, lambda: self.handle_revision_event(event)
        )

    def _find_reachable(self, name: str) -> 'Host | None':
        member = self._world.hosts[name]
        is_silent = name in self._clock.frozen or not member.alive
        return (
            None if is_silent or self._world.is_cut(self.name, name) else member
        )

    def _post_store_event(self, event: revision_messages.Event) -> None:
        self._clock.call_later(
            self._pool.last_call_s, lambda: self.handle_revision_event(event)
        )

    def _watch(
        self, watch: revision_messages.WatchManifest, until: float
    ) -> None:
        event = self._reader.watch(self._store, watch)
        if (
            isinstance(event, revision_messages.WatchEnded)
            and self._clock.now < until
        ):
            self._clock.call_later(
                WATCH_POLL_S, lambda: self._watch(watch, until)
            )
        else:
            self._post_store_event(event)
