"""Start queries: select groups, pin snapshots, lay out the parts."""

from typing import Final

from fuchsiahaven.core import (
    configurations,
    coverage,
    errors,
    messages,
    queries,
    snapshots,
    states,
    targets,
)

SOURCE: Final = 'starts'
NO_ROUTE_RETRY_S: Final = 1.0


def open_run(
    state: states.State,
    submitted: messages.Submitted,
    before: queries.Run | None = None,
) -> tuple[states.State, queries.Run | errors.Failure]:
    """Pin snapshots for a query and enter its run, unsent.

    A run that starts again pins only what is newer than the one `before`.
    """
    query = submitted.query
    policy = find_class(state.configuration, query.class_name)
    if policy is None:
        return state, errors.make_failure(
            errors.Kind.UNKNOWN_CLASS, SOURCE, query.class_name
        )
    parts: dict[queries.PartId, queries.Part] = {}
    pinned: dict[str, int] = {}
    position = snapshots.find_position(query.key) if query.key else None
    for reached in targets.reach(state, query.class_name):
        group = reached.group.name
        newer_than = before.snapshots.get(group, 0) if before else 0
        pin = targets.pin(state, reached, position, newer_than)
        pinned[group] = pin.snapshot if pin else 0
        parts.update(_list_parts(group, pin, policy, position))
    if not parts:
        return state, errors.make_failure(
            errors.Kind.NO_ROUTE,
            SOURCE,
            'no group is reached',
            retry_after=NO_ROUTE_RETRY_S,
        )
    run = queries.Run(
        state.last_number + 1,
        submitted.token,
        query,
        policy,
        pinned,
        state.configuration.revision,
        parts,
        open_parts=set(parts),
        lost_parts=set(),
    )
    if before is not None:
        run = run._replace(
            restarts=before.restarts + 1,
            not_after_epoch=before.not_after_epoch,
        )
        _continue_attempts(run, before)
    state.tables.runs[run.number] = run
    return state._replace(last_number=run.number), run


def find_class(
    configuration: configurations.Configuration, name: str
) -> configurations.RequestClass | None:
    """Find a class by name."""
    for policy in configuration.classes:
        if policy.name == name:
            return policy
    return None


def _list_parts(
    group: str,
    pin: snapshots.Pin | None,
    policy: configurations.RequestClass,
    position: int | None,
) -> dict[queries.PartId, queries.Part]:
    if pin is None:
        # Nothing is known of the group: it still counts as one missing
        # part, or an answer without it would be told as complete.
        whole = coverage.want_group(group)
        part_id = queries.PartId(group, whole.shard)
        return {part_id: queries.Part(whole.low, whole.high, ())}
    shards = pin.shards
    if policy.fan_out is configurations.FanOut.KEYED and position is not None:
        shards = (snapshots.find_shard(pin, position),)
    return {
        queries.PartId(group, shard.shard): queries.Part(
            shard.low, shard.high, shard.replicas
        )
        for shard in shards
    }


def _continue_attempts(run: queries.Run, before: queries.Run) -> None:
    # A searcher tells attempts apart by request id, shard and number alone:
    # numbers of an earlier run must not be used again, or a late cancel of
    # the old attempt would end the new one.
    base = max(part.attempt for part in before.parts.values())
    for part_id, part in run.parts.items():
        run.parts[part_id] = part._replace(attempt=base)
