"""Choose from whom a host gets its news: the store, or another host."""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.routing import places

#: News older than this is doubted. The reader reads once a second and is
#: asked twice a second, so calm news is at most 1.6 s old.
STALE_S: Final = 2.0
#: How long a host that did not answer, or had old news, is passed over.
DOUBT_S: Final = 3.0


class Store(NamedTuple):
    """Read the store."""


class Peer(NamedTuple):
    """Ask another host (`ip:port`) what it knows."""

    address: str


Source = Store | Peer


class View(NamedTuple):
    """Hold what the choice is made by.

    `doubted` maps addresses of hosts to the time until which they are passed
    over; `store_doubted` is the same for the store.
    """

    own: places.Host
    hosts: Collection[places.Host]
    seeds: tuple[str, ...]
    doubted: Mapping[str, float]
    store_doubted: float


def choose(view: View, now: float, draw: float) -> Source:
    """Choose where to ask next.

    The reader of a data centre is its first host by name that is not in
    doubt: all choose the same without having to agree. A host that cannot
    read the store, in a data centre without a reader, asks any host at all.
    """
    reader = find_reader(view, now)
    if reader.name != view.own.name:
        return Peer(reader.address)
    if now >= view.store_doubted:
        return Store()
    others = _list_others(view, now)
    if not others:
        return Store()
    return Peer(others[int(draw * len(others))])


def find_reader(view: View, now: float) -> places.Host:
    """Find the host of the own data centre that reads the store."""
    near = [
        host
        for host in view.hosts
        if host.data_centre == view.own.data_centre
        and now >= view.doubted.get(host.address, 0)
    ]
    return min((*near, view.own), key=_by_name)


def _list_others(view: View, now: float) -> list[str]:
    known = [host.address for host in view.hosts]
    addresses = _unique((*known, *view.seeds))
    return [
        address
        for address in addresses
        if address != view.own.address and now >= view.doubted.get(address, 0)
    ]


def _unique(addresses: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(addresses))


def _by_name(host: places.Host) -> str:
    return host.name
