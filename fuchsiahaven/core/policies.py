"""Name the bundles of decisions that a host can run with."""

from typing import Final, NamedTuple


class MeasuredRouting(NamedTuple):
    """Choose the replica that this host's own figures favour."""


class RoundRobinRouting(NamedTuple):
    """Choose the replicas of a shard one after another."""


class AdaptiveLimit(NamedTuple):
    """Adapt what is in flight to each target, up to its seats."""


class FixedLimit(NamedTuple):
    """Keep up to `in_flight` sub-requests in flight to each target."""

    max_in_flight: int = 8


class BudgetedAttempts(NamedTuple):
    """Hedge and retry within a share of first tries."""


class SingleAttempt(NamedTuple):
    """Ask for each part once, and wait for it until the deadline."""


class DeadlineAdmission(NamedTuple):
    """Queue by priority and refuse what cannot be answered in time."""


class BoundedAdmission(NamedTuple):
    """Run up to `queries` at once and refuse the others."""

    max_queries: int = 64


class Policy(NamedTuple):
    """Hold one bundle."""

    name: str
    routing: MeasuredRouting | RoundRobinRouting = MeasuredRouting()
    limit: AdaptiveLimit | FixedLimit = AdaptiveLimit()
    attempts: BudgetedAttempts | SingleAttempt = BudgetedAttempts()
    admission: DeadlineAdmission | BoundedAdmission = DeadlineAdmission()


STANDARD: Final = Policy('standard')
#: What the measurements compare with.
BASELINE: Final = Policy(
    'baseline',
    RoundRobinRouting(),
    FixedLimit(),
    SingleAttempt(),
    BoundedAdmission(),
)

POLICIES: Final = {policy.name: policy for policy in (STANDARD, BASELINE)}
