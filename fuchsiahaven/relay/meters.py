"""Count what a host does, in plain figures.

The library that writes the page of metrics costs a fourth of the processor
time of a start, and a host that lost its power has no time for it: `pages`
brings it in when the page is first asked for.
"""

import bisect
import collections
import itertools
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.relay import accounts, news, orders, runner
from fuchsiahaven.routing import events, queued_work

#: Seconds; finer where the objectives of the routes lie.
BUCKETS: Final = (
    0.01,
    0.02,
    0.04,
    0.06,
    0.08,
    0.1,
    0.12,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.5,
    3,
)


class Gauges(NamedTuple):
    """Hold what is so at this moment.

    `version` is the configuration's, `age` the seconds since the news was
    read, `links` the open connections to targets, `opened` those opened so
    far, `calls` the calls to the store so far, `era` the store's (-1 without
    one), `forgotten` the watches that it answered with its history gone,
    `keys_age` the seconds that the knowledge of keys is old at most, None where
    keys need not die in time.
    """

    version: int
    age: float
    targets: int
    hosts: int
    links: int
    opened: int
    calls: int
    quarantined: int
    era: int
    forgotten: int
    keys_age: float | None = None


class Meters:
    """Own the figures of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.latency_sum = 0.0
        self.extra = 0
        self.missing = 0
        self.crashes = 0
        self.accounts = accounts.Accounts()
        self.waits = orders.Figures(dict)
        self._by_bucket: collections.Counter[int] = collections.Counter()

    def note(self, story: events.RequestSummary) -> None:
        """Count one request; parts that go back are counted as such."""
        if story.result == queued_work.HANDED_BACK:
            return
        self.outcomes[story.result] += 1
        self._by_bucket[bisect.bisect_left(BUCKETS, story.took)] += 1
        self.latency_sum += story.took
        self.extra += story.hedges
        self.missing += story.missing
        self.accounts.note(story)

    def list_latencies(self) -> list[tuple[str, int]]:
        """List how many took so many seconds at most, for each bound."""
        bounds = (*(str(float(bound)) for bound in BUCKETS), '+Inf')
        counts = (self._by_bucket[place] for place in range(len(bounds)))
        return list(zip(bounds, itertools.accumulate(counts), strict=True))


def read_gauges(driven: runner.Runner, known: news.News) -> Gauges:
    """Read what the decisions, the connections and the news are like now."""
    now = time.monotonic()
    keys = driven.desk.controls.freshness
    known_suspects = driven.desk.suspects.list_reports(now)
    return Gauges(
        version=driven.desk.index.configuration.version,
        age=now - known.ledger.read_at,
        targets=len(driven.desk.directory.by_name),
        hosts=driven.desk.host_count,
        links=driven.fleet.count_links(),
        opened=driven.fleet.count_opened(),
        calls=known.store.calls + known.writer.store.calls,
        quarantined=len(suspects.select_quarantined(known_suspects)),
        era=-1 if known.eras.heard is None else known.eras.heard,
        forgotten=known.forgotten,
        keys_age=keys.compute_age() if keys.is_enforced else None,
    )
