"""Keep each customer's requests within its quota, over all hosts.

A customer's quota is a bucket of tokens, split into slots that hosts of all
data centres hold. A request is taken in against one token of any of them.
Tokens are only ever given once, so their sum bounds what all hosts take in,
whatever is lost or late between them.
"""

import functools
import itertools
import zlib
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    active_requests,
    configs,
    deployments,
    quota_buckets,
    quota_holders,
    quota_purses,
    quota_slots,
    quota_words,
)

SOURCE: Final = 'quotas'
#: How long a holder has to answer, and all of them together.
ANSWER_S: Final = 0.015
PATIENCE_S: Final = 0.06
#: What a caller is told to wait where no holder could be asked, in seconds.
UNKNOWN_WAIT_S: Final = 0.3
#: Part of a wait by which callers are spread.
SPREAD: Final = 0.25
WAIT_DIGITS: Final = 2
LEAST_WAIT_S: Final = 0.01
#: Who comes back later than this has mostly given up.
MOST_WAIT_S: Final = 5.0
LARGEST_DRAW: Final = 0xFFFF_FFFF


class Terms(NamedTuple):
    """Hold what the deployment tells, and a number that names this start."""

    quota: deployments.QuotaTolerance | None
    centres: tuple[str, ...]
    start: int


class Waiting(NamedTuple):
    """Hold a request that waits for a token.

    `left` are the slots to be asked yet, `asked` the holder that was asked last
    and `due` until when it may answer; `ends` is when to give up.
    """

    taken: active_requests.RoutedRequest
    limit: quota_slots.Limit
    left: tuple[int, ...]
    ends: float
    slot: int = 0
    asked: str = ''
    due: float = 0.0
    waits: tuple[float, ...] = ()


class Paid(NamedTuple):
    """Hold whose token a request has, and until when that may be spent."""

    customer: str
    until: float


class Decided(NamedTuple):
    """Hold a request that has its token, or the failure to refuse it with."""

    taken: active_requests.RoutedRequest
    failure: errors.Failure | None


class News(NamedTuple):
    """Hold what came of a call; `due` is when to call `check` next."""

    decided: tuple[Decided, ...]
    told: tuple[quota_words.Tell, ...]
    due: float | None


Charged = errors.Failure | active_requests.RoutedRequest | Waiting


def _wait_never() -> float:
    return 0.0


