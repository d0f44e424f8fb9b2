"""Send a part once more, within what first tries have earned."""

from typing import Final

from fuchsiahaven.core import coverage, policies, suspects
from fuchsiahaven.core.queries import (
    budgets,
    crashes,
    hedges,
    queries,
    scatter,
    states,
    tables,
)
from fuchsiahaven.core.targets import messages

#: More attempts than this at one part point to something that no further
#: attempt will mend.
MAX_ATTEMPTS: Final = 6
#: Where 5 % of answers are slow, a first try and its hedge are both slow for
#: one part in 400, which is one query in eight at fifty shards.
MAX_HEDGES: Final = 2
#: How long a part that was shed waits for the budget, and at most twice that.
RETRY_PAUSE_S: Final = 0.02
#: A timer may go off a little before its time.
EARLY: Final = 0.9
#: What cost its target nothing, so that asking elsewhere adds no load.
FREE: Final = frozenset(
    (
        coverage.Reason.UNREACHABLE,
        coverage.Reason.SNAPSHOT_GONE,
        coverage.Reason.REFUSED,
    )
)


def earn(state: states.State, run: queries.Run, now: float) -> None:
    """Add the first tries of a run to the budgets, and plan its hedges."""
    counts: dict[str, int] = {}
    for part_id in run.parts:
        counts[part_id.group] = counts.get(part_id.group, 0) + 1
    for group, first_tries in counts.items():
        kind = tables.ClassGroup(run.policy.name, group)
        budget = _find_budget(state, run, kind)
        state.tables.budgets[kind] = budgets.deposit(budget, first_tries)
        _plan_hedges(state, run, kind, now)


def retry(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
    *,
    free: bool,
) -> list[messages.Action] | None:
    """Ask another replica; None where none is left or the budget is spent."""
    if isinstance(state.policy.attempts, policies.SingleAttempt):
        return None
    if run.parts[part_id].attempt - run.first_attempt >= MAX_ATTEMPTS:
        return None
    if not scatter.list_candidates(state, run, part_id):
        return None
    if not free:
        kind = tables.ClassGroup(run.policy.name, part_id.group)
        left = budgets.withdraw_retry(_find_budget(state, run, kind))
        if left is None:
            return None
        state.tables.budgets[kind] = left
    purpose = queries.Purpose.RETRY
    return scatter.place(state, run, part_id, now, purpose)


def wait(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
) -> bool:
    """Plan a later retry of a part that was shed; False where none may help.

    The budget bounds how many retries leave, not how long a part may wait
    for one: giving it up at once would lose coverage in each burst.
    """
    part = run.parts[part_id]
    if isinstance(state.policy.attempts, policies.SingleAttempt):
        return False
    if part.may_have_run or part.reason is not coverage.Reason.OVERLOADED:
        return False
    if part.attempt - run.first_attempt >= MAX_ATTEMPTS:
        return False
    if not scatter.list_candidates(state, run, part_id):
        return False
    put_off(state, run, part_id, now)
    return True


def put_off(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
) -> None:
    """Have a part looked at again a little later."""
    due = tables.RetryDue(run.number, part_id)
    states.set_timer(state, now + RETRY_PAUSE_S * (1 + state.draw()), due)


def hedge(
    state: states.State, due: tables.HedgeDue, now: float
) -> list[messages.Action]:
    """Ask a second replica for each part that takes longer than most."""
    run = state.tables.runs.get(due.number)
    if run is None:
        return []
    if (
        crashes.find_gate(state, run.query, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    kind = tables.ClassGroup(run.policy.name, due.group)
    slow = [
        part_id
        for part_id in run.open_parts
        if part_id.group == due.group and _is_slow(run.parts[part_id], due, now)
    ]
    actions: list[messages.Action] = []
    for part_id in slow:
        left = budgets.withdraw_hedge(_find_budget(state, run, kind))
        if left is None:
            break
        placed = scatter.place(state, run, part_id, now, queries.Purpose.HEDGE)
        if placed:
            state.tables.budgets[kind] = left
            actions.extend(placed)
    if run.open_parts:
        states.set_timer(state, now + due.delay, due)
    return actions


def _plan_hedges(
    state: states.State,
    run: queries.Run,
    kind: tables.ClassGroup,
    now: float,
) -> None:
    if run.at_most_once or isinstance(
        state.policy.attempts, policies.SingleAttempt
    ):
        return
    window = state.tables.windows.get(kind, hedges.EMPTY)
    delay = hedges.hedge_delay(window)
    if delay is not None:
        due = tables.HedgeDue(run.number, kind.group, delay)
        states.set_timer(state, now + delay, due)


def _is_slow(part: queries.Part, due: tables.HedgeDue, now: float) -> bool:
    if not 1 <= len(part.flights) <= MAX_HEDGES:
        return False
    return now - part.flights[-1].sent >= due.delay * EARLY


def _find_budget(
    state: states.State, run: queries.Run, kind: tables.ClassGroup
) -> budgets.Budget:
    budget = state.tables.budgets.get(kind)
    if budget is None:
        return budgets.Budget(run.policy.hedge_share, run.policy.retry_share)
    return budget._replace(
        hedge_share=run.policy.hedge_share,
        retry_share=run.policy.retry_share,
    )
