"""Detect requests that crash their targets, and quarantine them.

When a rack fails, every request in flight there looks guilty, and one that
many callers send looks guilty several times. All targets that crash at about
the same time under a request therefore count as one crash. From then on the
request is sent to one target at a time, as a trial: success clears it, a crash
of that target counts as another crash. After enough crashes the request is
quarantined.
"""

import collections
import enum
from collections.abc import Hashable, Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core import rates, request_identities, trial_offers

#: A request with this many crashes is quarantined.
MIN_QUARANTINE_CRASHES: Final = 3
#: From this many crashes on, other hosts do not send the request during a
#: trial, because a failed trial quarantines it.
MIN_EXCLUSIVE_CRASHES: Final = 2
#: The delay before the trial that may quarantine a request. A failure that
#: crashes many targets for another reason is mostly over by then.
TRIAL_DELAY_S: Final = 1.0
#: The duration of a first quarantine, which doubles with each failed trial, and
#: its upper bound.
MIN_QUARANTINE_S: Final = 120.0
MAX_QUARANTINE_S: Final = 600.0
#: How long other hosts wait for the result of a trial.
TRIAL_TIMEOUT_S: Final = 1.0
#: The least time between sending a request and losing it to a crash that it
#: causes: a round trip to the farthest data centre, and time to run.
MIN_RUN_S: Final = 0.005
#: Smaller differences between waits are due to the delay between hosts.
WAIT_TOLERANCE_S: Final = 0.2
#: How long a suspicion is kept after the request may be sent again. Once it is
#: forgotten, the request can crash a target of each shard again.
SUSPICION_LIFETIME_S: Final = 600.0
#: Suspect requests kept at most, of one customer and in all.
MAX_CUSTOMER_SUSPECTS: Final = 32
MAX_SUSPECTS: Final = 512
#: Targets and services recorded for each request, for operators to look up.
MAX_NAMES: Final = 4
#: The rate of reports of first crashes to other hosts. A rack that fails causes
#: many reports, nearly all of requests that did not cause the crash.
REPORTS_PER_S: Final = 4
REPORT_BURST: Final = 16
REPORT_RATE: Final = rates.Rate(REPORTS_PER_S, REPORT_BURST)
#: Bounds the exponent; the upper bound of a quarantine is reached long before.
MAX_DOUBLINGS: Final = 8


class SendPermission(enum.Enum):
    """List how a request may be sent.

    UNRESTRICTED: like any other. TRIAL: now, to one target. AFTER_TRIAL: once
    the trial in progress has ended. BLOCKED: not before a time.
    """

    UNRESTRICTED = enum.auto()
    TRIAL = enum.auto()
    AFTER_TRIAL = enum.auto()
    BLOCKED = enum.auto()


class Crash(NamedTuple):
    """Describe the crash of a target during one attempt of a request.

    `attempt` identifies the attempt. It was sent at `sent_at`, and its
    connection was lost at `lost_at`.
    """

    service: str
    target: str
    attempt: Hashable
    sent_at: float
    lost_at: float


class News(NamedTuple):
    """Report a suspect request to other hosts or to operators.

    `crashes` counts its crashes since it was last cleared, `clears` how often
    it was cleared. It must not be sent for `wait` seconds. `targets` and
    `services` name some of those that crashed. `host` runs its trial or is
    about to; it may be empty.
    """

    identity: request_identities.Identity
    clears: int
    crashes: int
    wait: float
    targets: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    host: str = ''

    @property
    def rank(self) -> tuple[int, int]:
        """Return a rank; the report of the highest rank replaces the others.

        The order in which reports arrive thus does not matter.
        """
        return (self.clears, self.crashes)


