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
from tests.relay import clusters, servers


#: With so few requests the fraction that may be sent again is under one.
REQUESTS = 20


async def search(host: process.Process) -> tuple[int, str, bytes]:
    """Send a host a query over all shards."""
    return await clusters.fetch(host.settings.caller_address, '/search/1')


def test_serves_a_query_from_the_store_alone() -> None:
    """A host with nothing but its settings serves after reading the store."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            status, head, body = await search(host)
            assert status == 200
            assert body == b'e' * 16 + b'd' * 16 + b'c' * 16
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert head.count('signed') == 5
            status, head, body = await clusters.fetch(
                host.settings.caller_address, '/one/1'
            )
            assert (status, body) == (200, b's' * 16)
            assert 'fuchsiahaven-response-signature: signed' in head
            status, _, _ = await clusters.fetch(
                host.settings.caller_address, '/none/1'
            )
            assert status == 404

    servers.run(check())


def test_delegates_to_a_host_near_the_targets() -> None:
    """The far host opens no connection to a target itself."""

    async def check() -> None:
        async with clusters.make() as cluster:
            near = await cluster.add_host('host-1')
            far = await cluster.add_host('host-2', 'north')
            await servers.wait_for(lambda: far.router.hosts)
            status, head, body = await search(far)
            assert status == 200
            assert body == b'e' * 16 + b'd' * 16 + b'c' * 16
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert not far.runner.target_pools.count_opened()
            assert near.runner.target_pools.count_opened() == 5

    servers.run(check())


def test_forwards_a_version_to_a_cut_off_host() -> None:
    """Guard against one host that stays at an old version.

    The second host cannot read the store and gets the version from the first.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            second = await cluster.add_host('host-2')
            second.store_sync.store_client.address = (
                f'127.0.0.1:{hosts.find_port()}'
            )
            second.store_sync.store_client.close()
            changed = clusters.make_configuration(9, prefix='/other/')
            cluster.store.put('op/config', changed)
            await servers.wait_for(
                lambda: second.router.index.configuration.version == 9
            )

    servers.run(check())


def test_starts_from_a_peer_while_the_store_is_down() -> None:
    """Guard against a host that refuses all requests after a restart."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            cluster.store.down = True
            second = await cluster.add_host('host-2')
            assert (await search(second))[0] == 200

    servers.run(check())


def test_serves_while_the_store_is_down() -> None:
    """Hosts serve from their view throughout an outage of the store."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            cluster.store.down = True
            await servers.wait_for(lambda: host.store_sync.store_lost)
            assert (await search(host))[0] == 200
            cluster.store.down = False
            cluster.store.put('op/config', clusters.make_configuration(9))
            await servers.wait_for(
                lambda: host.router.index.configuration.version == 9
            )

    servers.run(check())


def test_skips_a_target_without_an_entry() -> None:
    """A leaving target gets no new request once its entry is removed."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await cluster.add_target('i-9', 'records')
            cluster.store.remove('servers/i-5')
            await servers.wait_for(
                lambda: 'i-5' not in host.router.directory.by_name
            )
            before = len(cluster.targets['i-5'].request_heads)
            await asyncio.gather(
                *[
                    clusters.fetch(host.settings.caller_address, '/one/1')
                    for _ in range(5)
                ],
            )
            assert len(cluster.targets['i-5'].request_heads) == before
            assert len(cluster.targets['i-9'].request_heads) == 5

    servers.run(check())


def test_skips_an_evacuated_data_centre() -> None:
    """Guard against targets that get requests 5 s after their evacuation.

    One host reads the store, the other gets its reports. Both refuse at once,
    because no other data centre has targets, and both serve again once the
    evacuation is withdrawn.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            await cluster.add_host('host-2')
            cluster.store.put('op/evacuate/south', {})
            await check_evacuated(cluster, {'south'}, served=0)
            cluster.store.remove('op/evacuate/south')
            await check_evacuated(cluster, set(), served=2)

    servers.run(check())


async def check_evacuated(
    cluster: clusters.Cluster, wanted: set[str], served: int
) -> None:
    """Check the evacuations that hosts know, and how many requests arrive."""
    await servers.wait_for(
        lambda: all(
            host.router.directory.evacuated == wanted for host in cluster.hosts
        )
    )
    assert await count_served(cluster) == (served, served)
    address = cluster.hosts[1].settings.host.address
    _, _, body = await clusters.fetch(address, '/v1/state')
    assert set(json.loads(body)['evacuated']) == wanted


