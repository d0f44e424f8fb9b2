"""Lay out the two current deployments as targets and a configuration.

Every requested data centre gets the whole layout: each has its own targets
and must keep serving when it is cut off.
"""

from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations, manifests
from fuchsiahaven.core.targets import snapshots

KEY_SPACE_SIZE: Final = 65_536
# The first ports of a range are the control ports of the fleet processes.
CONTROL_PORT_COUNT: Final = 8
FIRST_SNAPSHOT: Final = 12
DATA_CENTRES: Final = {
    'santiago': ('Quilicura', 'Maipú', 'Pudahuel'),
    'ishikari': ('Odori', 'Kotoni', 'Shiroishi'),
}

RequestClass = configurations.RequestClass
COMPLETE: Final = configurations.Needs.COMPLETE
AT_MOST_ONCE: Final = configurations.Repeat.AT_MOST_ONCE
KEYED: Final = configurations.FanOut.KEYED


def _make_single_run_class(name: str) -> configurations.RequestClass:
    # A class that runs at most once cannot hedge; `class set` stores 0 for it.
    return RequestClass(name, 800, COMPLETE, AT_MOST_ONCE, KEYED, hedge_share=0)


class Service(NamedTuple):
    """Hold the dimensions of one service in one data centre."""

    name: str
    kind: str
    instances: int
    shards: int
    replicas: int
    searchers: int = 1
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0


class Layout(NamedTuple):
    """Hold one deployment: its services, configuration and holdings."""

    services: tuple[Service, ...]
    configuration: configurations.Configuration
    holdings: dict[str, tuple[snapshots.Holding, ...]]


SERVICES: Final = {
    'santiago': (
        Service('socios-web', 'listings', 20, 20, 2, 2),
        Service('lotes-remate', 'listings', 30, 30, 2, 2),
        Service('catalogo', 'catalogue', 6, 3, 2, 1, 2, 110, 1.0),
        Service('alertas', 'alerts', 3, 1, 3, 1, 2, 110, 1.0),
    ),
    'ishikari': (
        Service('turnstile', 'passes', 20, 20, 2, 2),
        Service('hotel-bundle', 'bundles', 30, 30, 2, 2),
        Service('refund-desk', 'refunds', 3, 1, 3, 1, 6, 50, 1.0),
        Service('ropeway-tally', 'counts', 3, 1, 3, 1, 6, 50, 1.0),
    ),
}
CLASSES: Final = {
    'santiago': (
        ('kind=listings', RequestClass('price-check', 800)),
        ('kind=catalogue', RequestClass('quick-lookup', 300, priority=0)),
        (
            'kind=alerts',
            _make_single_run_class('listing-inquiry'),
        ),
        (
            'kind=catalogue',
            _make_single_run_class('reservation-lookup'),
        ),
    ),
    'ishikari': (
        ('kind=passes', RequestClass('gate-lookup', 500, COMPLETE, priority=0)),
        (
            'kind=passes',
            RequestClass('kiosk-check', 300, COMPLETE, fan_out=KEYED),
        ),
        (
            'kind=refunds',
            _make_single_run_class('refund'),
        ),
        (
            'kind=bundles',
            RequestClass('hotel-bundle-report', 5000, COMPLETE, priority=2),
        ),
        ('kind=counts', RequestClass('ropeway-count', 500, priority=2)),
    ),
}


def build(
    deployment: str, first_port: int, data_centres: int = 1, revision: int = 1
) -> Layout:
    """Lay out a deployment on consecutive ports of the loopback interface."""
    services = SERVICES[deployment]
    centres = DATA_CENTRES[deployment][:data_centres]
    port = first_port + CONTROL_PORT_COUNT
    groups: list[configurations.Group] = []
    holdings: dict[str, tuple[snapshots.Holding, ...]] = {}
    for service in services:
        targets = _make_targets(service, centres, port)
        port += len(targets)
        groups.append(_make_group(service, targets, deployment))
        assigned = assign_shards(service, service.shards, FIRST_SNAPSHOT) * len(
            centres
        )
        names = (target.name for target in targets)
        holdings.update(zip(names, assigned, strict=True))
    configuration = _build_configuration(deployment, tuple(groups), revision)
    return Layout(services, configuration, holdings)


def assign_shards(
    service: Service, shards: int, snapshot: int
) -> list[tuple[snapshots.Holding, ...]]:
    """Assign the shards of a snapshot to the searchers of a service, in order.

    The replicas of a shard are on different instances, so that the loss of
    one instance loses no shard.
    """
    count = service.instances * service.searchers
    holdings: list[list[snapshots.Holding]] = [[] for _ in range(count)]
    for copy in range(service.replicas):
        for shard in range(shards):
            searcher, offset = divmod(
                (copy * shards + shard) % count, service.instances
            )
            instance = (offset + searcher) % service.instances
            index = instance * service.searchers + searcher
            holdings[index].append(make_holding(snapshot, shard, shards))
    return [tuple(assigned) for assigned in holdings]


def make_holding(snapshot: int, shard: int, shards: int) -> snapshots.Holding:
    """Build the holding of one of several shards with equal ranges."""
    low = shard * KEY_SPACE_SIZE // shards
    high = (shard + 1) * KEY_SPACE_SIZE // shards
    return snapshots.Holding(snapshot, shard, shards, low, high)


def encode_keys(
    configuration: configurations.Configuration,
) -> dict[str, str]:
    """Encode a configuration as keys and values of the platform."""
    encoded = manifests.encode(configuration)
    assert isinstance(encoded, manifests.Encoded), encoded
    return {**encoded.part_texts, manifests.MANIFEST_KEY: encoded.text}


def list_hosts(layout: Layout) -> list[dict[str, object]]:
    """List the targets in the form of the platform's host list."""
    return [
        {
            'name': target.name,
            'kind': 'target',
            'address': target.address,
            'data_centre': target.data_centre,
            'state': 'live',
        }
        for group in layout.configuration.groups
        for target in group.targets
    ]


def _build_configuration(
    deployment: str, groups: tuple[configurations.Group, ...], revision: int
) -> configurations.Configuration:
    rows = CLASSES[deployment]
    selectors = (
        configurations.Selector(
            request_class.name, request_class.name, expression
        )
        for expression, request_class in rows
    )
    classes = tuple(request_class for _, request_class in rows)
    return configurations.Configuration(
        revision, groups, tuple(selectors), classes
    )


def _make_targets(
    service: Service, data_centres: tuple[str, ...], port: int
) -> list[configurations.Target]:
    # Instance numbers run across data centres, so that names are unique.
    numbers = range(service.instances * len(data_centres))
    names = (
        (data_centres[number // service.instances], f'{number:02}/{searcher}')
        for number in numbers
        for searcher in range(service.searchers)
    )
    return [
        configurations.Target(
            f'{service.name}-{name}', f'127.0.0.1:{target_port}', data_centre
        )
        for target_port, (data_centre, name) in enumerate(names, port)
    ]


def _make_group(
    service: Service, targets: list[configurations.Target], deployment: str
) -> configurations.Group:
    labels = (
        ('kind', service.kind),
        ('service', service.name),
        ('system', deployment),
    )
    return configurations.Group(
        service.name,
        labels,
        tuple(targets),
        service.slots,
        service.connections,
        service.connect_ms,
    )
