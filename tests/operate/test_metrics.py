"""Test that counters are exposed under their names."""

from fuchsiahaven.core import errors
from fuchsiahaven.operate import metrics


def test_counters_are_exposed_by_member() -> None:
    """A counted hedge is exposed; members not yet counted are 0."""
    built = metrics.build_metrics()
    built.sub_requests[metrics.Outcome.HEDGE].inc(2)
    text = metrics.encode_metrics(built).decode()
    assert 'fuchsiahaven_sub_requests_total{outcome="hedge"} 2.0' in text
    assert 'fuchsiahaven_sub_requests_total{outcome="late"} 0.0' in text
    for kind in errors.Kind:
        assert f'fuchsiahaven_refusals_total{{kind="{kind}"}} 0.0' in text
