"""Make the hosts, the route and the targets that a model plays."""

import math
import random
from typing import NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    configs,
    deployments,
    dispatch,
    events,
    instances,
    states,
)


class Flow(NamedTuple):
    """Say how often a customer asks over all hosts, and what it needs.

    `rate` is in queries a second, `times` as many while `begins` <= now <
    `ends`. `work` is the work of a part at a target, as a share of the usual.
    """

    customer: str
    rate: float
    objective: float
    timeout: float
    coverage: float
    priority: int = 1
    work: float = 1.0
    times: float = 1.0
    begins: float = 0.0
    ends: float = float('inf')


class Shape(NamedTuple):
    """Say what is played; `rate` is queries a second over all hosts.

    With `flows` each of them is a customer with a route of its own over the
    same shards; they say how often, and what is wanted of an answer.

    `part` and `share` are the processor time, in seconds, that a host takes to
    send a part or take it in, and to ask another host for parts or tell it;
    `away` is what passes of a caller's time outside the host. `cores` are what
    the first hosts of each data centre have, the last of them all others; where
    it is empty, each has one. `told` is whether they tell it. At `dies`, in
    seconds, the power of the hosts with the numbers `dead` goes.

    The last `bare` of the data centres have hosts and no targets. Each host
    there is asked `pull` times as often as others. What is asked swings by a
    share of `swing` with a period of `period` seconds.
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
    extra_load: deployments.ExtraLoadLimit = deployments.ExtraLoadLimit(
        0.2, 166.0, 10.0
    )
    part: float = 0.0
    share: float = 0.0
    away: float = 0.0
    flows: tuple[Flow, ...] = ()
    cores: tuple[float, ...] = ()
    told: bool = True
    dies: float = float('inf')
    dead: frozenset[int] = frozenset()
    bare: int = 0
    pull: float = 1.0
    swing: float = 0.0
    period: float = 17.0


def count_cores(shape: Shape, number: int) -> float:
    """Count the cores of a host."""
    if not shape.cores:
        return 1.0
    place = number // shape.data_centres
    return shape.cores[min(place, len(shape.cores) - 1)]


def list_flows(shape: Shape) -> tuple[Flow, ...]:
    """List who asks; where no customers are told, nobody by name."""
    nobody = Flow(
        '', shape.rate, shape.objective, shape.timeout, shape.coverage
    )
    return shape.flows or (nobody,)


def find_rate(flow: Flow, now: float) -> float:
    """Find how many queries a second a flow asks at a time."""
    hot = flow.begins <= now < flow.ends
    return flow.rate * flow.times if hot else flow.rate


def find_swing(shape: Shape, now: float) -> float:
    """Find how many times as much as usual is asked at a time."""
    return 1 + shape.swing * math.sin(2 * math.pi * now / shape.period)


def draw_host(shape: Shape, numbers: random.Random) -> int:
    """Draw the host that is asked next."""
    if not shape.bare:
        return numbers.randrange(shape.hosts)
    held = shape.data_centres - shape.bare
    weights = [
        1.0 if number % shape.data_centres < held else shape.pull
        for number in range(shape.hosts)
    ]
    return numbers.choices(range(shape.hosts), weights)[0]


def name_path(flow: Flow) -> str:
    """Name the path of the route that a flow asks."""
    return f'/{flow.customer or "search"}/'


def make_desks(shape: Shape, numbers: random.Random) -> list[states.Router]:
    """Make the decisions of hosts that know each other and wide routes."""
    hosts = [_name_host(shape, number) for number in range(shape.hosts)]
    routes = tuple(_make_route(shape, flow) for flow in list_flows(shape))
    configured = events.ConfigurationReceived(
        configs.Configuration(
            1, routes, (), configs.Limits(), _list_customers(shape)
        )
    )
    directed = events.DirectoryChanged(_direct(shape, routes[0]))
    counted = events.HostsChanged(len(hosts), tuple(hosts))
    made = []
    for host in hosts:
        desk = states.Router(host, shape.extra_load, numbers.random)
        for event in (configured, directed, counted):
            dispatch.handle_event(desk, event, 0)
        made.append(desk)
    return made


def _name_host(shape: Shape, number: int) -> deployments.Host:
    """Name a host; its number stands for its address."""
    centre = number % shape.data_centres
    name = f'host-{number:03}'
    host = deployments.Host(name, str(number), f'dc-{centre}')
    if shape.told:
        return host._replace(capacity=count_cores(shape, number))
    return host


def _list_customers(shape: Shape) -> tuple[configs.Customer, ...] | None:
    """List the customers, each with its name as its key."""
    if not shape.flows:
        return None
    return tuple(
        configs.Customer(flow.customer, (flow.customer,))
        for flow in shape.flows
    )


def _make_route(shape: Shape, flow: Flow) -> configs.Route:
    shards = tuple(f'shard-{number:03}' for number in range(shape.shards))
    return configs.Route(
        flow.customer or 'search',
        'host',
        name_path(flow),
        configurations.Repeat.IDEMPOTENT,
        flow.timeout,
        flow.objective,
        shape.attempts,
        flow.priority,
        configs.Gather(shards, 20, flow.coverage),
    )


def _direct(shape: Shape, route: configs.Route) -> instances.Directory:
    """Make a target of each shard in each data centre that is not bare."""
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
        for centre in range(shape.data_centres - shape.bare)
    )
