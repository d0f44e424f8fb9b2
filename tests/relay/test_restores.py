"""Test hosts whose store is restored from an older copy."""

import asyncio
import time

from fuchsiahaven.core import suspects
from tests.relay import clusters, servers, test_suspect_notices

HOST_KEY = 'fuchsiahaven/hosts/host-1'


def test_applies_versions_after_a_restore() -> None:
    """Guard against configurations that are not in force for many seconds.

    The restored store has a lower revision and assigns revisions again, so new
    writes have lower revisions than those that hosts hold of the earlier era.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            await cluster.add_host('host-2')
            copy = cluster.store.copy()
            for version in (5, 7, 9):
                cluster.store.put(
                    'op/config', clusters.make_configuration(version)
                )
            await cluster.wait_for_version(9)
            cluster.store.restore(copy)
            await cluster.put_version(12)

    servers.run(check())


def test_decodes_a_reused_revision_again() -> None:
    """Guard against a host that uses an earlier version for the one it reads.

    Decoded values are cached by revision, and the restored store assigns a
    revision again to another value.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            await cluster.wait_for_hosts()
            copy = cluster.store.copy()
            await cluster.put_version(9)
            cluster.store.restore(copy)
            await cluster.put_version(12)

    servers.run(check())


def test_writes_its_entry_under_a_new_lease() -> None:
    """Guard against a host without an entry that renews its old lease.

    The lease was lost with the entry, and its number now belongs to another
    writer. The host must neither renew nor end it.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1')
            await cluster.wait_for_hosts()
            copy = clusters.copy_without(cluster.store, 'fuchsiahaven/hosts/')
            cluster.store.restore(copy)
            other = cluster.store.history.open_lease(60, time.monotonic())
            held = cluster.store.history.leases[other]
            await servers.wait_for(lambda: HOST_KEY in cluster.store.items)
            assert cluster.store.items[HOST_KEY]['lease'] != other
            assert cluster.store.history.leases[other] == held
            assert not cluster.store.calls[f'/kv-keep/{other}']

    servers.run(check())


def test_keeps_the_host_count_after_a_restore() -> None:
    """Guard against hosts that each use all extra load after a restore."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_hosts('host-1', 'host-2', 'host-3')
            copy = clusters.copy_without(cluster.store, 'fuchsiahaven/hosts/')
            cluster.store.restore(copy)
            await cluster.wait_for_hosts()
            assert all(it.router.host_count == 3 for it in cluster.hosts)

    servers.run(check())


def test_rejects_a_lease_of_another_era() -> None:
    """Guard against an entry that ends with another writer's lease.

    The store is restored between the two calls that write an entry.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            copy = cluster.store.copy()
            foreign_leases: list[int] = []

            def restore_store(_: int) -> None:
                if not foreign_leases:
                    cluster.store.restore(copy)
                    now = time.monotonic()
                    foreign_leases.append(
                        cluster.store.history.open_lease(60, now)
                    )

            cluster.store.on_lease_opened = restore_store
            await cluster.add_host('host-1')
            await servers.wait_for(
                lambda: (
                    HOST_KEY in cluster.store.items
                    and cluster.store.items[HOST_KEY]['lease']
                    not in foreign_leases
                )
            )

    servers.run(check())


def test_writes_quarantines_again() -> None:
    """Guard against a started host that crashes a target of each shard."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            await cluster.wait_for_hosts()
            copy = cluster.store.copy()
            test_suspect_notices.report_crashes(
                host, suspects.MIN_QUARANTINE_CRASHES
            )
            await servers.wait_for(
                lambda: test_suspect_notices.KEY in cluster.store.items
            )
            cluster.store.restore(copy)
            await servers.wait_for(
                lambda: test_suspect_notices.KEY in cluster.store.items
            )

    servers.run(check())


def test_forwards_a_restore_to_a_cut_off_host() -> None:
    """Guard against one host that stays in the earlier era and its version."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_hosts('host-1', 'host-2')
            second = cluster.hosts[1]
            second.store_sync.store_client.address = '127.0.0.1:1'
            second.store_sync.store_client.close()
            copy = cluster.store.copy()
            await cluster.put_version(9)
            cluster.store.restore(copy)
            await cluster.put_version(12)
            assert second.store_sync.view.era == cluster.store.era

    servers.run(check())


def test_handles_two_restores_within_a_second() -> None:
    """Guard against a second restore that is taken for the first."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_hosts('host-1', 'host-2')
            older = cluster.store.copy()
            await cluster.put_version(9)
            newer = cluster.store.copy()
            cluster.store.put('op/config', clusters.make_configuration(10))
            cluster.store.restore(newer)
            await asyncio.sleep(0.3)
            cluster.store.restore(older, 2)
            await cluster.put_version(12)
            assert all(it.store_sync.view.era == 4 for it in cluster.hosts)

    servers.run(check())


def test_a_started_host_gets_the_latest_version() -> None:
    """Guard against a restarted host that serves the version of the copy.

    The operator has not written the later version again, but the other host
    still has it.
    """

    async def check() -> None:
        async with clusters.make() as cluster:
            first = await cluster.add_host('host-1')
            copy = cluster.store.copy()
            await cluster.put_version(9)
            cluster.store.restore(copy)
            await servers.wait_for(lambda: first.store_sync.view.era == 2)
            await cluster.add_host('host-2')
            await cluster.wait_for_version(9)

    servers.run(check())
