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

from fuchsiahaven.core import identities, offers, rates

#: Moments at which targets ended that make a quarantine.
MOST_CRASHES: Final = 3
#: Moments after which a trial may quarantine, and no host sends beside it.
TELLING_CRASHES: Final = 2
#: How long a request is left alone before the trial that may quarantine it.
#: What ends many targets by chance is mostly over by then.
PAUSE_S: Final = 1.0
#: How long a quarantine lasts, doubled with each trial that failed since.
QUARANTINE_S: Final = 120.0
LONGEST_S: Final = 600.0
#: How long other hosts leave a request alone that one of them tries.
TRIAL_S: Final = 1.0
#: A request that ends its target is lost later than this: it takes a round trip
#: to the farthest data centre, and time to run.
LEAST_RUN_S: Final = 0.005
#: Waits that differ by less than this come of the way between hosts.
PATIENCE_S: Final = 0.2
#: How long a suspicion outlives the time in which nothing is sent. What ends
#: its targets ends one of each shard where it is not known.
REMEMBER_S: Final = 600.0
#: Requests that are remembered at most, of one customer and in all.
MOST_OF_CUSTOMER: Final = 32
MOST: Final = 512
#: Targets and services named of each request: enough to look them up.
MOST_NAMED: Final = 4
#: First suspicions that are passed on. A rack that dies brings up many, nearly
#: all of them of innocent requests.
PASSED_A_SECOND: Final = 4
PASSED_AT_ONCE: Final = 16
PASSED_ON: Final = rates.Rate(PASSED_A_SECOND, PASSED_AT_ONCE)
#: Doublings of a quarantine after which it has long been the longest.
MOST_DOUBLINGS: Final = 8


class Gate(enum.Enum):
    """Say how a request may be sent.

    OPEN as any other, TRIAL to one target now, HELD once the trial that is
    under way has ended, CLOSED not for a while.
    """

    OPEN = enum.auto()
    TRIAL = enum.auto()
    HELD = enum.auto()
    CLOSED = enum.auto()


class Crash(NamedTuple):
    """Describe the end of a target under one sending of a request.

    It was `sent` and `lost` at these times; `sending` names it.
    """

    service: str
    target: str
    sending: Hashable
    sent: float
    lost: float


