"""Test whole hosts whose knowledge of valid keys has to stay fresh."""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

from bench.soak import hosts
from fuchsiahaven.core import boot_clock
from fuchsiahaven.relay import key_refresher, process, store_sync, traffic
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)
from tests.relay import clusters, servers, test_customers, test_decoders

REVOKE_S: Final = 1.5
#: Longer than it takes to detect a hung host.
LONG_REVOKE_S: Final = 3.0
HOST_NAMES: Final = ('host-1', 'host-2', 'host-3')
CLOSED_ADDRESS: Final = f'{servers.LOOPBACK}:1'
CONFIGURATION_KEY: Final = facts.Key(facts.Subject.CONFIGURATION, '')
KEYED_REQUEST: Final = ('/one/1', test_customers.KEY_FIELD)


@contextlib.asynccontextmanager
async def make_cluster(
    *names: str, revoke_s: float = REVOKE_S
) -> AsyncIterator[clusters.Cluster]:
    """Run a cluster with hosts and customers, and a store without eras."""
    async with clusters.make() as cluster:
        cluster.revoke_s = revoke_s
        cluster.store.era = None
        cluster.store.put('op/config', test_customers.make_configuration(5))
        await cluster.add_hosts(*names)
        yield cluster


def cut_off_store(host: process.Process) -> None:
    """Cut a host off from the store, for the sync and for the refresher."""
    closed = f'{servers.LOOPBACK}:{hosts.find_port()}'
    host.key_refresher.store_client.address = closed
    host.key_refresher.store_client.close()
    host.store_sync.store_client.address = closed
    host.store_sync.store_client.close()


def replace_address(
    host: process.Process, other: deployments.Host, address: str
) -> None:
    """Replace the address of another host in a host's view."""
    view = host.store_sync.view
    moved = other._replace(address=address)
    facts_by_key = {
        key: fact._replace(value=moved) if fact.value == other else fact
        for key, fact in view.facts.items()
    }
    host.store_sync.view = view._replace(facts=facts_by_key)


async def stay_fresh(host: process.Process) -> None:
    """Check that a host stays fresh for longer than LONG_REVOKE_S."""
    until = boot_clock.read_clock() + 1.5 * LONG_REVOKE_S

    def is_over() -> bool:
        assert not host.keys.compute_wait()
        return boot_clock.read_clock() >= until

    await servers.wait_for(is_over)


def test_refuses_keys_while_the_store_is_down() -> None:
    """Guard against revoked keys that are served during an outage.

    Public routes are served throughout, and requests with keys again soon
    after the store is back.
    """

    async def check() -> None:
        async with make_cluster('host-1', 'host-2') as cluster:
            await test_customers.put_configuration(
                cluster, test_customers.make_configuration(7, public=True)
            )
            search = ('/search/1', test_customers.KEY_FIELD)
            requests = (search, ('/one/1',))
            assert (
                await test_customers.fetch_statuses(cluster.hosts, *requests)
                == [200] * 4
            )
            cluster.store.down = True
            await servers.wait_for(
                lambda: all(it.keys.compute_wait() for it in cluster.hosts)
            )
            refused = await test_customers.fetch_statuses(
                cluster.hosts, *requests
            )
            assert refused == [503, 200, 503, 200]
            cluster.store.down = False
            async with asyncio.timeout(clusters.MAX_APPLY_S):
                await servers.wait_for(
                    lambda: (
                        not any(it.keys.compute_wait() for it in cluster.hosts)
                    )
                )

    servers.run(check())


def test_peers_refresh_a_host_cut_off_from_the_store() -> None:
    """Guard against one host that refuses keys while the others serve.

    The store refuses the host that reads it for all hosts.
    """

    async def check() -> None:
        async with make_cluster(*HOST_NAMES, revoke_s=LONG_REVOKE_S) as cluster:
            first = cluster.hosts[0]
            cut_off_store(first)
            await stay_fresh(first)
            assert await test_customers.fetch_statuses(
                [first], KEYED_REQUEST
            ) == [200]

    servers.run(check())


def test_hosts_stay_fresh_when_the_reader_hangs() -> None:
    """Guard against hosts that all refuse keys because one host hangs.

    The hung host is the one that reads the store and answers the others' polls.
    """

    async def check() -> None:
        async with make_cluster(*HOST_NAMES, revoke_s=LONG_REVOKE_S) as cluster:
            hung = cluster.hosts[0]
            async with servers.listen(never_respond) as server:
                for host in cluster.hosts[1:]:
                    replace_address(host, hung.settings.host, server.address)
                await asyncio.gather(
                    *[stay_fresh(it) for it in cluster.hosts[1:]]
                )

    servers.run(check())


def test_keys_path_returns_the_configuration() -> None:
    """The keys path returns a proof and only a newer configuration."""

    async def check() -> None:
        async with make_cluster('host-1') as cluster:
            host = cluster.hosts[0]
            remaining = (test_customers.CUSTOMERS[1],)
            cluster.store.put(
                'op/config', test_customers.make_configuration(9, remaining)
            )
            await cluster.wait_for_version(9)
            address = host.settings.host.address
            _, _, body = await clusters.fetch(
                address, f'{key_refresher.PATH}?version=5'
            )
            report = json.loads(body)
            assert [it['subject'] for it in report['facts']] == [
                'configuration'
            ]
            assert report['proof']['lead'] < 0
            _, _, body = await clusters.fetch(
                address, f'{key_refresher.PATH}?version=9'
            )
            assert not json.loads(body)['facts']
            assert await test_customers.fetch_statuses(
                [host], KEYED_REQUEST
            ) == [401]

    servers.run(check())


