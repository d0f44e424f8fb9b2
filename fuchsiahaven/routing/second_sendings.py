"""Say which slow parts of a wide query are worth a second sending."""

from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import asks, places

#: A second sending with less than this before the answer is decided, in
#: seconds, is hardly in by then: asking another host for it, its target's work
#: and reading what comes take as long.
AGAIN_S: Final = 0.01


def count_worth(ask: asks.Ask, slow: int, now: float) -> int:
    """Count how many of so many slow parts are worth a second sending.

    All of them where they may still be in when the answer is decided: it is
    worth more with them. Later those without which there is no answer; any
    more would keep this host from reading what comes and from answering.
    """
    if ask.cut - now >= AGAIN_S:
        return slow
    return max(0, slow - asks.count_spare(ask))


def keep_worth(
    host: places.Host, shared: Mapping[places.Host, list[str]], worth: int
) -> dict[places.Host, list[str]]:
    """Keep so many parts, with as few other hosts to ask as that takes.

    `shared` maps each host to what it would send, this one included.
    """
    order = sorted(shared, key=lambda it: (it != host, -len(shared[it])))
    kept = {}
    for helper in order:
        services = shared[helper][:worth]
        worth -= len(services)
        if services:
            kept[helper] = services
    return kept