class Suspect(NamedTuple):
    """Hold what this host knows about a suspect request.

    `last_crash_at` is when the last crash was seen or reported. The request
    is not sent until `blocked_until`. `trial_attempt` is the trial in
    progress, awaited until `trial_deadline`. `announced` is true once other
    hosts know of the suspicion.
    """

    clears: int = 0
    crashes: int = 0
    targets: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    last_crash_at: float = 0.0
    blocked_until: float = 0.0
    trial_attempt: Hashable | None = None
    trial_deadline: float = 0.0
    announced: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Return the rank that a report of this suspect has."""
        return (self.clears, self.crashes)


class Suspects:
    """Hold all suspect requests that this host knows of."""

    def __init__(self) -> None:
        """Start without suspects."""
        #: Numbers of the active requests that wait for a trial, by identity.
        self.waiting_ids: dict[request_identities.Identity, set[int]] = {}
        self.offers = trial_offers.Offers(REPORT_RATE)
        self._suspects: dict[request_identities.Identity, Suspect] = {}
        self._report_bucket = rates.make_full_bucket(REPORT_RATE, 0.0)

    def get_permission(
        self, identity: request_identities.Identity, now: float
    ) -> SendPermission:
        """Return how a request may be sent now."""
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return SendPermission.UNRESTRICTED
        if now < suspect.blocked_until:
            return SendPermission.BLOCKED
        in_trial = (
            suspect.trial_attempt is not None and now < suspect.trial_deadline
        )
        return SendPermission.AFTER_TRIAL if in_trial else SendPermission.TRIAL

    def compute_wait(
        self, identity: request_identities.Identity, now: float
    ) -> float:
        """Return the seconds for which a request must not be sent."""
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return 0.0
        return max(0.0, suspect.blocked_until - now)

    def record_crash(
        self,
        identity: request_identities.Identity,
        crash: Crash,
        now: float,
    ) -> bool:
        """Record that a target crashed under a request.

        Return whether this counts as a new crash.
        """
        if identity == request_identities.UNKNOWN:
            return False
        suspect = self._suspects.get(identity, Suspect())
        is_new = _is_new_crash(suspect, crash)
        suspect = suspect._replace(
            targets=_add_name(suspect.targets, crash.target),
            services=_add_name(suspect.services, crash.service),
        )
        if is_new:
            crashes = suspect.crashes + 1
            suspect = suspect._replace(
                crashes=crashes,
                last_crash_at=crash.lost_at,
                blocked_until=now + _compute_block(crashes),
            )
        self._store(identity, suspect)
        return is_new

    def record_success(
        self,
        identity: request_identities.Identity,
        service: str,
        attempt: Hashable,
    ) -> bool:
        """Record that a target ran a request; return whether that clears it.

        Only success in a service where targets crashed, or of the trial, shows
        that the request is harmless.
        """
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return False
        if service not in suspect.services and attempt != suspect.trial_attempt:
            return False
        self._suspects[identity] = Suspect(
            clears=suspect.clears + 1,
            last_crash_at=suspect.last_crash_at,
            announced=suspect.announced,
        )
        return True

    def offer_trial(
        self, identity: request_identities.Identity, now: float
    ) -> bool:
        """Offer to try a request; return whether to announce the offer."""
        suspect = self._suspects[identity]
        first_crash = suspect.crashes < MIN_EXCLUSIVE_CRASHES
        announces = self.offers.make_offer(
            identity, now, first_crash=first_crash
        )
        self._suspects[identity] = suspect._replace(
            announced=suspect.announced or announces
        )
        return announces

    def start_trial(
        self,
        identity: request_identities.Identity,
        attempt: Hashable,
        now: float,
    ) -> bool:
        """Record that a trial of a request was sent to one target.

        Return whether to announce it, so that no other host runs a trial at
        the same time.
        """
        suspect = self._suspects[identity]
        offered = self.offers.has_own_offer(identity, now)
        self.offers.withdraw_own_offer(identity)
        self._suspects[identity] = suspect._replace(
            trial_attempt=attempt, trial_deadline=now + TRIAL_TIMEOUT_S
        )
        return suspect.crashes >= MIN_EXCLUSIVE_CRASHES and not offered

    def end_trial(
        self, identity: request_identities.Identity, attempt: Hashable
    ) -> bool:
        """Record that an attempt has ended; return whether it was the trial."""
        suspect = self._suspects.get(identity)
        if (
            suspect is None
            or suspect.trial_attempt is None
            or suspect.trial_attempt != attempt
        ):
            return False
        self._suspects[identity] = suspect._replace(trial_attempt=None)
        return True

    def is_new_report(self, report: News, now: float) -> bool:
        """Return whether another host's report says anything new."""
        suspect = self._suspects.get(report.identity, Suspect())
        if report.rank != suspect.rank:
            return report.rank > suspect.rank
        if is_first_trial(report):
            return self.offers.is_new(report.identity, report.host, now)
        # Another host may be trying the request.
        blocked_until = now + min(report.wait, TRIAL_TIMEOUT_S)
        return (
            report.crashes > 0
            and blocked_until > suspect.blocked_until + WAIT_TOLERANCE_S
        )

    def merge_report(self, report: News, now: float, own_host: str) -> bool:
        """Merge another host's report; return whether to forward it.

        `own_host` is this host's name.
        """
        if not self.is_new_report(report, now):
            return False
        suspect = self._suspects.get(report.identity, Suspect())
        if is_first_trial(report):
            self.offers.record_offer(report.identity, report.host, now)
            if report.host == own_host:
                # This host's own report has come back to it.
                return False
        in_trial = suspect.trial_attempt is not None
        in_trial = in_trial or self.offers.has_own_offer(report.identity, now)
        if in_trial and _wins_trial(suspect, report, own_host):
            return False
        self.offers.withdraw_own_offer(report.identity)
        if is_first_trial(report):
            self.offers.defer_to(report.identity, report.host, now)
            if report.rank == suspect.rank:
                return False
        wait_s = min(report.wait, _compute_block(report.crashes))
        if report.rank == suspect.rank:
            blocked_until = now + min(report.wait, TRIAL_TIMEOUT_S)
            self._store(
                report.identity, suspect._replace(blocked_until=blocked_until)
            )
            return True
        merged = suspect._replace(
            clears=report.clears,
            crashes=report.crashes,
            targets=report.targets[:MAX_NAMES],
            services=report.services[:MAX_NAMES],
            last_crash_at=now,
            blocked_until=now + wait_s,
            announced=True,
        )
        self._store(report.identity, merged)
        return True

    def admit_report(
        self, identity: request_identities.Identity, now: float
    ) -> bool:
        """Return whether to report a request to other hosts now.

        Reports of first crashes are limited to `REPORT_RATE`.
        """
        suspect = self._suspects[identity]
        if suspect.crashes == 1:
            result = rates.take_token(self._report_bucket, now)
            self._report_bucket = result[0]
            if result[1]:
                return False
        elif not suspect.crashes and not suspect.announced:
            return False
        self._suspects[identity] = suspect._replace(announced=True)
        return True

    def make_report(
        self, identity: request_identities.Identity, now: float
    ) -> News | None:
        """Build the report of a request; None if it is no suspect."""
        suspect = self._suspects.get(identity)
        if suspect is None:
            return None
        return News(
            identity,
            suspect.clears,
            suspect.crashes,
            max(0.0, suspect.blocked_until - now),
            suspect.targets,
            suspect.services,
        )

    def list_reports(self, now: float) -> list[News]:
        """List reports of requests with crashes, most crashes first."""
        reports = [
            self.make_report(identity, now) for identity in self._suspects
        ]
        suspected = [
            report
            for report in reports
            if report is not None and report.crashes
        ]
        return sorted(suspected, key=lambda it: -it.crashes)

    def expire_suspects(self, now: float) -> None:
        """Remove suspects and offers that have expired."""
        self.offers.expire_offers(now)
        self._suspects = {
            identity: suspect
            for identity, suspect in self._suspects.items()
            if now
            < max(suspect.blocked_until, suspect.last_crash_at)
            + SUSPICION_LIFETIME_S
        }

    def _store(
        self, identity: request_identities.Identity, suspect: Suspect
    ) -> None:
        if identity not in self._suspects:
            _evict_one(self._suspects, identity.customer)
        self._suspects[identity] = suspect


