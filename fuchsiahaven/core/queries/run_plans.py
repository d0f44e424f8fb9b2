"""Plan runs: list the groups, pin their snapshots, build the parts."""

from typing import NamedTuple

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import (
    crashes,
    runs,
    scatter,
    states,
    tables,
    views,
)
from fuchsiahaven.core.targets import messages, snapshots


class Plan(NamedTuple):
    """Hold the pinned snapshot of each group, 0 for none, and the parts."""

    snapshots: dict[str, int]
    parts: dict[runs.PartId, runs.Part]


def plan_run(
    state: states.State,
    submitted: messages.QuerySubmitted,
    request_class: configurations.RequestClass,
    now: float,
) -> runs.Run:
    """Pin snapshots for a query and build its run without sending it."""
    plan = _plan_parts(state, submitted.query, request_class, {})
    return runs.Run(
        next(state.tables.numbers),
        submitted.token,
        submitted.query,
        request_class,
        plan.snapshots,
        state.configuration.revision,
        plan.parts,
        open_parts=set(plan.parts),
        missing_parts=set(),
        started_at=now,
    )


def plan_restart(
    state: states.State, previous: runs.Run, now: float
) -> runs.Run | None:
    """Plan a run again on newer snapshots of the groups that lost theirs.

    None if one of them has no newer snapshot.
    """
    lost_groups = {
        part_id.group
        for part_id in previous.missing_parts
        if previous.parts[part_id].reason is coverage.Reason.SNAPSHOT_GONE
    }
    newer_than = {group: previous.snapshots[group] for group in lost_groups}
    plan = _plan_parts(
        state, previous.query, previous.request_class, newer_than
    )
    if not all(plan.snapshots.get(group) for group in lost_groups):
        return None
    # Searchers identify an attempt by request id, shard and number. Numbers of
    # the earlier run must not be used again, or a late cancellation of an old
    # attempt would cancel a new one.
    last_attempt = max(part.last_attempt for part in previous.parts.values())
    parts = {
        part_id: part._replace(last_attempt=last_attempt)
        for part_id, part in plan.parts.items()
    }
    return previous._replace(
        number=next(state.tables.numbers),
        snapshots=plan.snapshots,
        revision=state.configuration.revision,
        parts=parts,
        open_parts=set(parts),
        missing_parts=set(),
        attempt_offset=last_attempt,
        restarts=previous.restarts + 1,
        ran_before=runs.get_ran(previous),
    )


def send_first_attempts(
    state: states.State, run: runs.Run, now: float
) -> list[messages.Action]:
    """Send the first attempt at every part.

    Parts without a replica are marked as missing.
    """
    deadline_timer = tables.DeadlineTimer(run.number)
    states.set_timer(state, scatter.compute_answer_time(run), deadline_timer)
    actions: list[messages.Action] = []
    if (
        crashes.get_permission(state, run.query, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        # One part is sent as a trial, the others wait for its result.
        for pending in run.parts:
            retry_timer = tables.RetryTimer(run.number, pending)
            states.set_timer(state, now, retry_timer)
        return actions
    for part_id in run.parts:
        sends = scatter.send_or_queue(
            state, run, part_id, now, runs.Purpose.FIRST
        )
        if sends is None:
            runs.mark_missing(run, part_id, coverage.Reason.NO_REPLICA)
        else:
            actions.extend(sends)
    return actions


def _plan_parts(
    state: states.State,
    query: messages.Query,
    request_class: configurations.RequestClass,
    newer_than: dict[str, int],
) -> Plan:
    position = snapshots.compute_position(query.key) if query.key else None
    plan = Plan({}, {})
    for reachable in views.list_reachable(state, request_class.name):
        group = reachable.group.name
        pin = views.pin_snapshot(
            state, reachable, position, newer_than.get(group, 0)
        )
        plan.snapshots[group] = pin.snapshot if pin else 0
        keyed = request_class.fan_out is configurations.FanOut.KEYED
        parts = _build_parts(group, pin, position if keyed else None)
        plan.parts.update(parts)
    return plan


def _build_parts(
    group: str, pin: snapshots.Pin | None, position: int | None
) -> dict[runs.PartId, runs.Part]:
    if pin is None:
        # Without a snapshot the group counts as one missing part; otherwise an
        # answer without it would be reported as complete.
        group_range = coverage.make_group_range(group)
        part_id = runs.PartId(group, group_range.shard)
        return {part_id: runs.Part(group_range.low, group_range.high, ())}
    shards = pin.shards
    if position is not None:
        shards = (snapshots.get_shard(pin, position),)
    return {
        runs.PartId(group, shard.shard): runs.Part(
            shard.low, shard.high, shard.replicas
        )
        for shard in shards
    }
