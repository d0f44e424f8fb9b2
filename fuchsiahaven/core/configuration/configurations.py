"""Define the configuration: groups, selectors, request classes, customers."""

import enum
from typing import NamedTuple

from fuchsiahaven.core.customers import customers

Customer = customers.Customer


class Needs(enum.StrEnum):
    """List which answers a class accepts."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'


class Repeat(enum.StrEnum):
    """List whether a request may run again on another searcher."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


class FanOut(enum.StrEnum):
    """List which shards a request is sent to."""

    ALL = 'all'
    KEYED = 'keyed'


class Target(NamedTuple):
    """Describe one searcher: name, address (`ip:port`) and data centre."""

    name: str
    address: str
    data_centre: str


class Group(NamedTuple):
    """Describe a labelled group of targets that run the same service.

    `slots` and `connections` are limits of each target, summed over all
    hosts; `connect_ms` is how long a new connection usually takes. `leaving`
    names the targets that an operator has marked as leaving.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    targets: tuple[Target, ...]
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    leaving: frozenset[str] = frozenset()


class Selector(NamedTuple):
    """Select the groups that a class of request may reach, by their labels.

    `data_centres` are the fallbacks: other data centres that may serve a
    request when the host's own one cannot. The own one always comes first.
    """

    name: str
    request_class: str
    expression: str
    data_centres: tuple[str, ...] = ()


class RequestClass(NamedTuple):
    """Hold the policy of one class of request.

    `priority` ranges from 0 (served first) to 3. `hedge_share` and
    `retry_share` bound the hedges and retries, as fractions of the first
    attempts. Once customers are configured, only a `public` class accepts
    requests without a key.
    """

    name: str
    deadline_ms: int = 1000
    needs: Needs = Needs.PARTIAL
    repeat: Repeat = Repeat.IDEMPOTENT
    fan_out: FanOut = FanOut.ALL
    priority: int = 1
    hedge_share: float = 0.05
    retry_share: float = 0.1
    public: bool = False


class Configuration(NamedTuple):
    """Hold one accepted revision, immutable and complete.

    If no customers are configured, callers need no key.
    """

    revision: int
    groups: tuple[Group, ...] = ()
    selectors: tuple[Selector, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    customers: tuple[Customer, ...] = ()


EMPTY = Configuration(0)
