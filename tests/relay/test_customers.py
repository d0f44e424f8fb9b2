"""Test whole hosts whose callers present keys."""

import asyncio
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from bench.soak import hosts
from fuchsiahaven.relay import process
from tests.relay import clusters, servers

KEY: Final = 'wbr9bc582dm2buc7takh'
KEY_FIELD: Final = f'Authorization: Token {KEY}'
FORGED_FIELD: Final = 'FuchsiaHaven-Tenant: bank'
SHOP: Final = {'name': 'shop', 'api_keys': [KEY]}
CUSTOMERS: Final = (
    SHOP,
    {'name': 'bank', 'api_keys': ['k-2'], 'rate_per_s': 0},
)


def make_configuration(
    version: int, customers: tuple[object, ...] = CUSTOMERS, **changed: Any
) -> dict[str, Any]:
    """Make a configuration with customers."""
    written = clusters.make_configuration(version, **changed)
    return {**written, 'tenants': list(customers)}


def find_customer_field(head: bytes) -> str:
    """Find the customer's name in the head of a target's request."""
    return servers.find_field(head, 'fuchsiahaven-tenant')


async def put_configuration(
    cluster: clusters.Cluster, written: dict[str, Any]
) -> None:
    """Put a version into the store, and wait until it is in force."""
    cluster.store.put('op/config', written)
    await cluster.wait_for_version(written['version'])


async def fetch_statuses(
    hosts_asked: Iterable[process.Process], *requests: tuple[str, ...]
) -> list[int]:
    """Send requests to hosts; return the statuses."""
    answers = await asyncio.gather(
        *[
            clusters.fetch(host.settings.caller_address, *request)
            for host in hosts_asked
            for request in requests
        ]
    )
    return [status for status, _, _ in answers]


async def put_and_fetch(
    cluster: clusters.Cluster, written: dict[str, Any]
) -> list[int]:
    """Put a version; return each host's status for a request with a key."""
    await put_configuration(cluster, written)
    return await fetch_statuses(cluster.hosts, ('/one/1', KEY_FIELD))


async def add_distant_pair(cluster: clusters.Cluster) -> list[process.Process]:
    """Start a host near the targets, and one that delegates to it."""
    near = await cluster.add_host('host-1')
    far = await cluster.add_host('host-2', 'north')
    await servers.wait_for(lambda: far.router.hosts)
    return [near, far]


async def fetch_reports(host: process.Process) -> list[str]:
    """Return a host's state, metrics and report to peers."""
    pages = await asyncio.gather(
        *[
            clusters.fetch(host.settings.metrics_address, path)
            for path in ('/v1/state', '/metrics', '/v1/facts?after=0')
        ]
    )
    return [body.decode() for _, _, body in pages]


async def spoil_configuration(
    cluster: clusters.Cluster, host: process.Process
) -> None:
    """Put a valid version while a host is cut off, and then an invalid one."""
    address = host.store_sync.store_client.address
    host.store_sync.store_client.address = f'127.0.0.1:{hosts.find_port()}'
    host.store_sync.store_client.close()
    await put_configuration(cluster, make_configuration(6))
    doubled = (*CUSTOMERS, {'name': 'mill', 'api_keys': [KEY]})
    cluster.store.put('op/config', make_configuration(7, doubled))
    host.store_sync.store_client.address = address
    host.store_sync.store_client.close()
    await cluster.wait_for_hosts()
    await servers.wait_for(lambda: not host.store_sync.store_lost)


def list_heads(cluster: clusters.Cluster) -> list[bytes]:
    """List the heads of the requests that all targets have received."""
    return [
        head for it in cluster.targets.values() for head in it.request_heads
    ]


