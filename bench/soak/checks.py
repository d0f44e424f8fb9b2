"""Check the answers that callers got against the guarantees to them."""

from collections.abc import Collection
from typing import Final, NamedTuple

from bench.soak import targets

OK: Final = 200
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
MAX_RECORDS: Final = 3


class Observation(NamedTuple):
    """Hold the answer that a caller got to one request.

    `status` is 0 where the connection ended without a complete answer. Times
    are of the monotonic clock. `stopping` is whether its host had been asked to
    stop and was neither killed nor paused. `was_read` is False where the
    connection ended so soon that the host may not have read the request.
    `customer` owns the key that was sent, and is empty for a key that was never
    valid.
    """

    request_id: str
    kind: str
    status: int
    fields: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float
    stopping: bool
    was_read: bool
    customer: str = ''


def check_search(
    observed: Observation, shard_sets: Collection[tuple[str, ...]]
) -> list[str]:
    """Check that a search answer has its own parts, one version, true rows."""
    signatures = observed.fields.get('fuchsiahaven-part-signatures', '')
    parts = [it.strip() for it in signatures.split(',')]
    missing = int(observed.fields.get('fuchsiahaven-missing-parts', '0'))
    services = [part.partition('.')[2] for part in parts]
    violations = []
    if any(it.partition('.')[0] != observed.request_id for it in parts):
        violations.append('a part of another request')
    if len(set(services)) != len(services):
        violations.append('a part twice')
    if not any(
        set(services) <= set(shards) and len(services) + missing == len(shards)
        for shards in shard_sets
    ):
        violations.append('parts of no single version')
    records = [
        record
        for service in services
        for record in targets.make_records(observed.request_id, service)
    ]
    expected = b''.join(sorted(records, reverse=True)[:MAX_RECORDS])
    if observed.body != expected:
        violations.append('not the greatest records of its parts')
    return violations


def check_single(observed: Observation) -> list[str]:
    """Check that an answer of one target is complete and to this request."""
    signature = observed.fields.get('fuchsiahaven-response-signature', '')
    request_id, _, service = signature.partition('.')
    expected = b''.join(targets.make_records(observed.request_id, service))
    if request_id != observed.request_id or observed.body != expected:
        return ['an answer that is not its own']
    return []


def check_at_most_once(
    observed: Observation, run_log: targets.RunLog
) -> list[str]:
    """Check that a request ran at most once, and not if refused as not run."""
    runs = run_log.counts[observed.request_id]
    violations = []
    if runs > 1:
        violations.append(f'ran {runs} times')
    if observed.status in NOT_RUN_STATUSES and runs:
        violations.append(f'refused with {observed.status} and has run')
    return violations


def check(
    observed: Observation,
    shard_sets: Collection[tuple[str, ...]],
    run_log: targets.RunLog,
) -> list[str]:
    """Check all guarantees for one request; return the violations."""
    violations = []
    if observed.status == OK and observed.kind == 'search':
        violations.extend(check_search(observed, shard_sets))
    elif observed.status == OK:
        violations.extend(check_single(observed))
    if observed.kind == 'once':
        violations.extend(check_at_most_once(observed, run_log))
    if observed.stopping and observed.was_read and not observed.status:
        violations.append('cut by a planned stop')
    return violations


def check_leaving(
    run_log: targets.RunLog, left: dict[str, float], bound_s: float
) -> list[str]:
    """Check that targets got no new work later than the bound after leaving."""
    return [
        f'{run.target} ran {run.request_id} {run.at - left[run.target]:.1f} s'
        ' after it had left'
        for run in run_log.runs
        if run.target in left and run.at > left[run.target] + bound_s
    ]
