"""Join what decides whether a request may be taken in, and by whom."""

from typing import NamedTuple

from fuchsiahaven.routing import deployments, freshness, lags, quotas


class Controls(NamedTuple):
    """Hold the parts, each of which owns its state."""

    freshness: freshness.Freshness
    quotas: quotas.Quotas
    lags: lags.Lags


def make_controls(host: deployments.Host) -> Controls:
    """Make the parts of a host that has just started."""
    keys = freshness.Freshness()
    return Controls(keys, quotas.Quotas(host, keys.compute_wait), lags.Lags())
