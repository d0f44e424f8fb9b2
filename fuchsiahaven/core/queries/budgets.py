"""Limit hedges and retries to a fraction of first attempts.

With F first attempts in any period, one class and group sends at most
`MAX_TOKENS + hedge_share * F` hedges and
`MAX_TOKENS + (hedge_share + retry_share) * F` hedges and retries, however
many sub-requests fail: hedges and retries add no tokens.
"""

from typing import Final, NamedTuple

# The burst of extra sub-requests that a class may send after a quiet period.
# With fewer tokens, slow answers that come close together are not hedged.
MAX_TOKENS: Final = 30.0


class Budget(NamedTuple):
    """Hold the tokens of one class and group.

    Every hedge or retry takes one of `tokens`; a hedge also takes one of
    `hedge_tokens`, so that hedges can't use up the tokens of retries.
    """

    hedge_share: float
    retry_share: float
    tokens: float = MAX_TOKENS
    hedge_tokens: float = MAX_TOKENS


def deposit(budget: Budget, first_attempts: int = 1) -> Budget:
    """Add the tokens for this many first attempts."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    return Budget(
        hedge_share,
        retry_share,
        min(MAX_TOKENS, tokens + first_attempts * (hedge_share + retry_share)),
        min(MAX_TOKENS, hedge_tokens + first_attempts * hedge_share),
    )


def withdraw_retry(budget: Budget) -> Budget | None:
    """Take the token for one retry; None if there is none."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    if tokens < 1:
        return None
    return Budget(hedge_share, retry_share, tokens - 1, hedge_tokens)


def withdraw_hedge(budget: Budget) -> Budget | None:
    """Take the tokens for one hedge; None if there are too few."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    if tokens < 1 or hedge_tokens < 1:
        return None
    return Budget(hedge_share, retry_share, tokens - 1, hedge_tokens - 1)