class News(NamedTuple):
    """Tell what is known against a request.

    `crashes` counts the moments at which targets ended under it since it was
    cleared for the last time, `clears` how often it was. `wait` is for how many
    seconds it is not to be sent. `targets` and `services` name a few of those
    where it ended. `host` tries it now or is about to; it may be empty.
    """

    identity: identities.Identity
    clears: int
    crashes: int
    wait: float
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
    seen: float = 0.0
    until: float = 0.0
    trial: Hashable | None = None
    trial_ends: float = 0.0
    told: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Rank what is known as its news are ranked."""
        return (self.clears, self.crashes)


class Suspects:
    """Own what is known against requests."""

    def __init__(self) -> None:
        """Suspect nothing."""
        #: Numbers of what waits for the trial of a request.
        self.waiting: dict[identities.Identity, set[int]] = {}
        self.offers = offers.Offers(PASSED_ON)
        self._known: dict[identities.Identity, Suspect] = {}
        self._passing = rates.fill_bucket(PASSED_ON, 0.0)

    def find_gate(self, identity: identities.Identity, now: float) -> Gate:
        """Say how a request may be sent now."""
        known = self._known.get(identity)
        if known is None or not known.crashes:
            return Gate.OPEN
        if now < known.until:
            return Gate.CLOSED
        tried = known.trial is not None and now < known.trial_ends
        return Gate.HELD if tried else Gate.TRIAL

    def count_wait(self, identity: identities.Identity, now: float) -> float:
        """Count the seconds for which a request is not to be sent."""
        known = self._known.get(identity)
        if known is None or not known.crashes:
            return 0.0
        return max(0.0, known.until - now)

    def note_crash(
        self,
        identity: identities.Identity,
        crash: Crash,
        now: float,
    ) -> bool:
        """Take in that a target ended under a request.

        Returns whether this makes another moment.
        """
        if identity == identities.UNKNOWN:
            return False
        known = self._known.get(identity, Suspect())
        another = _is_another(known, crash)
        known = known._replace(
            targets=_add_name(known.targets, crash.target),
            services=_add_name(known.services, crash.service),
        )
        if another:
            crashes = known.crashes + 1
            known = known._replace(
                crashes=crashes,
                seen=crash.lost,
                until=now + _count_pause(crashes),
            )
        self._keep(identity, known)
        return another

    def note_success(
        self, identity: identities.Identity, service: str, trial: Hashable
    ) -> bool:
        """Take in that a target has run a request; tell if that clears it.

        The answer of a service where no target ended says nothing of those
        where some did, unless it was the trial.
        """
        known = self._known.get(identity)
        if known is None or not known.crashes:
            return False
        if service not in known.services and trial != known.trial:
            return False
        self._known[identity] = Suspect(
            clears=known.clears + 1, seen=known.seen, told=known.told
        )
        return True

    def offer_trial(self, identity: identities.Identity, now: float) -> bool:
        """Offer to try a request; tell whether other hosts are to know."""
        known = self._known[identity]
        first = known.crashes < TELLING_CRASHES
        tells = self.offers.make(identity, now, first=first)
        self._known[identity] = known._replace(told=known.told or tells)
        return tells

    def begin_trial(
        self, identity: identities.Identity, trial: Hashable, now: float
    ) -> bool:
        """Take in that a request is sent to one target.

        Tells whether other hosts are to know, so that none tries it beside
        this one.
        """
        known = self._known[identity]
        offered = self.offers.is_own(identity, now)
        self.offers.withdraw(identity)
        self._known[identity] = known._replace(
            trial=trial, trial_ends=now + TRIAL_S
        )
        return known.crashes >= TELLING_CRASHES and not offered

    def end_trial(self, identity: identities.Identity, trial: Hashable) -> bool:
        """Take in that a sending has ended; tell whether it was the trial."""
        known = self._known.get(identity)
        if known is None or known.trial is None or known.trial != trial:
            return False
        self._known[identity] = known._replace(trial=None)
        return True

    def is_news(self, news: News, now: float) -> bool:
        """Tell whether what another host tells is not known here."""
        known = self._known.get(news.identity, Suspect())
        if news.rank != known.rank:
            return news.rank > known.rank
        if is_first_trial(news):
            return self.offers.is_new(news.identity, news.host, now)
        # Another host may be trying the request.
        until = now + min(news.wait, TRIAL_S)
        return news.crashes > 0 and until > known.until + PATIENCE_S

    def merge(self, news: News, now: float, own: str) -> bool:
        """Take in what another host tells; return whether it is new here.

        `own` is this host's name.
        """
        if not self.is_news(news, now):
            return False
        known = self._known.get(news.identity, Suspect())
        if is_first_trial(news):
            self.offers.hear(news.identity, news.host, now)
            if news.host == own:
                # What it told has come round to it.
                return False
        tries = known.trial is not None
        tries = tries or self.offers.is_own(news.identity, now)
        if tries and _goes_first(known, news, own):
            return False
        self.offers.withdraw(news.identity)
        if is_first_trial(news):
            self.offers.leave_to(news.identity, news.host, now)
            if news.rank == known.rank:
                return False
        wait = min(news.wait, _count_pause(news.crashes))
        if news.rank == known.rank:
            until = now + min(news.wait, TRIAL_S)
            self._keep(news.identity, known._replace(until=until))
            return True
        merged = known._replace(
            clears=news.clears,
            crashes=news.crashes,
            targets=news.targets[:MOST_NAMED],
            services=news.services[:MOST_NAMED],
            seen=now,
            until=now + wait,
            told=True,
        )
        self._keep(news.identity, merged)
        return True

    def pass_on(self, identity: identities.Identity, now: float) -> bool:
        """Tell whether other hosts are to be told what is known now."""
        known = self._known[identity]
        if known.crashes == 1:
            taken = rates.take_token(self._passing, now)
            self._passing = taken[0]
            if taken[1]:
                return False
        elif not known.crashes and not known.told:
            return False
        self._known[identity] = known._replace(told=True)
        return True

    def tell(self, identity: identities.Identity, now: float) -> News | None:
        """Tell what is known against a request, if anything."""
        known = self._known.get(identity)
        if known is None:
            return None
        return News(
            identity,
            known.clears,
            known.crashes,
            max(0.0, known.until - now),
            known.targets,
            known.services,
        )

    def list_all(self, now: float) -> list[News]:
        """List the requests that something speaks against, the worst first."""
        found = [self.tell(identity, now) for identity in self._known]
        known = [news for news in found if news is not None and news.crashes]
        return sorted(known, key=lambda it: -it.crashes)

    def forget_old(self, now: float) -> None:
        """Forget suspicions that have expired."""
        self.offers.forget_old(now)
        self._known = {
            identity: known
            for identity, known in self._known.items()
            if now < max(known.until, known.seen) + REMEMBER_S
        }

    def _keep(self, identity: identities.Identity, known: Suspect) -> None:
        if identity not in self._known:
            _make_room(self._known, identity.customer)
        self._known[identity] = known


def _goes_first(known: Suspect, news: News, own: str) -> bool:
    """Tell whether this host's own trial stands beside another host's.

    Hosts that are asked at the same moment begin at the same moment. Were
    each of them to give way, they would do so again at each next try.
    """
    if news.rank != known.rank:
        return False
    return offers.goes_first(news.identity, own, news.host)


def _make_room(
    table: dict[identities.Identity, Suspect], customer: str
) -> None:
    """Forget one request of whoever has most, or has too many."""
    counts = collections.Counter(it.customer for it in table)
    if counts[customer] < MOST_OF_CUSTOMER:
        if len(table) < MOST:
            return
        customer = counts.most_common(1)[0][0]
    own = [it for it in table if it.customer == customer]
    least = min(own, key=lambda it: (table[it].crashes, table[it].seen))
    table.pop(least)


def _is_another(known: Suspect, crash: Crash) -> bool:
    """Tell whether a target ended at another moment than those before it.

    What was sent before the last moment belongs to it, and so does what was
    lost at once: its target had ended before the request arrived there. A trial
    goes over a connection that was open since.
    """
    if not known.crashes or crash.sending == known.trial:
        return True
    return crash.sent >= known.seen and crash.lost - crash.sent >= LEAST_RUN_S


def pick_quarantined(found: Iterable[News]) -> list[News]:
    """Pick the requests that are in quarantine."""
    return [it for it in found if it.crashes >= MOST_CRASHES and it.wait]


def name_state(news: News) -> str:
    """Name what is held against a request."""
    if news.crashes >= MOST_CRASHES:
        return 'quarantined'
    return 'suspect' if news.crashes else 'cleared'


def is_first_trial(news: News) -> bool:
    """Tell whether a host tries a request after the first moment.

    Most of these are innocent, and none is refused for it.
    """
    return bool(news.host) and 0 < news.crashes < TELLING_CRASHES


def count_told_wait(crashes: int) -> float:
    """Count the seconds for which a trial keeps other hosts from sending."""
    return TRIAL_S if crashes >= TELLING_CRASHES else 0.0


def count_quarantine(crashes: int) -> float:
    """Count the seconds of a quarantine after so many crashes."""
    doublings = max(0, crashes - MOST_CRASHES)
    doublings = min(MOST_DOUBLINGS, doublings)
    return float(min(LONGEST_S, QUARANTINE_S * 2**doublings))


def _count_pause(crashes: int) -> float:
    """Count the seconds in which nothing is sent after so many crashes."""
    if crashes >= MOST_CRASHES:
        return count_quarantine(crashes)
    return PAUSE_S if crashes == MOST_CRASHES - 1 else 0.0


def _add_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    if name in names or len(names) >= MOST_NAMED:
        return names
    return (*names, name)