def test_serves_callers_with_a_key() -> None:
    """Targets get the customer's name, whatever name the caller sends."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await put_configuration(cluster, make_configuration(5))
            statuses = await fetch_statuses(
                [host],
                ('/one/1',),
                ('/one/1', 'Authorization: Token x'),
                ('/none/1',),
                ('/one/1', KEY_FIELD, FORGED_FIELD),
                ('/search/1', KEY_FIELD, FORGED_FIELD),
            )
            assert statuses == [401, 401, 404, 200, 200]
            heads = list_heads(cluster)
            assert len(heads) == 1 + len(clusters.SHARDS)
            assert {find_customer_field(head) for head in heads} == {'shop'}
            assert KEY.encode() not in b''.join(heads)
            assert b'bank' not in b''.join(heads)

    servers.run(check())


def test_applies_removed_and_added_keys() -> None:
    """A removed key is refused, and served once it is added again."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            emptied = ({**SHOP, 'api_keys': []},)
            assert await put_and_fetch(cluster, make_configuration(5)) == [200]
            assert await put_and_fetch(
                cluster, make_configuration(6, emptied)
            ) == [401]
            assert await put_and_fetch(cluster, make_configuration(7)) == [200]

    servers.run(check())


def test_public_route_needs_no_key() -> None:
    """A public route needs no key, and passes no credentials to targets."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await put_configuration(cluster, make_configuration(5, public=True))
            strange = 'Authorization: Token strange'
            statuses = await fetch_statuses(
                [host],
                ('/one/1',),
                ('/one/1', strange),
                ('/one/1', FORGED_FIELD, strange, KEY_FIELD),
                ('/search/1',),
            )
            assert statuses == [200, 200, 200, 401]
            heads = list_heads(cluster)
            assert {find_customer_field(head) for head in heads} == {''}
            assert b'Token' not in b''.join(heads)

    servers.run(check())


def test_no_host_reveals_a_key(
    tmp_path: Path,
) -> None:
    """Guard against keys in log lines or in messages between hosts.

    The far host delegates its parts to the near one. Both report customers in
    their state, metrics and log lines.
    """
    log = tmp_path / 'log'
    log.touch()

    async def check() -> list[str]:
        async with clusters.make() as cluster:
            cluster.log_path = str(log)
            near, far = await add_distant_pair(cluster)
            await put_configuration(cluster, make_configuration(5))
            statuses = await fetch_statuses(
                [far],
                ('/search/1', KEY_FIELD),
                ('/one/1',),
                ('/one/1', f'Authorization: {KEY}'),
            )
            assert statuses == [200, 401, 401]
            assert not far.runner.target_pools.count_opened()
            heads = list_heads(cluster)
            assert {find_customer_field(head) for head in heads} == {'shop'}
            return [*await fetch_reports(near), *await fetch_reports(far)]

    pages = servers.run(check())
    lines = [json.loads(it) for it in log.read_text().splitlines()]
    assert KEY not in f'{pages} {lines}'
    ended = {it['result']: it for it in lines if it['part'] == 'request'}
    assert ended['complete']['customer'] == 'shop'
    assert ended['unknown_key']['route'] == 'one'
    assert 'customer' not in ended['unknown_key']
    customers = json.loads(pages[3])['customers']
    assert customers['known'] == 2
    assert customers['largest'] == {'shop': {'complete': 1}}
    assert set(customers['unknown_keys']) == {
        'no key was shown',
        'what was shown is no key',
    }
    assert 'customer="shop",result="complete"' in pages[4]


def test_ignores_an_invalid_version() -> None:
    """Guard against one invalid customer that stops all service.

    The second host got the version in force only from the first.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_hosts('host-1', 'host-2')
            assert await put_and_fetch(cluster, make_configuration(5)) == [
                200,
                200,
            ]
            second = cluster.hosts[1]
            await spoil_configuration(cluster, second)
            assert await fetch_statuses(
                cluster.hosts, ('/one/1', KEY_FIELD)
            ) == [200, 200]
            assert second.router.index.configuration.version == 6
            assert await put_and_fetch(
                cluster, make_configuration(8, CUSTOMERS[1:])
            ) == [401, 401]

    servers.run(check())


def test_starts_on_an_invalid_version() -> None:
    """It knows no key and refuses requests until a valid version arrives."""

    async def check() -> None:
        async with clusters.make() as cluster:
            invalid = ({**SHOP, 'api_keys': KEY},)
            cluster.store.put('op/config', make_configuration(5, invalid))
            host = await cluster.add_host('host-1', ready=False)
            await servers.wait_for(lambda: host.store_sync.view.revision)
            assert await fetch_statuses([host], ('/one/1', KEY_FIELD)) == [503]
            assert await put_and_fetch(cluster, make_configuration(6)) == [200]

    servers.run(check())
