"""Generate the requests of callers by the class mix of a deployment."""

import random
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import request_ids
from fuchsiahaven.core.configuration import configurations
from standins import catalogue, wire

MAX_RESULT_ROWS: Final = 20
CLASS_WEIGHTS: Final = {
    'santiago': {
        'price-check': 40,
        'quick-lookup': 40,
        'listing-inquiry': 10,
        'reservation-lookup': 10,
    },
    'ishikari': {
        'gate-lookup': 30,
        'kiosk-check': 40,
        'refund': 10,
        'hotel-bundle-report': 10,
        'ropeway-count': 10,
    },
}


class Request(NamedTuple):
    """Hold the class and the body of one request."""

    request_class: configurations.RequestClass
    body: wire.Json


class RequestMix:
    """Draw random requests by the weights of their classes."""

    def __init__(
        self,
        deployment: str,
        classes: tuple[configurations.RequestClass, ...],
        rng: random.Random,
        *,
        only_at_most_once: bool,
    ) -> None:
        """Choose among all classes, or only those that run at most once."""
        at_most_once = configurations.Repeat.AT_MOST_ONCE
        self._classes = [
            rule
            for rule in classes
            if rule.repeat is at_most_once or not only_at_most_once
        ]
        weights = CLASS_WEIGHTS[deployment]
        self._weights = [weights[rule.name] for rule in self._classes]
        sells_passes = deployment == 'ishikari'
        self._titles = catalogue.TITLES[
            'passes' if sells_passes else 'listings'
        ]
        self._rng = rng

    def draw(self) -> Request:
        """Draw the next request."""
        rng = self._rng
        request_class = rng.choices(self._classes, self._weights)[0]
        text = rng.choice(self._titles)
        bits = rng.getrandbits(request_ids.RANDOM_BITS)
        body = {
            'class': request_class.name,
            'request_id': request_ids.make_request_id(time.time(), bits),
            'deadline_ms': request_class.deadline_ms,
            'query': {'text': text, 'limit': MAX_RESULT_ROWS},
        }
        if request_class.fan_out is configurations.FanOut.KEYED:
            body['key'] = f'key-{rng.randrange(10_000)}'
        return Request(request_class, body)
