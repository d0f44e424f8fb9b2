"""Test the choice of the source of a host's reports."""

from fuchsiahaven.routing import deployments, sources

OWN = deployments.Host('b', '10.0.0.2:1', 'north')
NEAR = deployments.Host('a', '10.0.0.1:1', 'north')
FAR = deployments.Host('0', '10.0.1.1:1', 'south')


def make_inputs(
    *hosts: deployments.Host,
    failed_until: dict[str, float] | None = None,
    stale_until: dict[str, float] | None = None,
    store_failed_until: float = 0,
) -> sources.SourceInputs:
    """Make the inputs of the choice."""
    return sources.SourceInputs(
        OWN,
        hosts,
        ('10.0.9.9:1',),
        failed_until or {},
        store_failed_until,
        stale_until or {},
    )


def test_polls_the_first_host_of_its_data_centre() -> None:
    """The first host by name of the own data centre passes reports on."""
    inputs = make_inputs(OWN, NEAR, FAR)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(NEAR.address)


def test_polls_the_reader_as_the_first_of_its_data_centre() -> None:
    """The first host of all reads the store, for all data centres."""
    assert sources.choose_source(make_inputs(OWN, FAR), 1, 0) == sources.Peer(
        FAR.address
    )
    assert sources.choose_source(make_inputs(OWN), 1, 0) == sources.Store()