async def count_served(cluster: clusters.Cluster) -> tuple[int, int]:
    """Fetch a record from each host; count responses and target requests.

    Refusals must say when to retry.
    """
    before = len(cluster.targets['i-5'].request_heads)
    replies = await asyncio.gather(
        *[
            clusters.fetch(host.settings.caller_address, '/one/1')
            for host in cluster.hosts
        ],
    )
    refused = [head for status, head, _ in replies if status == 503]
    assert all('retry-after: 5' in head for head in refused)
    served = [status for status, _, _ in replies if status == 200]
    assert len(served) + len(refused) == len(cluster.hosts)
    return len(served), len(cluster.targets['i-5'].request_heads) - before


def test_finishes_requests_before_stopping() -> None:
    """Guard against a stop that breaks requests.

    A target is slow, and the host is asked to stop meanwhile. The caller still
    gets its whole response.
    """
    may_answer = asyncio.Event()

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        await may_answer.wait()
        writer.write(
            servers.encode_response(servers.find_request_id(head), b'late')
        )

    async def check() -> None:
        async with clusters.make() as cluster, servers.listen(script) as slow:
            cluster.store.remove('servers/i-5')
            cluster.store.put_target('i-9', 'records', slow.address)
            host = await cluster.add_host('host-1')
            task = asyncio.create_task(
                clusters.fetch(host.settings.caller_address, '/one/1')
            )
            await servers.wait_for(lambda: slow.request_heads)
            os.kill(os.getpid(), signal.SIGTERM)
            await servers.wait_for(host.find_obstacle)
            may_answer.set()
            status, head, body = await task
            assert (status, body) == (200, b'late')
            assert 'connection: close' in head

    servers.run(check())


def test_sends_hardly_anything_twice_after_a_start() -> None:
    """Guard against a host that uses its part of the slack after each start.

    The targets break every connection, and what the host had sent again before
    it started may still count.
    """

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def check() -> None:
        async with clusters.make() as cluster, servers.listen(script) as broken:
            cluster.store.remove('servers/i-5')
            for number in range(6, 9):
                cluster.store.put_target(
                    f'i-{number}', 'records', broken.address
                )
            host = await cluster.add_host('host-1', just_started=True)
            address = host.settings.caller_address
            fetches = (
                clusters.fetch(address, '/one/1') for _ in range(REQUESTS)
            )
            await asyncio.gather(*fetches)
            assert len(broken.request_heads) == REQUESTS

    servers.run(check())


def test_reloads_changed_settings(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound on extra load follows the file; an invalid file is ignored."""
    path = tmp_path / 'boot.conf'
    path.write_text(test_settings.TEXT)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    monkeypatch.setattr(process, 'SETTINGS_CHECK_INTERVAL_S', 0.01)

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await search(host)
            path.write_text(test_settings.TEXT.replace('=56', '=7'))
            await servers.wait_for(lambda: host.router.extra_load.slack == 7)
            budget = host.router.get_budget(clusters.SHARDS[0])
            assert budget.extra_load.slack == 7
            path.write_text('node=')
            await asyncio.sleep(0.05)
            assert host.router.extra_load.slack == 7

    servers.run(check())


def test_readiness_follows_the_stop() -> None:
    """The status is 200 while the host is ready, 503 once it is stopping."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            address = host.settings.readiness_address
            assert (await clusters.fetch(address, '/ready'))[0] == 200
            os.kill(os.getpid(), signal.SIGTERM)
            await servers.wait_for(host.find_obstacle)
            assert (await clusters.fetch(address, '/ready'))[0] == 503

    servers.run(check())


def test_serves_metrics_and_state() -> None:
    """Metrics have a port of their own; the state is on the hosts' port."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await search(host)
            _, _, body = await clusters.fetch(
                host.settings.metrics_address, '/metrics'
            )
            assert b'fuchsiahaven_relay_outcomes_total' in body
            assert b'fuchsiahaven_relay_configuration 3.0' in body
            peer_port = host.settings.host.address
            _, _, body = await clusters.fetch(peer_port, '/v1/state')
            state = json.loads(body)
            assert (state['ready'], state['version']) == ('yes', 3)
            assert set(state['targets']) == {*clusters.SHARDS, 'records'}
            assert not state['cold']

    servers.run(check())
