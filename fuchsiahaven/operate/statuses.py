"""Ask hosts for the revision in force, and list those that do not answer."""

import collections
import concurrent.futures
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import host_list, store
from fuchsiahaven.operate import connections, host_client

#: Hosts that are asked at the same time, each in a thread of its own.
MAX_CONCURRENT_REQUESTS: Final = 32
STATUS_TIMEOUT_S: Final = 2.0
#: How long a change waits for a host to report its revision.
REVISION_TIMEOUT_S: Final = 0.5
HTTP_OK: Final = 200
#: Members with these standings are not expected to have a revision.
DEPARTED_STANDINGS: Final = frozenset(('dead', 'left'))


class HostStatus(NamedTuple):
    """Hold the status of one host, or why it did not answer.

    `revision` is None, that is unknown, where the host did not answer.
    `quarantined` describes the queries that it refuses because they crash
    targets.
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
    """Hold the status of all hosts.

    `list_fault` says why the platform's list of hosts could not be read.
    """

    hosts: tuple[HostStatus, ...]
    list_fault: str = ''


def survey_hosts(
    endpoints: connections.Endpoints,
    opened_store: store.Store,
    timeout_s: float = STATUS_TIMEOUT_S,
) -> Survey:
    """Ask every host that the platform, the operator or a host names.

    Hosts are also asked for the members that they know, because the platform's
    list lags: a host that has just started would otherwise be missing.
    """
    expected, fault = _list_hosts(opened_store)
    for address in endpoints.hosts:
        text = addresses.format_address(address)
        expected.setdefault(text, HostStatus(text))
    answered: dict[str, HostStatus] = {}
    while expected.keys() > answered.keys():
        unasked = [expected[key] for key in expected.keys() - answered.keys()]
        for status, members in _fetch_statuses(endpoints, unasked, timeout_s):
            answered[status.address] = status
            expected = {**members, **expected}
    hosts = sorted(answered.values(), key=_sort_key)
    return Survey(tuple(hosts), fault)


def find_highest_revision(
    endpoints: connections.Endpoints, opened_store: store.Store
) -> int:
    """Return the highest revision in force on a few hosts.

    One host with a higher revision shows that the platform's copy is older.
    So one host of each data centre is asked, with a short timeout.
    """
    expected, _ = _list_hosts(opened_store)
    by_data_centre = {
        status.data_centre: status for status in expected.values()
    }
    sampled = list(by_data_centre.values())
    sampled += [
        HostStatus(addresses.format_address(address))
        for address in endpoints.hosts[:1]
    ]
    answers = _fetch_statuses(endpoints, sampled, REVISION_TIMEOUT_S)
    return max((status.revision or 0 for status, _ in answers), default=0)


def send_get(
    endpoints: connections.Endpoints, address: str, path: str, timeout_s: float
) -> host_client.Response | host_client.NoResponse:
    """Send a GET request to the peer port of one host."""
    parsed = addresses.parse(address)
    if parsed is None:
        return host_client.NoResponse(
            f'{address} is not an address', may_have_run=False
        )
    identity = endpoints.peer_identity
    return host_client.send_request(
        parsed,
        'GET',
        path,
        timeout_s=timeout_s,
        context=identity.current_context() if identity else None,
    )


def count_revisions(
    hosts: Iterable[HostStatus],
) -> Mapping[str, Mapping[str, int]]:
    """Count hosts by data centre and revision; `unknown` without an answer."""
    counts: dict[str, collections.Counter[str]] = {}
    for status in hosts:
        revision = (
            'unknown' if status.revision is None else str(status.revision)
        )
        counter = counts.setdefault(
            status.data_centre or '?', collections.Counter()
        )
        counter[revision] += 1
    return counts


def list_quarantined(hosts: Iterable[HostStatus]) -> list[Mapping[str, str]]:
    """List the quarantined queries, each with the hosts that refuse it."""
    refusers: dict[str, list[str]] = {}
    rows: dict[str, Mapping[str, str]] = {}
    for status in hosts:
        for row in status.quarantined:
            digest = str(row.get('digest'))
            refusers.setdefault(digest, []).append(
                status.name or status.address
            )
            rows[digest] = {
                'quarantined': digest,
                'class': str(row.get('request_class')),
                'ended': str(row.get('crashes')),
                'for s': str(row.get('wait')),
                'refused by': ', '.join(refusers[digest]),
            }
    return list(rows.values())


def _list_hosts(opened_store: store.Store) -> tuple[dict[str, HostStatus], str]:
    try:
        listing = host_list.read_host_list(opened_store)
    except store.StoreError as error:
        return {}, f'the platform returned no list of hosts: {error}'
    listed = {
        entry.address: HostStatus(entry.address, entry.name, entry.data_centre)
        for entry in listing.entry_hosts
        if not entry.leaving
    }
    return listed, ''


def _fetch_statuses(
    endpoints: connections.Endpoints, hosts: list[HostStatus], timeout_s: float
) -> list[tuple[HostStatus, Mapping[str, HostStatus]]]:
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        return list(
            pool.map(
                lambda host: _fetch_status(endpoints, host, timeout_s), hosts
            )
        )


def _fetch_status(
    endpoints: connections.Endpoints, known: HostStatus, timeout_s: float
) -> tuple[HostStatus, Mapping[str, HostStatus]]:
    response = send_get(endpoints, known.address, '/v1/status', timeout_s)
    if isinstance(response, host_client.NoResponse):
        return known._replace(remark=response.reason), {}
    body: Mapping[str, Any] = response.body
    if response.status != HTTP_OK or not isinstance(body.get('revision'), int):
        return known._replace(remark=f'status {response.status}'), {}
    status = HostStatus(
        known.address,
        str(body.get('host', known.name)),
        str(body.get('data_centre', known.data_centre)),
        str(body.get('state', '')),
        body['revision'],
        str(body.get('digest', '')),
        str(body.get('obstacle') or ''),
        _decode_quarantined(body.get('quarantined')),
    )
    members = _decode_members(status, body.get('members', []))
    return status, {member.address: member for member in members}


def _decode_quarantined(rows: object) -> tuple[Mapping[str, Any], ...]:
    """Decode the quarantined queries of a host.

    Hosts of the previous version report none.
    """
    listed = rows if isinstance(rows, list) else []
    return tuple(row for row in listed if isinstance(row, dict))


def _decode_members(reporter: HostStatus, rows: object) -> Iterable[HostStatus]:
    for row in rows if isinstance(rows, list) else []:
        if (
            isinstance(row, dict)
            and row.get('standing') not in DEPARTED_STANDINGS
        ):
            address, name = str(row.get('address')), str(row.get('name'))
            yield HostStatus(address, name, reporter.data_centre)


def _sort_key(status: HostStatus) -> tuple[str, str, str]:
    return status.data_centre, status.name, status.address
