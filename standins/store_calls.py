"""Answer the calls that read or change a store's history immediately."""

import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from standins import histories

MS_PER_S: Final = 1000


class Answer(NamedTuple):
    """Hold the answer to a call; `era` is set if it is not the current one."""

    status: HTTPStatus
    body: Mapping[str, Any]
    era: int | None = None


def list_items(
    history: histories.History, query: Mapping[str, list[str]]
) -> Answer:
    """List the items whose keys have a prefix."""
    prefix = query.get('prefix', [''])[0]
    items = [it for key, it in history.items.items() if key.startswith(prefix)]
    body = {'items': items, 'has_more': False}
    return Answer(HTTPStatus.OK, {**body, 'store_revision': history.revision})


def read_item(
    history: histories.History, query: Mapping[str, list[str]]
) -> Answer:
    """Read one item."""
    item = history.items.get(query.get('key', [''])[0])
    if item is None:
        return Answer(HTTPStatus.NOT_FOUND, {})
    body = {**item, 'store_revision': history.revision}
    return Answer(HTTPStatus.OK, body)


def commit(history: histories.History, call: Mapping[str, Any]) -> Answer:
    """Apply a transaction if all expected revisions match."""
    expected = {it['key']: it['revision'] for it in call['expected_rev']}
    if any(history.find_revision(key) != it for key, it in expected.items()):
        items = [history.items[key] for key in expected if key in history.items]
        return Answer(HTTPStatus.PRECONDITION_FAILED, {'items': items})
    leases = {it['lease'] for it in call['puts']} - {0}
    if leases - history.leases.keys():
        return Answer(HTTPStatus.NOT_FOUND, {})
    for row in call['puts']:
        history.put(row['key'], row['value'], row['lease'])
    for key in call['remove']:
        history.remove(key)
    return Answer(HTTPStatus.OK, {'revision': history.revision})


def open_lease(history: histories.History, call: Mapping[str, Any]) -> Answer:
    """Open a lease."""
    ttl_ms = call['ttl_ms']
    lease = history.open_lease(ttl_ms / MS_PER_S, time.monotonic())
    return Answer(HTTPStatus.OK, {'lease': lease, 'ttl_ms': ttl_ms})


def use_lease(history: histories.History, call: str) -> Answer:
    """Renew or end a lease."""
    name, _, number = call.rpartition('/')
    lease = int(number)
    if lease not in history.leases:
        return Answer(HTTPStatus.NOT_FOUND, {})
    match name:
        case 'POST /kv-keep':
            history.renew_lease(lease, time.monotonic())
        case 'DELETE /kv-lease-end':
            history.end_lease(lease)
        case _:
            return Answer(HTTPStatus.BAD_REQUEST, {})
    return Answer(HTTPStatus.OK, {})
