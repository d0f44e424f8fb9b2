"""Test whole hosts against a store and targets on loopback."""

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from bench.soak import hosts
from fuchsiahaven.platform import settings
from fuchsiahaven.relay import process
from tests.platform import test_settings
from tests.relay import peers, worlds


async def search(host: process.Process) -> tuple[int, str, bytes]:
    """Ask a host a query over all shards."""
    return await worlds.fetch(host.settings.caller_address, '/search/1')


def test_serves_a_query_from_the_store_alone() -> None:
    """A host that knows nothing but its settings answers a moment later."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            status, head, body = await search(host)
            assert status == 200
            assert body == b'e' * 16 + b'd' * 16 + b'c' * 16
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert head.count('signed') == 5
            status, head, body = await worlds.fetch(
                host.settings.caller_address, '/one/1'
            )
            assert (status, body) == (200, b's' * 16)
            assert 'fuchsiahaven-response-signature: signed' in head
            status, _, _ = await worlds.fetch(
                host.settings.caller_address, '/none/1'
            )
            assert status == 404

    peers.run(check())


def test_gathers_through_a_host_near_the_targets() -> None:
    """The far host opens no connection to a shard's target itself."""

    async def check() -> None:
        async with worlds.make() as world:
            near = await world.add_host('host-1')
            far = await world.add_host('host-2', 'north')
            await peers.wait_for(lambda: far.desk.hosts)
            status, head, body = await search(far)
            assert status == 200
            assert body == b'e' * 16 + b'd' * 16 + b'c' * 16
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert not far.runner.fleet.count_opened()
            assert near.runner.fleet.count_opened() == 5

    peers.run(check())


def test_passes_a_version_on_to_a_host_that_the_store_turns_away() -> None:
    """Symptom: one host stays at an old version while the others move on.

    The second host cannot read the store; the first one tells it.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            second = await world.add_host('host-2')
            second.news.store.address = f'127.0.0.1:{hosts.find_port()}'
            second.news.store.close()
            changed = worlds.make_configuration(9, prefix='/other/')
            world.store.put('op/config', changed)
            await peers.wait_for(
                lambda: second.desk.index.configuration.version == 9
            )

    peers.run(check())


def test_starts_from_another_host_while_the_store_is_down() -> None:
    """Symptom: a host that restarts during an outage refuses everything."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            world.store.down = True
            second = await world.add_host('host-2')
            assert (await search(second))[0] == 200

    peers.run(check())


def test_serves_on_while_the_store_is_down() -> None:
    """What was known before an outage is served by all through it."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            world.store.down = True
            await peers.wait_for(lambda: host.news.lost)
            assert (await search(host))[0] == 200
            world.store.down = False
            world.store.put('op/config', worlds.make_configuration(9))
            await peers.wait_for(
                lambda: host.desk.index.configuration.version == 9
            )

    peers.run(check())


def test_sends_nothing_to_a_target_whose_entry_is_gone() -> None:
    """A target that leaves gets no new request once that is known."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await world.add_target('i-9', 'records')
            world.store.remove('servers/i-5')
            await peers.wait_for(
                lambda: 'i-5' not in host.desk.directory.by_name
            )
            before = len(world.targets['i-5'].heads)
            await asyncio.gather(
                *[
                    worlds.fetch(host.settings.caller_address, '/one/1')
                    for _ in range(5)
                ],
            )
            assert len(world.targets['i-5'].heads) == before
            assert len(world.targets['i-9'].heads) == 5

    peers.run(check())


