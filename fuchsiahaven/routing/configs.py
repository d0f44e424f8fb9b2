"""Define the configuration: routes, services, customers and limits."""

import functools
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.customers import customers

#: Shards up to which a query is gathered by the host that received it; a
#: further hop would cost as much as it saves.
MAX_DIRECT_SHARDS: Final = 40


class Single(NamedTuple):
    """Send each request to one target of one service."""

    service: str


class Weighted(NamedTuple):
    """Name a service and its share of a split, relative to the others."""

    service: str
    weight: float


class Split(NamedTuple):
    """Spread requests over services in proportion to their weights."""

    parts: tuple[Weighted, ...]


class Gather(NamedTuple):
    """Send each request to one target of every shard and merge the records.

    `limit` is how many records an answer holds, `coverage` the smallest
    fraction of shards that makes an answer.
    """

    shards: tuple[str, ...]
    limit: int
    coverage: float


RouteAction = Single | Split | Gather


class Route(NamedTuple):
    """Hold the settings for the requests below one path of one host.

    Times are in seconds. `objective` is the time within which an answer is
    worth most, `attempts` the maximum number of targets that a part of a
    request may run on, `priority` 0 for the most urgent. Where there are
    customers, only a `public` route accepts requests without a key.
    """

    name: str
    host: str
    prefix: str
    repeat: configurations.Repeat
    timeout: float
    objective: float
    attempts: int
    priority: int
    way: RouteAction
    public: bool = False

    @property
    def at_most_once(self) -> bool:
        """Return whether no target may run a request a second time."""
        return self.repeat is configurations.Repeat.AT_MOST_ONCE


class Service(NamedTuple):
    """Hold the settings of a service.

    `connections` bounds the connections to each of its targets from all hosts
    together. The last field is how many requests a second a cold target can
    serve; 0 if unknown.
    """

    name: str
    connections: int
    warm_rate: float = 0.0


Customer = customers.Customer


class Limits(NamedTuple):
    """Bound what a caller may send, in bytes and in seconds.

    The times are for sending the head of a request, and for an idle connection
    between two requests.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head: float = 3.0
    idle: float = 15.0


class Configuration(NamedTuple):
    """Hold one accepted version in full; version 0 is the empty one.

    `customers` is None where callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...] | None = None


EMPTY_CONFIGURATION: Configuration = Configuration(0, (), (), Limits())


class Priorities(NamedTuple):
    """Hold the priorities of customers and routes by name.

    Only customers with a priority of their own are listed. `levels` are all
    priorities in use, the most urgent first.
    """

    customers: Mapping[str, int]
    routes: Mapping[str, int]
    levels: tuple[int, ...] = ()


class Index(NamedTuple):
    """Hold a configuration so that requests find their route quickly.

    `wide_shards` are the shards of queries whose cost is shared among hosts;
    `customers` maps the digest of each key to its customer. `priorities` are
    empty where there are no customers.
    """

    configuration: Configuration
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    wide_shards: frozenset[str]
    customers: Mapping[str, Customer]
    priorities: Priorities


def build_index(configuration: Configuration) -> Index:
    """Index the routes by host and prefix."""
    routes: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        routes.setdefault(route.host, {})[route.prefix] = route
    services = {service.name: service for service in configuration.services}
    actions = {it.way for it in configuration.routes}
    wide_shards = frozenset(
        shard
        for action in actions
        if isinstance(action, Gather) and is_wide(action)
        for shard in action.shards
    )
    customers_by_digest = customers.index_by_key(configuration.customers or ())
    priorities = _build_priorities(configuration)
    return Index(
        configuration,
        routes,
        services,
        wide_shards,
        customers_by_digest,
        priorities,
    )


def _build_priorities(configuration: Configuration) -> Priorities:
    if configuration.customers is None:
        return Priorities({}, {})
    customers = {
        it.name: it.priority
        for it in configuration.customers
        if it.priority is not None
    }
    routes = {it.name: it.priority for it in configuration.routes}
    levels = sorted({*customers.values(), *routes.values()})
    return Priorities(customers, routes, tuple(levels))


def is_wide(gather: Gather) -> bool:
    """Return whether the cost of a query is shared among hosts."""
    return len(gather.shards) > MAX_DIRECT_SHARDS


def is_wide_action(action: RouteAction) -> bool:
    """Return whether an action is a query whose cost is shared among hosts."""
    return isinstance(action, Gather) and is_wide(action)


def find_route(index: Index, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix that begins the path.

    Prefixes end with a slash, so only the path's own slashes are tried: the
    cost depends on the depth of the path and not on the number of routes.
    """
    prefixes = index.routes.get(host)
    if prefixes is None:
        return None
    end = path.rfind('/')
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None


@functools.lru_cache(maxsize=1024)
def list_services(action: RouteAction) -> tuple[str, ...]:
    """List every service that a request with this action may reach."""
    match action:
        case Single(service):
            return (service,)
        case Split(parts):
            return tuple(part.service for part in parts)
        case Gather(shards):
            return shards
