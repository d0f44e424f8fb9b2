"""Make the hosts, the route and the targets that a model plays."""

import random
from typing import NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    configs,
    desks,
    events,
    instances,
    places,
    states,
)


class Shape(NamedTuple):
    """Say what is played; `rate` is queries a second over all hosts.

    `part` and `share` are the processor time, in seconds, that a host takes to
    send a part or take it in, and to ask another host for parts or tell it;
    `away` is what passes of a caller's time outside the host.
    """

    hosts: int = 63
    data_centres: int = 3
    shards: int = 90
    slots: int = 2
    rate: float = 30.0
    objective: float = 0.25
    timeout: float = 1.2
    coverage: float = 0.95
    attempts: int = 2
    extra_load: places.ExtraLoad = places.ExtraLoad(0.2, 166.0, 10.0)
    part: float = 0.0
    share: float = 0.0
    away: float = 0.0


def make_desks(shape: Shape, numbers: random.Random) -> list[states.Desk]:
    """Make the decisions of hosts that know each other and one wide route."""
    hosts = [_name_host(shape, number) for number in range(shape.hosts)]
    route = _make_route(shape)
    configured = events.Configured(
        configs.Configuration(1, (route,), (), configs.Limits())
    )
    directed = events.Directed(_direct(shape, route))
    counted = events.Counted(len(hosts), tuple(hosts))
    made = []
    for host in hosts:
        desk = states.Desk(host, shape.extra_load, numbers.random)
        for event in (configured, directed, counted):
            desks.handle(desk, event, 0)
        made.append(desk)
    return made


def _name_host(shape: Shape, number: int) -> places.Host:
    """Name a host; its number stands for its address."""
    centre = number % shape.data_centres
    return places.Host(f'host-{number:03}', str(number), f'dc-{centre}')


def _make_route(shape: Shape) -> configs.Route:
    shards = tuple(f'shard-{number:03}' for number in range(shape.shards))
    return configs.Route(
        'search',
        'host',
        '/search/',
        configurations.Repeat.IDEMPOTENT,
        shape.timeout,
        shape.objective,
        shape.attempts,
        1,
        configs.Gather(shards, 20, shape.coverage),
    )


def _direct(shape: Shape, route: configs.Route) -> instances.Directory:
    """Make a target of each shard in each data centre."""
    return instances.build_directory(
        instances.Instance(
            f'{shard}-{centre}',
            f'{shard}-{centre}',
            shard,
            '',
            f'dc-{centre}',
            shape.slots,
            leaving=False,
            warming=0.0,
        )
        for shard in configs.list_services(route.way)
        for centre in range(shape.data_centres)
    )
