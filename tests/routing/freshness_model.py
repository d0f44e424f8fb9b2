"""Model hosts that prove how old their knowledge of keys is, in any order."""

import enum
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    changes,
    configs,
    facts,
    freshness,
    report_codecs,
    store_views,
)
from tests.routing import store_model

REVOKE_S: Final = 5.0
KEY_COUNT: Final = 3
#: Operators write lost entries again in time only if time advances in small
#: steps.
STEP_S: Final = 0.1
#: The version identifies the valid keys, so reports need not carry them here.
CONFIGURATION_WITH_KEYS: Final = configs.EMPTY_CONFIGURATION._replace(
    customers=()
)


class Operator:
    """Own the store, and which keys each version has."""

    def __init__(self, *, has_eras: bool) -> None:
        """Start with all keys; a store without eras is never restored."""
        self.store = store_model.Store()
        self.has_eras = has_eras
        self.valid_keys = frozenset(range(KEY_COUNT))
        self.keys_by_version = {self.store.version: self.valid_keys}
        self.revoked_at: dict[int, float] = {}

    def toggle_key(self, key: int) -> None:
        """Revoke a key, or make it valid again."""
        self.valid_keys ^= {key}
        self.store.change_version()
        self.keys_by_version[self.store.version] = self.valid_keys
        if key in self.valid_keys:
            self.revoked_at.pop(key)
        else:
            self.revoked_at[key] = self.store.now

    def restore(self, back: int) -> None:
        """Restore the store from a copy."""
        if self.has_eras:
            self.store.restore(back, 1)

    def make_report(self, view: facts.StoreView) -> facts.Report:
        """Make a report for a host that reads on from a view."""
        report = self.store.make_update(view)
        if self.has_eras:
            return report
        dated = tuple(it._replace(era=facts.NO_ERA) for it in report.facts)
        return report._replace(facts=dated, era=facts.NO_ERA)


class Host:
    """Own what a host knows, and the clock that it uses."""

    def __init__(self, operator: Operator, incarnation: int) -> None:
        """Start without any knowledge."""
        self.incarnation = incarnation
        self.view = store_views.create(incarnation)
        self.freshness = freshness.Freshness(REVOKE_S, self._read_clock)
        self._operator = operator
        self._clock_offset = 1000.0 * (incarnation % 7)

    def merge(self, report: facts.Report) -> None:
        """Merge a report."""
        now = self._operator.store.now
        returned_at = None if report.proof else store_model.NEVER
        self.view = store_views.merge_report(
            self.view, report, now, returned_at=returned_at
        ).view
        if facts.get_configuration(self.view).version:
            self.freshness.update_configuration(CONFIGURATION_WITH_KEYS)

    def list_admitted(self) -> frozenset[int]:
        """List the keys that this host admits now."""
        version = facts.get_configuration(self.view).version
        if not version or self.freshness.compute_wait():
            return frozenset()
        return self._operator.keys_by_version[version]

    def make_report(
        self,
        received_at: float,
        after: facts.Cursor,
        *,
        configuration_only: bool,
    ) -> facts.Report:
        """Make a report for another host, encoded and decoded."""
        now = self._operator.store.now
        report = changes.list_changes(self.view, after, now)
        report = report._replace(
            proof=self.freshness.make_proof(received_at), age=0
        )
        if configuration_only:
            report = keep_configuration(report)
        return report_codecs.decode_report(report_codecs.encode_report(report))

    def _read_clock(self) -> float:
        return self._operator.store.now + self._clock_offset


class Stage(enum.Enum):
    """Name how far a request has come."""

    SENT = 'left'
    ARRIVED = 'arrived'
    ANSWERED = 'answered'


class Request(NamedTuple):
    """Hold a request under way; `other` is None if it reads the store.

    With `configuration_only` it requests nothing else.
    """

    host: Host
    other: Host | None
    configuration_only: bool
    sent_at: float
    view: facts.StoreView
    stage: Stage = Stage.SENT
    arrived_at: float = 0.0
    report: facts.Report | None = None


class RoundTrip(NamedTuple):
    """Describe a request that is sent, answered and returned.

    The `pauses` are before its arrival, its answer and its return; at the start
    of each one a key may change.
    """

    host: int
    other: int | None
    configuration_only: bool
    pauses: tuple[float, float, float]
    toggled_keys: tuple[int | None, int | None, int | None]


