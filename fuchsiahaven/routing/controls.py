"""Join the parts that decide whether and by whom a request is admitted."""

from typing import NamedTuple

from fuchsiahaven.routing import (
    deployments,
    freshness,
    lags,
    quotas,
    stop_schedules,
)


class Controls(NamedTuple):
    """Hold the parts of admission control, each of which owns its state."""

    freshness: freshness.Freshness
    quotas: quotas.Quotas
    lags: lags.Lags
    lifetime: stop_schedules.Lifetime


def make_controls(host: deployments.Host) -> Controls:
    """Return the controls of a host that has just started."""
    keys = freshness.Freshness()
    return Controls(
        keys,
        quotas.Quotas(host, keys.compute_wait),
        lags.Lags(),
        stop_schedules.Lifetime(),
    )
