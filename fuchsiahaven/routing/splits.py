"""Distribute requests over the services of a split by their weights."""

import math
from typing import Final, NamedTuple

from fuchsiahaven.routing import configs

#: Step on a circle of circumference 1 for each request; every service has an
#: arc in proportion to its weight. Steps of the golden ratio distribute any
#: number of requests most evenly.
POSITION_STEP: Final = (math.sqrt(5) - 1) / 2


class Choice(NamedTuple):
    """Hold the chosen service and the position for the next choice."""

    service: str
    position: float


def choose_service(split: configs.Split, position: float) -> Choice:
    """Choose a service by a position from 0 to 1.

    If the first position is random, the probability of a service is its share
    of the weights, also on a host that gets one request between two restarts.
    Consecutive requests follow the shares closely. The weights may change
    between two requests, to any scale.
    """
    offset = position * sum(part.weight for part in split.parts)
    weighted = [part for part in split.parts if part.weight] or split.parts
    chosen = weighted[-1].service
    for part in weighted:
        if offset < part.weight:
            chosen = part.service
            break
        offset -= part.weight
    return Choice(chosen, math.fmod(position + POSITION_STEP, 1))
