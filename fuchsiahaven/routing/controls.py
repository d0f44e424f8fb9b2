"""Join the parts that bound what a host admits and sends."""

from typing import NamedTuple

from fuchsiahaven.routing import (
    deployments,
    freshness,
    lags,
    load_shares,
    quotas,
    stop_schedules,
)


class Controls(NamedTuple):
    """Hold the bounds on requests, each of which owns its state."""

    freshness: freshness.Freshness
    quotas: quotas.Quotas
    lags: lags.Lags
    lifetime: stop_schedules.Lifetime
    load_shares: load_shares.LoadShares


def make_controls(host: deployments.Host) -> Controls:
    """Return the controls of a host."""
    keys = freshness.Freshness()
    return Controls(
        keys,
        quotas.Quotas(host, keys.compute_wait),
        lags.Lags(),
        stop_schedules.Lifetime(),
        load_shares.LoadShares(),
    )
