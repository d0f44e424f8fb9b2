"""Define the sets of routing and load policies that a host can run with."""

from typing import Final, NamedTuple


class MeasuredRouting(NamedTuple):
    """Choose the replica that this host's own measurements favour."""


class RoundRobinRouting(NamedTuple):
    """Choose the replicas of a shard in turn."""


class AdaptiveLimit(NamedTuple):
    """Adapt the requests in flight to each target, within the allocation."""


class FixedLimit(NamedTuple):
    """Keep up to `max_in_flight` sub-requests in flight to each target."""

    max_in_flight: int = 8


class BudgetedAttempts(NamedTuple):
    """Hedge and retry within a fraction of the first attempts."""


class SingleAttempt(NamedTuple):
    """Request each part once, and wait for it until the deadline."""


class DeadlineAdmission(NamedTuple):
    """Queue by priority and refuse requests that would miss the deadline."""


class BoundedAdmission(NamedTuple):
    """Run up to `max_queries` at once and refuse the others."""

    max_queries: int = 64


class Policy(NamedTuple):
    """Hold one set of policies."""

    name: str
    routing: MeasuredRouting | RoundRobinRouting = MeasuredRouting()
    limit: AdaptiveLimit | FixedLimit = AdaptiveLimit()
    attempts: BudgetedAttempts | SingleAttempt = BudgetedAttempts()
    admission: DeadlineAdmission | BoundedAdmission = DeadlineAdmission()


STANDARD: Final = Policy('standard')
#: The reference that the benchmarks compare the standard policy with.
BASELINE: Final = Policy(
    'baseline',
    RoundRobinRouting(),
    FixedLimit(),
    SingleAttempt(),
    BoundedAdmission(),
)

POLICIES: Final = {policy.name: policy for policy in (STANDARD, BASELINE)}
