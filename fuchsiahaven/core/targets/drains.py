"""Decide whether a target is live or leaving, from four signals.

The signals are the target's own answers, its health reports, the platform's
host list and an operator's mark. Any one takes the target out; none but
newer evidence brings it back. Health reports and host list lag, so their
`live` is often older than the `leaving` that another signal brought: a
target believed too early is sent work that it must refuse, or cuts. What a
target already runs is left to finish.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages

# How far the host list may lag. A list read within this time after a restart
# was learned may still mean the process before it, and a `live` read within
# this time after a `leaving` may come from an older copy.
MAX_LIST_LAG_S: Final = 30.0

# The longest time from the first sign of leaving to the last new work is
# the sum of these and of one round trip, which stays under 3 s.
PROBE_INTERVAL_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0


class ReportKey(NamedTuple):
    """Order a target's own reports: process first, then report."""

    started_epoch: float
    sequence: int


class DrainState(NamedTuple):
    """Hold the evidence about one target; times are monotonic seconds.

    `told`: the present process said that it leaves. `confirmed`: its newest
    report said so too, so that a later one can take it back. `listed`: the
    host list named it as leaving; `unlisted`: when the list took that back.
    `renewed` and `cleared` are when a new process, or an end of leaving,
    was learned.
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
    """Tell whether the target may get no new work."""
    return drain_state.self_reported or drain_state.listed or drain_state.marked


def is_newer(drain_state: DrainState, health: messages.Health) -> bool:
    """Tell whether a report is newer than all before it.

    Reports can overtake each other; an older one would also bring back
    holdings that the target has dropped.
    """
    return (
        drain_state.last_report is None
        or _get_report_key(health) > drain_state.last_report
    )


def record_answer(
    drain_state: DrainState, state: messages.TargetState, sent_at: float
) -> DrainState:
    """Take in the state in an answer or refusal to what was sent at `asked`.

    An answer has no stamp. One to a request from before the target came back
    may be of the process before, and would take the new one out for good.
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
    """Take in the target's own report, unless an older one comes late."""
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
    """Take in a newly read host list that names the target."""
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
    """Take in the operator's mark of a newly accepted configuration.

    Taking a mark off is an operator's word that the target is live, and ends
    all evidence from before. It also frees a target whose clock went back
    between two processes, so that its reports look old.
    """
    if drain_state.marked and not marked:
        return DrainState(restarted_at=now, cleared_at=now)
    return drain_state._replace(marked=marked)


def _get_report_key(health: messages.Health) -> ReportKey:
    return ReportKey(health.started_epoch, health.sequence)


def _clear_leaving(drain_state: DrainState, now: float) -> DrainState:
    # `live` ends only what is known to be older than it. A report that said
    # `leaving` is; an answer is not, for it may have overtaken a report that
    # lags. A listing is when the list has long taken it back as well.
    if drain_state.self_reported and drain_state.report_confirmed:
        drain_state = drain_state._replace(
            self_reported=False, report_confirmed=False, cleared_at=now
        )
    if drain_state.listed and now >= drain_state.unlisted_at + MAX_LIST_LAG_S:
        drain_state = drain_state._replace(
            listed=False, unlisted_at=math.inf, cleared_at=now
        )
    return drain_state
