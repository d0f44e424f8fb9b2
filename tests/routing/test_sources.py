"""Test from whom a host gets its news."""

from fuchsiahaven.routing import places, sources

OWN = places.Host('b', '10.0.0.2:1', 'north')
NEAR = places.Host('a', '10.0.0.1:1', 'north')
FAR = places.Host('0', '10.0.1.1:1', 'south')


def make_view(
    *hosts: places.Host,
    doubted: dict[str, float] | None = None,
    behind: dict[str, float] | None = None,
    store_doubted: float = 0,
) -> sources.View:
    """Make what a host chooses its source by."""
    return sources.View(
        OWN,
        hosts,
        ('10.0.9.9:1',),
        doubted or {},
        store_doubted,
        behind or {},
    )


def test_asks_the_first_of_its_data_centre() -> None:
    """The first host by name of the own data centre passes news on."""
    view = make_view(OWN, NEAR, FAR)
    assert sources.choose(view, 1, 0) == sources.Peer(NEAR.address)


def test_asks_the_reader_as_the_first_of_its_data_centre() -> None:
    """The first host of all reads the store, for all data centres."""
    assert sources.choose(make_view(OWN, FAR), 1, 0) == sources.Peer(
        FAR.address
    )
    assert sources.choose(make_view(OWN), 1, 0) == sources.Store()


def test_reads_the_store_where_the_reader_is_in_doubt() -> None:
    """Symptom: news stands still because its one reader has died."""
    view = make_view(OWN, FAR, doubted={FAR.address: 5})
    assert sources.choose(view, 1, 0) == sources.Store()
    assert sources.choose(view, 6, 0) == sources.Peer(FAR.address)


def test_passes_over_the_first_of_its_data_centre_in_doubt() -> None:
    """Symptom: the hosts of a data centre wait for one that is gone."""
    view = make_view(OWN, NEAR, doubted={NEAR.address: 5})
    assert sources.choose(view, 1, 0) == sources.Store()


def test_reads_the_store_after_two_of_its_data_centre() -> None:
    """Symptom: hosts are at an old version for ten seconds after an outage.

    All hosts of a data centre are out of date. Asking them one after the
    other takes most of a second each, and the store is back meanwhile.
    """
    near = [places.Host(f'a{n}', f'10.0.2.{n}:1', 'north') for n in range(9)]
    behind = {near[0].address: 5.0, near[1].address: 5.0}
    view = make_view(OWN, *near, behind=behind)
    assert sources.choose(view, 1, 0) == sources.Store()
    behind.pop(near[1].address)
    assert sources.choose(view, 1, 0) == sources.Peer(near[1].address)


def test_asks_any_host_where_the_store_turns_it_away() -> None:
    """Symptom: one host stays at an old version while the others move on."""
    later = places.Host('c', '10.0.1.3:1', 'south')
    view = make_view(OWN, later, store_doubted=5)
    assert sources.choose(view, 1, 0) == sources.Peer(later.address)
    assert sources.choose(view, 1, 0.9) == sources.Peer('10.0.9.9:1')
    near = places.Host('d', '10.0.2.7:1', 'north')
    view = make_view(OWN, later, near, store_doubted=5)
    assert sources.choose(view, 1, 0) == sources.Peer(near.address)


def test_doubts_for_longer_what_fails_again() -> None:
    """A host that is gone is tried less and less often."""
    doubts = [
        sources.count_doubt(times, starting=False) for times in (1, 2, 3, 9)
    ]
    assert doubts == [3, 6, 12, 24]


def test_asks_a_seed_at_the_start() -> None:
    """Symptom: hosts that all start at once each list the whole store."""
    assert sources.choose(make_view(), 1, 0) == sources.Peer('10.0.9.9:1')
    view = make_view(doubted={'10.0.9.9:1': 5})
    assert sources.choose(view, 1, 0) == sources.Store()


def test_asks_the_seed_whose_address_is_most_like_its_own() -> None:
    """Symptom: the first news of each host come from another data centre."""
    own = OWN._replace(address='10.2.0.7:1')
    seeds = ('10.1.0.4:1', '10.2.0.4:1', '10.3.0.2:1')
    view = make_view()._replace(own=own, seeds=seeds)
    draws = (0, 0.5, 0.9)
    asked = {sources.choose(view, 1, draw) for draw in draws}
    assert asked == {sources.Peer('10.2.0.4:1')}
    alike = view._replace(own=own._replace(address='10.9.0.7:1'))
    asked = {sources.choose(alike, 1, draw) for draw in draws}
    assert asked == {sources.Peer(seed) for seed in seeds}


def test_reads_the_store_at_the_start_if_it_is_a_seed() -> None:
    """Somebody has to know something."""
    view = make_view()._replace(seeds=(OWN.address, '10.0.9.9:1'))
    assert sources.choose(view, 1, 0) == sources.Store()


