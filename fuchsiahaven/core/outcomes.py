"""Build the one outcome of a query: an honest answer or a failure."""

from typing import Final

from fuchsiahaven.core import coverage, errors, merges, messages, queries

SOURCE: Final = 'queries'
DEFAULT_LIMIT: Final = 100

#: How soon asking again may help, in seconds, by why a part is missing.
RETRY_AFTER: Final = {
    coverage.Reason.NO_REPLICA: 1.0,
    coverage.Reason.OVERLOADED: 0.2,
    coverage.Reason.REFUSED: 0.2,
    coverage.Reason.UNREACHABLE: 1.0,
    coverage.Reason.BROKEN_ANSWER: 0.5,
    coverage.Reason.SNAPSHOT_GONE: 0.5,
    coverage.Reason.TIMED_OUT: 0.5,
}


def build_outcome(run: queries.Run) -> messages.Answer | errors.Failure:
    """Build the outcome of a run that is over."""
    stated = _state_coverage(run)
    if stated.covered and (stated.complete or not run.needs_all):
        return messages.Answer(
            run.query.request_id,
            _merge(run),
            run.snapshots,
            stated,
            run.revision,
        )
    return _build_failure(run, stated)


def _state_coverage(run: queries.Run) -> coverage.Coverage:
    settled = {
        part_id: part
        for part_id, part in run.parts.items()
        if part_id not in run.open_parts
    }
    return coverage.build(
        (
            coverage.Wanted(*part_id, part.low, part.high)
            for part_id, part in settled.items()
        ),
        {part_id for part_id, part in settled.items() if part.rows is not None},
        {
            part_id: part.reason
            for part_id, part in settled.items()
            if part.reason is not None
        },
    )


def _merge(run: queries.Run) -> queries.Rows:
    parts = [part.rows for part in run.parts.values() if part.rows]
    limit = run.query.terms.get('limit', DEFAULT_LIMIT)
    if not isinstance(limit, int):
        limit = DEFAULT_LIMIT
    return merges.merge_rows(parts, limit)


def _build_failure(
    run: queries.Run, stated: coverage.Coverage
) -> errors.Failure:
    reasons = [missing.reason for missing in stated.missing]
    if run.at_most_once and queries.may_have_run(run):
        return errors.make_failure(
            errors.Kind.OUTCOME_UNKNOWN, SOURCE, _describe(stated)
        )
    return errors.make_failure(
        _choose_kind(reasons),
        SOURCE,
        _describe(stated),
        retry_after=max(RETRY_AFTER[reason] for reason in reasons),
        ran=_say_ran(run),
    )


def _choose_kind(reasons: list[coverage.Reason]) -> errors.Kind:
    if coverage.Reason.SNAPSHOT_GONE in reasons:
        return errors.Kind.NO_SNAPSHOT
    if coverage.Reason.TIMED_OUT in reasons:
        return errors.Kind.TIMED_OUT
    if set(reasons) == {coverage.Reason.NO_REPLICA}:
        return errors.Kind.NO_ROUTE
    if set(reasons) <= {coverage.Reason.OVERLOADED, coverage.Reason.REFUSED}:
        return errors.Kind.OVERLOADED
    return errors.Kind.INCOMPLETE


def _say_ran(run: queries.Run) -> errors.Ran:
    if any(part.rows is not None for part in run.parts.values()):
        return errors.Ran.YES
    if queries.may_have_run(run):
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def _describe(stated: coverage.Coverage) -> str:
    first = stated.missing[0]
    return (
        f'{len(stated.missing)} of {stated.shards} shards missing, first '
        f'{first.group} shard {first.shard}: {first.reason}'
    )
