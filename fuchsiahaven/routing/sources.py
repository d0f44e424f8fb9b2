"""Choose the source of a host's next report: the store or another host."""

import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: What is known is stale from this age on: the reader reads every 1.5 s, and a
#: poll is answered after 0.7 s at most, with two polls on the path.
MAX_REPORT_AGE_S: Final = 3.5
#: Time for which a host is not polled that did not answer or had lost the
#: store. It doubles with each failure up to the maximum, because a host that is
#: gone stays in the list for half a minute and each attempt may cost a
#: time-out.
BACKOFF_S: Final = 3.0
MAX_BACKOFF_S: Final = 24.0
#: The same while this host starts: the polled host may be starting too, and be
#: up a moment later.
STARTING_BACKOFF_S: Final = 0.1
#: Time for which a host with a stale report is not polled; it tries the store
#: itself.
STALE_BACKOFF_S: Final = 1.0
#: Hosts of a data centre that are polled before the store is read. Each stale
#: one costs most of a second, and there may be dozens.
DESIGNATED_HOSTS: Final = 2
#: Leading octets in common from which on two addresses count as near.
MIN_SHARED_OCTETS: Final = 2
#: Expected number of further hosts of a data centre that try the store in one
#: round; there are about four rounds a second.
EXTRA_READERS: Final = 0.5
#: For alternate reads: the maximum fraction that go to the store, the expected
#: number of hosts of a data centre that read it in one round, and the fraction
#: of the other reads that stay in the data centre.
MAX_ALTERNATE_STORE_FRACTION: Final = 0.5
ALTERNATE_READERS: Final = 2.0
ALTERNATE_NEAR_FRACTION: Final = 0.5


class Store(NamedTuple):
    """Read the store."""


class Peer(NamedTuple):
    """Poll another host (`ip:port`)."""

    address: str


Source = Store | Peer


class SourceInputs(NamedTuple):
    """Hold the inputs of the choice of a source.

    `failed_until` maps addresses of hosts that did not answer to the time until
    which they are not polled, `stale_until` those of hosts with stale reports;
    `store_failed_until` is that time for the store. A host that `can_wait` is
    not needed yet, because the whole system starts for the first time.
    """

    own: deployments.Host
    hosts: Collection[deployments.Host]
    seeds: tuple[str, ...]
    failed_until: Mapping[str, float]
    store_failed_until: float
    stale_until: Mapping[str, float] = {}
    can_wait: bool = False


def choose_source(inputs: SourceInputs, now: float, draw: float) -> Source:
    """Choose the source of the next report.

    The first host by name reads the store for all, the first one of each data
    centre polls it, and the others poll that one: all hosts agree on this
    without coordination. After the reader failed, the first host of the data
    centre reads the store itself; if that fails, it polls any host.

    Of the other hosts a few read the store and the rest poll any host: after an
    outage of the store each listing takes a host a fifth of a second, in which
    it serves nothing, and otherwise all hosts would do so at once. If the first
    hosts do not answer, the next ones by name replace them.
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
    """Choose an alternate source beside the main one, anew for each attempt.

    A few hosts of each data centre read the store. Half of the other attempts
    go to the own data centre, which may be cut off, the rest to any host but
    those that just `failed`.
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
    """List the hosts of the own data centre that may answer, by name."""
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
    """Choose a source after the hosts that are usually polled have failed."""
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
    """Return the probability with which a host reads the store itself."""
    if own in near[:DESIGNATED_HOSTS]:
        return 1
    return min(1, EXTRA_READERS / (len(near) - DESIGNATED_HOSTS))


def _choose_seed(inputs: SourceInputs, now: float, draw: float) -> Source:
    """Choose a source at the start, when no host is known yet.

    If each of many hosts that start together read the store, these reads would
    be most of its calls in hours. So only the seeds read it, and hosts that
    find a seed missing: the seeds may be the last to have power again, and a
    host without any report refuses all requests.
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
    """Count the leading octets that two addresses have in common.

    Before its first report a host does not know the data centre of any seed,
    and the first report is the largest. Addresses of one data centre usually
    have a common prefix.
    """
    pairs = zip(first.split('.'), second.split('.'), strict=False)
    return len(list(itertools.takewhile(_is_equal_pair, pairs)))


def _is_equal_pair(octets: tuple[str, str]) -> bool:
    return octets[0] == octets[1]


def has_similar_prefix(first: str, second: str) -> bool:
    """Return whether two addresses seem to belong to one data centre."""
    return _count_shared_octets(first, second) >= MIN_SHARED_OCTETS


def is_near(inputs: SourceInputs, address: str) -> bool:
    """Return whether a host is, or seems to be, in the own data centre.

    Seeds are polled before their data centre is known.
    """
    for host in inputs.hosts:
        if host.address == address:
            return host.data_centre == inputs.own.data_centre
    return has_similar_prefix(inputs.own.address, address)


def compute_backoff(failures: int, *, starting: bool) -> float:
    """Return the time for which a failed host is not polled, in seconds.

    While this host is starting, the hosts it polls may be starting too.
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
    """List the other hosts that may be polled: near ones if there are any."""
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
