"""Test hosts whose store comes back from an older copy of itself."""

import asyncio
import time

from fuchsiahaven.core import suspects
from tests.relay import peers, test_notices, worlds

HOST_KEY = 'fuchsiahaven/hosts/host-1'


def test_has_each_version_in_force_soon_after_a_restore() -> None:
    """Symptom: accepted configurations are not in force for many seconds.

    The store comes back with lower revisions and gives them out again; what is
    written then ranks below what hosts hold of the history before.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            await world.add_host('host-2')
            copy = world.store.copy()
            for version in (5, 7, 9):
                world.store.put('op/config', worlds.make_configuration(version))
            await world.wait_for_version(9)
            world.store.restore(copy)
            await world.accept(12)

    peers.run(check())


def test_reads_a_value_anew_at_a_revision_that_was_given_out_before() -> None:
    """Symptom: a host takes the version before for the one that it reads.

    What was decoded is remembered by its revision, which the store gives out
    again for another value.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            await world.settle()
            copy = world.store.copy()
            await world.accept(9)
            world.store.restore(copy)
            await world.accept(12)

    peers.run(check())


def test_enters_itself_again_under_a_lease_of_its_own() -> None:
    """Symptom: a host is missing to the others, though its lease is renewed.

    The lease was lost with the entry, and its number is another's now: neither
    is it renewed nor ended.
    """

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1')
            await world.settle()
            copy = worlds.copy_without(world.store, 'fuchsiahaven/hosts/')
            world.store.restore(copy)
            other = world.store.history.open_lease(60, time.monotonic())
            held = world.store.history.leases[other]
            await peers.wait_for(lambda: HOST_KEY in world.store.items)
            assert world.store.items[HOST_KEY]['lease'] != other
            assert world.store.history.leases[other] == held
            assert not world.store.calls[f'/kv-keep/{other}']

    peers.run(check())


def test_keeps_counting_hosts_that_enter_themselves_again() -> None:
    """Symptom: after a restore each host takes all of the bound on repeats."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_hosts('host-1', 'host-2', 'host-3')
            copy = worlds.copy_without(world.store, 'fuchsiahaven/hosts/')
            world.store.restore(copy)
            await world.settle()
            assert all(it.desk.host_count == 3 for it in world.hosts)

    peers.run(check())


def test_does_not_enter_itself_under_a_lease_of_another_era() -> None:
    """Symptom: the entry goes with somebody else's lease.

    The store comes back between the two calls that make an entry.
    """

    async def check() -> None:
        async with worlds.make() as world:
            copy = world.store.copy()
            found: list[int] = []

            def come_back(_: int) -> None:
                if not found:
                    world.store.restore(copy)
                    now = time.monotonic()
                    found.append(world.store.history.open_lease(60, now))

            world.store.on_lease = come_back
            await world.add_host('host-1')
            await peers.wait_for(
                lambda: (
                    HOST_KEY in world.store.items
                    and world.store.items[HOST_KEY]['lease'] not in found
                )
            )

    peers.run(check())


def test_enters_quarantines_again() -> None:
    """Symptom: a host that starts ends one target of each shard anew."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            await world.settle()
            copy = world.store.copy()
            test_notices.find_out(host, suspects.MIN_QUARANTINE_CRASHES)
            await peers.wait_for(lambda: test_notices.KEY in world.store.items)
            world.store.restore(copy)
            await peers.wait_for(lambda: test_notices.KEY in world.store.items)

    peers.run(check())


def test_passes_a_restore_on_to_a_host_that_the_store_turns_away() -> None:
    """Symptom: one host stays in the era before, and at its version."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_hosts('host-1', 'host-2')
            second = world.hosts[1]
            second.news.store.address = '127.0.0.1:1'
            second.news.store.close()
            copy = world.store.copy()
            await world.accept(9)
            world.store.restore(copy)
            await world.accept(12)
            assert second.news.ledger.era == world.store.era

    peers.run(check())


def test_follows_two_restores_within_a_second() -> None:
    """Symptom: the second return is taken for the first one."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_hosts('host-1', 'host-2')
            older = world.store.copy()
            await world.accept(9)
            newer = world.store.copy()
            world.store.put('op/config', worlds.make_configuration(10))
            world.store.restore(newer)
            await asyncio.sleep(0.3)
            world.store.restore(older, 2)
            await world.accept(12)
            assert all(it.news.ledger.era == 4 for it in world.hosts)

    peers.run(check())


def test_a_host_that_starts_after_a_restore_is_not_set_back() -> None:
    """Symptom: a host that restarts serves the version of the copy.

    The operator has not written again yet; the other host has the version.
    """

    async def check() -> None:
        async with worlds.make() as world:
            first = await world.add_host('host-1')
            copy = world.store.copy()
            await world.accept(9)
            world.store.restore(copy)
            await peers.wait_for(lambda: first.news.ledger.era == 2)
            await world.add_host('host-2')
            await world.wait_for_version(9)

    peers.run(check())
