"""Choose from whom a host gets its news: the store, or another host."""

import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import places

#: News older than this is doubted: the reader reads each 1.5 s, and whoever
#: asks is answered after 0.7 s at the latest, two times on the way.
STALE_S: Final = 3.5
#: How long a host that did not answer, or had lost the store, is passed over;
#: doubled each time up to the longest, because a host that is gone stays in
#: the list for half a minute and each try may cost a time-out.
DOUBT_S: Final = 3.0
LONGEST_DOUBT_S: Final = 24.0
#: The same for a host that has just started: what it asked may be starting
#: too, and be there a moment later.
START_DOUBT_S: Final = 0.1
#: How long a host is passed over that had old news: it tries the store itself.
STALE_DOUBT_S: Final = 1.0
#: Hosts of a data centre that are asked before the store is. Each that is out
#: of date costs most of a second, and there may be dozens.
DEPUTIES: Final = 2
#: First figures in common from which on addresses count as near each other.
ALIKE: Final = 2
#: Hosts of a data centre beside them that try the store in one round, of which
#: there are some four in a second.
READERS: Final = 0.5
#: The share of tries by a second way that read the store, at most, how many
#: hosts of a data centre do so in one round, and the share of other tries that
#: stay in the data centre.
SECOND_SHARE: Final = 0.5
SECOND_READERS: Final = 2.0
NEAR_SHARE: Final = 0.5


class Store(NamedTuple):
    """Read the store."""


class Peer(NamedTuple):
    """Ask another host (`ip:port`) what it knows."""

    address: str


Source = Store | Peer


class View(NamedTuple):
    """Hold what the choice is made by.

    `doubted` maps addresses of hosts to the time until which they are passed
    over because they did not answer, `behind` those whose news were old;
    `store_doubted` is the same for the store. A `patient` host has time
    until it is needed, because the whole system starts for the first time.
    """

    own: places.Host
    hosts: Collection[places.Host]
    seeds: tuple[str, ...]
    doubted: Mapping[str, float]
    store_doubted: float
    behind: Mapping[str, float] = {}
    patient: bool = False


def choose(view: View, now: float, draw: float) -> Source:
    """Choose where to ask next.

    The first host by name reads the store for all, the first one of each data
    centre asks it, and the others ask that one: all choose the same without
    having to agree. Where the reader is in doubt the first one of the data
    centre reads for itself; where it cannot, it asks any host at all. Of the
    others a few read, and the rest ask any host: when the store is back after
    an outage, each that reads it takes a fifth of a second over the whole
    listing, in which it serves nothing, and all of them would do so at once.
    Where the first ones do not answer, the next ones by name take their place.
    """
    if not view.hosts:
        return _choose_seed(view, now, draw)
    near = _list_near(view, now)
    for host in near[:DEPUTIES]:
        if host.name == view.own.name:
            break
        if _is_trusted(view, host, now):
            return Peer(host.address)
    first = min((*view.hosts, view.own), key=_by_name)
    if first.name != view.own.name and _is_trusted(view, first, now):
        return Peer(first.address)
    return _choose_any(view, near, now, draw)


def choose_second(
    own: places.Host,
    hosts: Collection[places.Host],
    failed: Collection[str],
    draw: float,
) -> Source:
    """Choose whom to ask beside the first way, anew for each try.

    A few hosts of each data centre read the store. Of the other tries half go
    to the own data centre, which may be cut off, the rest to any but those
    that `failed` just now.
    """
    near = [it for it in hosts if it.data_centre == own.data_centre]
    share = min(SECOND_SHARE, SECOND_READERS / max(1, len(near)))
    others = [
        it for it in hosts if it.name != own.name and it.address not in failed
    ]
    near = [it for it in others if it.data_centre == own.data_centre]
    if not others or draw < share:
        return Store()
    place = (draw - share) / (1 - share)
    if near and place < NEAR_SHARE:
        return Peer(near[int(place / NEAR_SHARE * len(near))].address)
    if near:
        place = (place - NEAR_SHARE) / (1 - NEAR_SHARE)
    return Peer(others[int(place * len(others))].address)


