"""Render the metrics in the text format of Prometheus."""

from collections.abc import Iterator
from typing import Final

from prometheus_client import core, exposition, registry

from fuchsiahaven.relay import metrics, traffic

PREFIX: Final = 'fuchsiahaven_relay'
GAUGES: Final = (
    ('configuration', 'Version in force.'),
    ('news_age_seconds', 'Age of the news.'),
    ('targets', 'Targets that get new work.'),
    ('hosts', 'Hosts that share the bounds.'),
    ('connections', 'Connections to targets.'),
    ('opened', 'Connections opened so far.'),
    ('store_calls', 'Calls to the store so far.'),
    ('quarantined', 'Requests in quarantine.'),
    ('store_era', 'Era of the store; -1 where it tells none.'),
    ('watches_forgotten', 'Watches answered that the history is gone.'),
    ('keys_age_seconds', 'Age of the knowledge of keys, at most.'),
)


class MetricsCollector(registry.Collector):
    """Collect the metrics of one process for the library."""

    def __init__(
        self,
        request_metrics: metrics.RequestMetrics,
        gauges: metrics.Gauges,
        traffic_counts: traffic.TrafficCounts,
    ) -> None:
        """Keep the counts and gauges."""
        self._traffic_counts = traffic_counts
        self._metrics = request_metrics
        self._gauges = gauges

    def collect(self) -> Iterator[core.Metric]:
        """Yield all metric families."""
        outcomes = core.CounterMetricFamily(
            f'{PREFIX}_outcomes',
            'Requests by how they ended.',
            None,
            ['result'],
        )
        for outcome, count in self._metrics.outcomes.items():
            outcomes.add_metric([outcome], count)
        yield outcomes
        yield core.HistogramMetricFamily(
            f'{PREFIX}_latency_seconds',
            'Time from a whole request to its answer.',
            buckets=self._metrics.list_latency_buckets(),
            sum_value=self._metrics.latency_sum,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_extra_sends',
            'Sendings beyond the first.',
            self._metrics.extra_sends,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_missing_parts',
            'Shards left out.',
            self._metrics.missing_parts,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_crashes',
            'Requests under way at targets that ended.',
            self._metrics.crashes,
        )
        yield from self._collect_customers()
        yield from self._collect_queue()
        yield self._collect_bytes()
        for (name, text), value in zip(GAUGES, self._gauges, strict=True):
            if value is not None:
                yield core.GaugeMetricFamily(f'{PREFIX}_{name}', text, value)

    def _collect_customers(self) -> Iterator[core.Metric]:
        """Yield the request counts of customers if there are any."""
        counts = self._metrics.customer_counts
        by_customer = core.CounterMetricFamily(
            f'{PREFIX}_customer_requests',
            'Requests of the customers that asked most, by how they ended.',
            None,
            ['customer', 'result'],
        )
        for account in counts.list_largest():
            for result, count in account.results.items():
                by_customer.add_metric([account.customer, result], count)
        others = core.CounterMetricFamily(
            f'{PREFIX}_other_customers_requests',
            'Requests of all other customers, by how they ended.',
            None,
            ['result'],
        )
        for result, count in counts.sum_others().items():
            others.add_metric([result], count)
        unknown = core.CounterMetricFamily(
            f'{PREFIX}_unknown_keys',
            'Requests of no customer, by why.',
            None,
            ['why'],
        )
        for reason, count in counts.unknown_key_reasons.items():
            unknown.add_metric([reason], count)
        for family in (by_customer, others, unknown):
            if family.samples:
                yield family

    def _collect_queue(self) -> Iterator[core.Metric]:
        """Yield the counts of queued work if there are any."""
        counts = self._metrics.queue_counts
        queued = core.GaugeMetricFamily(
            f'{PREFIX}_waiting',
            'New work that waits for its turn, by priority.',
            None,
            ['priority'],
        )
        wait_times = core.SummaryMetricFamily(
            f'{PREFIX}_wait_seconds',
            'Time that new work waited for its turn.',
            None,
            None,
            ['priority'],
        )
        queued_counts = counts.count_waiting()
        for priority in sorted({*counts.started, *queued_counts}):
            label = [str(priority)]
            queued.add_metric(label, queued_counts.get(priority, 0))
            wait_times.add_metric(
                label,
                counts.started[priority],
                counts.waited_s.get(priority, 0),
            )
        refused = core.CounterMetricFamily(
            f'{PREFIX}_turns_refused',
            'New work that was refused or handed back while it waited.',
            None,
            ['priority', 'why'],
        )
        for (priority, reason), count in counts.refused.items():
            refused.add_metric([str(priority), reason], count)
        for family in (queued, wait_times, refused):
            if family.samples:
                yield family

    def _collect_bytes(self) -> core.Metric:
        """Return the bytes by kind, distance and direction."""
        flows = core.CounterMetricFamily(
            f'{PREFIX}_bytes',
            'Bytes on connections that this host opened.',
            None,
            ['kind', 'data_centre', 'way'],
        )
        for flow, byte_counts in self._traffic_counts.by_flow.items():
            location = 'other' if flow.cross_centre else 'own'
            flows.add_metric([flow.kind, location, 'sent'], byte_counts.sent)
            flows.add_metric(
                [flow.kind, location, 'received'], byte_counts.received
            )
        return flows


def render(
    request_metrics: metrics.RequestMetrics,
    gauges: metrics.Gauges,
    traffic_counts: traffic.TrafficCounts,
) -> bytes:
    """Return the rendered metrics."""
    collectors = registry.CollectorRegistry()
    collectors.register(
        MetricsCollector(request_metrics, gauges, traffic_counts)
    )
    return exposition.generate_latest(collectors)
