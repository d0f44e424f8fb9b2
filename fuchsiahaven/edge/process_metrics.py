"""Record the metrics of one process."""

import threading
import time
from collections import Counter
from typing import Final

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.queries import tables
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import dispatch_loop
from fuchsiahaven.operate import metrics

#: Class names of these failures are not labels: a caller may send any name,
#: and each value of a label takes memory for the life of the process.
UNLABELLED_KINDS: Final = frozenset(
    (errors.Kind.UNKNOWN_CLASS, errors.Kind.NOT_READY)
)
OUTCOMES_BY_COUNT: Final = {
    tables.Count(outcome.value): outcome for outcome in metrics.Outcome
}


class ProcessMetrics:
    """Own the metrics of one process; any thread may call this."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self._metrics = metrics.build_metrics()
        self._lock = threading.Lock()
        self._exported_counts: Counter[tables.Count] = Counter()

    def record_reply(
        self, query: messages.Query, reply: messages.Reply
    ) -> None:
        """Record a reply, its latency and its coverage."""
        outcome = reply.outcome
        if isinstance(outcome, errors.Failure):
            self._metrics.refusals[outcome.kind].inc()
            if outcome.kind in UNLABELLED_KINDS:
                return
        else:
            self._record_coverage(query.class_name, outcome.coverage)
        elapsed = time.monotonic() - query.arrived_at
        self._metrics.latency.labels(query.class_name).observe(elapsed)

    def record_refusal(self, kind: errors.Kind) -> None:
        """Count a request that was refused before it became a query."""
        self._metrics.refusals[kind].inc()

    def encode(self, status: dispatch_loop.LoopStatus) -> bytes:
        """Return the metrics as text, with the dispatch loop's status."""
        with self._lock:
            increments = status.counts - self._exported_counts
            self._exported_counts += increments
            for count, outcome in OUTCOMES_BY_COUNT.items():
                self._metrics.sub_requests[outcome].inc(increments[count])
            self._metrics.slots_in_use.set(status.in_flight)
            self._metrics.queued.set(status.queued)
            self._metrics.connections.set(status.connections)
            self._metrics.revision.set(status.revision)
            return metrics.encode_metrics(self._metrics)

    def _record_coverage(
        self, class_name: str, answer_coverage: coverage.Coverage
    ) -> None:
        status = 'complete' if answer_coverage.complete else 'partial'
        self._metrics.answers.labels(class_name, status).inc()
        if answer_coverage.shards:
            ratio = len(answer_coverage.covered) / answer_coverage.shards
            self._metrics.coverage.labels(class_name).observe(ratio)
