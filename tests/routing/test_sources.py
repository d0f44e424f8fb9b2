"""Test from whom a host gets its news."""

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
    """Make what a host chooses its source by."""
    return sources.SourceInputs(
        OWN,
        hosts,
        ('10.0.9.9:1',),
        failed_until or {},
        store_failed_until,
        stale_until or {},
    )


def test_polls_the_first_host_of_its_data_centre() -> None:
    """The first host by name of the own data centre passes news on."""
    inputs = make_inputs(OWN, NEAR, FAR)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(NEAR.address)


def test_polls_the_reader_as_the_first_of_its_data_centre() -> None:
    """The first host of all reads the store, for all data centres."""
    assert sources.choose_source(make_inputs(OWN, FAR), 1, 0) == sources.Peer(
        FAR.address
    )
    assert sources.choose_source(make_inputs(OWN), 1, 0) == sources.Store()


def test_reads_the_store_after_the_reader_failed() -> None:
    """Symptom: news stands still because its one reader has died."""
    inputs = make_inputs(OWN, FAR, failed_until={FAR.address: 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    assert sources.choose_source(inputs, 6, 0) == sources.Peer(FAR.address)


def test_skips_a_failed_first_host_of_its_data_centre() -> None:
    """Symptom: the hosts of a data centre wait for one that is gone."""
    inputs = make_inputs(OWN, NEAR, failed_until={NEAR.address: 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_reads_the_store_after_two_stale_hosts() -> None:
    """Symptom: hosts are at an old version for ten seconds after an outage.

    All hosts of a data centre are out of date. Asking them one after the
    other takes most of a second each, and the store is back meanwhile.
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
    """Symptom: one host stays at an old version while the others move on."""
    later = deployments.Host('c', '10.0.1.3:1', 'south')
    inputs = make_inputs(OWN, later, store_failed_until=5)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(later.address)
    assert sources.choose_source(inputs, 1, 0.9) == sources.Peer('10.0.9.9:1')
    near = deployments.Host('d', '10.0.2.7:1', 'north')
    inputs = make_inputs(OWN, later, near, store_failed_until=5)
    assert sources.choose_source(inputs, 1, 0) == sources.Peer(near.address)


def test_backs_off_longer_after_each_failure() -> None:
    """A host that is gone is tried less and less often."""
    delays = [
        sources.compute_backoff(failures, starting=False)
        for failures in (1, 2, 3, 9)
    ]
    assert delays == [3, 6, 12, 24]


def test_polls_a_seed_at_the_start() -> None:
    """Symptom: hosts that all start at once each list the whole store."""
    assert sources.choose_source(make_inputs(), 1, 0) == sources.Peer(
        '10.0.9.9:1'
    )
    inputs = make_inputs(failed_until={'10.0.9.9:1': 5})
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_polls_the_seed_with_the_most_similar_address() -> None:
    """Symptom: the first news of each host come from another data centre."""
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
    """Somebody has to know something."""
    inputs = make_inputs()._replace(seeds=(OWN.address, '10.0.9.9:1'))
    assert sources.choose_source(inputs, 1, 0) == sources.Store()


def test_retries_at_once_while_it_starts() -> None:
    """Symptom: all hosts are back, and some refuse for 0.3 s more.

    All hosts lost power at once; one that is back first asks a seed that is
    still dark. The seed is there a moment later, but was passed over for
    seconds, and the wait for its connection was the one of a running host.
    """
    assert sources.compute_backoff(4, starting=True) <= 0.1


def test_reads_the_store_where_one_seed_is_missing() -> None:
    """Symptom: hosts that have power again refuse until the seeds have it.

    All lost power at once and the seeds were the last to get it back. The
    others asked one seed after the other, 0.25 s in all.
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
    """Symptom: a first start costs the store one listing a host.

    All hosts start within 0.3 s, in any order, and whoever found one seed
    missing read the store. Nobody calls them yet.
    """
    seeds = ('10.0.9.9:1', '10.0.9.8:1')
    inputs = make_inputs(failed_until=dict.fromkeys(seeds, 5.0))._replace(
        seeds=seeds
    )
    assert sources.choose_source(inputs, 1, 0) == sources.Store()
    waiting = inputs._replace(can_wait=True)
    assert sources.choose_source(waiting, 1, 0) == sources.Peer(seeds[0])
    # A seed reads: somebody has to know something.
    seed = waiting._replace(seeds=(OWN.address, *seeds))
    assert sources.choose_source(seed, 1, 0) == sources.Store()


def test_a_seed_without_the_store_polls_another_seed() -> None:
    """A host does not ask itself."""
    inputs = make_inputs(store_failed_until=5)._replace(
        seeds=(OWN.address, '10.0.9.8:1')
    )
    assert sources.choose_source(inputs, 1, 0) == sources.Peer('10.0.9.8:1')


def test_few_hosts_read_a_store_after_an_outage() -> None:
    """Symptom: queries are late for a second when the store is back.

    It was away for eight seconds and all hosts are out of date. Each of them
    read and decoded the whole listing, forty of 63 within half a second.
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
    """Symptom: news stand still for seconds after half of the hosts are killed.

    Both hosts that the others ask are gone. Somebody has to read the store at
    once, and the others have to know who.
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
    """Symptom: all hosts of a data centre press a store that is back."""
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
    """A host that is alone proves by itself what it knows."""
    assert sources.choose_alternate(OWN, (), (), 0.9) == sources.Store()
    assert sources.choose_alternate(OWN, (OWN,), (), 0.9) == sources.Store()
