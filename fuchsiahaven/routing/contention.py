"""Tell whether callers compete for the room that targets have."""

from fuchsiahaven.routing import centre_health, configs


def is_contended(index: configs.Index) -> bool:
    """Tell whether customers compete for the targets.

    The load that this answers: requests of several customers, some of them
    more urgent than others, reach the same targets, which do not suffice at
    times.
    """
    return index.configuration.customers is not None


def list_unreported(
    index: configs.Index, health: centre_health.CentreHealth, now: float
) -> frozenset[str]:
    """List the silent data centres of which to tell the hosts beside this one.

    Where nobody competes, nothing is told.
    """
    return health.list_unreported(now) if is_contended(index) else frozenset()
