"""Test hosts whose store comes back from an older copy of itself."""

from tests.relay import peers, worlds


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
            world.store.put('op/config', worlds.make_configuration(12))
            await world.wait_for_version(12)

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
            world.store.put('op/config', worlds.make_configuration(9))
            await world.wait_for_version(9)
            world.store.restore(copy)
            world.store.put('op/config', worlds.make_configuration(12))
            await world.wait_for_version(12)

    peers.run(check())