def _list_near(view: View, now: float) -> list[places.Host]:
    """List the hosts of the data centre that may answer, in their order."""
    found = {
        host
        for host in (*view.hosts, view.own)
        if host.data_centre == view.own.data_centre
        and now >= view.doubted.get(host.address, 0)
    }
    return sorted({*found, view.own}, key=_by_name)


def _choose_any(
    view: View, near: Sequence[places.Host], now: float, draw: float
) -> Source:
    """Choose where those that others ask are in doubt."""
    others = _list_others(view, now)
    share = _count_read_share(view.own, near)
    if now < view.store_doubted:
        share = 0
    if not others or draw < share:
        return Store()
    return Peer(others[int((draw - share) / (1 - share) * len(others))])


def _count_read_share(own: places.Host, near: Sequence[places.Host]) -> float:
    """Count with which chance a host reads the store itself."""
    if own in near[:DEPUTIES]:
        return 1
    return min(1, READERS / (len(near) - DEPUTIES))


def _choose_seed(view: View, now: float, draw: float) -> Source:
    """Choose at the start, when no host is known yet.

    If each of many hosts that start at once read the store, the reads would
    be most of the calls in hours; so only the seeds do, and others that find
    a seed missing: the seeds may be the last to have power again, and until
    a host has news it refuses everything.
    """
    others = [it for it in view.seeds if it != view.own.address]
    seeds = [it for it in others if _is_usable(view, it, now)]
    if view.patient and len(others) == len(view.seeds):
        # The seeds are about to start too.
        seeds = others
    reads = len(seeds) < len(view.seeds) and now >= view.store_doubted
    if reads or not seeds:
        return Store()
    nearest = max(_count_alike(view.own.address, it) for it in seeds)
    near = [it for it in seeds if _count_alike(view.own.address, it) == nearest]
    return Peer(near[int(draw * len(near))])


def _count_alike(one: str, other: str) -> int:
    """Count the first figures that two addresses have in common.

    Before it has news a host knows no seed's data centre, and the first news
    are most that it ever hears. Addresses of a data centre mostly begin alike.
    """
    pairs = zip(one.split('.'), other.split('.'), strict=False)
    return len(list(itertools.takewhile(_is_pair, pairs)))


def _is_pair(figures: tuple[str, str]) -> bool:
    return figures[0] == figures[1]


def is_alike(one: str, other: str) -> bool:
    """Tell whether two addresses look as if of one data centre."""
    return _count_alike(one, other) >= ALIKE


def is_near(view: View, address: str) -> bool:
    """Tell whether a host is in the own data centre, or looks as if it were.

    The seeds are asked before anything else is known of them.
    """
    for host in view.hosts:
        if host.address == address:
            return host.data_centre == view.own.data_centre
    return is_alike(view.own.address, address)


def count_doubt(times: int, *, starting: bool) -> float:
    """Return for how long a host is passed over that failed so many times.

    While this host is starting, whoever it asks may be starting too.
    """
    if starting:
        return START_DOUBT_S
    return float(min(LONGEST_DOUBT_S, DOUBT_S * 2 ** (times - 1)))


def _is_trusted(view: View, host: places.Host, now: float) -> bool:
    return _is_usable(view, host.address, now)


def _is_usable(view: View, address: str, now: float) -> bool:
    doubted = max(view.doubted.get(address, 0), view.behind.get(address, 0))
    return now >= doubted


def _list_others(view: View, now: float) -> list[str]:
    """List whom else to ask: near hosts as long as there are any."""
    near = [
        host.address
        for host in view.hosts
        if host.data_centre == view.own.data_centre
        and host.name != view.own.name
        and _is_trusted(view, host, now)
    ]
    if near:
        return near
    known = [host.address for host in view.hosts]
    addresses = _unique((*known, *view.seeds))
    return [
        address
        for address in addresses
        if address != view.own.address and _is_usable(view, address, now)
    ]


def _unique(addresses: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(addresses))


def _by_name(host: places.Host) -> str:
    return host.name
