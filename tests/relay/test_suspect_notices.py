"""Test how hosts learn of requests that end their targets."""

import asyncio
import json
import time

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.relay import process, suspect_notices
from fuchsiahaven.routing import events
from tests.relay import clusters, servers

IDENTITY = request_identities.identify('shop', b'one')
KEY = f'fuchsiahaven/quarantines/{IDENTITY.digest}'


def count_crashes(host: process.Process) -> int:
    """Count the moments that speak against ONE at a host."""
    report = host.router.suspects.make_report(IDENTITY, 0)
    return 0 if report is None else report.crashes


def report_crashes(host: process.Process, crashes: int) -> None:
    """Have a host find out that ONE ends its targets."""
    report = suspects.News(IDENTITY, 0, crashes, suspects.MIN_QUARANTINE_S)
    host.runner.post(events.SuspectsReported((report,)))
    host.peer_reporters.notice_sender.publish(report)


def test_notifies_every_host() -> None:
    """Symptom: the caller's repeat ends the targets of the next host."""

    async def check() -> None:
        async with clusters.make() as cluster:
            names = [f'host-{number}' for number in range(3)]
            await asyncio.gather(*[cluster.add_host(name) for name in names])
            await servers.wait_for(
                lambda: all(len(it.router.hosts) == 2 for it in cluster.hosts)
            )
            cluster.store.down = True
            report_crashes(cluster.hosts[0], 1)
            await servers.wait_for(
                lambda: all(count_crashes(it) for it in cluster.hosts)
            )

    servers.run(check())


def test_a_started_host_fetches_reports() -> None:
    """Symptom: each host that starts ends one target of each shard anew."""

    async def check() -> None:
        async with clusters.make() as cluster:
            first = await cluster.add_host('host-0')
            report_crashes(first, 1)
            second = await cluster.add_host('host-1')
            await servers.wait_for(lambda: count_crashes(second) == 1)

    servers.run(check())


def test_a_quarantine_outlives_all_hosts() -> None:
    """Symptom: after all hosts lost power the request ends targets again."""

    async def check() -> None:
        async with clusters.make() as cluster:
            first = await cluster.add_host('host-0')
            report_crashes(first, suspects.MIN_QUARANTINE_CRASHES)
            await servers.wait_for(lambda: KEY in cluster.store.items)
            cluster.hosts.clear()
            other = await cluster.add_host('host-1')
            await servers.wait_for(
                lambda: count_crashes(other) == suspects.MIN_QUARANTINE_CRASHES
            )
            wait = other.router.suspects.compute_wait(
                IDENTITY, time.monotonic()
            )
            assert 0 < wait <= suspects.MIN_QUARANTINE_S

    servers.run(check())


def test_another_host_writes_the_entry() -> None:
    """The store turns the finder away and serves the others."""

    async def check() -> None:
        async with clusters.make() as cluster:
            first = await cluster.add_host('host-0')
            await cluster.add_host('host-1')
            await servers.wait_for(lambda: first.router.hosts)
            first.store_sync.lease_writer.client.address = '127.0.0.1:1'
            report_crashes(first, suspects.MIN_QUARANTINE_CRASHES)
            await servers.wait_for(lambda: KEY in cluster.store.items)

    servers.run(check())


def test_rejects_a_malformed_notice() -> None:
    """Whoever sends nonsense is told so, and nothing is held back."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-0')
            address, _, port = host.settings.host.address.rpartition(':')
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(
                f'POST {suspect_notices.PATH} HTTP/1.1\r\nHost: a\r\n'
                'Connection: close\r\nContent-Length: 2\r\n\r\n[]'.encode()
            )
            answer = await reader.read()
            writer.close()
            assert b' 400 ' in answer.split(b'\r\n')[0]
            assert not host.router.suspects.list_reports(0)

    servers.run(check())


def test_state_lists_quarantines() -> None:
    """An operator sees it without reading the log."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-0')
            report_crashes(host, suspects.MIN_QUARANTINE_CRASHES)
            address = host.settings.host.address
            _, _, body = await clusters.fetch(address, '/v1/state')
            (quarantine,) = json.loads(body)['quarantined']
            assert quarantine['digest'] == IDENTITY.digest

    servers.run(check())


def test_reaches_a_large_deployment_in_few_hops() -> None:
    """Each host tells a few others."""
    assert suspect_notices.compute_hops(suspect_notices.FAN_OUT) == 0
    hops = suspect_notices.compute_hops(3100)
    assert suspect_notices.FAN_OUT**hops > 3100