def keep_configuration(report: facts.Report) -> facts.Report:
    """Return a report with the configuration alone."""
    entries = tuple(
        it
        for it in report.facts
        if it.key.subject is facts.Subject.CONFIGURATION
    )
    return report._replace(facts=entries, full=False, revision=0)


class World:
    """Own the store, the hosts and the requests under way between them."""

    def __init__(self, count: int, *, has_eras: bool) -> None:
        """Start with hosts that read the store long ago."""
        self.operator = Operator(has_eras=has_eras)
        self.start_count = count
        self.hosts = [
            Host(self.operator, incarnation + 1) for incarnation in range(count)
        ]
        self.requests: list[Request] = []
        for _ in range(2):
            for number in range(count):
                self.send_request(number, None, configuration_only=False)
            while self.requests:
                self.advance_request(0)
            self.advance(freshness.RESTORE_SETTLING_S + 1)

    def advance(self, seconds: float) -> None:
        """Advance the time in small steps and check the keys after each."""
        for _ in range(round(seconds / STEP_S)):
            self.operator.store.advance(STEP_S)
            self.check_keys()

    def send_request(
        self, host: int, other: int | None, *, configuration_only: bool
    ) -> None:
        """Send a request."""
        sender = self.hosts[host]
        receiver = None if other is None else self.hosts[other]
        if receiver is not sender:
            sent_at = sender.freshness.read_clock()
            self.requests.append(
                Request(
                    sender, receiver, configuration_only, sent_at, sender.view
                )
            )

    def advance_request(self, number: int) -> None:
        """Advance a request by one stage."""
        if not self.requests:
            return
        request = self.requests.pop(number % len(self.requests))
        match request.stage:
            case Stage.SENT:
                self._handle_arrival(request)
            case Stage.ARRIVED:
                self._handle_answer(request)
            case Stage.ANSWERED:
                self._handle_delivery(request)

    def make_round_trip(self, trip: RoundTrip) -> None:
        """Send a request and have it answered, with pauses on its path."""
        self.send_request(
            trip.host, trip.other, configuration_only=trip.configuration_only
        )
        for pause, key in zip(trip.pauses, trip.toggled_keys, strict=True):
            if key is not None:
                self.operator.toggle_key(key)
            self.advance(pause)
            self.advance_request(-1)

    def read_store(self, host: int) -> None:
        """Have a host read the store without any pause."""
        no_keys = (None, None, None)
        self.make_round_trip(RoundTrip(host, None, False, (0, 0, 0), no_keys))

    def lose_request(self, number: int) -> None:
        """Lose a request or its answer."""
        if self.requests:
            self.requests.pop(number % len(self.requests))

    def restart_host(self, host: int) -> None:
        """Restart a host without any knowledge."""
        stopped = self.hosts[host]
        self.requests = [
            it for it in self.requests if stopped not in {it.host, it.other}
        ]
        self.start_count += 1
        self.hosts[host] = Host(self.operator, self.start_count)

    def check_keys(self) -> None:
        """Check that no host admits a key that was revoked too long ago."""
        now = self.operator.store.now
        for host in self.hosts:
            for key in host.list_admitted():
                revoked_at = self.operator.revoked_at.get(key, now)
                assert now <= revoked_at + REVOKE_S, (
                    host.incarnation,
                    key,
                    now - revoked_at,
                )

    def _handle_arrival(self, request: Request) -> None:
        arrived_at = 0.0
        if request.other is not None:
            arrived_at = request.other.freshness.read_clock()
        self.requests.append(
            request._replace(stage=Stage.ARRIVED, arrived_at=arrived_at)
        )

    def _handle_answer(self, request: Request) -> None:
        if request.other is None:
            report = self.operator.make_report(request.view)
            if request.configuration_only:
                report = keep_configuration(report)
        else:
            report = request.other.make_report(
                request.arrived_at,
                facts.START_CURSOR,
                configuration_only=request.configuration_only,
            )
        self.requests.append(
            request._replace(stage=Stage.ANSWERED, report=report)
        )

    def _handle_delivery(self, request: Request) -> None:
        host = request.host
        report = request.report
        assert report is not None
        if request.configuration_only and report.era > host.view.era:
            return
        if request.other is None:
            if report.era < host.view.era:
                return
            host.freshness.record_read(request.sent_at, report.era)
        else:
            host.freshness.record_proof(
                request.sent_at, report.proof, report.era
            )
        host.merge(report)
