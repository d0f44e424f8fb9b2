"""Tell a request that ends its targets from those that were there by chance.

When a rack dies, everything that is under way there looks guilty, and what many
callers ask for looks guilty several times. So all targets that ended under a
request by one moment count once, and from then on it is sent to one target at a
time, as a trial: its success clears the request, and the end of that target too
is another moment. After enough of them the request is quarantined.
"""

import collections
import enum
from collections.abc import Hashable, Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core import rates, request_identities, trial_offers

#: Moments at which targets ended that make a quarantine.
MIN_QUARANTINE_CRASHES: Final = 3
#: Moments after which a trial may quarantine, and no host sends beside it.
MIN_EXCLUSIVE_CRASHES: Final = 2
#: How long a request is left alone before the trial that may quarantine it.
#: What ends many targets by chance is mostly over by then.
TRIAL_DELAY_S: Final = 1.0
#: How long a quarantine lasts, doubled with each trial that failed since.
MIN_QUARANTINE_S: Final = 120.0
MAX_QUARANTINE_S: Final = 600.0
#: How long other hosts leave a request alone that one of them tries.
TRIAL_TIMEOUT_S: Final = 1.0
#: A request that ends its target is lost later than this: it takes a round trip
#: to the farthest data centre, and time to run.
MIN_RUN_S: Final = 0.005
#: Waits that differ by less than this come of the way between hosts.
WAIT_TOLERANCE_S: Final = 0.2
#: How long a suspicion outlives the time in which nothing is sent. What ends
#: its targets ends one of each shard where it is not known.
SUSPICION_LIFETIME_S: Final = 600.0
#: Requests that are remembered at most, of one customer and in all.
MAX_CUSTOMER_SUSPECTS: Final = 32
MAX_SUSPECTS: Final = 512
#: Targets and services named of each request: enough to look them up.
MAX_NAMES: Final = 4
#: First suspicions that are passed on. A rack that dies brings up many, nearly
#: all of them of innocent requests.
REPORTS_PER_S: Final = 4
REPORT_BURST: Final = 16
REPORT_RATE: Final = rates.Rate(REPORTS_PER_S, REPORT_BURST)
#: Doublings of a quarantine after which it has long been the longest.
MAX_DOUBLINGS: Final = 8


class SendPermission(enum.Enum):
    """Say how a request may be sent.

    OPEN as any other, TRIAL to one target now, HELD once the trial that is
    under way has ended, CLOSED not for a while.
    """

    UNRESTRICTED = enum.auto()
    TRIAL = enum.auto()
    AFTER_TRIAL = enum.auto()
    BLOCKED = enum.auto()


class Crash(NamedTuple):
    """Describe the end of a target under one sending of a request.

    It was `sent` and `lost` at these times; `sending` names it.
    """

    service: str
    target: str
    attempt: Hashable
    sent_at: float
    lost_at: float


class SuspectReport(NamedTuple):
    """Tell what is known against a request.

    `crashes` counts the moments at which targets ended under it since it was
    cleared for the last time, `clears` how often it was. `wait` is for how many
    seconds it is not to be sent. `targets` and `services` name a few of those
    where it ended. `host` tries it now or is about to; it may be empty.
    """

    identity: request_identities.Identity
    clears: int
    crashes: int
    wait_s: float
    targets: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    host: str = ''

    @property
    def rank(self) -> tuple[int, int]:
        """Rank what is known, so that the order of news does not matter."""
        return (self.clears, self.crashes)