def test_logs_staleness_and_its_end(
    tmp_path: Path,
) -> None:
    """Log and metrics let operators find the cause of refusals."""

    async def check() -> None:
        log = tmp_path / 'log'
        log.touch()
        async with clusters.make() as cluster:
            cluster.revoke_s = REVOKE_S
            cluster.store.era = None
            cluster.log_path = str(log)
            cluster.store.put('op/config', test_customers.make_configuration(5))
            host = await cluster.add_host('host-1')
            cluster.store.down = True
            await servers.wait_for(lambda: '"stale"' in log.read_text())
            state, metrics, _ = await test_customers.fetch_reports(host)
            assert json.loads(state)['keys_stale']
            assert float(json.loads(state)['keys_age']) > 1
            assert 'fuchsiahaven_relay_keys_age_seconds' in metrics
            cluster.store.down = False
            await servers.wait_for(lambda: '"fresh again"' in log.read_text())

    servers.run(check())


def make_sync(
    addresses: tuple[str, ...],
    keys: freshness.Freshness,
    settings: deployments.Settings,
) -> store_sync.StoreSync:
    """Make the sync of a host that knows hosts and a version with customers."""
    keyed = configs.EMPTY_CONFIGURATION._replace(version=5, customers=())
    keys.update_configuration(keyed)
    listed = [facts.Fact(CONFIGURATION_KEY, 1, keyed)]
    for address in addresses:
        host = deployments.Host(f'at {address}', address, 'south')
        key = facts.Key(facts.Subject.HOST, host.name)
        listed.append(facts.Fact(key, 2, host))
    sync = store_sync.StoreSync(
        settings,
        test_decoders.RecordingLog(),
        lambda _: None,
        traffic.TrafficCounts(),
        keys,
    )
    report = facts.Report(2, tuple(listed), full=True, age=0)
    sync.view = store_views.merge_report(
        sync.view, report, 0, returned_at=0
    ).view
    return sync


async def refresh_keys(
    *others: str, store: str = CLOSED_ADDRESS
) -> freshness.Freshness:
    """Run only the refresher of a host until its keys are fresh; return them.

    The host knows version 5 and hosts at the given addresses, and is nearly
    stale.
    """
    keys = freshness.Freshness(REVOKE_S)
    keys.record_read(boot_clock.read_clock() - REVOKE_S / 2, facts.NO_ERA)
    settings = deployments.Settings(
        host=deployments.Host('host-9', CLOSED_ADDRESS, 'south'),
        data_centres=('south',),
        caller_address='',
        readiness_address='',
        metrics_address='',
        seeds=(),
        store_address=store,
        extra_load=clusters.EXTRA_LOAD,
        heartbeat_s=1.2,
        grace_s=6.0,
    )
    sync = make_sync(others, keys, settings)
    refresher = key_refresher.KeyRefresher(
        settings,
        sync,
        keys,
        test_decoders.RecordingLog(),
        traffic.TrafficCounts(),
    )
    task = asyncio.create_task(refresher.run())
    await servers.wait_for(lambda: keys.compute_urgent_delay() > 0)
    await clusters.kill(task)
    refresher.close()
    sync.close()
    return keys


def make_json_script(row: object) -> servers.Script:
    """Make a script that answers every request with a JSON body."""

    async def script(request_head: bytes, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(row).encode()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)

    return script


async def never_respond(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Leave a request without a response."""


def test_polls_another_peer_after_a_hung_one() -> None:
    """Guard against a host that refuses keys because one peer hangs."""
    proof = facts.Proof(-0.1, facts.NO_ERA)
    report = facts.Report(0, (), full=False, age=0, proof=proof)
    row = json.loads(report_codecs.encode_report(report))

    async def check() -> None:
        async with (
            servers.listen(never_respond) as hung,
            servers.listen(make_json_script(row)) as other,
        ):
            keys = await refresh_keys(hung.address, other.address)
            assert not keys.compute_wait()
            assert all(b'version=5' in head for head in other.request_heads)

    servers.run(check())


def test_reads_only_the_configuration() -> None:
    """Guard against a host without reachable peers that refuses keys."""
    encoded = json.dumps(test_customers.make_configuration(5)).encode()
    row = {
        'key': 'op/config',
        'value': base64.b64encode(encoded).decode(),
        'revision': 1,
    }

    async def check() -> None:
        async with servers.listen(make_json_script(row)) as store:
            keys = await refresh_keys(store=store.address)
            assert not keys.compute_wait()
            assert all(b'/kv-key?' in head for head in store.request_heads)

    servers.run(check())


def test_sends_no_proof_without_a_key_deadline() -> None:
    """Deployments without a revocation bound stay unchanged."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            state, metrics, report = await test_customers.fetch_reports(host)
            assert 'keys' not in json.loads(state)
            assert 'keys' not in metrics
            assert 'proof' not in json.loads(report)

    servers.run(check())
