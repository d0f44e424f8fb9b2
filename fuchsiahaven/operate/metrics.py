"""Define all metrics of a process.

Values of labels come from enumerations and from the configuration, never from
callers, as each value of a label takes memory for the life of the process.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeVar

import prometheus_client
from prometheus_client import registry as registries

from fuchsiahaven.core import errors

PREFIX: Final = 'fuchsiahaven'
#: In seconds; finer around the deadlines of the classes.
LATENCY_BUCKETS: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.07,
    0.089,
    0.12,
    0.18,
    0.25,
    0.35,
    0.5,
    0.7,
    1,
    1.5,
    2.5,
    5,
    10,
)
#: Fractions of all shards; most answers are complete or miss a few.
COVERAGE_BUCKETS: Final = (0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999, 1)

LabelEnum = TypeVar('LabelEnum', bound=enum.StrEnum)


class Outcome(enum.StrEnum):
    """Count sub-requests by the purpose of sending and by the result."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'
    LATE = 'late'
    MISMATCHED = 'mismatched'


Counters = Mapping[LabelEnum, prometheus_client.Counter]


class Metrics(NamedTuple):
    """Hold the metrics of one process.

    Counters by members of an enumeration are looked up by member, as in
    `metrics.sub_requests[Outcome.HEDGE].inc()`. A lookup by label takes a
    lock, which would be a cost for every sub-request.
    """

    registry: prometheus_client.CollectorRegistry
    latency: prometheus_client.Histogram
    coverage: prometheus_client.Histogram
    answers: prometheus_client.Counter
    sub_requests: Counters[Outcome]
    refusals: Counters[errors.Kind]
    connections: prometheus_client.Gauge
    slots_in_use: prometheus_client.Gauge
    queued: prometheus_client.Gauge
    revision: prometheus_client.Gauge


def build_metrics() -> Metrics:
    """Build the metrics of one process in a new registry."""
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    return Metrics(
        registry=registry,
        latency=prometheus_client.Histogram(
            f'{PREFIX}_latency_seconds',
            'Time from a query to its answer.',
            ('request_class',),
            buckets=LATENCY_BUCKETS,
            registry=registry,
        ),
        coverage=prometheus_client.Histogram(
            f'{PREFIX}_coverage_ratio',
            'Part of the shards that an answer covers.',
            ('request_class',),
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        ),
        answers=prometheus_client.Counter(
            f'{PREFIX}_answers',
            'Answers by class, complete or partial.',
            ('request_class', 'status'),
            registry=registry,
        ),
        sub_requests=_build_counters(
            registry, 'sub_requests', 'outcome', Outcome
        ),
        refusals=_build_counters(registry, 'refusals', 'kind', errors.Kind),
        connections=_build_gauge(
            registry, 'connections', 'Open target connections.'
        ),
        slots_in_use=_build_gauge(
            registry, 'slots_in_use', 'Sub-requests in flight.'
        ),
        queued=_build_gauge(registry, 'queued', 'Queries that wait to start.'),
        revision=_build_gauge(registry, 'revision', 'Configuration in force.'),
    )


def encode_metrics(metrics: Metrics) -> bytes:
    """Encode the metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest(metrics.registry)


def _build_gauge(
    registry: registries.CollectorRegistry,
    name: str,
    text: str,
) -> prometheus_client.Gauge:
    return prometheus_client.Gauge(
        f'{PREFIX}_{name}',
        text,
        registry=registry,
    )


def _build_counters(
    registry: registries.CollectorRegistry,
    name: str,
    label: str,
    members: Iterable[LabelEnum],
) -> Counters[LabelEnum]:
    text = name.replace('_', ' ').capitalize()
    counter = prometheus_client.Counter(
        f'{PREFIX}_{name}',
        f'{text} by {label}.',
        (label,),
        registry=registry,
    )
    return {member: counter.labels(member.value) for member in members}
