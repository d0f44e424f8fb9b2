"""Send hedges and retries within the budget of first attempts."""

from typing import Final

from fuchsiahaven.core import coverage, policies, suspects
from fuchsiahaven.core.queries import (
    budgets,
    crashes,
    hedges,
    runs,
    scatter,
    states,
    tables,
)
from fuchsiahaven.core.targets import messages

#: If a part still fails after this many attempts, another one won't help.
MAX_ATTEMPTS: Final = 6
#: For each part. With 5 % slow answers, the first attempt and its hedge are
#: both slow for one part in 400, which is one query in eight at fifty shards.
MAX_HEDGES: Final = 2
#: Minimum delay of a scheduled retry; the maximum is twice that.
RETRY_DELAY_S: Final = 0.02
#: Tolerance for timers that fire a little early.
MIN_ELAPSED_FRACTION: Final = 0.9
#: A failure for these reasons cost the target nothing, so that a retry on
#: another target adds no load and takes no token.
UNBUDGETED_REASONS: Final = frozenset(
    (
        coverage.Reason.UNREACHABLE,
        coverage.Reason.SNAPSHOT_GONE,
        coverage.Reason.REFUSED,
    )
)


def record_first_attempts(
    state: states.State, run: runs.Run, now: float
) -> None:
    """Add a run's first attempts to the budgets; schedule its hedges."""
    counts: dict[str, int] = {}
    for part_id in run.parts:
        counts[part_id.group] = counts.get(part_id.group, 0) + 1
    for group, first_attempts in counts.items():
        class_group = tables.ClassGroup(run.request_class.name, group)
        budget = _get_budget(state, run, class_group)
        state.tables.budgets[class_group] = budgets.deposit(
            budget, first_attempts
        )
        _schedule_hedges(state, run, class_group, now)


def send_retry(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
    *,
    unbudgeted: bool,
) -> list[messages.Action] | None:
    """Retry a part on another replica.

    None if no replica is left, the budget is spent, or the part had the
    maximum of attempts.
    """
    if isinstance(state.policy.attempts, policies.SingleAttempt):
        return None
    if run.parts[part_id].last_attempt - run.attempt_offset >= MAX_ATTEMPTS:
        return None
    if not scatter.list_candidates(state, run, part_id):
        return None
    if not unbudgeted:
        class_group = tables.ClassGroup(run.request_class.name, part_id.group)
        remaining = budgets.withdraw_retry(_get_budget(state, run, class_group))
        if remaining is None:
            return None
        state.tables.budgets[class_group] = remaining
    purpose = runs.Purpose.RETRY
    return scatter.send_or_queue(state, run, part_id, now, purpose)


def schedule_retry(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
) -> bool:
    """Schedule a retry of a shed part; return False if it may not be retried.

    The budget limits how many retries are sent, not how long a part may wait
    for one: marking it as missing at once would lose coverage in each burst.
    """
    part = run.parts[part_id]
    if isinstance(state.policy.attempts, policies.SingleAttempt):
        return False
    if part.may_have_run or part.reason is not coverage.Reason.OVERLOADED:
        return False
    if part.last_attempt - run.attempt_offset >= MAX_ATTEMPTS:
        return False
    if not scatter.list_candidates(state, run, part_id):
        return False
    set_retry_timer(state, run, part_id, now)
    return True


def set_retry_timer(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
) -> None:
    """Set a timer that retries a part after a jittered delay."""
    timer = tables.RetryTimer(run.number, part_id)
    states.set_timer(state, now + RETRY_DELAY_S * (1 + state.draw()), timer)


def handle_hedge_timer(
    state: states.State, timer: tables.HedgeTimer, now: float
) -> list[messages.Action]:
    """Hedge each part of a group that is slower than the hedge delay."""
    run = state.tables.active_runs.get(timer.run_number)
    if run is None:
        return []
    if (
        crashes.get_permission(state, run.query, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    class_group = tables.ClassGroup(run.request_class.name, timer.group)
    slow = [
        part_id
        for part_id in run.open_parts
        if part_id.group == timer.group
        and _is_slow(run.parts[part_id], timer, now)
    ]
    actions: list[messages.Action] = []
    for part_id in slow:
        remaining = budgets.withdraw_hedge(_get_budget(state, run, class_group))
        if remaining is None:
            break
        sends = scatter.send_or_queue(
            state, run, part_id, now, runs.Purpose.HEDGE
        )
        if sends:
            state.tables.budgets[class_group] = remaining
            actions.extend(sends)
    if run.open_parts:
        states.set_timer(state, now + timer.delay_s, timer)
    return actions


def _schedule_hedges(
    state: states.State,
    run: runs.Run,
    class_group: tables.ClassGroup,
    now: float,
) -> None:
    if run.at_most_once or isinstance(
        state.policy.attempts, policies.SingleAttempt
    ):
        return
    window = state.tables.latency_windows.get(class_group, hedges.EMPTY)
    delay_s = hedges.find_delay(window)
    if delay_s is not None:
        timer = tables.HedgeTimer(run.number, class_group.group, delay_s)
        states.set_timer(state, now + delay_s, timer)


def _is_slow(part: runs.Part, timer: tables.HedgeTimer, now: float) -> bool:
    if not 1 <= len(part.in_flight) <= MAX_HEDGES:
        return False
    return (
        now - part.in_flight[-1].sent_at >= timer.delay_s * MIN_ELAPSED_FRACTION
    )


def _get_budget(
    state: states.State, run: runs.Run, class_group: tables.ClassGroup
) -> budgets.Budget:
    budget = state.tables.budgets.get(class_group)
    if budget is None:
        return budgets.Budget(
            run.request_class.hedge_share, run.request_class.retry_share
        )
    return budget._replace(
        hedge_share=run.request_class.hedge_share,
        retry_share=run.request_class.retry_share,
    )
