"""Decide from four signals whether a target is live or leaving.

The signals are the target's own answers, its health reports, the platform's
host list and an operator's mark. Any of them takes the target out of use, and
only newer evidence brings it back. Health reports and the host list lag, so
their `live` is often older than the `leaving` of another signal. A target that
is brought back too early refuses or aborts the requests that it gets. Requests
that a leaving target already runs are not cancelled.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages

# A host list read within this time after a restart was detected may still
# describe the previous process, and a `live` read within this time after a
# `leaving` may come from an older copy of the list.
MAX_LIST_LAG_S: Final = 30.0

# After the first signal of leaving, a target gets new requests for at most the
# sum of these and of one round trip. The sum is less than 3 s.
PROBE_INTERVAL_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0


class ReportKey(NamedTuple):
    """Order a target's own reports, by process and then by report."""

    started_epoch: float
    sequence: int


class DrainState(NamedTuple):
    """Hold the evidence about one target; times are monotonic seconds.

    `self_reported`: the current process reported that it is leaving.
    `report_confirmed`: its newest health report said so too, so that a later
    report can revoke it. `listed`: the host list has it as leaving.
    `unlisted_at`: since when the list has it as live again. `marked`: an
    operator marked it as leaving. `restarted_at` and `cleared_at` are when a
    new process, or the end of leaving, was detected.
    """

    last_report: ReportKey | None = None
    self_reported: bool = False
    report_confirmed: bool = False
    listed: bool = False
    unlisted_at: float = math.inf
    marked: bool = False
    restarted_at: float = -math.inf
    cleared_at: float = -math.inf


def is_leaving(drain_state: DrainState) -> bool:
    """Return whether the target must get no new requests."""
    return drain_state.self_reported or drain_state.listed or drain_state.marked


def is_newer(drain_state: DrainState, health: messages.Health) -> bool:
    """Return whether a report is newer than all recorded ones.

    Reports can arrive out of order. An older one would also restore holdings
    that the target has dropped.
    """
    return (
        drain_state.last_report is None
        or _get_report_key(health) > drain_state.last_report
    )


def record_answer(
    drain_state: DrainState, state: messages.TargetState, sent_at: float
) -> DrainState:
    """Record the state in the answer to a request that was sent at `sent_at`.

    An answer doesn't identify its process. If the request was sent before the
    target came back, the answer may be from the previous process and would
    take the new one out of use until its next restart.
    """
    if state is not messages.TargetState.LEAVING:
        return drain_state
    if sent_at < drain_state.cleared_at or (
        drain_state.self_reported and not drain_state.report_confirmed
    ):
        return drain_state
    return drain_state._replace(self_reported=True, report_confirmed=False)


def record_health(
    drain_state: DrainState, health: messages.Health, now: float
) -> DrainState:
    """Record a health report, unless it is older than the last one."""
    if not is_newer(drain_state, health):
        return drain_state
    last_report = drain_state.last_report
    restarted = (
        last_report is not None
        and health.started_epoch > last_report.started_epoch
    )
    updated = drain_state._replace(last_report=_get_report_key(health))
    if restarted:
        updated = updated._replace(
            self_reported=False,
            report_confirmed=False,
            listed=False,
            unlisted_at=math.inf,
            restarted_at=now,
            cleared_at=now,
        )
    if health.state is messages.TargetState.LEAVING:
        return updated._replace(self_reported=True, report_confirmed=True)
    return _clear_leaving(updated, now)


def record_listing(
    drain_state: DrainState, *, leaving: bool, now: float
) -> DrainState:
    """Record whether a newly read host list has the target as leaving."""
    if not leaving:
        return drain_state._replace(
            unlisted_at=min(drain_state.unlisted_at, now)
        )
    if now < drain_state.restarted_at + MAX_LIST_LAG_S:
        return drain_state
    return drain_state._replace(listed=True, unlisted_at=math.inf)


def record_mark(
    drain_state: DrainState, *, marked: bool, now: float
) -> DrainState:
    """Record whether a new configuration marks the target as leaving.

    Removing the mark is the operator's statement that the target is live, and
    discards all earlier evidence. It also brings back a target whose clock was
    set back between two processes, so that its reports seem old.
    """
    if drain_state.marked and not marked:
        return DrainState(restarted_at=now, cleared_at=now)
    return drain_state._replace(marked=marked)


def _get_report_key(health: messages.Health) -> ReportKey:
    return ReportKey(health.started_epoch, health.sequence)


def _clear_leaving(drain_state: DrainState, now: float) -> DrainState:
    # A `live` report revokes only evidence that is surely older: an earlier
    # `leaving` report is; an answer is not, because it may have overtaken a
    # report that lags. A listing is older if the list itself has had the
    # target as live for longer than it may lag.
    if drain_state.self_reported and drain_state.report_confirmed:
        drain_state = drain_state._replace(
            self_reported=False, report_confirmed=False, cleared_at=now
        )
    if drain_state.listed and now >= drain_state.unlisted_at + MAX_LIST_LAG_S:
        drain_state = drain_state._replace(
            listed=False, unlisted_at=math.inf, cleared_at=now
        )
    return drain_state
