"""Write the page of metrics that is scraped."""

from collections.abc import Iterator
from typing import Final

from prometheus_client import core, exposition, registry

from fuchsiahaven.relay import meters, traffic

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


class Page(registry.Collector):
    """Hold what the page is written from."""

    def __init__(
        self,
        counted: meters.Meters,
        gauges: meters.Gauges,
        sent: traffic.Traffic,
    ) -> None:
        """Take the figures."""
        self._traffic = sent
        self._counted = counted
        self._gauges = gauges

    def collect(self) -> Iterator[core.Metric]:
        """Give the figures as the library's families."""
        outcomes = core.CounterMetricFamily(
            f'{PREFIX}_outcomes',
            'Requests by how they ended.',
            None,
            ['result'],
        )
        for outcome, count in self._counted.outcomes.items():
            outcomes.add_metric([outcome], count)
        yield outcomes
        yield core.HistogramMetricFamily(
            f'{PREFIX}_latency_seconds',
            'Time from a whole request to its answer.',
            buckets=self._counted.list_latencies(),
            sum_value=self._counted.latency_sum,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_extra_sends',
            'Sendings beyond the first.',
            self._counted.extra,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_missing_parts',
            'Shards left out.',
            self._counted.missing,
        )
        yield core.CounterMetricFamily(
            f'{PREFIX}_crashes',
            'Requests under way at targets that ended.',
            self._counted.crashes,
        )
        yield from self._count_customers()
        yield from self._count_waits()
        yield self._count_bytes()
        for (name, text), figure in zip(GAUGES, self._gauges, strict=True):
            if figure is not None:
                yield core.GaugeMetricFamily(f'{PREFIX}_{name}', text, figure)

    def _count_customers(self) -> Iterator[core.Metric]:
        """Give the figures of customers where there are any."""
        counted = self._counted.accounts
        named = core.CounterMetricFamily(
            f'{PREFIX}_customer_requests',
            'Requests of the customers that asked most, by how they ended.',
            None,
            ['customer', 'result'],
        )
        for account in counted.list_largest():
            for result, count in account.results.items():
                named.add_metric([account.customer, result], count)
        others = core.CounterMetricFamily(
            f'{PREFIX}_other_customers_requests',
            'Requests of all other customers, by how they ended.',
            None,
            ['result'],
        )
        for result, count in counted.sum_others().items():
            others.add_metric([result], count)
        unknown = core.CounterMetricFamily(
            f'{PREFIX}_unknown_keys',
            'Requests of no customer, by why.',
            None,
            ['why'],
        )
        for why, count in counted.unknown.items():
            unknown.add_metric([why], count)
        for family in (named, others, unknown):
            if family.samples:
                yield family

    def _count_waits(self) -> Iterator[core.Metric]:
        """Give the figures of new work that waited, where any has."""
        waits = self._counted.waits
        waiting = core.GaugeMetricFamily(
            f'{PREFIX}_waiting',
            'New work that waits for its turn, by priority.',
            None,
            ['priority'],
        )
        seconds = core.SummaryMetricFamily(
            f'{PREFIX}_wait_seconds',
            'Time that new work waited for its turn.',
            None,
            None,
            ['priority'],
        )
        now_waiting = waits.count_waiting()
        for priority in sorted({*waits.begun, *now_waiting}):
            label = [str(priority)]
            waiting.add_metric(label, now_waiting.get(priority, 0))
            seconds.add_metric(
                label, waits.begun[priority], waits.waited.get(priority, 0)
            )
        refused = core.CounterMetricFamily(
            f'{PREFIX}_turns_refused',
            'New work that was refused or handed back while it waited.',
            None,
            ['priority', 'why'],
        )
        for (priority, why), count in waits.refused.items():
            refused.add_metric([str(priority), why], count)
        for family in (waiting, seconds, refused):
            if family.samples:
                yield family

    def _count_bytes(self) -> core.Metric:
        """Give the bytes by what they were for and how far they went."""
        flows = core.CounterMetricFamily(
            f'{PREFIX}_bytes',
            'Bytes on connections that this host opened.',
            None,
            ['kind', 'data_centre', 'way'],
        )
        for flow, tally in self._traffic.tallies.items():
            where = 'other' if flow.far else 'own'
            flows.add_metric([flow.kind, where, 'sent'], tally.sent)
            flows.add_metric([flow.kind, where, 'received'], tally.received)
        return flows


def write(
    counted: meters.Meters, gauges: meters.Gauges, sent: traffic.Traffic
) -> bytes:
    """Write the page."""
    registered = registry.CollectorRegistry()
    registered.register(Page(counted, gauges, sent))
    return exposition.generate_latest(registered)
