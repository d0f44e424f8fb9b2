"""Test whole hosts whose callers show keys."""

import asyncio
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from bench.soak import hosts
from fuchsiahaven.relay import process
from tests.relay import peers, worlds

KEY: Final = 'wbr9bc582dm2buc7takh'
SHOWN: Final = f'Authorization: Token {KEY}'
FORGED: Final = 'FuchsiaHaven-Tenant: bank'
SHOP: Final = {'name': 'shop', 'api_keys': [KEY]}
CUSTOMERS: Final = (
    SHOP,
    {'name': 'bank', 'api_keys': ['k-2'], 'rate_per_s': 0},
)


def write(
    version: int, customers: tuple[object, ...] = CUSTOMERS, **changed: Any
) -> dict[str, Any]:
    """Write a configuration with customers."""
    written = worlds.make_configuration(version, **changed)
    return {**written, 'tenants': list(customers)}


def find_customer(head: bytes) -> str:
    """Find the customer that a target is shown."""
    return peers.find_field(head, 'fuchsiahaven-tenant')


async def put(world: worlds.World, written: dict[str, Any]) -> None:
    """Accept a version and wait until it is in force."""
    world.store.put('op/config', written)
    await world.wait_for_version(written['version'])


async def ask(
    asked: Iterable[process.Process], *requests: tuple[str, ...]
) -> list[int]:
    """Ask hosts for paths, with fields; return the statuses."""
    answers = await asyncio.gather(
        *[
            worlds.fetch(host.settings.caller_address, *request)
            for host in asked
            for request in requests
        ]
    )
    return [status for status, _, _ in answers]


async def change(world: worlds.World, written: dict[str, Any]) -> list[int]:
    """Accept a version; return what each host answers to a key then."""
    await put(world, written)
    return await ask(world.hosts, ('/one/1', SHOWN))


async def add_pair(world: worlds.World) -> list[process.Process]:
    """Start a host near the targets, and one that has it gather parts."""
    near = await world.add_host('host-1')
    far = await world.add_host('host-2', 'north')
    await peers.wait_for(lambda: far.desk.hosts)
    return [near, far]


async def tell(host: process.Process) -> list[str]:
    """Return all that a host tells: its state, metrics, and news."""
    pages = await asyncio.gather(
        *[
            worlds.fetch(host.settings.metrics_address, path)
            for path in ('/v1/state', '/metrics', '/v1/facts?after=0')
        ]
    )
    return [body.decode() for _, _, body in pages]


async def turn_away(world: worlds.World, host: process.Process) -> None:
    """Have the store turn a host away, accept a version, and be spoilt."""
    address = host.news.store.address
    host.news.store.address = f'127.0.0.1:{hosts.find_port()}'
    host.news.store.close()
    await put(world, write(6))
    doubled = (*CUSTOMERS, {'name': 'mill', 'api_keys': [KEY]})
    world.store.put('op/config', write(7, doubled))
    host.news.store.address = address
    host.news.store.close()
    await world.settle()
    await peers.wait_for(lambda: not host.news.lost)


def list_heads(world: worlds.World) -> list[bytes]:
    """List what all targets were sent."""
    return [head for it in world.targets.values() for head in it.heads]


def test_serves_whoever_shows_a_key() -> None:
    """Targets see the customer's name, whatever name the caller sends."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await put(world, write(5))
            statuses = await ask(
                [host],
                ('/one/1',),
                ('/one/1', 'Authorization: Token x'),
                ('/none/1',),
                ('/one/1', SHOWN, FORGED),
                ('/search/1', SHOWN, FORGED),
            )
            assert statuses == [401, 401, 404, 200, 200]
            heads = list_heads(world)
            assert len(heads) == 1 + len(worlds.SHARDS)
            assert {find_customer(head) for head in heads} == {'shop'}
            assert KEY.encode() not in b''.join(heads)
            assert b'bank' not in b''.join(heads)

    peers.run(check())


def test_goes_by_the_version_in_force() -> None:
    """A key that is taken away is refused, and is served when it is back."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            emptied = ({**SHOP, 'api_keys': []},)
            assert await change(world, write(5)) == [200]
            assert await change(world, write(6, emptied)) == [401]
            assert await change(world, write(7)) == [200]

    peers.run(check())


def test_a_public_route_turns_nobody_away() -> None:
    """It needs no key, and whatever is shown there goes to no target."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await put(world, write(5, public=True))
            strange = 'Authorization: Token strange'
            statuses = await ask(
                [host],
                ('/one/1',),
                ('/one/1', strange),
                ('/one/1', FORGED, strange, SHOWN),
                ('/search/1',),
            )
            assert statuses == [200, 200, 200, 401]
            heads = list_heads(world)
            assert {find_customer(head) for head in heads} == {''}
            assert b'Token' not in b''.join(heads)

    peers.run(check())


def test_helpers_show_the_name_and_nobody_tells_the_key(
    tmp_path: Path,
) -> None:
    """Symptom: a key stands in a line, or in what hosts send each other.

    The far host has its parts gathered by the near one. Both tell of customers
    in their state, metrics and lines.
    """
    log = tmp_path / 'log'
    log.touch()

    async def check() -> list[str]:
        async with worlds.make() as world:
            world.log = str(log)
            near, far = await add_pair(world)
            await put(world, write(5))
            statuses = await ask(
                [far],
                ('/search/1', SHOWN),
                ('/one/1',),
                ('/one/1', f'Authorization: {KEY}'),
            )
            assert statuses == [200, 401, 401]
            assert not far.runner.fleet.count_opened()
            heads = list_heads(world)
            assert {find_customer(head) for head in heads} == {'shop'}
            return [*await tell(near), *await tell(far)]

    told = peers.run(check())
    lines = [json.loads(it) for it in log.read_text().splitlines()]
    assert KEY not in f'{told} {lines}'
    ended = {it['result']: it for it in lines if it['part'] == 'request'}
    assert ended['complete']['customer'] == 'shop'
    assert ended['unknown_key']['route'] == 'one'
    assert 'customer' not in ended['unknown_key']
    customers = json.loads(told[3])['customers']
    assert customers['known'] == 2
    assert customers['largest'] == {'shop': {'complete': 1}}
    assert set(customers['unknown_keys']) == {
        'no key was shown',
        'what was shown is no key',
    }
    assert 'customer="shop",result="complete"' in told[4]


def test_a_spoilt_version_neither_counts_nor_hides_the_next() -> None:
    """Symptom: one customer that is written wrongly ends all service.

    The second host has heard of the version in force from the first only.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_hosts('host-1', 'host-2')
            assert await change(world, write(5)) == [200, 200]
            second = world.hosts[1]
            await turn_away(world, second)
            assert await ask(world.hosts, ('/one/1', SHOWN)) == [200, 200]
            assert second.desk.index.configuration.version == 6
            assert await change(world, write(8, CUSTOMERS[1:])) == [401, 401]

    peers.run(check())


def test_a_host_that_starts_on_a_spoilt_version_takes_the_next() -> None:
    """Until then it knows no key, and says when to come back."""

    async def check() -> None:
        async with worlds.make() as world:
            spoilt = ({**SHOP, 'api_keys': KEY},)
            world.store.put('op/config', write(5, spoilt))
            host = await world.add_host('host-1', ready=False)
            await peers.wait_for(lambda: host.news.ledger.revision)
            assert await ask([host], ('/one/1', SHOWN)) == [503]
            assert await change(world, write(6)) == [200]

    peers.run(check())
