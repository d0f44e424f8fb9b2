"""Choose which slow parts of a wide query are hedged."""

from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import active_requests, deployments

#: Least time before the cutoff at which a hedge is useful: asking a helper, the
#: work of the target and reading the answer take about as long.
MIN_HEDGE_TIME_S: Final = 0.01


def count_useful_hedges(
    active: active_requests.ActiveRequest, slow: int, now: float
) -> int:
    """Count how many of the `slow` parts are worth a hedge.

    All of them if they may be received before the cutoff, as each improves the
    answer. Later only as many as the answer needs: more hedges would keep this
    host from reading answers and from replying.
    """
    if active.cutoff - now >= MIN_HEDGE_TIME_S:
        return slow
    return max(0, slow - active_requests.count_tolerable_losses(active))


def select_hedges(
    host: deployments.Host,
    parts_by_host: Mapping[deployments.Host, list[str]],
    limit: int,
) -> dict[deployments.Host, list[str]]:
    """Select up to `limit` parts so that they need the fewest helpers.

    `parts_by_host` maps each host, `host` itself included, to the parts that
    it would send.
    """
    hosts = sorted(
        parts_by_host, key=lambda it: (it != host, -len(parts_by_host[it]))
    )
    selected = {}
    for helper in hosts:
        services = parts_by_host[helper][:limit]
        limit -= len(services)
        if services:
            selected[helper] = services
    return selected
