"""Count for the metrics what the tasks of one process do."""

import threading
import time
from collections import Counter
from typing import Final

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.queries import tables
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import loop
from fuchsiahaven.operate import metrics

#: What callers name is no label unless it is configured: each value of a
#: label costs memory for the life of the process.
NOT_COUNTED: Final = frozenset(
    (errors.Kind.UNKNOWN_CLASS, errors.Kind.NOT_READY)
)
OUTCOMES: Final = {
    tables.Count(outcome.value): outcome for outcome in metrics.Outcome
}


class Meters:
    """Own the metrics of one process; any thread may call this."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._metrics = metrics.build_metrics()
        self._lock = threading.Lock()
        self._seen: Counter[tables.Count] = Counter()

    def note_reply(self, query: messages.Query, reply: messages.Reply) -> None:
        """Count a reply, its latency and its coverage."""
        outcome = reply.outcome
        if isinstance(outcome, errors.Failure):
            self._metrics.refusals[outcome.kind].inc()
            if outcome.kind in NOT_COUNTED:
                return
        else:
            self._note_coverage(query.class_name, outcome.coverage)
        elapsed = time.monotonic() - query.arrived_at
        self._metrics.latency.labels(query.class_name).observe(elapsed)

    def note_refusal(self, kind: errors.Kind) -> None:
        """Count a request that was refused before it became a query."""
        self._metrics.refusals[kind].inc()

    def write(self, sample: loop.Sample) -> bytes:
        """Write the metrics with what the dispatch loop shows just now."""
        with self._lock:
            grown = sample.counts - self._seen
            self._seen += grown
            for count, outcome in OUTCOMES.items():
                self._metrics.sub_requests[outcome].inc(grown[count])
            self._metrics.slots_in_use.set(sample.in_flight)
            self._metrics.queued.set(sample.queued)
            self._metrics.connections.set(sample.connections)
            self._metrics.revision.set(sample.revision)
            return metrics.encode_metrics(self._metrics)

    def _note_coverage(
        self, class_name: str, stated: coverage.Coverage
    ) -> None:
        status = 'complete' if stated.complete else 'partial'
        self._metrics.answers.labels(class_name, status).inc()
        if stated.shards:
            ratio = len(stated.covered) / stated.shards
            self._metrics.coverage.labels(class_name).observe(ratio)