def _wins_trial(suspect: Suspect, report: News, own_host: str) -> bool:
    """Return whether this host continues its trial despite another's.

    Hosts that receive a request at the same time start trials at the same
    time. If each deferred to the other, they would do so at every attempt.
    """
    if report.rank != suspect.rank:
        return False
    return trial_offers.wins_trial(report.identity, own_host, report.host)


def _evict_one(
    suspects: dict[request_identities.Identity, Suspect], customer: str
) -> None:
    """Make room for a suspect of a customer.

    Evicts one of this customer's suspects if the customer is at its limit. If
    the whole table is full, evicts one of the customer with the most suspects.
    """
    counts = collections.Counter(it.customer for it in suspects)
    if counts[customer] < MAX_CUSTOMER_SUSPECTS:
        if len(suspects) < MAX_SUSPECTS:
            return
        customer = counts.most_common(1)[0][0]
    candidates = [it for it in suspects if it.customer == customer]
    evicted = min(
        candidates,
        key=lambda it: (suspects[it].crashes, suspects[it].last_crash_at),
    )
    suspects.pop(evicted)


def _is_new_crash(suspect: Suspect, crash: Crash) -> bool:
    """Return whether a target's crash counts as a new one.

    An attempt sent before the last crash belongs to that crash. So does one
    that was lost at once: its target had crashed before the request arrived.
    A trial always counts, as it uses a connection that was open after the last
    crash.
    """
    if not suspect.crashes or crash.attempt == suspect.trial_attempt:
        return True
    return (
        crash.sent_at >= suspect.last_crash_at
        and crash.lost_at - crash.sent_at >= MIN_RUN_S
    )


