"""Write the calls to the platform's metadata store and read its answers."""

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
#: The store has forgotten what has changed since then.
FORGOTTEN: Final = 410
MILLISECONDS: Final = 1000
#: Digits of an era; more are no count.
LONGEST_ERA: Final = 16

#: Decodes a value, or returns it as decoded before.
Decode = Callable[[facts.Key, facts.Stamp, str], facts.Value | None]


class Call(NamedTuple):
    """Hold one call: method, path with its query, and the body to send."""

    method: str
    target: str
    body: bytes = b''


class Page(NamedTuple):
    """Hold one page of a listing.

    `revision` is the store's when the page was read; `after` is where the
    next page begins, or None after the last.
    """

    revision: int
    items: tuple[facts.Fact, ...]
    after: str | None


def read_era(fields: events.Fields) -> int | None:
    """Read the era that an answer is from; None where none is told.

    Raises records.Malformed where it is no number.
    """
    told = dict(fields).get(headers.ERA)
    if told is None:
        return None
    if not (told.isascii() and told.isdigit() and len(told) < LONGEST_ERA):
        raise records.Malformed(f'no era: {told[:LONGEST_ERA]!r}')
    return int(told)


def list_everything(after: str) -> Call:
    """Ask for the page after a key of everything that the store holds."""
    query = {'prefix': ''}
    if after:
        query['after'] = after
    return Call('GET', f'/kv-range?{urllib.parse.urlencode(query)}')


def read_configuration() -> Call:
    """Ask for the configuration alone."""
    query = urllib.parse.urlencode({'key': records.CONFIGURATION})
    return Call('GET', f'/kv-key?{query}')


def read_item(body: bytes, era: int, decode: Decode) -> facts.Fact | None:
    """Read one item of an era; raises records.Malformed."""
    try:
        return _read_item(json.loads(body), era, decode)
    except (ValueError, KeyError, TypeError) as error:
        raise records.Malformed(repr(error)) from error


def read_page(body: bytes, era: int, decode: Decode) -> Page:
    """Read a page of an era; raises records.Malformed."""
    try:
        return _read_page(json.loads(body), era, decode)
    except (ValueError, KeyError, TypeError) as error:
        raise records.Malformed(records.describe(error)) from None


def _read_page(read: Mapping[str, Any], era: int, decode: Decode) -> Page:
    rows = read['items']
    found = [_read_item(row, era, decode) for row in rows]
    after = rows[-1]['key'] if read['has_more'] and rows else None
    return Page(
        int(read['store_revision']),
        tuple(fact for fact in found if fact is not None),
        after,
    )


def watch_everything(after: int, wait: float) -> Call:
    """Ask for what has changed after a revision, or wait until something has.

    `wait` is in seconds.
    """
    query = {
        'prefix': '',
        'after': after,
        'wait_ms': int(wait * MILLISECONDS),
    }
    return Call('GET', f'/kv-watch?{urllib.parse.urlencode(query)}')


def read_events(body: bytes, era: int, decode: Decode) -> Page:
    """Read what has changed in an era; raises records.Malformed."""
    try:
        read = json.loads(body)
        found = [_read_event(row, era, decode) for row in read['events']]
        revision = int(read['store_revision'])
    except (ValueError, KeyError, TypeError) as error:
        raise records.Malformed(records.describe(error)) from None
    kept = tuple(fact for fact in found if fact is not None)
    return Page(revision, kept, None)


def open_lease(seconds: float) -> Call:
    """Ask for a lease."""
    body = json.dumps({'ttl_ms': int(seconds * MILLISECONDS)})
    return Call('POST', '/kv-lease', body.encode())


def read_lease(body: bytes) -> int:
    """Read the number of a lease; raises records.Malformed."""
    try:
        return int(json.loads(body)['lease'])
    except (ValueError, KeyError, TypeError) as error:
        raise records.Malformed(records.describe(error)) from None


def renew_lease(lease: int) -> Call:
    """Ask for a lease to last on."""
    return Call('POST', f'/kv-keep/{lease}', b'{}')


def enter_host(host: deployments.Host, lease: int) -> Call:
    """Ask for the entry by which other hosts find this one."""
    # Under no condition: the entry is this host's alone.
    return _put(records.write_host(host), lease)


def enter_quarantine(news: suspects.News, lease: int) -> Call:
    """Ask for the entry by which all hosts learn of a quarantine."""
    # Under no condition: what is known most ranks first wherever it is read.
    return _put(records.write_quarantine(news), lease)


def end_lease(lease: int) -> Call:
    """Ask for a lease and its keys to go."""
    return Call('DELETE', f'/kv-lease-end/{lease}')


def _put(record: tuple[str, str], lease: int) -> Call:
    key, encoded = record
    body: Mapping[str, Any] = {
        'expected_rev': [],
        'puts': [{'key': key, 'value': encoded, 'lease': lease}],
        'remove': [],
    }
    return Call('POST', '/kv-txn', json.dumps(body).encode())


def _read_event(
    row: Mapping[str, Any], era: int, decode: Decode
) -> facts.Fact | None:
    if not row.get('deleted'):
        return _read_item(row, era, decode)
    key = records.name_key(row['key'])
    if key is None:
        return None
    return facts.Fact(key, int(row['revision']), None, era=era)


def _read_item(
    row: Mapping[str, Any], era: int, decode: Decode
) -> facts.Fact | None:
    key = records.name_key(row['key'])
    if key is None:
        return None
    stamp = facts.Stamp(era, int(row['revision']))
    found = decode(key, stamp, row['value'])
    if found is None:
        return None
    return facts.Fact(key, stamp.revision, found, era=era)
