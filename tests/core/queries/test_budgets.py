"""Test the limit on hedges and retries."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.queries import budgets

ROUNDING = 1e-6
SHARES = st.floats(0, 0.5)
# A number of first attempts, or of requested hedges or retries, in a row.
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
    """Hedges and retries stay within their formula in every period.

    Guards against a failing group that gets several times its load and stays
    down: every sub-request fails or is slow and causes another one, because
    hedges and retries are not bounded by first attempts, or count as such.
    """
    budget = budgets.Budget(hedge_share, retry_share)
    # Tokens used above the shares of first attempts, in the worst period that
    # ends here.
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
    """A retry is still allowed after hedges have used up their tokens.

    Guards against shed parts that are reported missing while answers are slow:
    hedges empty a budget that they share with retries, and then a target sheds
    a part that another replica could run.
    """
    budget: budgets.Budget | None = budgets.Budget(0.05, 0.1, 0.0, 0.0)
    assert budget is not None
    budget = budgets.deposit(budget, 20)
    spent = budgets.withdraw_hedge(budget)
    assert spent is not None
    assert budgets.withdraw_hedge(spent) is None
    assert budgets.withdraw_retry(spent) is not None
