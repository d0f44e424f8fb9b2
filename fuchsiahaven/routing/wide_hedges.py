"""Say which slow parts of a wide query are worth a second sending."""

from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import active_requests, deployments

#: A second sending with less than this before the answer is decided, in
#: seconds, is hardly in by then: asking another host for it, its target's work
#: and reading what comes take as long.
MIN_HEDGE_TIME_S: Final = 0.01


def count_useful_hedges(
    active: active_requests.ActiveRequest, slow: int, now: float
) -> int:
    """Count how many of so many slow parts are worth a second sending.

    All of them where they may still be in when the answer is decided: it is
    worth more with them. Later those without which there is no answer; any
    more would keep this host from reading what comes and from answering.
    """
    if active.cutoff - now >= MIN_HEDGE_TIME_S:
        return slow
    return max(0, slow - active_requests.count_tolerable_losses(active))


def select_hedges(
    host: deployments.Host,
    parts_by_host: Mapping[deployments.Host, list[str]],
    limit: int,
) -> dict[deployments.Host, list[str]]:
    """Keep so many parts, with as few other hosts to ask as that takes.

    `shared` maps each host to what it would send, this one included.
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
