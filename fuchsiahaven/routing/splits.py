"""Spread requests over the services of a split in proportion to weights."""

from collections.abc import Mapping
from typing import NamedTuple

from fuchsiahaven.routing import configs


class Choice(NamedTuple):
    """Return the service chosen and the credits to choose by next time."""

    service: str
    credits: Mapping[str, float]


def choose(split: configs.Split, credits_: Mapping[str, float]) -> Choice:
    """Choose by smooth weighted round robin.

    Each service gains its weight and the one that is ahead pays the sum, so
    that even a host that sees few requests keeps to the shares closely.
    """
    total = sum(part.weight for part in split.parts)
    gained = {
        part.service: credits_.get(part.service, 0.0) + part.weight
        for part in split.parts
    }
    chosen = max(gained, key=lambda service: gained[service])
    gained[chosen] -= total
    return Choice(chosen, gained)


def start(split: configs.Split, draw: float) -> Mapping[str, float]:
    """Give first credits by a draw from 0 to 1.

    Hosts that all began with the heaviest service would send it more than its
    share for as long as each has seen few requests.
    """
    total = sum(part.weight for part in split.parts)
    offset = draw * total
    passed = 0.0
    for part in split.parts:
        if passed <= offset < passed + part.weight:
            return {part.service: total / 2}
        passed += part.weight
    return {}
