"""Write what a host tells counters, and keep it until it is sent."""

import collections

from fuchsiahaven.routing import (
    places,
    quota_counts,
    quota_uses,
    quota_words,
)


class Mail:
    """Own the words that are to be sent, and when to look at what is open."""

    def __init__(self, host: places.Host, counts: quota_counts.Counts) -> None:
        """Start with nothing to send."""
        self.start = 0
        self.serial = 0
        self._host = host
        self._counts = counts
        self._own: collections.deque[quota_words.Word] = collections.deque()
        self._told: list[quota_words.Tell | quota_words.Refusal] = []
        self._wakes: list[float] = []

    def tell(self, word: quota_words.Word, address: str) -> None:
        """Send a word to a host, which may be this one."""
        if address == self._host.address:
            self._own.append(word)
        else:
            self._told.append(quota_words.Tell(word, address))

    def tell_counters(
        self,
        uses: quota_uses.Uses,
        purpose: quota_words.Purpose,
        about: int,
        now: float,
        *,
        lost: bool = False,
    ) -> None:
        """Tell the counters of a customer; the first one has to answer.

        With `lost` it is silent or lacks the votes.
        """
        counters = self._counts.find_places(uses.customer)
        word = self.write_usage(uses, purpose, about, now)._replace(
            first=counters.first.name, lost=lost
        )
        asked = purpose is quota_words.Purpose.ASK
        for host in counters.targets if asked else counters.leading:
            self.tell(word, host.address)

    def write_usage(
        self,
        uses: quota_uses.Uses,
        purpose: quota_words.Purpose,
        about: int,
        now: float,
    ) -> quota_words.Usage:
        """Write all that this host admitted of a customer."""
        self.serial += 1
        return quota_words.Usage(
            purpose,
            uses.customer,
            self._host.name,
            self.start,
            self.serial,
            uses.limit,
            uses.list_admitted(now, self._counts.window),
            tuple(uses.waits),
            about,
        )

    def note_refusal(self, refusal: quota_words.Refusal) -> None:
        """Have a refusal written to the log."""
        self._told.append(refusal)

    def wake_at(self, *times: float) -> None:
        """Have what is open looked at then."""
        self._wakes.extend(times)

    def take_own(self) -> quota_words.Word | None:
        """Take the next word of this host to itself."""
        return self._own.popleft() if self._own else None

    def take_told(self) -> list[quota_words.Tell | quota_words.Refusal]:
        """Take what is to be told to other hosts, and to the log."""
        told = self._told
        self._told = []
        return told

    def take_wakes(self) -> list[float]:
        """Take when to look at what is open."""
        wakes = self._wakes
        self._wakes = []
        return wakes