def test_reads_the_store_after_the_reader_failed() -> None:
    """Guard against views that stop updating when the only reader dies."""
    inputs = make_inputs(OWN, FAR, failed_until={FAR.address: 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    assert sources.choose_source(inputs, 6, 0) == sources.Peer(FAR.address)


def test_skips_a_failed_first_host_of_its_data_centre() -> None:
    """Guard against a data centre whose hosts wait for a dead one."""
    inputs = make_inputs(OWN, NEAR, failed_until={NEAR.address: 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_reads_the_store_after_two_stale_hosts() -> None:
    """Guard against hosts at an old version for ten seconds after an outage.

    All hosts of a data centre are stale. Polling them in turn takes most of a
    second each, while the store is already back.
    """
    near = [
        deployments.Host(f'a{n}', f'10.0.2.{n}:1', 'north') for n in range(9)
    ]
    stale_until = {near[0].address: 5.0, near[1].address: 5.0}
    inputs = make_inputs(OWN, *near, stale_until=stale_until)
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    stale_until.pop(near[1].address)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(near[1].address)


def test_polls_any_host_while_the_store_fails() -> None:
    """Guard against one host that stays at an old version.

    The store rejects it while the other hosts move on.
    """
    later = deployments.Host('c', '10.0.1.3:1', 'south')
    inputs = make_inputs(OWN, later, store_failed_until=5)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(later.address)
    assert sources.choose_source(inputs, 1, 0.9) == sources.Peer('10.0.9.9:1')
    near = deployments.Host('d', '10.0.2.7:1', 'north')
    inputs = make_inputs(OWN, later, near, store_failed_until=5)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(near.address)


def test_backs_off_longer_after_each_failure() -> None:
    """A host that is gone is polled less and less often."""
    delays = [
        sources.compute_backoff(failures, starting=False)
        for failures in (1, 2, 3, 9)
    ]
    assert delays == [3, 6, 12, 24]


def test_polls_a_seed_at_the_start() -> None:
    """Guard against a full listing by each host when all start together."""
    assert sources.choose_source(make_inputs(), 1, 0) == sources.Peer(
        '10.0.9.9:1'
    )
    inputs = make_inputs(failed_until={'10.0.9.9:1': 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_polls_the_seed_with_the_most_similar_address() -> None:
    """Guard against first reports that come from another data centre."""
    own = OWN._replace(address='10.2.0.7:1')
    seeds = ('10.1.0.4:1', '10.2.0.4:1', '10.3.0.2:1')
    inputs = make_inputs()._replace(own=own, seeds=seeds)
    draws = (0, 0.5, 0.9)
    chosen = {sources.choose_source(inputs, 1, draw) for draw in draws}
    assert chosen == {sources.Peer('10.2.0.4:1')}
    dissimilar = inputs._replace(own=own._replace(address='10.9.0.7:1'))
    chosen = {sources.choose_source(dissimilar, 1, draw) for draw in draws}
    assert chosen == {sources.Peer(seed) for seed in seeds}


def test_reads_the_store_at_the_start_if_it_is_a_seed() -> None:
    """At least one host has to read the store."""
    inputs = make_inputs()._replace(seeds=(OWN.address, '10.0.9.9:1'))
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_retries_at_once_while_it_starts() -> None:
    """Guard against 0.3 s of further refusals after a power loss.

    All hosts lost power together, and one that is back first polls a seed that
    is still down. The seed is up a moment later, but was not polled again for
    seconds, and the time-out of its connection was that of a running host.
    """
    assert sources.compute_backoff(4, starting=True) <= 0.1


def test_reads_the_store_where_one_seed_is_missing() -> None:
    """Guard against hosts that refuse until the seeds have power again.

    The seeds were the last to get it back, and the others polled one seed after
    the other, 0.25 s in all.
    """
    inputs = make_inputs(failed_until={'10.0.9.9:1': 5})._replace(
        seeds=('10.0.9.9:1', '10.0.9.8:1')
    )
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    without_store = inputs._replace(store_failed_until=2)
    assert sources.choose_source(without_store, 1, 0) == sources.Peer(
        '10.0.9.8:1'
    )


def test_waits_for_the_seeds_when_the_whole_system_starts() -> None:
    """Guard against one listing per host at the first start of the system.

    All hosts start within 0.3 s in any order, and each that found one seed
    missing read the store. Nobody sends requests yet.
    """
    seeds = ('10.0.9.9:1', '10.0.9.8:1')
    inputs = make_inputs(failed_until=dict.fromkeys(seeds, 5.0))._replace(
        seeds=seeds
    )
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    waiting = inputs._replace(can_wait=True)
    assert sources.choose_source(waiting, 1, 0) == sources.Peer(seeds[0])
    # A seed reads the store, because at least one host has to.
    seed = waiting._replace(seeds=(OWN.address, *seeds))
    assert sources.choose_source(seed, 1, 0) == sources.Store()


def test_a_seed_without_the_store_polls_another_seed() -> None:
    """A host does not poll itself."""
    inputs = make_inputs(store_failed_until=5)._replace(
        seeds=(OWN.address, '10.0.9.8:1')
    )
    assert sources.choose_source(inputs, 1, 0) == sources.Peer('10.0.9.8:1')


def test_few_hosts_read_a_store_after_an_outage() -> None:
    """Guard against queries that are late for a second after an outage.

    After eight seconds without the store all hosts are stale. Each one listed
    it and decoded the listing, forty of 63 within half a second.
    """
    near = [
        deployments.Host(f'n{n:02}', f'10.0.2.{n}:1', 'north')
        for n in range(21)
    ]
    first = near[: sources.DESIGNATED_HOSTS]
    stale_until = {it.address: 5.0 for it in first}
    readers = 0
    for position, own in enumerate(near):
        others = [it for it in near if it != own]
        inputs = make_inputs(*others, stale_until=stale_until)._replace(own=own)
        chosen = sources.choose_source(inputs, 1, position / len(near))
        readers += chosen == sources.Store()
        assert chosen != sources.Peer(own.address)
    assert (
        sources.DESIGNATED_HOSTS
        <= readers
        <= sources.DESIGNATED_HOSTS + sources.EXTRA_READERS
    )


def test_the_next_host_reads_after_the_designated_ones_fail() -> None:
    """Guard against seconds without updates after half of the hosts died.

    Both hosts that the others poll are gone. One host has to read the store at
    once, and the others have to agree which.
    """
    near = [
        deployments.Host(f'n{n}', f'10.0.2.{n}:1', 'north') for n in range(9)
    ]
    failed_until = {it.address: 5.0 for it in near[: sources.DESIGNATED_HOSTS]}
    chosen = [
        sources.choose_source(
            make_inputs(*near, failed_until=failed_until)._replace(own=own),
            1,
            0.5,
        )
        for own in near[sources.DESIGNATED_HOSTS :]
    ]
    assert chosen[0] == sources.Store()
    assert set(chosen[1:]) == {sources.Peer(near[2].address)}


def test_chooses_few_alternate_readers_of_the_store() -> None:
    """Guard against all hosts of a data centre reading a returned store."""
    near = [
        deployments.Host(f'a{n}', f'10.0.2.{n}:1', 'north') for n in range(19)
    ]
    hosts = (*near, OWN, FAR)

    def choose(draw: float, failed: tuple[str, ...] = ()) -> sources.Source:
        return sources.choose_alternate(OWN, hosts, failed, draw)

    assert choose(0.09) == sources.Store()
    assert choose(0.11) == sources.Peer(near[0].address)
    assert choose(0.11, (near[0].address,)) == sources.Peer(near[1].address)
    assert choose(0.999) == sources.Peer(FAR.address)
    everybody = tuple(host.address for host in hosts)
    assert choose(0.999, everybody) == sources.Store()


def test_the_alternate_of_a_single_host_is_the_store() -> None:
    """A host that is alone proves its own knowledge."""
    assert sources.choose_alternate(OWN, (), (), 0.9) == sources.Store()
    assert sources.choose_alternate(OWN, (OWN,), (), 0.9) == sources.Store()
