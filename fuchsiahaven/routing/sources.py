"""Choose from whom a host gets its news: the store, or another host."""

import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: News older than this is doubted: the reader reads each 1.5 s, and whoever
#: asks is answered after 0.7 s at the latest, two times on the way.
MAX_REPORT_AGE_S: Final = 3.5
#: How long a host that did not answer, or had lost the store, is passed over;
#: doubled each time up to the longest, because a host that is gone stays in
#: the list for half a minute and each try may cost a time-out.
BACKOFF_S: Final = 3.0
MAX_BACKOFF_S: Final = 24.0
#: The same for a host that has just started: what it asked may be starting
#: too, and be there a moment later.
STARTING_BACKOFF_S: Final = 0.1
#: How long a host is passed over that had old news: it tries the store itself.
STALE_BACKOFF_S: Final = 1.0
#: Hosts of a data centre that are asked before the store is. Each that is out
#: of date costs most of a second, and there may be dozens.
DESIGNATED_HOSTS: Final = 2
#: First figures in common from which on addresses count as near each other.
MIN_SHARED_OCTETS: Final = 2
#: Hosts of a data centre beside them that try the store in one round, of which
#: there are some four in a second.
EXTRA_READERS: Final = 0.5
#: The share of tries by a second way that read the store, at most, how many
#: hosts of a data centre do so in one round, and the share of other tries that
#: stay in the data centre.
MAX_ALTERNATE_STORE_FRACTION: Final = 0.5
ALTERNATE_READERS: Final = 2.0
ALTERNATE_NEAR_FRACTION: Final = 0.5


class Store(NamedTuple):
    """Read the store."""


class Peer(NamedTuple):
    """Ask another host (`ip:port`) what it knows."""

    address: str


Source = Store | Peer


class SourceInputs(NamedTuple):
    """Hold what the choice is made by.

    `doubted` maps addresses of hosts to the time until which they are passed
    over because they did not answer, `behind` those whose news were old;
    `store_doubted` is the same for the store. A `patient` host has time
    until it is needed, because the whole system starts for the first time.
    """

    own: deployments.Host
    hosts: Collection[deployments.Host]
    seeds: tuple[str, ...]
    failed_until: Mapping[str, float]
    store_failed_until: float
    stale_until: Mapping[str, float] = {}
    can_wait: bool = False


def choose_source(inputs: SourceInputs, now: float, draw: float) -> Source:
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
    if not inputs.hosts:
        return _choose_seed(inputs, now, draw)
    near = _list_near(inputs, now)
    for host in near[:DESIGNATED_HOSTS]:
        if host.name == inputs.own.name:
            break
        if _is_host_usable(inputs, host, now):
            return Peer(host.address)
    first = min((*inputs.hosts, inputs.own), key=_get_name)
    if first.name != inputs.own.name and _is_host_usable(inputs, first, now):
        return Peer(first.address)
    return _choose_any(inputs, near, now, draw)


def choose_alternate(
    own: deployments.Host,
    hosts: Collection[deployments.Host],
    failed: Collection[str],
    draw: float,
) -> Source:
    """Choose whom to ask beside the first way, anew for each try.

    A few hosts of each data centre read the store. Of the other tries half go
    to the own data centre, which may be cut off, the rest to any but those
    that `failed` just now.
    """
    near = [it for it in hosts if it.data_centre == own.data_centre]
    fraction = min(
        MAX_ALTERNATE_STORE_FRACTION, ALTERNATE_READERS / max(1, len(near))
    )
    others = [
        it for it in hosts if it.name != own.name and it.address not in failed
    ]
    near = [it for it in others if it.data_centre == own.data_centre]
    if not others or draw < fraction:
        return Store()
    scaled = (draw - fraction) / (1 - fraction)
    if near and scaled < ALTERNATE_NEAR_FRACTION:
        return Peer(
            near[int(scaled / ALTERNATE_NEAR_FRACTION * len(near))].address
        )
    if near:
        scaled = (scaled - ALTERNATE_NEAR_FRACTION) / (
            1 - ALTERNATE_NEAR_FRACTION
        )
    return Peer(others[int(scaled * len(others))].address)


def _list_near(inputs: SourceInputs, now: float) -> list[deployments.Host]:
    """List the hosts of the data centre that may answer, in their order."""
    usable = {
        host
        for host in (*inputs.hosts, inputs.own)
        if host.data_centre == inputs.own.data_centre
        and now >= inputs.failed_until.get(host.address, 0)
    }
    return sorted({*usable, inputs.own}, key=_get_name)


