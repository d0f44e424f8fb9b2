"""Bound hedges and retries by a share of first tries.

With F first tries in any stretch of time, at most `BURST + hedge_share * F`
hedges and `BURST + (hedge_share + retry_share) * F` extra sub-requests leave
for one class and group, however many of them fail: extra tries earn nothing.
"""

from typing import Final, NamedTuple

# Tokens that may be saved up: what a class may add at once after a quiet time.
# With fewer, slow answers that come close together go unhedged.
MAX_TOKENS: Final = 30.0


class Budget(NamedTuple):
    """Hold the tokens of one class and group.

    Every extra sub-request takes one of `tokens`; a hedge also takes one of
    `hedge_tokens`, so that hedges cannot use up what retries need.
    """

    hedge_share: float
    retry_share: float
    tokens: float = MAX_TOKENS
    hedge_tokens: float = MAX_TOKENS


def deposit(budget: Budget, first_attempts: int = 1) -> Budget:
    """Add the shares of so many first tries; extra tries add nothing."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    return Budget(
        hedge_share,
        retry_share,
        min(MAX_TOKENS, tokens + first_attempts * (hedge_share + retry_share)),
        min(MAX_TOKENS, hedge_tokens + first_attempts * hedge_share),
    )


def withdraw_retry(budget: Budget) -> Budget | None:
    """Take the token of one retry, or None where there is none."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    if tokens < 1:
        return None
    return Budget(hedge_share, retry_share, tokens - 1, hedge_tokens)


def withdraw_hedge(budget: Budget) -> Budget | None:
    """Take the tokens of one hedge, or None where there are none."""
    hedge_share, retry_share, tokens, hedge_tokens = budget
    if tokens < 1 or hedge_tokens < 1:
        return None
    return Budget(hedge_share, retry_share, tokens - 1, hedge_tokens - 1)
