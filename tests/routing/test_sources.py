"""Test from whom a host gets its news."""

from fuchsiahaven.routing import places, sources

OWN = places.Host('b', '10.0.0.2:1', 'north')
NEAR = places.Host('a', '10.0.0.1:1', 'north')
FAR = places.Host('0', '10.0.1.1:1', 'south')


def make_view(
    *hosts: places.Host,
    doubted: dict[str, float] | None = None,
    store_doubted: float = 0,
) -> sources.View:
    """Make what a host chooses its source by."""
    return sources.View(
        OWN, hosts, ('10.0.9.9:1',), doubted or {}, store_doubted
    )


def test_asks_the_reader_of_its_data_centre() -> None:
    """The first host by name reads; one of another data centre does not."""
    view = make_view(OWN, NEAR, FAR)
    assert sources.choose(view, 1, 0) == sources.Peer(NEAR.address)


def test_reads_the_store_where_no_reader_is_left() -> None:
    """Symptom: news stands still because its one reader has died."""
    view = make_view(OWN, NEAR, FAR, doubted={NEAR.address: 5})
    assert sources.choose(view, 1, 0) == sources.Store()
    assert sources.choose(view, 6, 0) == sources.Peer(NEAR.address)


def test_asks_any_host_where_the_store_turns_it_away() -> None:
    """Symptom: one host stays at an old version while the others move on."""
    view = make_view(OWN, FAR, store_doubted=5)
    assert sources.choose(view, 1, 0) == sources.Peer(FAR.address)
    assert sources.choose(view, 1, 0.9) == sources.Peer('10.0.9.9:1')
