"""Build calls to the platform's metadata store and decode its answers."""

import json
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.platform import headers, records
from fuchsiahaven.routing import deployments, events, facts

OK: Final = 200
NOT_FOUND: Final = 404
CONFLICT: Final = 412
#: Status where the store no longer has the changes since a revision.
HISTORY_GONE: Final = 410
MS_PER_S: Final = 1000
#: An era has fewer digits than this.
ERA_DIGITS_LIMIT: Final = 16

#: Decodes a value, or returns a cached result of decoding it.
ValueDecoder = Callable[[facts.Key, facts.Stamp, str], facts.Value | None]


class Call(NamedTuple):
    """Hold one HTTP call: method, path with query, and body."""

    method: str
    path: str
    body: bytes = b''


class Page(NamedTuple):
    """Hold one page of a listing.

    `revision` is the store's revision when the page was read. The next page
    begins after the key `next_after`, which is None on the last page.
    """

    revision: int
    items: tuple[facts.Fact, ...]
    next_after: str | None


def decode_era(fields: events.Fields) -> int | None:
    """Decode the store's era in an answer; None if the field is missing.

    Raises records.MalformedError if it is not a number.
    """
    text = dict(fields).get(headers.STORE_ERA)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < ERA_DIGITS_LIMIT):
        raise records.MalformedError(f'not an era: {text[:ERA_DIGITS_LIMIT]!r}')
    return int(text)


def build_list_call(after: str) -> Call:
    """Build the call that lists all keys of the store after a key."""
    query = {'prefix': ''}
    if after:
        query['after'] = after
    return Call('GET', f'/kv-range?{urllib.parse.urlencode(query)}')


def build_configuration_call() -> Call:
    """Build the call that reads only the configuration."""
    query = urllib.parse.urlencode({'key': records.CONFIGURATION_KEY})
    return Call('GET', f'/kv-key?{query}')


def decode_item(
    body: bytes, era: int, decode: ValueDecoder
) -> facts.Fact | None:
    """Decode an answer with one item. Raises records.MalformedError."""
    try:
        return _decode_item_row(json.loads(body), era, decode)
    except (ValueError, KeyError, TypeError) as error:
        raise records.MalformedError(repr(error)) from error


def decode_page(body: bytes, era: int, decode: ValueDecoder) -> Page:
    """Decode a page of a listing. Raises records.MalformedError."""
    try:
        return _decode_page_row(json.loads(body), era, decode)
    except (ValueError, KeyError, TypeError) as error:
        raise records.MalformedError(records.describe_error(error)) from None


def _decode_page_row(
    row: Mapping[str, Any], era: int, decode: ValueDecoder
) -> Page:
    rows = row['items']
    items = [_decode_item_row(item, era, decode) for item in rows]
    next_after = rows[-1]['key'] if row['has_more'] and rows else None
    return Page(
        int(row['store_revision']),
        tuple(fact for fact in items if fact is not None),
        next_after,
    )


def build_watch_call(after: int, wait_s: float) -> Call:
    """Build the call that lists the changes after a revision.

    The store waits up to `wait_s` seconds for the first change.
    """
    query = {
        'prefix': '',
        'after': after,
        'wait_ms': int(wait_s * MS_PER_S),
    }
    return Call('GET', f'/kv-watch?{urllib.parse.urlencode(query)}')


def decode_events(body: bytes, era: int, decode: ValueDecoder) -> Page:
    """Decode a list of changes. Raises records.MalformedError."""
    try:
        answer = json.loads(body)
        decoded = [
            _decode_event_row(row, era, decode) for row in answer['events']
        ]
        revision = int(answer['store_revision'])
    except (ValueError, KeyError, TypeError) as error:
        raise records.MalformedError(records.describe_error(error)) from None
    items = tuple(fact for fact in decoded if fact is not None)
    return Page(revision, items, None)


def build_open_lease_call(duration_s: float) -> Call:
    """Build the call that opens a lease."""
    body = json.dumps({'ttl_ms': int(duration_s * MS_PER_S)})
    return Call('POST', '/kv-lease', body.encode())


def decode_lease(body: bytes) -> int:
    """Decode the id of a lease. Raises records.MalformedError."""
    try:
        return int(json.loads(body)['lease'])
    except (ValueError, KeyError, TypeError) as error:
        raise records.MalformedError(records.describe_error(error)) from None


def build_renew_lease_call(lease: int) -> Call:
    """Build the call that renews a lease."""
    return Call('POST', f'/kv-keep/{lease}', b'{}')


def build_put_host_call(host: deployments.Host, lease: int) -> Call:
    """Build the call that writes this host's entry under a lease."""
    # Unconditional, as only this host writes the entry.
    return _build_put_call(records.encode_host(host), lease)


def build_put_quarantine_call(report: suspects.News, lease: int) -> Call:
    """Build the call that announces a quarantine to all hosts."""
    # Unconditional, as every reader keeps the report that ranks highest.
    return _build_put_call(records.encode_quarantine(report), lease)


def build_end_lease_call(lease: int) -> Call:
    """Build the call that ends a lease, which removes its keys."""
    return Call('DELETE', f'/kv-lease-end/{lease}')


def _build_put_call(record: tuple[str, str], lease: int) -> Call:
    key, encoded = record
    body: Mapping[str, Any] = {
        'expected_rev': [],
        'puts': [{'key': key, 'value': encoded, 'lease': lease}],
        'remove': [],
    }
    return Call('POST', '/kv-txn', json.dumps(body).encode())


def _decode_event_row(
    row: Mapping[str, Any], era: int, decode: ValueDecoder
) -> facts.Fact | None:
    if not row.get('deleted'):
        return _decode_item_row(row, era, decode)
    key = records.parse_key(row['key'])
    if key is None:
        return None
    return facts.Fact(key, int(row['revision']), None, era=era)


def _decode_item_row(
    row: Mapping[str, Any], era: int, decode: ValueDecoder
) -> facts.Fact | None:
    key = records.parse_key(row['key'])
    if key is None:
        return None
    stamp = facts.Stamp(era, int(row['revision']))
    decoded = decode(key, stamp, row['value'])
    if decoded is None:
        return None
    return facts.Fact(key, stamp.revision, decoded, era=era)
