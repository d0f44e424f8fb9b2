"""Simulate how hosts learn of revoked keys, with calls of any delay."""

import functools
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import (
    configurations,
    patches,
    revision_messages,
    revisions,
)
from fuchsiahaven.core.customers import (
    customers,
    freshness,
    keys,
    proof_exchange,
)
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import authenticators

REVOKE_S: Final = 5.0
CREDENTIALS: Final = authenticators.parse_authorization('Bearer k')
SHOP: Final = customers.Customer('shop', (keys.compute_digest('k'),))
QUERY: Final = messages.Query('id', 'search', {}, None, 0, 1)
PUBLIC_QUERY: Final = QUERY._replace(class_name='open')
CLASSES: Final = (
    configurations.RequestClass('open', public=True),
    configurations.RequestClass('search'),
)


class StoredConfiguration(NamedTuple):
    """Hold the stored configuration and the platform's revision of it."""

    revision: int
    configuration: configurations.Configuration


class Host:
    """Hold a host: the revision in force and the authenticator."""

    def __init__(
        self, name: str, host_names: tuple[str, ...], clock: Callable[[], float]
    ) -> None:
        self.authenticator = authenticators.Authenticator(
            freshness.Freshness(REVOKE_S, clock)
        )
        timings = revisions.Timings()
        self.state = revisions.start(name, clock(), timings)._replace(
            ranking=host_names
        )
        self._clock = clock

    def handle_event(self, event: revision_messages.Event) -> None:
        """Handle an event in the same order as the configuration task."""
        state, actions = revisions.handle_event(
            self.state, event, self._clock(), float
        )
        self.state = state
        for action in actions:
            match action:
                case revision_messages.PutInForce(stamped):
                    self.authenticator.update_configuration(stamped)
                case revision_messages.ConfirmInForce(stamp, sent_at):
                    self.authenticator.record_read(stamp, sent_at)

    def accepts_key(self) -> bool:
        """Return whether the host authenticates the key."""
        result = self.authenticator.admit(QUERY, CREDENTIALS)
        return isinstance(result, messages.Query) and result.admitted


class Simulation:
    """Own the platform, the hosts and the calls between them."""

    def __init__(self, count: int = 4) -> None:
        """Start with a configuration in which the key is valid."""
        self.now = 100.0
        self.host_names = tuple(f'h{index}' for index in range(count))
        self.hosts = [self._make_host(name) for name in self.host_names]
        configuration = configurations.Configuration(
            1, classes=CLASSES, customers=(SHOP,)
        )
        self.stored = StoredConfiguration(1, configuration)
        #: When the platform acknowledged the revocation of the key.
        self.revoked_at: float | None = None
        #: The next step of each call.
        self.calls: list[Callable[[], Callable[[], None] | None]] = []

    def commit_change(self, *, revoke: bool) -> None:
        """Commit a change, acknowledged now."""
        configuration, customer = self.stored.configuration, SHOP
        if revoke or self.revoked_at is not None:
            customer = SHOP._replace(keys=())
        if revoke and self.revoked_at is None:
            self.revoked_at = self.now
        changed = configuration._replace(
            revision=configuration.revision + 1, customers=(customer,)
        )
        self.stored = StoredConfiguration(self.stored.revision + 1, changed)

    def restart(self, index: int) -> None:
        """Restart a host without state."""
        self.hosts[index] = self._make_host(self.host_names[index])

    def read_platform(self, index: int, *, reads_manifest: bool) -> None:
        """Start a host's call to the platform, served in a later step."""
        host = self.hosts[index]
        sent_at = host.authenticator.read_clock()

        def serve() -> Callable[[], None]:
            stored = self.stored
            event: revision_messages.Event = (
                revision_messages.StoreRevisionRead(stored.revision, sent_at)
            )
            if reads_manifest:
                event = revision_messages.ManifestRead(
                    stored.revision, stored.configuration, sent_at=sent_at
                )
            return functools.partial(host.handle_event, event)

        self.calls.append(serve)

    def request_proof(self, index: int, other_index: int) -> None:
        """Start a host's request for the proof of another host."""
        host, other_host = self.hosts[index], self.hosts[other_index]
        sent_at = host.authenticator.freshness.read_clock()

        def serve() -> Callable[[], None] | None:
            answer = other_host.authenticator.make_proof_answer()
            if answer is None:
                return None
            body = proof_exchange.encode_answer(answer)
            return functools.partial(self._deliver_proof, host, sent_at, body)

        self.calls.append(serve)

    def push_patch(self, index: int, other_index: int) -> None:
        """Start a host's push of its configuration to another host."""
        sender, host = self.hosts[index], self.hosts[other_index]
        patch = patches.diff(patches.EMPTY, sender.state.in_force)
        pushed = revision_messages.PatchReceived(self.host_names[index], patch)
        if sender.state.in_force is not patches.EMPTY:
            self.calls.append(
                lambda: functools.partial(host.handle_event, pushed)
            )

    def advance_call(self, number: int) -> None:
        """Serve a pending call or deliver its answer, if there is one."""
        if not self.calls:
            return
        call = self.calls.pop(number % len(self.calls))
        answer = call()
        if answer is not None:
            self.calls.append(answer)

    def check_keys(self) -> None:
        """Check that no host accepts a key past its revocation time."""
        for host in self.hosts:
            is_revoked = self.revoked_at is not None and (
                self.now > self.revoked_at + REVOKE_S
            )
            assert not (is_revoked and host.accepts_key())
            public = host.authenticator.admit(PUBLIC_QUERY, CREDENTIALS)
            assert isinstance(public, messages.Query)

    def _make_host(self, name: str) -> Host:
        return Host(name, self.host_names, lambda: self.now)

    def _deliver_proof(self, host: Host, sent_at: float, body: bytes) -> None:
        answer = proof_exchange.decode_answer(body, self.now - sent_at)
        if answer is not None:
            host.authenticator.record_proof(sent_at, answer)
