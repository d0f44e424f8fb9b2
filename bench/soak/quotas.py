"""Define a customer that exceeds its quota, and check what targets ran."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final

from bench.soak import checks, targets

#: The customer with a quota that sends without a pause.
HOT_CUSTOMER: Final = 'hot'
HOT_KEY: Final = 'key-5a11'
QUOTA_PER_S: Final = 4.0
QUOTA_BURST: Final = 4.0
#: The tolerance of the deployment beyond the quota in any window.
WINDOW_S: Final = 5.0
OVERAGE_FRACTION: Final = 0.1
SLACK_REQUESTS: Final = 20.0
#: Callers that send only for this customer.
HOT_CALLERS: Final = 6
#: The fraction of its rate that must be served after recovery.
MIN_SERVED_FRACTION: Final = 0.5
SETTINGS: Final = (
    f'bounds.quota_window_s={WINDOW_S}',
    f'bounds.quota_overage={OVERAGE_FRACTION}',
    f'bounds.quota_slack={SLACK_REQUESTS}',
)


def make_customer() -> dict[str, Any]:
    """Return the customer in each version of the configuration."""
    return {
        'name': HOT_CUSTOMER,
        'api_keys': [HOT_KEY],
        'rate_per_s': QUOTA_PER_S,
        'burst': QUOTA_BURST,
    }


def count_allowed() -> float:
    """Return how many of its requests targets may run in any window."""
    quota = QUOTA_PER_S * WINDOW_S + QUOTA_BURST
    return quota * (1 + OVERAGE_FRACTION) + SLACK_REQUESTS


def check(
    observations: Sequence[checks.Observation],
    run_log: targets.RunLog,
    recovered_at: float,
) -> list[str]:
    """Check all requests of a run; faults ended before `recovered_at`."""
    violations = [
        f'{it.request_id}: refused for a quota and has run'
        for it in observations
        if it.status == HTTPStatus.TOO_MANY_REQUESTS
        and run_log.counts[it.request_id]
    ]
    violations += [
        f'{it.request_id}: of {it.customer!r}, which has no quota, refused'
        for it in observations
        if it.status == HTTPStatus.TOO_MANY_REQUESTS
        and it.customer != HOT_CUSTOMER
    ]
    most_in_window = count_most_in_window(observations, run_log)
    if most_in_window > count_allowed():
        violations.append(
            f'{most_in_window} requests of {HOT_CUSTOMER} ran in a window'
        )
    served = sum(
        it.customer == HOT_CUSTOMER
        and it.status == checks.OK
        and it.sent_at > recovered_at
        for it in observations
    )
    ended_at = max((it.ended_at for it in observations), default=recovered_at)
    if served < MIN_SERVED_FRACTION * QUOTA_PER_S * (ended_at - recovered_at):
        violations.append(
            f'{served} requests of {HOT_CUSTOMER} served after recovery'
        )
    return violations


def count_most_in_window(
    observations: Sequence[checks.Observation], run_log: targets.RunLog
) -> int:
    """Count the most requests that ran in a window, by the targets' records.

    Each counts once, however many targets ran parts of it. A request is
    admitted after it was sent and before it first ran, so one with both times
    in a window was admitted in that window, whatever delayed other requests.
    """
    sent_at = {
        it.request_id: it.sent_at
        for it in observations
        if it.customer == HOT_CUSTOMER
    }
    ran: dict[str, float] = {}
    for run in run_log.runs:
        if run.request_id in sent_at:
            ran.setdefault(run.request_id, run.at)
    spans = [(sent_at[name], ran_at) for name, ran_at in ran.items()]
    return max((_count_within(spans, start) for start, _ in spans), default=0)


def _count_within(spans: Sequence[tuple[float, float]], start: float) -> int:
    return sum(
        start <= sent_at and ran_at <= start + WINDOW_S
        for sent_at, ran_at in spans
    )
