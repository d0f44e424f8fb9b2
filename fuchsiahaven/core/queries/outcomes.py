"""Build the outcome of a query: an answer with its coverage, or a failure."""

from typing import Final

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.queries import merges, runs
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'outcomes'
DEFAULT_LIMIT: Final = 100

Outcome = messages.Answer | errors.Failure

#: Seconds after which a retry by the caller may succeed, by why a part is
#: missing.
RETRY_AFTER_S: Final = {
    coverage.Reason.NO_REPLICA: 1.0,
    coverage.Reason.OVERLOADED: 0.2,
    coverage.Reason.REFUSED: 0.2,
    coverage.Reason.UNREACHABLE: 1.0,
    coverage.Reason.BROKEN_ANSWER: 0.5,
    coverage.Reason.SNAPSHOT_GONE: 0.5,
    coverage.Reason.TIMED_OUT: 0.5,
    coverage.Reason.QUARANTINED: 1.0,
}


def build_outcome(run: runs.Run) -> Outcome:
    """Build the outcome of a run that is over."""
    if not run.parts:
        return errors.make_failure(
            errors.Kind.NO_ROUTE,
            SOURCE,
            'no group is reached',
            retry_after=RETRY_AFTER_S[coverage.Reason.NO_REPLICA],
        )
    result = _build_coverage(run)
    if result.covered and (result.complete or not run.needs_all_parts):
        return messages.Answer(
            run.query.request_id,
            _merge_parts(run),
            run.snapshots,
            result,
            run.revision,
        )
    return _build_failure(run, result)


def _build_coverage(run: runs.Run) -> coverage.Coverage:
    answered = set()
    reasons = {}
    wanted = []
    for part_id, part in run.parts.items():
        if part.rows is not None:
            answered.add(part_id)
        elif part_id in run.missing_parts and part.reason is not None:
            reasons[part_id] = part.reason
        else:
            continue
        wanted.append(coverage.WantedRange(*part_id, part.low, part.high))
    return coverage.build_coverage(wanted, answered, reasons)


def _merge_parts(run: runs.Run) -> runs.Rows:
    parts = [part.rows for part in run.parts.values() if part.rows]
    limit = run.query.terms.get('limit', DEFAULT_LIMIT)
    if not isinstance(limit, int):
        limit = DEFAULT_LIMIT
    return merges.merge_rows(parts, limit)


def _build_failure(run: runs.Run, result: coverage.Coverage) -> errors.Failure:
    reasons = [missing.reason for missing in result.missing]
    detail = _describe_missing(run, result)
    if run.at_most_once and runs.may_have_run(run):
        return errors.make_failure(errors.Kind.OUTCOME_UNKNOWN, SOURCE, detail)
    return errors.make_failure(
        _choose_kind(reasons),
        SOURCE,
        detail,
        retry_after=max(RETRY_AFTER_S[reason] for reason in reasons),
        ran=runs.get_ran(run),
    )


def _choose_kind(reasons: list[coverage.Reason]) -> errors.Kind:
    if coverage.Reason.QUARANTINED in reasons:
        return errors.Kind.QUARANTINED
    if coverage.Reason.SNAPSHOT_GONE in reasons:
        return errors.Kind.NO_SNAPSHOT
    if coverage.Reason.TIMED_OUT in reasons:
        return errors.Kind.TIMED_OUT
    if set(reasons) == {coverage.Reason.NO_REPLICA}:
        return errors.Kind.NO_ROUTE
    if set(reasons) <= {coverage.Reason.OVERLOADED, coverage.Reason.REFUSED}:
        return errors.Kind.OVERLOADED
    return errors.Kind.INCOMPLETE


def _describe_missing(run: runs.Run, result: coverage.Coverage) -> str:
    first = result.missing[0]
    return (
        f'{len(result.missing)} of {len(run.parts)} shards missing, first '
        f'{first.group} shard {first.shard}: {first.reason}'
    )