class Suspect(NamedTuple):
    """Hold what this host knows against a request.

    `seen` is when the last moment was learned of, `until` for how long nothing
    is sent, `trial` the sending that is under way and `trial_ends` until when
    it is waited for, `told` whether other hosts know.
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
        """Rank what is known as its news are ranked."""
        return (self.clears, self.crashes)


class Suspects:
    """Own what is known against requests."""

    def __init__(self) -> None:
        """Suspect nothing."""
        #: Numbers of what waits for the trial of a request.
        self.waiting_ids: dict[request_identities.Identity, set[int]] = {}
        self.offers = trial_offers.Offers(REPORT_RATE)
        self._suspects: dict[request_identities.Identity, Suspect] = {}
        self._report_bucket = rates.make_full_bucket(REPORT_RATE, 0.0)

    def get_permission(
        self, identity: request_identities.Identity, now: float
    ) -> SendPermission:
        """Say how a request may be sent now."""
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
        """Count the seconds for which a request is not to be sent."""
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
        """Take in that a target ended under a request.

        Returns whether this makes another moment.
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
        """Take in that a target has run a request; tell if that clears it.

        The answer of a service where no target ended says nothing of those
        where some did, unless it was the trial.
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
        """Offer to try a request; tell whether other hosts are to know."""
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
        """Take in that a request is sent to one target.

        Tells whether other hosts are to know, so that none tries it beside
        this one.
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
        """Take in that a sending has ended; tell whether it was the trial."""
        suspect = self._suspects.get(identity)
        if (
            suspect is None
            or suspect.trial_attempt is None
            or suspect.trial_attempt != attempt
        ):
            return False
        self._suspects[identity] = suspect._replace(trial_attempt=None)
        return True

    def is_new_report(self, report: SuspectReport, now: float) -> bool:
        """Tell whether what another host tells is not known here."""
        suspect = self._suspects.get(report.identity, Suspect())
        if report.rank != suspect.rank:
            return report.rank > suspect.rank
        if is_first_trial(report):
            return self.offers.is_new(report.identity, report.host, now)
        # Another host may be trying the request.
        blocked_until = now + min(report.wait_s, TRIAL_TIMEOUT_S)
        return (
            report.crashes > 0
            and blocked_until > suspect.blocked_until + WAIT_TOLERANCE_S
        )

    def merge_report(
        self, report: SuspectReport, now: float, own_host: str
    ) -> bool:
        """Take in what another host tells; return whether it is new here.

        `own` is this host's name.
        """
        if not self.is_new_report(report, now):
            return False
        suspect = self._suspects.get(report.identity, Suspect())
        if is_first_trial(report):
            self.offers.record_offer(report.identity, report.host, now)
            if report.host == own_host:
                # What it told has come round to it.
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
        wait_s = min(report.wait_s, _compute_block(report.crashes))
        if report.rank == suspect.rank:
            blocked_until = now + min(report.wait_s, TRIAL_TIMEOUT_S)
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
        """Tell whether other hosts are to be told what is known now."""
        suspect = self._suspects[identity]
        if suspect.crashes == 1:
            taken = rates.take_token(self._report_bucket, now)
            self._report_bucket = taken[0]
            if taken[1]:
                return False
        elif not suspect.crashes and not suspect.announced:
            return False
        self._suspects[identity] = suspect._replace(announced=True)
        return True

    def make_report(
        self, identity: request_identities.Identity, now: float
    ) -> SuspectReport | None:
        """Tell what is known against a request, if anything."""
        suspect = self._suspects.get(identity)
        if suspect is None:
            return None
        return SuspectReport(
            identity,
            suspect.clears,
            suspect.crashes,
            max(0.0, suspect.blocked_until - now),
            suspect.targets,
            suspect.services,
        )

    def list_reports(self, now: float) -> list[SuspectReport]:
        """List the requests that something speaks against, the worst first."""
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
        """Forget suspicions that have expired."""
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


def _wins_trial(suspect: Suspect, report: SuspectReport, own_host: str) -> bool:
    """Tell whether this host's own trial stands beside another host's.

    Hosts that are asked at the same moment begin at the same moment. Were
    each of them to give way, they would do so again at each next try.
    """
    if report.rank != suspect.rank:
        return False
    return trial_offers.wins_trial(report.identity, own_host, report.host)


def _evict_one(
    suspects: dict[request_identities.Identity, Suspect], customer: str
) -> None:
    """Forget one request of whoever has most, or has too many."""
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
    """Tell whether a target ended at another moment than those before it.

    What was sent before the last moment belongs to it, and so does what was
    lost at once: its target had ended before the request arrived there. A trial
    goes over a connection that was open since.
    """
    if not suspect.crashes or crash.attempt == suspect.trial_attempt:
        return True
    return (
        crash.sent_at >= suspect.last_crash_at
        and crash.lost_at - crash.sent_at >= MIN_RUN_S
    )


def select_quarantined(reports: Iterable[SuspectReport]) -> list[SuspectReport]:
    """Pick the requests that are in quarantine."""
    return [
        it
        for it in reports
        if it.crashes >= MIN_QUARANTINE_CRASHES and it.wait_s
    ]


def get_state_name(report: SuspectReport) -> str:
    """Name what is held against a request."""
    if report.crashes >= MIN_QUARANTINE_CRASHES:
        return 'quarantined'
    return 'suspect' if report.crashes else 'cleared'


def is_first_trial(report: SuspectReport) -> bool:
    """Tell whether a host tries a request after the first moment.

    Most of these are innocent, and none is refused for it.
    """
    return bool(report.host) and 0 < report.crashes < MIN_EXCLUSIVE_CRASHES


def compute_announced_wait(crashes: int) -> float:
    """Count the seconds for which a trial keeps other hosts from sending."""
    return TRIAL_TIMEOUT_S if crashes >= MIN_EXCLUSIVE_CRASHES else 0.0


def compute_quarantine(crashes: int) -> float:
    """Count the seconds of a quarantine after so many crashes."""
    doublings = max(0, crashes - MIN_QUARANTINE_CRASHES)
    doublings = min(MAX_DOUBLINGS, doublings)
    return float(min(MAX_QUARANTINE_S, MIN_QUARANTINE_S * 2**doublings))


def _compute_block(crashes: int) -> float:
    """Count the seconds in which nothing is sent after so many crashes."""
    if crashes >= MIN_QUARANTINE_CRASHES:
        return compute_quarantine(crashes)
    return TRIAL_DELAY_S if crashes == MIN_QUARANTINE_CRASHES - 1 else 0.0


def _add_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    if name in names or len(names) >= MAX_NAMES:
        return names
    return (*names, name)
