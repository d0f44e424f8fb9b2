"""Check what callers saw against what was promised to them."""

from collections.abc import Collection
from typing import Final, NamedTuple

from bench.soak import targets

OK: Final = 200
PROMISES: Final = frozenset((408, 421, 429, 503))
LIMIT: Final = 3


class Seen(NamedTuple):
    """State what a caller saw of one request.

    `status` is 0 where the connection ended without a whole answer. Times are
    on the monotonic clock; `stopping` tells that its host had been asked to
    stop, and was neither killed nor paused. `customer` is whose key was shown,
    empty for one that was never valid.
    """

    request_id: str
    kind: str
    status: int
    fields: dict[str, str]
    body: bytes
    sent: float
    ended: float
    stopping: bool
    read: bool
    customer: str = ''


def check_search(seen: Seen, sets: Collection[tuple[str, ...]]) -> list[str]:
    """Check an answer over shards: own parts, one version, true records."""
    told = seen.fields.get('fuchsiahaven-part-signatures', '')
    parts = [it.strip() for it in told.split(',')]
    missing = int(seen.fields.get('fuchsiahaven-missing-parts', '0'))
    services = [part.partition('.')[2] for part in parts]
    faults = []
    if any(it.partition('.')[0] != seen.request_id for it in parts):
        faults.append('a part of another request')
    if len(set(services)) != len(services):
        faults.append('a part twice')
    if not any(
        set(services) <= set(shards) and len(services) + missing == len(shards)
        for shards in sets
    ):
        faults.append('parts of no single version')
    records = [
        record
        for service in services
        for record in targets.make_records(seen.request_id, service)
    ]
    wanted = b''.join(sorted(records, reverse=True)[:LIMIT])
    if seen.body != wanted:
        faults.append('not the greatest records of its parts')
    return faults


def check_single(seen: Seen) -> list[str]:
    """Check that the answer of one target is its own and whole."""
    signature = seen.fields.get('fuchsiahaven-response-signature', '')
    request_id, _, service = signature.partition('.')
    wanted = b''.join(targets.make_records(seen.request_id, service))
    if request_id != seen.request_id or seen.body != wanted:
        return ['an answer that is not its own']
    return []


def check_once(seen: Seen, ledger: targets.Ledger) -> list[str]:
    """Check what may not be repeated: at most once, and refusals true."""
    runs = ledger.counts[seen.request_id]
    faults = []
    if runs > 1:
        faults.append(f'ran {runs} times')
    if seen.status in PROMISES and runs:
        faults.append(f'told {seen.status} and has run')
    return faults


def check(
    seen: Seen, sets: Collection[tuple[str, ...]], ledger: targets.Ledger
) -> list[str]:
    """Check all that one request promises."""
    faults = []
    if seen.status == OK and seen.kind == 'search':
        faults.extend(check_search(seen, sets))
    elif seen.status == OK:
        faults.extend(check_single(seen))
    if seen.kind == 'once':
        faults.extend(check_once(seen, ledger))
    if seen.stopping and seen.read and not seen.status:
        faults.append('cut by a planned stop')
    return faults


def check_leaving(
    ledger: targets.Ledger, left: dict[str, float], bound: float
) -> list[str]:
    """Check that no target that left got new work after the bound."""
    return [
        f'{run.target} ran {run.request_id} {run.when - left[run.target]:.1f} s'
        ' after it had left'
        for run in ledger.runs
        if run.target in left and run.when > left[run.target] + bound
    ]
