"""Tests of the figures and of the page that shows them."""

import subprocess
import sys

from fuchsiahaven.relay import meters, pages, traffic
from fuchsiahaven.routing import events

COUNTED = traffic.Traffic()
COUNTED.find(traffic.Kind.SHARES, far=True).sent += 570
GAUGES = meters.Gauges(7, 0.5, 40, 6, 12, 30, 67, 2, 5, 3)
STORY = events.RequestSummary(
    'id', 'route', 7, 'complete', 0.03, 20, 1, 2, (), ()
)


def test_counts_each_latency_in_all_bounds_above_it() -> None:
    """The page's bounds are cumulative, and one has no upper end."""
    counted = meters.Meters()
    for took in (0.005, 0.03, 9):
        counted.note(STORY._replace(took=took))
    found = dict(counted.list_latencies())
    assert (found['0.01'], found['0.04'], found['3.0']) == (1, 2, 2)
    assert found['+Inf'] == 3


def test_writes_each_figure_under_its_name() -> None:
    """Names and kinds are what dashboards rely on."""
    counted = meters.Meters()
    counted.note(STORY)
    lines = pages.write(counted, GAUGES, COUNTED).decode().splitlines()
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


def test_tells_of_customers_only_where_there_are_any() -> None:
    """Nothing comes on top for deployments without keys."""
    counted = meters.Meters()
    counted.note(STORY)
    assert b'customer' not in pages.write(counted, GAUGES, COUNTED)
    counted.note(STORY._replace(customer='a "b"'))
    why = 'no key was shown'
    counted.note(STORY._replace(result='unknown_key', why=why))
    lines = pages.write(counted, GAUGES, COUNTED).decode().splitlines()
    labels = 'customer="a \\"b\\"",result="complete"'
    assert (
        f'fuchsiahaven_relay_customer_requests_total{{{labels}}} 1.0' in lines
    )
    assert f'fuchsiahaven_relay_unknown_keys_total{{why="{why}"}} 1.0' in lines


def test_a_start_does_not_wait_for_the_library_of_the_page() -> None:
    """All hosts that lost power serve nobody until they have started.

    The library costs 0.07 to 0.1 s of processor time to load, on half a core
    0.15 to 0.2 s in which each request of a data centre fails.
    """
    script = (
        'import sys, fuchsiahaven.relay.process;'
        'print("prometheus_client" in sys.modules)'
    )
    done = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    assert done.stdout.split() == [b'False']
