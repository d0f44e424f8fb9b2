"""Determine whether customers compete for the capacity of targets."""

from fuchsiahaven.routing import centre_health, configs


def is_contended(index: configs.Index) -> bool:
    """Return whether customers may compete for the targets.

    Several customers, some more urgent than others, send requests to the same
    targets, whose capacity does not always suffice.
    """
    return index.configuration.customers is not None


def list_unreported(
    index: configs.Index, health: centre_health.CentreHealth, now: float
) -> frozenset[str]:
    """List the silent data centres to report to the hosts near this one.

    Without customers that compete there are none.
    """
    return health.list_unreported(now) if is_contended(index) else frozenset()