def test_sends_nothing_to_a_data_centre_that_is_evacuated() -> None:
    """Symptom: targets get work 5 s after operators have forbidden it.

    One host reads the store, the other hears from it. Both refuse at once,
    because no other data centre has targets, and both serve again once the
    order is taken back.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            await world.add_host('host-2')
            world.store.put('op/evacuate/south', {})
            await check_evacuated(world, {'south'}, served=0)
            world.store.remove('op/evacuate/south')
            await check_evacuated(world, set(), served=2)

    peers.run(check())


async def check_evacuated(
    world: worlds.World, wanted: set[str], served: int
) -> None:
    """Check what is known of evacuations, and how many requests arrive."""
    await peers.wait_for(
        lambda: all(
            host.desk.directory.evacuated == wanted for host in world.hosts
        )
    )
    assert await count_served(world) == (served, served)
    asked = world.hosts[1].settings.host.address
    _, _, body = await worlds.fetch(asked, '/v1/state')
    assert set(json.loads(body)['evacuated']) == wanted


async def count_served(world: worlds.World) -> tuple[int, int]:
    """Ask each host for a record; count answers, and arrivals at the target.

    Whoever is refused is told when to come back.
    """
    before = len(world.targets['i-5'].heads)
    replies = await asyncio.gather(
        *[
            worlds.fetch(host.settings.caller_address, '/one/1')
            for host in world.hosts
        ],
    )
    refused = [head for status, head, _ in replies if status == 503]
    assert all('retry-after: 5' in head for head in refused)
    served = [status for status, _, _ in replies if status == 200]
    assert len(served) + len(refused) == len(world.hosts)
    return len(served), len(world.targets['i-5'].heads) - before


def test_ends_what_is_under_way_before_it_stops() -> None:
    """Symptom: a planned stop cuts requests.

    A target takes its time. The host is asked to stop meanwhile, and the
    caller still gets its whole answer.
    """
    go_on = asyncio.Event()

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        await go_on.wait()
        writer.write(peers.write_answer(peers.find_id(head), b'late'))

    async def check() -> None:
        async with worlds.make() as world, peers.listen(script) as slow:
            world.store.remove('servers/i-5')
            world.store.put_target('i-9', 'records', slow.address)
            host = await world.add_host('host-1')
            waiting = asyncio.create_task(
                worlds.fetch(host.settings.caller_address, '/one/1')
            )
            await peers.wait_for(lambda: slow.heads)
            os.kill(os.getpid(), signal.SIGTERM)
            await peers.wait_for(host.find_obstacle)
            go_on.set()
            status, head, body = await waiting
            assert (status, body) == (200, b'late')
            assert 'connection: close' in head

    peers.run(check())


def test_takes_changed_settings_without_a_signal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound on repeats follows the file; a wrong file changes nothing."""
    path = tmp_path / 'boot.conf'
    path.write_text(test_settings.TEXT)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    monkeypatch.setattr(process, 'SETTINGS_S', 0.01)

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await search(host)
            path.write_text(test_settings.TEXT.replace('=56', '=7'))
            await peers.wait_for(lambda: host.desk.extra_load.slack == 7)
            budget = host.desk.get_budget(worlds.SHARDS[0])
            assert budget.extra_load.slack == 7
            path.write_text('node=')
            await asyncio.sleep(0.05)
            assert host.desk.extra_load.slack == 7

    peers.run(check())


def test_tells_its_balancer_whether_it_is_ready() -> None:
    """200 while requests may come, 503 once it was asked to stop."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            asked = host.settings.readiness_address
            assert (await worlds.fetch(asked, '/ready'))[0] == 200
            os.kill(os.getpid(), signal.SIGTERM)
            await peers.wait_for(host.find_obstacle)
            assert (await worlds.fetch(asked, '/ready'))[0] == 503

    peers.run(check())


def test_shows_its_metrics_and_what_it_believes() -> None:
    """Counters stand on a port of their own, the state on the hosts' one."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await search(host)
            _, _, body = await worlds.fetch(
                host.settings.metrics_address, '/metrics'
            )
            assert b'fuchsiahaven_relay_outcomes_total' in body
            assert b'fuchsiahaven_relay_configuration 3.0' in body
            peer_port = host.settings.host.address
            _, _, body = await worlds.fetch(peer_port, '/v1/state')
            told = json.loads(body)
            assert (told['ready'], told['version']) == ('yes', 3)
            assert set(told['targets']) == {*worlds.SHARDS, 'records'}
            assert not told['cold']

    peers.run(check())
