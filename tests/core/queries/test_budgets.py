"""Test the bound on extra sub-requests."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.queries import budgets

ROUNDING = 1e-6
SHARES = st.floats(0, 0.5)
# So many first tries, or so many attempts at hedges or retries in a row.
STEPS = st.lists(
    st.tuples(st.sampled_from(('first', 'hedge', 'retry')), st.integers(1, 100))
)


def spend(
    budget: budgets.Budget, kind: str, count: int
) -> tuple[budgets.Budget, int]:
    is_hedge = kind == 'hedge'
    withdraw = budgets.withdraw_hedge if is_hedge else budgets.withdraw_retry
    for granted in range(count):
        remaining = withdraw(budget)
        if remaining is None:
            return budget, granted
        budget = remaining
    return budget, count


@given(SHARES, SHARES, STEPS)
def test_extra_load_is_bounded_by_first_attempts(
    hedge_share: float, retry_share: float, steps: list[tuple[str, int]]
) -> None:
    """Extra sub-requests stay under their formula in every stretch.

    Symptom: a group that fails gets several times its load, and stays down.
    Sequence: every sub-request fails or is slow, and each asks for another.
    Cause: retries and hedges that are not bounded by first tries, or that
    count as such themselves.
    """
    budget = budgets.Budget(hedge_share, retry_share)
    # By how much the worst stretch that ends here exceeds its shares.
    hedges = 0.0
    extras = 0.0
    for kind, count in steps:
        if kind == 'first':
            budget = budgets.deposit(budget, count)
            hedges = max(0.0, hedges - count * hedge_share)
            extras = max(0.0, extras - count * (hedge_share + retry_share))
            continue
        budget, granted = spend(budget, kind, count)
        extras += granted
        hedges += granted if kind == 'hedge' else 0
        assert extras <= budgets.MAX_TOKENS + ROUNDING
        assert hedges <= budgets.MAX_TOKENS + ROUNDING


def test_hedges_leave_tokens_for_retries() -> None:
    """A retry after a refusal still goes out when hedges have run dry.

    Symptom: during a slow spell every shed part is reported missing.
    Sequence: slow answers draw hedges until the budget is empty, then a
    target sheds a part that another replica could run.
    Cause: one purse for both, emptied by hedges.
    """
    budget: budgets.Budget | None = budgets.Budget(0.05, 0.1, 0.0, 0.0)
    assert budget is not None
    budget = budgets.deposit(budget, 20)
    spent = budgets.withdraw_hedge(budget)
    assert spent is not None
    assert budgets.withdraw_hedge(spent) is None
    assert budgets.withdraw_retry(spent) is not None
