"""Spread requests over the services of a split in proportion to weights."""

import math
from typing import Final, NamedTuple

from fuchsiahaven.routing import configs

#: How far each request goes round a circle on which every service has its
#: weight's share. Steps of the golden ratio leave the most even gaps, however
#: many there are.
POSITION_STEP: Final = (math.sqrt(5) - 1) / 2


class Choice(NamedTuple):
    """Return the service chosen and the place to choose by next time."""

    service: str
    position: float


def choose_service(split: configs.Split, position: float) -> Choice:
    """Choose by a place from 0 to 1, which moves on with each request.

    Where the first place is drawn, each single request goes to a service with
    its share as the chance, also at a host that sees one request between two
    starts; and requests in a row keep to the shares closely. Weights may change
    in between, on any scale.
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
