"""Test how hosts learn of requests that crash their targets."""

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
    """Return the crashes that a host has recorded for IDENTITY."""
    report = host.router.suspects.make_report(IDENTITY, 0)
    return 0 if report is None else report.crashes


def report_crashes(host: process.Process, crashes: int) -> None:
    """Make a host report that IDENTITY has crashed targets."""
    report = suspects.News(IDENTITY, 0, crashes, suspects.MIN_QUARANTINE_S)
    host.runner.post(events.SuspectsReported((report,)))
    host.peer_reporters.notice_sender.publish(report)


def test_notifies_every_host() -> None:
    """Guard against a caller's retry that crashes targets by the next host."""

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
    """Guard against started hosts that each crash a target of each shard."""

    async def check() -> None:
        async with clusters.make() as cluster:
            first = await cluster.add_host('host-0')
            report_crashes(first, 1)
            second = await cluster.add_host('host-1')
            await servers.wait_for(lambda: count_crashes(second) == 1)

    servers.run(check())


def test_a_quarantine_outlives_all_hosts() -> None:
    """Guard against new crashes by the request after all hosts lost power."""

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
    """The store refuses the reporting host and accepts the others."""

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
    """A malformed notice is refused with status 400 and has no effect."""

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
    """Operators see quarantines without reading the log."""

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
    """Each host forwards a notice to a few others."""
    assert suspect_notices.compute_hops(suspect_notices.FAN_OUT) == 0
    hops = suspect_notices.compute_hops(3100)
    assert suspect_notices.FAN_OUT**hops > 3100
