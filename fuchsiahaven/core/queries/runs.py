"""Keep the state of one query from its pinned snapshots to its outcome.

A `Run` is one pass over the shards of the pinned snapshots. A restart on a
newer snapshot is a new run with a new number: answers to the old run are then
dropped, and two snapshots can't mix in one answer. The dictionaries and sets
of a run are updated in place.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages

Rows = tuple[Mapping[str, object], ...]
#: A part of a run is a shard of a group.
PartId = coverage.ShardKey


class Purpose(enum.StrEnum):
    """List why a sub-request is sent."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class Attempt(NamedTuple):
    """Describe one attempt in flight at a part.

    `sent_at` is in monotonic seconds.
    """

    number: int
    target: str
    sent_at: float
    purpose: Purpose


class Part(NamedTuple):
    """Hold the state of one shard of a run.

    `excluded` are the targets not to be tried again, `last_attempt` is the
    last attempt number used. `may_have_run` stays true once an attempt ended
    with unknown outcome. `reason` is why the part is missing, or why it would
    be if the run ended now.
    """

    low: int
    high: int
    replicas: tuple[str, ...]
    in_flight: tuple[Attempt, ...] = ()
    excluded: tuple[str, ...] = ()
    last_attempt: int = 0
    rows: Rows | None = None
    reason: coverage.Reason | None = None
    may_have_run: bool = False


class Run(NamedTuple):
    """Hold one pass of a query over its shards.

    `open_parts` may still get rows, `missing_parts` will not. Attempt numbers
    of this run start after `attempt_offset`. `ran_before` says whether an
    earlier run of the same query ran on any searcher.
    """

    number: int
    token: int
    query: messages.Query
    request_class: configurations.RequestClass
    snapshots: Mapping[str, int]
    revision: int
    parts: dict[PartId, Part]
    open_parts: set[PartId]
    missing_parts: set[PartId]
    started_at: float
    attempt_offset: int = 0
    not_after_epoch: float | None = None
    restarts: int = 0
    ran_before: errors.Ran = errors.Ran.NO

    @property
    def at_most_once(self) -> bool:
        """Return whether the query must not run twice."""
        return self.request_class.repeat is configurations.Repeat.AT_MOST_ONCE

    @property
    def needs_all_parts(self) -> bool:
        """Return whether the query fails if a part is missing."""
        return self.request_class.needs is configurations.Needs.COMPLETE


def add_attempt(
    run: Run, part_id: PartId, target: str, now: float, purpose: Purpose
) -> messages.PartKey:
    """Add an attempt in flight to a part; return its key."""
    part = run.parts[part_id]
    number = part.last_attempt + 1
    attempt = Attempt(number, target, now, purpose)
    run.parts[part_id] = part._replace(
        in_flight=(*part.in_flight, attempt),
        excluded=(*part.excluded, target),
        last_attempt=number,
    )
    return messages.PartKey(run.number, part_id.group, part_id.shard, number)


def accept_answer(
    run: Run, key: messages.PartKey, rows: Rows
) -> tuple[Attempt, ...] | None:
    """Accept the first answer to a part; return the other attempts in flight.

    None if the part is not open or the attempt is not in flight: a late answer
    must not replace one that may have been used already.
    """
    part_id = PartId(key.group, key.shard)
    part = run.parts.get(part_id)
    if part is None or part_id not in run.open_parts:
        return None
    superseded = tuple(
        attempt for attempt in part.in_flight if attempt.number != key.attempt
    )
    if len(superseded) == len(part.in_flight):
        return None
    run.parts[part_id] = part._replace(in_flight=(), rows=rows)
    run.open_parts.discard(part_id)
    return superseded


def end_attempt(
    run: Run,
    key: messages.PartKey,
    reason: coverage.Reason,
    *,
    may_have_run: bool,
) -> Part | None:
    """Remove an attempt that ended without rows; return its open part.

    None if the part is not open. A target that was only overloaded may be
    tried again.
    """
    part_id = PartId(key.group, key.shard)
    part = run.parts.get(part_id)
    if part is None or part_id not in run.open_parts:
        return None
    ended = [
        attempt for attempt in part.in_flight if attempt.number == key.attempt
    ]
    excluded = part.excluded
    if reason is coverage.Reason.OVERLOADED and not may_have_run:
        shedding = {attempt.target for attempt in ended}
        excluded = tuple(name for name in excluded if name not in shedding)
    part = part._replace(
        in_flight=tuple(
            attempt
            for attempt in part.in_flight
            if attempt.number != key.attempt
        ),
        excluded=excluded,
        reason=reason,
        may_have_run=part.may_have_run or may_have_run,
    )
    run.parts[part_id] = part
    return part


def mark_missing(run: Run, part_id: PartId, reason: coverage.Reason) -> None:
    """Mark an open part as missing."""
    run.parts[part_id] = run.parts[part_id]._replace(reason=reason)
    run.open_parts.discard(part_id)
    run.missing_parts.add(part_id)


def is_over(run: Run) -> bool:
    """Return whether no further answer can change the outcome.

    A run that needs all parts is over with its first missing part: waiting for
    the others would only delay the error.
    """
    if not run.open_parts:
        return True
    return run.needs_all_parts and bool(run.missing_parts)


def list_attempts(
    run: Run, part_ids: Iterable[PartId]
) -> list[tuple[PartId, Attempt]]:
    """List the attempts in flight at some parts."""
    return [
        (part_id, attempt)
        for part_id in part_ids
        for attempt in run.parts[part_id].in_flight
    ]


def may_have_run(run: Run) -> bool:
    """Return whether any searcher may have run any part of this run."""
    return any(
        part.rows is not None or part.may_have_run or part.in_flight
        for part in run.parts.values()
    )


def get_ran(run: Run) -> errors.Ran:
    """Return whether a searcher ran any part of this or an earlier run."""
    if any(part.rows is not None for part in run.parts.values()):
        return errors.Ran.YES
    if may_have_run(run) and run.ran_before is errors.Ran.NO:
        return errors.Ran.UNKNOWN
    return run.ran_before
