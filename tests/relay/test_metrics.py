"""Test the counts and their rendering as metrics."""

import subprocess
import sys

from fuchsiahaven.relay import metrics, pages, traffic
from fuchsiahaven.routing import events

TRAFFIC_COUNTS = traffic.TrafficCounts()
TRAFFIC_COUNTS.get_counts(traffic.Kind.SHARES, cross_centre=True).sent += 570
GAUGES = metrics.Gauges(7, 0.5, 40, 6, 12, 30, 67, 2, 5, 3)
SUMMARY = events.RequestSummary(
    'id', 'route', 7, 'complete', 0.03, 20, 1, 2, (), ()
)


def test_latency_buckets_are_cumulative() -> None:
    """The counts are cumulative, and the last bucket has no bound."""
    request_metrics = metrics.RequestMetrics()
    for took in (0.005, 0.03, 9):
        request_metrics.record_request(SUMMARY._replace(took=took))
    buckets = dict(request_metrics.list_latency_buckets())
    assert (buckets['0.01'], buckets['0.04'], buckets['3.0']) == (1, 2, 2)
    assert buckets['+Inf'] == 3


def test_renders_each_metric() -> None:
    """Dashboards rely on the names and types of the metrics."""
    request_metrics = metrics.RequestMetrics()
    request_metrics.record_request(SUMMARY)
    lines = (
        pages.render(request_metrics, GAUGES, TRAFFIC_COUNTS)
        .decode()
        .splitlines()
    )
    assert 'fuchsiahaven_relay_outcomes_total{result="complete"} 1.0' in lines
    assert 'fuchsiahaven_relay_latency_seconds_bucket{le="0.04"} 1.0' in lines
    assert 'fuchsiahaven_relay_latency_seconds_count 1.0' in lines
    assert 'fuchsiahaven_relay_extra_sends_total 2.0' in lines
    assert 'fuchsiahaven_relay_missing_parts_total 1.0' in lines
    assert 'fuchsiahaven_relay_news_age_seconds 0.5' in lines
    assert 'fuchsiahaven_relay_store_calls 67.0' in lines
    assert 'fuchsiahaven_relay_store_era 5.0' in lines
    assert 'fuchsiahaven_relay_watches_forgotten 3.0' in lines
    sent = 'data_centre="other",kind="shares",way="sent"'
    assert f'fuchsiahaven_relay_bytes_total{{{sent}}} 570.0' in lines


def test_renders_customers_only_when_present() -> None:
    """Deployments without keys get no additional metrics."""
    request_metrics = metrics.RequestMetrics()
    request_metrics.record_request(SUMMARY)
    assert b'customer' not in pages.render(
        request_metrics, GAUGES, TRAFFIC_COUNTS
    )
    request_metrics.record_request(SUMMARY._replace(customer='a "b"'))
    why = 'no key was shown'
    request_metrics.record_request(
        SUMMARY._replace(result='unknown_key', why=why)
    )
    lines = (
        pages.render(request_metrics, GAUGES, TRAFFIC_COUNTS)
        .decode()
        .splitlines()
    )
    labels = 'customer="a \\"b\\"",result="complete"'
    assert (
        f'fuchsiahaven_relay_customer_requests_total{{{labels}}} 1.0' in lines
    )
    assert f'fuchsiahaven_relay_unknown_keys_total{{why="{why}"}} 1.0' in lines


def test_start_does_not_load_the_metrics_library() -> None:
    """Guard against a slow start after a power loss.

    Loading the library takes 0.07 to 0.1 s of processor time, on half a core
    0.15 to 0.2 s in which every request of a data centre fails.
    """
    script = (
        'import sys, fuchsiahaven.relay.process;'
        'print("prometheus_client" in sys.modules)'
    )
    response = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    assert response.stdout.split() == [b'False']