def select_quarantined(reports: Iterable[News]) -> list[News]:
    """Select the reports of requests that are in quarantine."""
    return [
        it for it in reports if it.crashes >= MIN_QUARANTINE_CRASHES and it.wait
    ]


def get_state_name(report: News) -> str:
    """Return the state of a request as shown to operators."""
    if report.crashes >= MIN_QUARANTINE_CRASHES:
        return 'quarantined'
    return 'suspect' if report.crashes else 'cleared'


def is_first_trial(report: News) -> bool:
    """Return whether a report announces a trial after a first crash.

    Most of these requests did not cause the crash, and none is refused.
    """
    return bool(report.host) and 0 < report.crashes < MIN_EXCLUSIVE_CRASHES


def compute_announced_wait(crashes: int) -> float:
    """Return the seconds for which a trial stops other hosts from sending."""
    return TRIAL_TIMEOUT_S if crashes >= MIN_EXCLUSIVE_CRASHES else 0.0


def compute_quarantine(crashes: int) -> float:
    """Return the seconds of a quarantine after so many crashes."""
    doublings = max(0, crashes - MIN_QUARANTINE_CRASHES)
    doublings = min(MAX_DOUBLINGS, doublings)
    return float(min(MAX_QUARANTINE_S, MIN_QUARANTINE_S * 2**doublings))


def _compute_block(crashes: int) -> float:
    """Return the seconds for which nothing is sent after so many crashes."""
    if crashes >= MIN_QUARANTINE_CRASHES:
        return compute_quarantine(crashes)
    return TRIAL_DELAY_S if crashes == MIN_QUARANTINE_CRASHES - 1 else 0.0


def _add_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    if name in names or len(names) >= MAX_NAMES:
        return names
    return (*names, name)
