"""Count what a host does, for the page that is scraped."""

import time
from typing import Final

import prometheus_client

from fuchsiahaven.relay import news, runner
from fuchsiahaven.routing import events

PREFIX: Final = 'fuchsiahaven_relay'
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


class Meters:
    """Own the metrics of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.registry = prometheus_client.CollectorRegistry()
        self.outcomes = prometheus_client.Counter(
            f'{PREFIX}_outcomes',
            'Requests by how they ended.',
            ('result',),
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            f'{PREFIX}_latency_seconds',
            'Time from a whole request to its answer.',
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.extra = self._count('extra_sends', 'Sendings beyond the first.')
        self.missing = self._count('missing_parts', 'Shards left out.')
        self.version = self._gauge('configuration', 'Version in force.')
        self.age = self._gauge('news_age_seconds', 'Age of the news.')
        self.targets = self._gauge('targets', 'Targets that get new work.')
        self.hosts = self._gauge('hosts', 'Hosts that share the bounds.')
        self.links = self._gauge('connections', 'Connections to targets.')
        self.opened = self._gauge('opened', 'Connections opened so far.')
        self.calls = self._gauge('store_calls', 'Calls to the store so far.')

    def note(self, story: events.Story) -> None:
        """Count one request."""
        self.outcomes.labels(story.result).inc()
        self.latency.observe(story.took)
        self.extra.inc(story.hedges)
        self.missing.inc(story.missing)

    def take_runner(self, driven: runner.Runner) -> None:
        """Take what the decisions and the connections are like now."""
        self.version.set(driven.desk.index.configuration.version)
        self.targets.set(len(driven.desk.directory.by_name))
        self.hosts.set(driven.desk.host_count)
        self.links.set(driven.fleet.count_links())
        self.opened.set(driven.fleet.count_opened())

    def take_news(self, known: news.News) -> None:
        """Take how old the news is and what it has cost."""
        self.age.set(time.monotonic() - known.ledger.read)
        self.calls.set(known.store.calls)

    def write(self) -> bytes:
        """Write the page."""
        return prometheus_client.generate_latest(self.registry)

    def _count(self, name: str, text: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'{PREFIX}_{name}', text, registry=self.registry
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'{PREFIX}_{name}', text, registry=self.registry
        )
