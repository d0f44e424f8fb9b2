"""Make the requests of each deployment's callers."""

import random
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import request_ids
from fuchsiahaven.core.configuration import configurations
from standins import catalogue, wire

LIMIT: Final = 20
MIXES: Final = {
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
    """Hold one request of a caller, as it is sent."""

    rule: configurations.RequestClass
    body: wire.Json


class Mix:
    """Draw requests from a seed."""

    def __init__(
        self,
        deployment: str,
        rules: tuple[configurations.RequestClass, ...],
        numbers: random.Random,
        *,
        only_at_most_once: bool,
    ) -> None:
        """Choose among all classes, or those that run at most once."""
        single = configurations.Repeat.AT_MOST_ONCE
        self._rules = [
            rule
            for rule in rules
            if rule.repeat is single or not only_at_most_once
        ]
        weights = MIXES[deployment]
        self._weights = [weights[rule.name] for rule in self._rules]
        winter = deployment == 'ishikari'
        self._titles = catalogue.TITLES['passes' if winter else 'listings']
        self._numbers = numbers

    def draw(self) -> Request:
        """Draw the next request."""
        numbers = self._numbers
        rule = numbers.choices(self._rules, self._weights)[0]
        text = numbers.choice(self._titles)
        bits = numbers.getrandbits(request_ids.RANDOM_BITS)
        body = {
            'class': rule.name,
            'request_id': request_ids.make_request_id(time.time(), bits),
            'deadline_ms': rule.deadline_ms,
            'query': {'text': text, 'limit': LIMIT},
        }
        if rule.fan_out is configurations.FanOut.KEYED:
            body['key'] = f'key-{numbers.randrange(10_000)}'
        return Request(rule, body)
