"""Count requests and read gauges without the metrics library.

Loading the library takes a quarter of the processor time of a start, which
delays hosts that start after a power loss. `pages` imports it when metrics are
first scraped.
"""

import bisect
import collections
import itertools
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.relay import customer_counts, runners, store_sync, work_queues
from fuchsiahaven.routing import events, queued_work

#: Upper bounds in seconds; finer around the objectives of the routes.
LATENCY_BUCKETS_S: Final = (
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
    """Hold current values, in the order of pages.GAUGES.

    `view_age_s` is the time since the store view was read, `connections` are
    open to targets, `opened_connections` and `store_calls` count from the start
    of the process, `store_era` is -1 without an era, `watches_forgotten` counts
    the watches that the store answered with a history that is gone.
    `keys_age_s` bounds the age of the knowledge of keys, None if the settings
    bound no time for the revocation of keys.
    """

    configuration_version: int
    view_age_s: float
    targets: int
    hosts: int
    connections: int
    opened_connections: int
    store_calls: int
    quarantined: int
    store_era: int
    watches_forgotten: int
    keys_age_s: float | None = None


class RequestMetrics:
    """Hold the request counts of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.latency_sum = 0.0
        self.extra_sends = 0
        self.missing_parts = 0
        self.crashes = 0
        self.customer_counts = customer_counts.CustomerCounts()
        self.queue_counts = work_queues.QueueCounts(dict)
        self._by_bucket: collections.Counter[int] = collections.Counter()

    def record_request(self, summary: events.RequestSummary) -> None:
        """Count a request, except for delegated parts returned unsent."""
        if summary.result == queued_work.HANDED_BACK:
            return
        self.outcomes[summary.result] += 1
        self._by_bucket[
            bisect.bisect_left(LATENCY_BUCKETS_S, summary.took)
        ] += 1
        self.latency_sum += summary.took
        self.extra_sends += summary.hedges
        self.missing_parts += summary.missing
        self.customer_counts.record_request(summary)

    def list_latency_buckets(self) -> list[tuple[str, int]]:
        """List the cumulative count for each upper bound of latency."""
        bounds = (*(str(float(bound)) for bound in LATENCY_BUCKETS_S), '+Inf')
        counts = (self._by_bucket[index] for index in range(len(bounds)))
        return list(zip(bounds, itertools.accumulate(counts), strict=True))


def read_gauges(runner: runners.Runner, sync: store_sync.StoreSync) -> Gauges:
    """Read the current values of router, connections and store view."""
    now = time.monotonic()
    keys = runner.router.controls.freshness
    reports = runner.router.suspects.list_reports(now)
    return Gauges(
        configuration_version=runner.router.index.configuration.version,
        view_age_s=now - sync.view.read_at,
        targets=len(runner.router.directory.by_name),
        hosts=runner.router.host_count,
        connections=runner.target_pools.count_connections(),
        opened_connections=runner.target_pools.count_opened(),
        store_calls=sync.store_client.call_count
        + sync.lease_writer.client.call_count,
        quarantined=len(suspects.select_quarantined(reports)),
        store_era=-1
        if sync.era_tracker.latest is None
        else sync.era_tracker.latest,
        watches_forgotten=sync.watches_forgotten,
        keys_age_s=keys.compute_age() if keys.is_enforced else None,
    )
