"""Describe a simulation, and create its routers, routes and targets."""

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
    """Hold the traffic of a customer over all hosts and its requirements.

    `rate` is in queries per second, multiplied by `burst_factor` while
    `burst_start` <= now < `burst_end`. `work_factor` multiplies the work of
    its sub-requests at targets. Times are in seconds.
    """

    customer: str
    rate: float
    objective: float
    timeout: float
    coverage: float
    priority: int = 1
    work_factor: float = 1.0
    burst_factor: float = 1.0
    burst_start: float = 0.0
    burst_end: float = float('inf')


class Setup(NamedTuple):
    """Hold the setup of a simulation; `rate` is queries per second in total.

    Each of the `flows` is a customer with its own route over the same shards,
    and replaces the rate and the requirements given here. Times are in seconds.

    `part_cost` is the processor time of a host to send a sub-request or handle
    its answer, `delegation_cost` that of a message between hosts, and
    `caller_delay` the part of a caller's time that passes outside the host.
    `cores` are those of the first hosts of each data centre, and the last value
    is for all others; if empty, each host has one. `announces_cores` is whether
    hosts announce them. At `power_loss_at` the hosts whose numbers are in
    `powerless_hosts` fail.

    The last `targetless_data_centres` have hosts but no targets; each host
    there gets `targetless_weight` times as many queries as others. The rate
    varies by `swing_fraction` in a sine with the period `swing_period`.
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
    part_cost: float = 0.0
    delegation_cost: float = 0.0
    caller_delay: float = 0.0
    flows: tuple[Flow, ...] = ()
    cores: tuple[float, ...] = ()
    announces_cores: bool = True
    power_loss_at: float = float('inf')
    powerless_hosts: frozenset[int] = frozenset()
    targetless_data_centres: int = 0
    targetless_weight: float = 1.0
    swing_fraction: float = 0.0
    swing_period: float = 17.0


def get_cores(setup: Setup, number: int) -> float:
    """Return the cores of a host."""
    if not setup.cores:
        return 1.0
    index = number // setup.data_centres
    return setup.cores[min(index, len(setup.cores) - 1)]


def list_flows(setup: Setup) -> tuple[Flow, ...]:
    """List the flows, or a single anonymous one if none is given."""
    anonymous = Flow(
        '', setup.rate, setup.objective, setup.timeout, setup.coverage
    )
    return setup.flows or (anonymous,)


def get_rate(flow: Flow, now: float) -> float:
    """Return the queries per second of a flow at a time."""
    is_burst = flow.burst_start <= now < flow.burst_end
    return flow.rate * flow.burst_factor if is_burst else flow.rate


def compute_swing(setup: Setup, now: float) -> float:
    """Return the factor by which the rate varies at a time."""
    return 1 + setup.swing_fraction * math.sin(
        2 * math.pi * now / setup.swing_period
    )


def draw_host(setup: Setup, rng: random.Random) -> int:
    """Draw the host that receives the next query."""
    if not setup.targetless_data_centres:
        return rng.randrange(setup.hosts)
    with_targets = setup.data_centres - setup.targetless_data_centres
    weights = [
        1.0
        if number % setup.data_centres < with_targets
        else setup.targetless_weight
        for number in range(setup.hosts)
    ]
    return rng.choices(range(setup.hosts), weights)[0]


def get_path(flow: Flow) -> str:
    """Return the path of the route of a flow."""
    return f'/{flow.customer or "search"}/'


def make_routers(setup: Setup, rng: random.Random) -> list[states.Router]:
    """Create the routers of hosts that know each other and the routes."""
    hosts = [_make_host(setup, number) for number in range(setup.hosts)]
    routes = tuple(_make_route(setup, flow) for flow in list_flows(setup))
    configured = events.ConfigurationReceived(
        configs.Configuration(
            1, routes, (), configs.Limits(), _list_customers(setup)
        )
    )
    directory_changed = events.DirectoryChanged(
        _make_directory(setup, routes[0])
    )
    hosts_changed = events.HostsChanged(len(hosts), tuple(hosts))
    routers = []
    for host in hosts:
        router = states.Router(host, setup.extra_load, rng.random)
        for event in (configured, directory_changed, hosts_changed):
            dispatch.handle_event(router, event, 0)
        routers.append(router)
    return routers


def _make_host(setup: Setup, number: int) -> deployments.Host:
    """Create a host with its number as its address."""
    data_centre = number % setup.data_centres
    name = f'host-{number:03}'
    host = deployments.Host(name, str(number), f'dc-{data_centre}')
    if setup.announces_cores:
        return host._replace(capacity=get_cores(setup, number))
    return host


def _list_customers(setup: Setup) -> tuple[configs.Customer, ...] | None:
    """List the customers, each with its name as its key digest."""
    if not setup.flows:
        return None
    return tuple(
        configs.Customer(flow.customer, (flow.customer,))
        for flow in setup.flows
    )


def _make_route(setup: Setup, flow: Flow) -> configs.Route:
    shards = tuple(f'shard-{number:03}' for number in range(setup.shards))
    return configs.Route(
        flow.customer or 'search',
        'host',
        get_path(flow),
        configurations.Repeat.IDEMPOTENT,
        flow.timeout,
        flow.objective,
        setup.attempts,
        flow.priority,
        configs.Gather(shards, 20, flow.coverage),
    )


def _make_directory(setup: Setup, route: configs.Route) -> instances.Directory:
    """Create a target of each shard in each data centre with targets."""
    return instances.build_directory(
        instances.Instance(
            f'{shard}-{data_centre}',
            f'{shard}-{data_centre}',
            shard,
            '',
            f'dc-{data_centre}',
            setup.slots,
            leaving=False,
            warming=0.0,
        )
        for shard in configs.list_services(route.way)
        for data_centre in range(
            setup.data_centres - setup.targetless_data_centres
        )
    )