def test_asks_again_at_once_while_it_starts() -> None:
    """Symptom: all hosts are back, and some refuse for 0.3 s more.

    All hosts lost power at once; one that is back first asks a seed that is
    still dark. The seed is there a moment later, but was passed over for
    seconds, and the wait for its connection was the one of a running host.
    """
    assert sources.count_doubt(4, starting=True) <= 0.1


def test_reads_the_store_where_one_seed_is_missing() -> None:
    """Symptom: hosts that have power again refuse until the seeds have it.

    All lost power at once and the seeds were the last to get it back. The
    others asked one seed after the other, 0.25 s in all.
    """
    view = make_view(doubted={'10.0.9.9:1': 5})._replace(
        seeds=('10.0.9.9:1', '10.0.9.8:1')
    )
    assert sources.choose(view, 1, 0) == sources.Store()
    without_store = view._replace(store_doubted=2)
    assert sources.choose(without_store, 1, 0) == sources.Peer('10.0.9.8:1')


def test_waits_for_the_seeds_when_the_whole_system_starts() -> None:
    """Symptom: a first start costs the store one listing a host.

    All hosts start within 0.3 s, in any order, and whoever found one seed
    missing read the store. Nobody calls them yet.
    """
    seeds = ('10.0.9.9:1', '10.0.9.8:1')
    view = make_view(doubted=dict.fromkeys(seeds, 5.0))._replace(seeds=seeds)
    assert sources.choose(view, 1, 0) == sources.Store()
    patient = view._replace(patient=True)
    assert sources.choose(patient, 1, 0) == sources.Peer(seeds[0])
    # A seed reads: somebody has to know something.
    seed = patient._replace(seeds=(OWN.address, *seeds))
    assert sources.choose(seed, 1, 0) == sources.Store()


def test_a_seed_without_the_store_asks_another_seed() -> None:
    """A host does not ask itself."""
    view = make_view(store_doubted=5)._replace(
        seeds=(OWN.address, '10.0.9.8:1')
    )
    assert sources.choose(view, 1, 0) == sources.Peer('10.0.9.8:1')


def test_few_hosts_read_a_store_that_is_back() -> None:
    """Symptom: queries are late for a second when the store is back.

    It was away for eight seconds and all hosts are out of date. Each of them
    read and decoded the whole listing, forty of 63 within half a second.
    """
    near = [
        places.Host(f'n{n:02}', f'10.0.2.{n}:1', 'north') for n in range(21)
    ]
    first = near[: sources.DEPUTIES]
    behind = {it.address: 5.0 for it in first}
    readers = 0
    for place, own in enumerate(near):
        others = [it for it in near if it != own]
        view = make_view(*others, behind=behind)._replace(own=own)
        chosen = sources.choose(view, 1, place / len(near))
        readers += chosen == sources.Store()
        assert chosen != sources.Peer(own.address)
    assert sources.DEPUTIES <= readers <= sources.DEPUTIES + sources.READERS


def test_the_next_hosts_read_where_the_first_ones_do_not_answer() -> None:
    """Symptom: news stand still for seconds after half of the hosts are killed.

    Both hosts that the others ask are gone. Somebody has to read the store at
    once, and the others have to know who.
    """
    near = [places.Host(f'n{n}', f'10.0.2.{n}:1', 'north') for n in range(9)]
    doubted = {it.address: 5.0 for it in near[: sources.DEPUTIES]}
    chosen = [
        sources.choose(
            make_view(*near, doubted=doubted)._replace(own=own), 1, 0.5
        )
        for own in near[sources.DEPUTIES :]
    ]
    assert chosen[0] == sources.Store()
    assert set(chosen[1:]) == {sources.Peer(near[2].address)}


def test_tries_a_few_hosts_and_the_store_by_a_second_way() -> None:
    """Symptom: all hosts of a data centre press a store that is back."""
    near = [places.Host(f'a{n}', f'10.0.2.{n}:1', 'north') for n in range(19)]
    hosts = (*near, OWN, FAR)

    def choose(draw: float, failed: tuple[str, ...] = ()) -> sources.Source:
        return sources.choose_second(OWN, hosts, failed, draw)

    assert choose(0.09) == sources.Store()
    assert choose(0.11) == sources.Peer(near[0].address)
    assert choose(0.11, (near[0].address,)) == sources.Peer(near[1].address)
    assert choose(0.999) == sources.Peer(FAR.address)
    everybody = tuple(host.address for host in hosts)
    assert choose(0.999, everybody) == sources.Store()


def test_reads_the_store_by_a_second_way_where_no_other_host_is_known() -> None:
    """A host that is alone proves by itself what it knows."""
    assert sources.choose_second(OWN, (), (), 0.9) == sources.Store()
    assert sources.choose_second(OWN, (OWN,), (), 0.9) == sources.Store()
