"""Decide alone or by a counter's word whether a request is admitted."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    asks,
    configs,
    places,
    quota_counts,
    quota_mail,
    quota_shares,
    quota_silences,
    quota_uses,
    quota_words,
)

SOURCE: Final = 'quotas'
#: How long an ask waits for a counter that is sure, and for any, in seconds.
SURE_S: Final = 0.04
LAST_S: Final = 0.08
#: What timers may be late; a host that is later stood still meanwhile.
LATE_S: Final = 0.05
#: How soon a report is repeated that was not acknowledged, in seconds.
REPEAT_S: Final = 0.05
#: A request that no counter decided on may come back after this to twice this.
AGAIN_S: Final = 0.5
SPREAD: Final = 97
#: What a caller waits at least, and beyond the moment at which there is room.
LEAST_WAIT_S: Final = 0.02
WAIT_DIGITS: Final = 2
TIME_DIGITS: Final = 4

Charged = errors.Failure | asks.Taken | quota_uses.Waiting


class Exchange:
    """Own what this host admitted, what waits, and what it has to tell."""

    def __init__(self, host: places.Host, counts: quota_counts.Counts) -> None:
        """Start with nothing admitted."""
        self.mail = quota_mail.Mail(host, counts)
        self._host = host
        self._counts = counts
        self._book = quota_uses.Book()
        self.silences = quota_silences.Silences()
        self.decided: list[quota_uses.Decided] = []

    def charge(
        self, customer: configs.Customer, taken: asks.Taken, now: float
    ) -> Charged:
        """Admit a request, have it wait for a word, or say why not."""
        uses = self._book.find(customer.name)
        uses.limit = quota_shares.find_quota(customer, self._counts.window)
        unsure = self.silences.is_cautious(now)
        if unsure or not self._counts.is_grown(now) or uses.has_to_ask():
            self._ask(uses, taken, now)
        else:
            self._admit(uses, taken.number, now)
            self.decided.append(quota_uses.Decided(taken, None))
        self._take_own(now)
        for place, decided in enumerate(self.decided):
            if decided.taken.number == taken.number:
                self.decided.pop(place)
                return decided.failure or taken
        return quota_uses.Waiting(taken.number)

    def give_back(self, number: int, now: float) -> None:
        """Take back the charge of a request that has not run."""
        uses = self._book.give_back(number)
        if uses is not None:
            self._report(uses, now)
            self._take_own(now)

    def hear(self, word: quota_words.Word, sender: str, now: float) -> None:
        """Take in a word of another host."""
        self._take(word, sender, now)
        self._take_own(now)

    def check(self, now: float) -> None:
        """Decide on what has waited long enough."""
        self.silences.check(now)
        for uses in self._book.list_open():
            for wait in tuple(uses.waits.values()):
                self._check_wait(uses, wait, now)
            self._check_report(uses, now)
        self._take_own(now)
        if self._book.prune(now, self._counts.window):
            self._counts.prune(now)

    def _take_own(self, now: float) -> None:
        """Take in what this host tells itself as a counter."""
        while (word := self.mail.take_own()) is not None:
            self._take(word, self._host.address, now)

    def _take(self, word: quota_words.Word, sender: str, now: float) -> None:
        match word:
            case quota_words.Usage():
                for told in self._counts.take_usage(word, sender, now):
                    self.mail.tell(told.word, told.address)
            case quota_words.Call():
                self._take_call(word, sender, now)
            case quota_words.Verdict():
                self._take_verdict(word, now)
            case quota_words.Alert():
                uses = self._book.find(word.customer)
                uses.note_alert(now, asking=word.asking)

    def _admit(self, uses: quota_uses.Uses, number: int, now: float) -> None:
        self._book.admit(uses, number, now)
        self._report(uses, now)

    def _report(self, uses: quota_uses.Uses, now: float) -> None:
        """Tell the counters what was admitted; the first one has to answer."""
        first = self._counts.find_places(uses.customer).first
        uses.report = quota_uses.Report(self.mail.serial + 1, now)
        if first != self._host:
            self.silences.await_words((first.name,), now)
            self.mail.wake_at(now + REPEAT_S)
        self.mail.tell_counters(uses, quota_words.Purpose.REPORT, 0, now)

    def _ask(
        self, uses: quota_uses.Uses, taken: asks.Taken, now: float
    ) -> None:
        counters = self._counts.find_places(uses.customer)
        names = frozenset(host.name for host in counters.targets)
        silent = self.silences.list_silent(now)
        self._book.begin_wait(uses, quota_uses.Wait(taken, now, names - silent))
        self.silences.await_words(names - {self._host.name}, now)
        self.mail.wake_at(
            now + SURE_S, now + LAST_S, now + quota_silences.SILENT_S
        )
        self.mail.tell_counters(
            uses,
            quota_words.Purpose.ASK,
            taken.number,
            now,
            lost=uses.unsure or counters.first.name in silent,
        )

    def _take_call(
        self, call: quota_words.Call, sender: str, now: float
    ) -> None:
        uses = self._book.find(call.customer)
        purpose = quota_words.Purpose.REPORT
        if self._counts.vote(call, now):
            purpose = quota_words.Purpose.VOTE
        word = self.mail.write_usage(uses, purpose, call.number, now)
        self.mail.tell(word, sender)

    def _take_verdict(self, verdict: quota_words.Verdict, now: float) -> None:
        self.silences.note_heard(verdict.host)
        uses = self._book.find(verdict.customer)
        first = self._counts.find_places(verdict.customer).first
        uses.note_verdict(verdict, first.name, now)
        wait = uses.waits.get(verdict.about)
        if wait is None:
            return
        if verdict.sure:
            self._decide(uses, wait, verdict, now)
            return
        wait = wait.take_unsure(verdict)
        uses.waits[verdict.about] = wait
        if not wait.expected:
            self._decide(uses, wait, wait.best, now)

    def _check_wait(
        self, uses: quota_uses.Uses, wait: quota_uses.Wait, now: float
    ) -> None:
        waited = now - wait.since
        if waited >= LAST_S + LATE_S:
            self._decide(uses, wait, None, now)
        elif waited >= LAST_S or (waited >= SURE_S and wait.is_granted):
            self._decide(uses, wait, wait.best, now)

    def _check_report(self, uses: quota_uses.Uses, now: float) -> None:
        report = uses.report
        if report is None:
            return
        if now >= report.since + quota_silences.SILENT_S:
            uses.report = None
            uses.note_alert(now, asking=True)
            purpose = quota_words.Purpose.REPORT
            self.mail.tell_counters(uses, purpose, 0, now, lost=True)
        elif now >= report.since + REPEAT_S and not report.repeated:
            uses.report = report._replace(repeated=True)
            self.mail.wake_at(report.since + quota_silences.SILENT_S)
            self.mail.tell_counters(uses, quota_words.Purpose.REPORT, 0, now)

    def _decide(
        self,
        uses: quota_uses.Uses,
        wait: quota_uses.Wait,
        verdict: quota_words.Verdict | None,
        now: float,
    ) -> None:
        self._book.end_wait(uses, wait)
        if verdict is not None and verdict.granted:
            self._admit(uses, wait.taken.number, now)
            self.decided.append(quota_uses.Decided(wait.taken, None))
            return
        if verdict is None or not verdict.sure:
            # A counter may have taken it for admitted.
            self._report(uses, now)
        refusal = _make_refusal(uses, wait, verdict, now)
        self.mail.note_refusal(refusal)
        failure = errors.make_failure(
            errors.Kind.OVER_QUOTA,
            SOURCE,
            f'{refusal.counted} of {refusal.limit:.0f} used',
            retry_after=refusal.wait,
        )
        self.decided.append(quota_uses.Decided(wait.taken, failure))


def _make_refusal(
    uses: quota_uses.Uses,
    wait: quota_uses.Wait,
    verdict: quota_words.Verdict | None,
    now: float,
) -> quota_words.Refusal:
    again = AGAIN_S * (1 + wait.taken.number % SPREAD / SPREAD)
    if verdict is not None and verdict.wait:
        again = verdict.wait + LEAST_WAIT_S
    return quota_words.Refusal(
        uses.customer,
        wait.taken.request.request_id,
        uses.limit,
        -1 if verdict is None else verdict.counted,
        '' if verdict is None else verdict.host,
        round(now - uses.heard, TIME_DIGITS),
        round(now - wait.since, TIME_DIGITS),
        round(again, WAIT_DIGITS),
    )
