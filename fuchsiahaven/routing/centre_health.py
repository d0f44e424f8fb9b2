"""Notice that a whole data centre has fallen silent.

A data centre that is cut off without a word leaves each target there to be
found out by itself: each costs queries a timeout, and this host goes on taking
callers that it cannot serve. Where several hosts and targets of one data centre
were sent something, and nothing at all has come from there since, it is the
way there that is lost, and all of it is left out at once.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: Silence after which a data centre counts as lost, in seconds: pauses of
#: targets take 0.2 s, and never all of them at once.
MIN_SILENCE_S: Final = 0.3
#: So many hosts or targets have to be silent: one or two may have crashed.
MIN_SILENT_PEERS: Final = 3
#: A review that comes later than this after the one before tells of this host:
#: it stood still, and what others sent meanwhile has yet to be read.
MAX_REVIEW_GAP_S: Final = 0.25


#: How long another host's word that a data centre is silent is believed. Hosts
#: that gather for others notice first, because they send most.
HINT_LIFETIME_S: Final = 1.0
#: The same for what a host beside this one tells all that are beside it, which
#: it repeats and takes back.
REPORT_LIFETIME_S: Final = 3.0
#: Whoever was heard of as lately as this is in reach, whatever others say.
CONTACT_LIFETIME_S: Final = 1.0
NEVER: Final = float('-inf')
#: One host may have asked none but targets that are gone; so many hosts beside
#: each other have not.
MIN_REPORTERS: Final = 2


class Unanswered(NamedTuple):
    """Hold what was sent to a data centre since the last sign of life.

    `since` is when the first of it was sent. `failed` are those to whom
    connections could not be had or broke.
    """

    since: float = 0.0
    peers: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


NOTHING_UNANSWERED: Final = Unanswered()


class SilenceReport(NamedTuple):
    """Hold all other data centres that a host hears nothing of."""

    host: str
    data_centre: str
    silent: tuple[str, ...]


class ReceivedReport(NamedTuple):
    """Hold what a host beside this one told, and until when it counts."""

    silent: frozenset[str]
    until: float


NO_REPORT: Final = ReceivedReport(frozenset(), 0.0)


class CentreHealth:
    """Own what is known of each data centre, and of the way to it."""

    def __init__(self, own: str) -> None:
        """Start with all of them reached, and on duty for nothing known."""
        self._own = own
        self.on_duty: dict[str, bool] = {}
        self._unanswered: dict[str, Unanswered] = {}
        self._observed: frozenset[str] = frozenset()
        self._hints: dict[str, float] = {}
        self._reports: dict[str, ReceivedReport] = {}
        self._contacts: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._reviewed_at = 0.0
        self._hosts: dict[str, tuple[deployments.Host, ...]] = {}

    def update_hosts(self, hosts: Iterable[deployments.Host]) -> None:
        """Take in which hosts there are, the own one among them.

        For which chunks this one is `on_duty` has to be found out anew then.
        """
        self.on_duty.clear()
        by_centre: dict[str, list[deployments.Host]] = {}
        for host in hosts:
            by_centre.setdefault(host.data_centre, []).append(host)
        self._hosts = dict(
            zip(by_centre, map(tuple, by_centre.values()), strict=True)
        )

    def list_hosts(self, centre: str) -> tuple[deployments.Host, ...]:
        """List the hosts of a data centre, also of the own one."""
        return self._hosts.get(centre, ())

    def list_populated(self) -> frozenset[str]:
        """List the data centres that have hosts, the own one included."""
        return frozenset(self._hosts)

    def record_sent(self, centre: str, peer: str, now: float) -> None:
        """Take in that something was sent to a host or target there."""
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
        """Take in a sign of life from anybody there."""
        self._unanswered.pop(centre, None)
        self._contacts[centre] = self._reviewed_at
        if centre in self._silent:
            self._observed -= {centre}
            self._hints.pop(centre, None)
            self._update_silent(self._reviewed_at)

    def update_hints(self, names: Iterable[str], now: float) -> None:
        """Take in which data centres a host beside this one finds silent."""
        hints = dict.fromkeys(names, now + HINT_LIFETIME_S)
        hints.pop(self._own, None)
        if hints:
            self._hints.update(hints)
            self._update_silent(now)

    def update_report(self, report: SilenceReport, now: float) -> None:
        """Take in what a host beside this one hears nothing of.

        It takes the place of what the same host told before. Where that host
        has heard again, the way is open for all beside it.
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
        """List those found silent here of which too few others tell."""
        counts = _count_reporters(self._reports, now + REPORT_LIFETIME_S / 2)
        return frozenset(
            centre
            for centre in self._observed
            if counts[centre] < MIN_REPORTERS
        )

    def record_failed(self, centre: str, peer: str) -> None:
        """Take in that a connection there broke or could not be had."""
        unanswered = self._unanswered.get(centre)
        if unanswered is not None:
            failed = unanswered.failed | {peer}
            self._unanswered[centre] = unanswered._replace(failed=failed)

    def review(self, now: float) -> frozenset[str]:
        """See which have fallen silent; return those that have just done so."""
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
        """Tell whether a data centre is taken to be out of reach."""
        return centre in self._silent

    def list_silent(self) -> frozenset[str]:
        """List the data centres that are taken to be out of reach."""
        return self._silent

    def list_observed(self) -> frozenset[str]:
        """List those that this host has found silent itself.

        Only these are passed on: hosts that repeat each other's word would
        keep it alive for ever.
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
    """Count whose word of each data centre still counts at a time."""
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
