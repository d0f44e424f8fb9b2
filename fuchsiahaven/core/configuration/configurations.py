"""Hold the accepted configuration: groups, selectors, request classes."""

import enum
from typing import NamedTuple

from fuchsiahaven.core.customers import customers

Customer = customers.Customer


class Needs(enum.StrEnum):
    """Say what a class accepts as an answer."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'


class Repeat(enum.StrEnum):
    """Say whether a request may run again on another searcher."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


class FanOut(enum.StrEnum):
    """Say which shards a request visits."""

    ALL = 'all'
    KEYED = 'keyed'


class Target(NamedTuple):
    """Name one searcher, its address (`ip:port`) and its data centre."""

    name: str
    address: str
    data_centre: str


class Group(NamedTuple):
    """Hold labelled targets that share one service.

    `slots` and `connections` are each target's caps over all hosts;
    `connect_ms` is the usual cost of a new connection. `leaving` names the
    targets that an operator has marked as leaving.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    targets: tuple[Target, ...]
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    leaving: frozenset[str] = frozenset()


class Selector(NamedTuple):
    """Say which groups a class of request may reach, by label expression.

    `data_centres` lists other data centres that may serve when the own one
    cannot; the own one always comes first.
    """

    name: str
    request_class: str
    expression: str
    data_centres: tuple[str, ...] = ()


class RequestClass(NamedTuple):
    """Hold the policy of one class of request.

    `priority` runs from 0 (served first) to 3. The shares are extra
    sub-requests as a part of first tries. Where there are customers, only a
    `public` class takes requests without a key.
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

    Without customers callers need no key.
    """

    revision: int
    groups: tuple[Group, ...] = ()
    selectors: tuple[Selector, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    customers: tuple[Customer, ...] = ()


EMPTY = Configuration(0)