class Quotas:
    """Own the tokens of this host, and the requests that wait for some."""

    def __init__(
        self,
        host: deployments.Host,
        find_wait: Callable[[], float] = _wait_never,
    ) -> None:
        """Start with nothing bounded.

        `find_wait` tells for how long this host takes no customers' requests,
        as it is out of touch: others may hold its slots by then.
        """
        self.host = host
        self._find_wait = find_wait
        self.terms = Terms(None, (host.data_centre,), 0)
        self.buckets = quota_buckets.Buckets()
        #: Whether anything was decided or is to be told or waited for: looked
        #: at by far more often than it happens.
        self.has_news = False
        self._told: list[quota_words.Tell] = []
        self._decided: list[Decided] = []
        self._holders = quota_holders.Holders(host)
        self._purse = quota_purses.Purse()
        self._customers: Mapping[str, configs.Customer] = {}
        self._waiting: dict[int, Waiting] = {}
        self._paid: dict[int, Paid] = {}
        self._numbers = itertools.count(1)

    def note_hosts(
        self, hosts: tuple[deployments.Host, ...], now: float
    ) -> None:
        """Take in which hosts there are."""
        if self._holders.note_hosts(hosts):
            held = functools.partial(
                _holds, self._holders, self._customers, self.terms
            )
            self.buckets.renew(now, held)

    def note_customers(
        self, known: tuple[configs.Customer, ...], now: float
    ) -> None:
        """Take in the customers of the configuration in force."""
        self._customers = {it.name: it for it in known}
        self.buckets.note_customers(frozenset(self._customers), now)
        self._purse.keep_only(frozenset(self._customers))

    def charge(
        self,
        customer: configs.Customer,
        taken: active_requests.RoutedRequest,
        now: float,
    ) -> Charged:
        """Charge a request to its customer, or say why it is refused.

        Where it has to wait for a word, it is among those that are `decided`
        then.
        """
        if self.terms.quota is None or customer.rate <= 0:
            return taken
        limit = quota_slots.find_limit(customer)
        until = self._purse.spend(limit.customer, now)
        if until is not None:
            self._paid[taken.number] = Paid(limit.customer, until)
            return taken
        self.has_news = True
        slots = _split(limit, self.terms)
        left = self._holders.order(limit, slots, now)
        waiting = Waiting(taken, limit, left, now + PATIENCE_S)
        return self._go_on(waiting, now)

    def end(self, number: int, now: float, *, ran: bool) -> None:
        """Take in that a request is over; what has not run costs nothing."""
        self._waiting = {
            key: it
            for key, it in self._waiting.items()
            if it.taken.number != number
        }
        paid = self._paid.pop(number, None)
        if paid is not None and not ran:
            self._purse.keep(paid.customer, 1, paid.until)

    def hear(self, heard: quota_words.Heard, now: float) -> None:
        """Take in a word of another host."""
        if self.terms.quota is None:
            return
        # What was waited for while this host stood still is over.
        self.check(now)
        match heard.word:
            case quota_words.Ask():
                self._answer(heard.word, heard.sender, now)
            case quota_words.Verdict():
                self._take_verdict(heard.word, heard.sender, now)

    def check(self, now: float) -> None:
        """Go on with what was not answered in time."""
        self.has_news = True
        late = [it for it in self._waiting.items() if it[1].due <= now]
        for number, waiting in late:
            self._waiting.pop(number)
            self._holders.note_silent(waiting.asked, now)
            done = self._go_on(waiting, now)
            self._decided.extend(_list_decided(done, waiting))

    def take_news(self) -> News:
        """Take what was decided, what is to be told, and when to check."""
        due = min((it.due for it in self._waiting.values()), default=None)
        news = News(tuple(self._decided), tuple(self._told), due)
        self._decided.clear()
        self._told.clear()
        self.has_news = False
        return news

    def _go_on(self, waiting: Waiting, now: float) -> Charged:
        """Ask the next holder, as long as there are any and time is left."""
        if self.terms.quota is None:
            return waiting.taken
        slots = _split(waiting.limit, self.terms)
        while waiting.left and now < waiting.ends:
            slot, *left = waiting.left
            waiting = waiting._replace(left=tuple(left), slot=slot)
            holder = self._holders.find(waiting.limit, slots, slot)
            done = self._try(waiting, holder, slots.shares[slot], now)
            if done is not None:
                return done
            waiting = _note_none(waiting, self._holders, now)
        return _refuse(waiting)

    def _try(
        self,
        waiting: Waiting,
        holder: deployments.Host | None,
        share: quota_slots.Share,
        now: float,
    ) -> Charged | None:
        """Ask one holder; None where it has no token or there is none."""
        limit = waiting.limit
        empty = self._holders.is_empty(limit.customer, waiting.slot, now)
        if holder is None or empty:
            return None
        if holder.name != self.host.name:
            return self._ask(waiting, holder, now)
        if self._find_wait():
            return None
        wanted = self._purse.count_wanted(limit.customer, now)
        given = self.buckets.give(limit, waiting.slot, share, wanted, now)
        return self._take_given(waiting, given, now)

    def _ask(
        self, waiting: Waiting, holder: deployments.Host, now: float
    ) -> Waiting:
        number = next(self._numbers)
        waiting = waiting._replace(
            asked=holder.name, due=min(now + ANSWER_S, waiting.ends)
        )
        self._waiting[number] = waiting
        customer = waiting.limit.customer
        wanted = self._purse.count_wanted(customer, now)
        word = quota_words.Ask(
            customer, waiting.slot, number, self.terms.start, wanted
        )
        self._told.append(quota_words.Tell(word, holder.address))
        return waiting

    def _answer(self, ask: quota_words.Ask, sender: str, now: float) -> None:
        """Give tokens of a slot that this host holds; else say nothing."""
        if not self._holders.name_host(sender) or self._find_wait():
            return
        given = self._give(ask, now)
        if given is not None:
            word = quota_words.Verdict(ask.number, ask.start, *given)
            self._told.append(quota_words.Tell(word, sender))

    def _give(
        self, ask: quota_words.Ask, now: float
    ) -> quota_buckets.Given | None:
        customer = self._customers.get(ask.customer)
        if customer is None or customer.rate <= 0 or self.terms.quota is None:
            # One of the two hosts has an earlier configuration.
            return quota_buckets.Given(0, UNKNOWN_WAIT_S)
        limit = quota_slots.find_limit(customer)
        slots = _split(limit, self.terms)
        if not self._holders.holds(limit, slots, ask.slot):
            return None
        wanted = min(quota_purses.MOST_WANTED, ask.wanted)
        share = slots.shares[ask.slot]
        return self.buckets.give(limit, ask.slot, share, wanted, now)

    def _take_verdict(
        self, verdict: quota_words.Verdict, sender: str, now: float
    ) -> None:
        waiting = self._waiting.get(verdict.number)
        if waiting is None or verdict.start != self.terms.start:
            return
        if self._holders.name_host(sender) != waiting.asked:
            return
        self._waiting.pop(verdict.number)
        self._holders.note_heard(waiting.asked)
        given = quota_buckets.Given(verdict.granted, verdict.wait)
        done: Charged | None = self._take_given(waiting, given, now)
        if done is None:
            left = _note_none(waiting, self._holders, now)
            done = self._go_on(left, now)
        self._decided.extend(_list_decided(done, waiting))

    def _take_given(
        self, waiting: Waiting, given: quota_buckets.Given, now: float
    ) -> active_requests.RoutedRequest | None:
        """Take what a holder gave; None if that is nothing."""
        customer = waiting.limit.customer
        if not given.tokens:
            self._holders.note_empty(customer, waiting.slot, given.wait, now)
            return None
        until = now + quota_purses.KEPT_S
        self._paid[waiting.taken.number] = Paid(customer, until)
        ahead = min(given.tokens, quota_purses.MOST_WANTED) - 1
        self._purse.keep(customer, ahead, until)
        return waiting.taken


