"""Detect that a whole data centre is silent.

When a data centre is cut off, each of its targets would be detected separately:
each would cost queries a time-out, while this host goes on accepting callers
that it cannot serve. If several hosts and targets of one data centre were sent
something and nothing at all has come back since, the network path is lost and
the whole data centre is excluded at once.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: Silence from which on a data centre counts as lost: pauses of targets take
#: 0.2 s, and never affect all of them at once.
MIN_SILENCE_S: Final = 0.3
#: Silent hosts or targets that are required: one or two may have crashed.
MIN_SILENT_PEERS: Final = 3
#: A longer gap between two reviews means that this host itself was suspended;
#: answers that arrived meanwhile have not been read yet.
MAX_REVIEW_GAP_S: Final = 0.25


#: How long a delegate's hint counts that a data centre is silent. Delegates
#: notice it first, because they send most.
HINT_LIFETIME_S: Final = 1.0
#: The same for the report of another host in the own data centre, which is
#: repeated and withdrawn.
REPORT_LIFETIME_S: Final = 3.0
#: A data centre with a contact as recent as this is reachable, whatever other
#: hosts report.
CONTACT_LIFETIME_S: Final = 1.0
NEVER: Final = float('-inf')
#: Hosts of the own data centre that have to report a silence: a single host may
#: have sent only to targets that are gone.
MIN_REPORTERS: Final = 2


class Unanswered(NamedTuple):
    """Hold the peers of a data centre that were sent to since its last answer.

    `since` is when the first of them was sent to. `failed` are the peers to
    which connections failed or broke.
    """

    since: float = 0.0
    peers: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


NOTHING_UNANSWERED: Final = Unanswered()


class SilenceReport(NamedTuple):
    """Hold all data centres that a host gets no answer from."""

    host: str
    data_centre: str
    silent: tuple[str, ...]


class ReceivedReport(NamedTuple):
    """Hold what another host in the data centre reported, and its expiry."""

    silent: frozenset[str]
    until: float


NO_REPORT: Final = ReceivedReport(frozenset(), 0.0)


class CentreHealth:
    """Own which data centres answer this host, and which hosts they have."""

    def __init__(self, own: str) -> None:
        """Start with all data centres reachable and nothing cached."""
        self._own = own
        self.assigned_chunks: dict[str, bool] = {}
        self._unanswered: dict[str, Unanswered] = {}
        self._observed: frozenset[str] = frozenset()
        self._hints: dict[str, float] = {}
        self._reports: dict[str, ReceivedReport] = {}
        self._contacts: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._reviewed_at = 0.0
        self._hosts: dict[str, tuple[deployments.Host, ...]] = {}

    def update_hosts(self, hosts: Iterable[deployments.Host]) -> None:
        """Update the list of hosts, which includes this one.

        It clears the cache of which chunks this host is assigned to.
        """
        self.assigned_chunks.clear()
        by_centre: dict[str, list[deployments.Host]] = {}
        for host in hosts:
            by_centre.setdefault(host.data_centre, []).append(host)
        self._hosts = dict(
            zip(by_centre, map(tuple, by_centre.values()), strict=True)
        )

    def list_hosts(self, centre: str) -> tuple[deployments.Host, ...]:
        """List the hosts of a data centre, possibly the own one."""
        return self._hosts.get(centre, ())

    def list_populated(self) -> frozenset[str]:
        """List the data centres that have hosts, the own one included."""
        return frozenset(self._hosts)

    def record_sent(self, centre: str, peer: str, now: float) -> None:
        """Record that something was sent to a peer in a data centre."""
        if centre == self._own:
            return
        unanswered = self._unanswered.get(centre, NOTHING_UNANSWERED)
        if peer in unanswered.peers:
            return
        since = unanswered.since if unanswered.peers else now
        self._unanswered[centre] = Unanswered(
            since, unanswered.peers | {peer}, unanswered.failed
        )

    def record_contact(self, centre: str) -> None:
        """Record that something arrived from a data centre."""
        self._unanswered.pop(centre, None)
        self._contacts[centre] = self._reviewed_at
        if centre in self._silent:
            self._observed -= {centre}
            self._hints.pop(centre, None)
            self._update_silent(self._reviewed_at)

    def update_hints(self, centres: Iterable[str], now: float) -> None:
        """Update which data centres a delegate in the own one finds silent."""
        hints = dict.fromkeys(centres, now + HINT_LIFETIME_S)
        hints.pop(self._own, None)
        if hints:
            self._hints.update(hints)
            self._update_silent(now)

    def update_report(self, report: SilenceReport, now: float) -> None:
        """Update which data centres another host in the own one finds silent.

        The report replaces the earlier one of the same host. If that host got
        an answer again, the data centre is reachable for this host too.
        """
        silent = frozenset(report.silent)
        previous = self._reports.get(report.host, NO_REPORT).silent
        self._reports[report.host] = ReceivedReport(
            silent, now + REPORT_LIFETIME_S
        )
        for centre in previous - silent:
            self.record_contact(centre)
        self._update_silent(now)

    def list_unreported(self, now: float) -> frozenset[str]:
        """List data centres found silent here that too few others report."""
        counts = _count_reporters(self._reports, now + REPORT_LIFETIME_S / 2)
        return frozenset(
            centre
            for centre in self._observed
            if counts[centre] < MIN_REPORTERS
        )

    def record_failed(self, centre: str, peer: str) -> None:
        """Record that a connection to a peer broke or could not be opened."""
        unanswered = self._unanswered.get(centre)
        if unanswered is not None:
            failed = unanswered.failed | {peer}
            self._unanswered[centre] = unanswered._replace(failed=failed)

    def review(self, now: float) -> frozenset[str]:
        """Update which data centres are silent; return those that are new."""
        stalled = now - self._reviewed_at > MAX_REVIEW_GAP_S
        self._reviewed_at = now
        if stalled:
            self._unanswered = {
                centre: unanswered._replace(since=now)
                for centre, unanswered in self._unanswered.items()
            }
            return frozenset()
        before = self._silent
        self._observed |= {
            centre
            for centre, unanswered in self._unanswered.items()
            if _is_silent(unanswered, now)
        }
        self._hints = {
            centre: until
            for centre, until in self._hints.items()
            if until > now
        }
        self._reports = {
            host: received
            for host, received in self._reports.items()
            if received.until > now
        }
        self._update_silent(now)
        return self._silent - before

    def is_silent(self, centre: str) -> bool:
        """Return whether a data centre is taken to be unreachable."""
        return centre in self._silent

    def list_silent(self) -> frozenset[str]:
        """List the data centres that are taken to be unreachable."""
        return self._silent

    def list_observed(self) -> frozenset[str]:
        """List the data centres that this host itself has found silent.

        Only these are reported to others: hosts that repeat each other's
        reports would keep them alive for ever.
        """
        return self._observed

    def _update_silent(self, now: float) -> None:
        reported = {
            centre
            for centre, count in _count_reporters(self._reports, now).items()
            if count >= MIN_REPORTERS
            and centre != self._own
            and now - self._contacts.get(centre, NEVER) > CONTACT_LIFETIME_S
        }
        self._silent = self._observed.union(self._hints, reported)


def _count_reporters(
    reports: Mapping[str, ReceivedReport], at: float
) -> collections.Counter[str]:
    """Count the hosts with a valid report of each silent data centre."""
    return collections.Counter(
        centre
        for received in reports.values()
        if received.until > at
        for centre in received.silent
    )


def _is_silent(unanswered: Unanswered, now: float) -> bool:
    if len(unanswered.failed) >= MIN_SILENT_PEERS:
        return True
    return (
        len(unanswered.peers) >= MIN_SILENT_PEERS
        and now - unanswered.since > MIN_SILENCE_S
    )