def _choose_any(
    inputs: SourceInputs,
    near: Sequence[deployments.Host],
    now: float,
    draw: float,
) -> Source:
    """Choose where those that others ask are in doubt."""
    others = _list_others(inputs, now)
    fraction = _compute_read_fraction(inputs.own, near)
    if now < inputs.store_failed_until:
        fraction = 0
    if not others or draw < fraction:
        return Store()
    return Peer(others[int((draw - fraction) / (1 - fraction) * len(others))])


def _compute_read_fraction(
    own: deployments.Host, near: Sequence[deployments.Host]
) -> float:
    """Count with which chance a host reads the store itself."""
    if own in near[:DESIGNATED_HOSTS]:
        return 1
    return min(1, EXTRA_READERS / (len(near) - DESIGNATED_HOSTS))


def _choose_seed(inputs: SourceInputs, now: float, draw: float) -> Source:
    """Choose at the start, when no host is known yet.

    If each of many hosts that start at once read the store, the reads would
    be most of the calls in hours; so only the seeds do, and others that find
    a seed missing: the seeds may be the last to have power again, and until
    a host has news it refuses everything.
    """
    others = [it for it in inputs.seeds if it != inputs.own.address]
    seeds = [it for it in others if _is_address_usable(inputs, it, now)]
    if inputs.can_wait and len(others) == len(inputs.seeds):
        # The seeds are about to start too.
        seeds = others
    reads_store = (
        len(seeds) < len(inputs.seeds) and now >= inputs.store_failed_until
    )
    if reads_store or not seeds:
        return Store()
    nearest = max(_count_shared_octets(inputs.own.address, it) for it in seeds)
    near = [
        it
        for it in seeds
        if _count_shared_octets(inputs.own.address, it) == nearest
    ]
    return Peer(near[int(draw * len(near))])


def _count_shared_octets(first: str, second: str) -> int:
    """Count the first figures that two addresses have in common.

    Before it has news a host knows no seed's data centre, and the first news
    are most that it ever hears. Addresses of a data centre mostly begin alike.
    """
    pairs = zip(first.split('.'), second.split('.'), strict=False)
    return len(list(itertools.takewhile(_is_equal_pair, pairs)))


def _is_equal_pair(octets: tuple[str, str]) -> bool:
    return octets[0] == octets[1]


def has_similar_prefix(first: str, second: str) -> bool:
    """Tell whether two addresses look as if of one data centre."""
    return _count_shared_octets(first, second) >= MIN_SHARED_OCTETS


def is_near(inputs: SourceInputs, address: str) -> bool:
    """Tell whether a host is in the own data centre, or looks as if it were.

    The seeds are asked before anything else is known of them.
    """
    for host in inputs.hosts:
        if host.address == address:
            return host.data_centre == inputs.own.data_centre
    return has_similar_prefix(inputs.own.address, address)


def compute_backoff(failures: int, *, starting: bool) -> float:
    """Return for how long a host is passed over that failed so many times.

    While this host is starting, whoever it asks may be starting too.
    """
    if starting:
        return STARTING_BACKOFF_S
    return float(min(MAX_BACKOFF_S, BACKOFF_S * 2 ** (failures - 1)))


def _is_host_usable(
    inputs: SourceInputs, host: deployments.Host, now: float
) -> bool:
    return _is_address_usable(inputs, host.address, now)


def _is_address_usable(inputs: SourceInputs, address: str, now: float) -> bool:
    usable_from = max(
        inputs.failed_until.get(address, 0), inputs.stale_until.get(address, 0)
    )
    return now >= usable_from


def _list_others(inputs: SourceInputs, now: float) -> list[str]:
    """List whom else to ask: near hosts as long as there are any."""
    near = [
        host.address
        for host in inputs.hosts
        if host.data_centre == inputs.own.data_centre
        and host.name != inputs.own.name
        and _is_host_usable(inputs, host, now)
    ]
    if near:
        return near
    host_addresses = [host.address for host in inputs.hosts]
    addresses = _deduplicate((*host_addresses, *inputs.seeds))
    return [
        address
        for address in addresses
        if address != inputs.own.address
        and _is_address_usable(inputs, address, now)
    ]


def _deduplicate(addresses: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(addresses))


def _get_name(host: deployments.Host) -> str:
    return host.name