def _holds(
    holders: quota_holders.Holders,
    customers: Mapping[str, configs.Customer],
    terms: Terms,
    name: str,
    slot: int,
) -> bool:
    """Tell whether this host holds a slot of a customer by its name."""
    customer = customers.get(name)
    if customer is None or terms.quota is None:
        return False
    limit = quota_slots.find_limit(customer)
    return holders.holds(limit, _split(limit, terms), slot)


def _split(limit: quota_slots.Limit, terms: Terms) -> quota_slots.Slots:
    assert terms.quota is not None
    return quota_slots.split(limit, terms.quota, terms.centres)


def _note_none(
    waiting: Waiting, known: quota_holders.Holders, now: float
) -> Waiting:
    """Note for how long the slot that was tried has no token, if known."""
    if not known.is_empty(waiting.limit.customer, waiting.slot, now):
        return waiting
    wait = known.count_wait(waiting.limit, waiting.slot, now)
    return waiting._replace(waits=(*waiting.waits, wait))


def _list_decided(done: Charged, waiting: Waiting) -> list[Decided]:
    match done:
        case active_requests.RoutedRequest():
            return [Decided(done, None)]
        case errors.Failure():
            return [Decided(waiting.taken, done)]
    return []


def _refuse(waiting: Waiting) -> errors.Failure:
    """Refuse a request that no holder has a token for."""
    limit = waiting.limit
    detail = f'{limit.customer}: {limit.rate:g}/s, burst {limit.burst:g}'
    if not waiting.waits:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            f'{detail}; no holder of its quota answers',
            retry_after=UNKNOWN_WAIT_S,
        )
    spread = 1 + SPREAD * _draw(waiting.taken.request.request_id)
    wait = min(MOST_WAIT_S, min(waiting.waits)) * spread
    return errors.make_failure(
        errors.Kind.OVER_QUOTA,
        SOURCE,
        f'{detail}; {len(waiting.waits)} slots are empty',
        retry_after=round(max(wait, LEAST_WAIT_S), WAIT_DIGITS),
    )


def _draw(name: str) -> float:
    """Draw a number from 0 to 1 that is another for each request."""
    return zlib.crc32(name.encode()) / LARGEST_DRAW
