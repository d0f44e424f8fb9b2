"""Start queries: select groups, pin snapshots, lay out the parts."""

from typing import NamedTuple

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import (
    crashes,
    queries,
    scatter,
    states,
    tables,
    views,
)
from fuchsiahaven.core.targets import messages, snapshots


class Layout(NamedTuple):
    """Hold the pinned snapshot of each group and the parts to ask for."""

    snapshots: dict[str, int]
    parts: dict[queries.PartId, queries.Part]


def open_run(
    state: states.State,
    submitted: messages.Submitted,
    policy: configurations.RequestClass,
    now: float,
) -> queries.Run:
    """Pin snapshots for a query and lay out its run, unsent."""
    laid = _lay_out(state, submitted.query, policy, {})
    return queries.Run(
        next(state.tables.numbers),
        submitted.token,
        submitted.query,
        policy,
        laid.snapshots,
        state.configuration.revision,
        laid.parts,
        open_parts=set(laid.parts),
        lost_parts=set(),
        began=now,
    )


def restart_run(
    state: states.State, before: queries.Run, now: float
) -> queries.Run | None:
    """Lay a run out again on newer snapshots of the groups that lost theirs.

    None where no newer one is known.
    """
    gone = {
        part_id.group
        for part_id in before.lost_parts
        if before.parts[part_id].reason is coverage.Reason.SNAPSHOT_GONE
    }
    newer_than = {group: before.snapshots[group] for group in gone}
    laid = _lay_out(state, before.query, before.policy, newer_than)
    if not all(laid.snapshots.get(group) for group in gone):
        return None
    # A searcher tells attempts apart by request id, shard and number alone:
    # numbers of the earlier run must not be used again, or a late cancel of
    # the old attempt would end the new one.
    last = max(part.attempt for part in before.parts.values())
    parts = {
        part_id: part._replace(attempt=last)
        for part_id, part in laid.parts.items()
    }
    return before._replace(
        number=next(state.tables.numbers),
        snapshots=laid.snapshots,
        revision=state.configuration.revision,
        parts=parts,
        open_parts=set(parts),
        lost_parts=set(),
        first_attempt=last,
        restarts=before.restarts + 1,
        ran_before=queries.say_ran(before),
    )


def send_parts(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Send the first try of every part; give up those without a replica."""
    due = tables.RunDue(run.number)
    states.set_timer(state, scatter.answer_time(run), due)
    actions: list[messages.Action] = []
    if (
        crashes.find_gate(state, run.query, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        # One part is tried first, the others wait for what comes of it.
        for waiting in run.parts:
            retry = tables.RetryDue(run.number, waiting)
            states.set_timer(state, now, retry)
        return actions
    for part_id in run.parts:
        placed = scatter.place(state, run, part_id, now, queries.Purpose.FIRST)
        if placed is None:
            queries.give_up(run, part_id, coverage.Reason.NO_REPLICA)
        else:
            actions.extend(placed)
    return actions


def _lay_out(
    state: states.State,
    query: messages.Query,
    policy: configurations.RequestClass,
    newer_than: dict[str, int],
) -> Layout:
    position = snapshots.find_position(query.key) if query.key else None
    laid = Layout({}, {})
    for reached in views.reach(state, policy.name):
        group = reached.group.name
        pin = views.pin(state, reached, position, newer_than.get(group, 0))
        laid.snapshots[group] = pin.snapshot if pin else 0
        keyed = policy.fan_out is configurations.FanOut.KEYED
        parts = _list_parts(group, pin, position if keyed else None)
        laid.parts.update(parts)
    return laid


def _list_parts(
    group: str, pin: snapshots.Pin | None, position: int | None
) -> dict[queries.PartId, queries.Part]:
    if pin is None:
        # Nothing is known of the group: it still counts as one missing
        # part, or an answer without it would be told as complete.
        whole = coverage.make_group_range(group)
        part_id = queries.PartId(group, whole.shard)
        return {part_id: queries.Part(whole.low, whole.high, ())}
    shards = pin.shards
    if position is not None:
        shards = (snapshots.find_shard(pin, position),)
    return {
        queries.PartId(group, shard.shard): queries.Part(
            shard.low, shard.high, shard.replicas
        )
        for shard in shards
    }
