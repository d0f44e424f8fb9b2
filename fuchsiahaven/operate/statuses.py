"""Ask hosts which revision they have in force, and say whom none reached."""

import collections
import concurrent.futures
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import hostlist, store
from fuchsiahaven.operate import connections, exchanges

#: Hosts asked at a time; each waits for one answer.
ASKED_AT_ONCE: Final = 32
TIMEOUT_S: Final = 2.0
#: How long a change waits to be told the revision in force, in seconds.
QUICK_S: Final = 0.5
HTTP_OK: Final = 200
#: Members that are known to be gone are not expected to have a revision.
GONE: Final = frozenset(('dead', 'left'))


class Seen(NamedTuple):
    """Hold what one host says of itself, or why it says nothing.

    `revision` is None where the host did not answer; it may have any.
    `quarantined` describes the queries that it refuses as they end targets.
    """

    address: str
    name: str = ''
    data_centre: str = ''
    state: str = ''
    revision: int | None = None
    digest: str = ''
    remark: str = ''
    quarantined: tuple[Mapping[str, Any], ...] = ()


class Survey(NamedTuple):
    """Hold what was found out; `list_fault` says why there is no list."""

    hosts: tuple[Seen, ...]
    list_fault: str = ''


def survey(
    place: connections.Place,
    platform: store.Store,
    timeout_s: float = TIMEOUT_S,
) -> Survey:
    """Ask every host that the platform, the operator or a member names.

    Members are asked for too, because the platform's list lags: a host that
    just started would otherwise count as not being there.
    """
    expected, fault = _list_hosts(platform)
    for address in place.hosts:
        text = addresses.format_address(address)
        expected.setdefault(text, Seen(text))
    found: dict[str, Seen] = {}
    while expected.keys() > found.keys():
        waiting = [expected[key] for key in expected.keys() - found.keys()]
        for seen, members in _ask_all(place, waiting, timeout_s):
            found[seen.address] = seen
            expected = {**members, **expected}
    hosts = sorted(found.values(), key=_order)
    return Survey(tuple(hosts), fault)


def find_highest(place: connections.Place, platform: store.Store) -> int:
    """Return the highest revision that a few hosts have in force.

    One that has it is enough to tell that the platform's copy is older, so
    one host of each data centre is asked, and silence costs little time.
    """
    expected, _ = _list_hosts(platform)
    by_centre = {seen.data_centre: seen for seen in expected.values()}
    few = list(by_centre.values())
    few += [
        Seen(addresses.format_address(address)) for address in place.hosts[:1]
    ]
    told = _ask_all(place, few, QUICK_S)
    return max((seen.revision or 0 for seen, _ in told), default=0)


def ask(
    place: connections.Place, address: str, path: str, timeout_s: float
) -> exchanges.Told | exchanges.Silent:
    """Ask one host at its peer port."""
    parsed = addresses.parse(address)
    if parsed is None:
        return exchanges.Silent(f'{address} is no address', sent=False)
    identity = place.peer_identity
    return exchanges.ask(
        parsed,
        'GET',
        path,
        timeout_s=timeout_s,
        context=identity.context() if identity else None,
    )


def count_revisions(hosts: Iterable[Seen]) -> Mapping[str, Mapping[str, int]]:
    """Count hosts by data centre and revision; `unknown` where silent."""
    counts: dict[str, collections.Counter[str]] = {}
    for seen in hosts:
        known = 'unknown' if seen.revision is None else str(seen.revision)
        centre = counts.setdefault(
            seen.data_centre or '?', collections.Counter()
        )
        centre[known] += 1
    return counts


def list_quarantined(hosts: Iterable[Seen]) -> list[Mapping[str, str]]:
    """List the queries that hosts refuse, and which hosts do."""
    refusers: dict[str, list[str]] = {}
    rows: dict[str, Mapping[str, str]] = {}
    for seen in hosts:
        for row in seen.quarantined:
            digest = str(row.get('digest'))
            refusers.setdefault(digest, []).append(seen.name or seen.address)
            rows[digest] = {
                'quarantined': digest,
                'class': str(row.get('request_class')),
                'ended': str(row.get('crashes')),
                'for s': str(row.get('wait')),
                'refused by': ', '.join(refusers[digest]),
            }
    return list(rows.values())


def _list_hosts(platform: store.Store) -> tuple[dict[str, Seen], str]:
    try:
        listing = hostlist.read_hosts(platform)
    except store.StoreError as error:
        return {}, f'the platform gave no list of hosts: {error}'
    listed = {
        entry.address: Seen(entry.address, entry.name, entry.data_centre)
        for entry in listing.entries
        if not entry.leaving
    }
    return listed, ''


def _ask_all(
    place: connections.Place, hosts: list[Seen], timeout_s: float
) -> list[tuple[Seen, Mapping[str, Seen]]]:
    with concurrent.futures.ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        return list(pool.map(lambda seen: _ask(place, seen, timeout_s), hosts))


def _ask(
    place: connections.Place, known: Seen, timeout_s: float
) -> tuple[Seen, Mapping[str, Seen]]:
    told = ask(place, known.address, '/v1/status', timeout_s)
    if isinstance(told, exchanges.Silent):
        return known._replace(remark=told.reason), {}
    body: Mapping[str, Any] = told.body
    if told.status != HTTP_OK or not isinstance(body.get('revision'), int):
        return known._replace(remark=f'status {told.status}'), {}
    seen = Seen(
        known.address,
        str(body.get('host', known.name)),
        str(body.get('data_centre', known.data_centre)),
        str(body.get('state', '')),
        body['revision'],
        str(body.get('digest', '')),
        str(body.get('obstacle') or ''),
        _read_quarantined(body.get('quarantined')),
    )
    members = _read_members(seen, body.get('members', []))
    return seen, {member.address: member for member in members}


def _read_quarantined(rows: object) -> tuple[Mapping[str, Any], ...]:
    """Read what a host refuses; a host of the version before tells nothing."""
    given = rows if isinstance(rows, list) else []
    return tuple(row for row in given if isinstance(row, dict))


def _read_members(seen: Seen, rows: object) -> Iterable[Seen]:
    for row in rows if isinstance(rows, list) else []:
        if isinstance(row, dict) and row.get('standing') not in GONE:
            address, name = str(row.get('address')), str(row.get('name'))
            yield Seen(address, name, seen.data_centre)


def _order(seen: Seen) -> tuple[str, str, str]:
    return seen.data_centre, seen.name, seen.address
