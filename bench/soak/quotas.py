"""Have a customer send far more than it may, and check what its targets ran."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final

from bench.soak import checks, targets

#: The customer that has a quota and sends without a pause.
HOT: Final = 'hot'
KEY: Final = 'key-5a11'
RATE: Final = 4.0
BURST: Final = 4.0
#: What the deployment tolerates beyond, in any window.
WINDOW_S: Final = 5.0
OVERAGE: Final = 0.1
SLACK: Final = 20.0
#: Callers that send for it alone.
CALLERS: Final = 6
#: The part of its rate that it gets when all is well.
LEAST_SHARE: Final = 0.5
SETTINGS: Final = (
    f'bounds.quota_window_s={WINDOW_S}',
    f'bounds.quota_overage={OVERAGE}',
    f'bounds.quota_slack={SLACK}',
)


def write() -> dict[str, Any]:
    """Write the customer of each version."""
    return {
        'name': HOT,
        'api_keys': [KEY],
        'rate_per_s': RATE,
        'burst': BURST,
    }


def count_allowed() -> float:
    """Count the requests that targets may run for it in any window."""
    quota = RATE * WINDOW_S + BURST
    return quota * (1 + OVERAGE) + SLACK


def check(
    seen: Sequence[checks.Seen], ledger: targets.Ledger, settled: float
) -> list[str]:
    """Check all requests of a run; the last fault was over at `settled`."""
    faults = [
        f'{it.request_id}: refused for a quota and has run'
        for it in seen
        if it.status == HTTPStatus.TOO_MANY_REQUESTS
        and ledger.counts[it.request_id]
    ]
    faults += [
        f'{it.request_id}: of {it.customer!r}, which has no quota, refused'
        for it in seen
        if it.status == HTTPStatus.TOO_MANY_REQUESTS and it.customer != HOT
    ]
    most = count_most(seen, ledger)
    if most > count_allowed():
        faults.append(f'{most} requests of {HOT} ran in a window')
    served = sum(
        it.customer == HOT and it.status == checks.OK and it.sent > settled
        for it in seen
    )
    ends = max((it.ended for it in seen), default=settled)
    if served < LEAST_SHARE * RATE * (ends - settled):
        faults.append(f'{served} requests of {HOT} served when all is well')
    return faults


def count_most(seen: Sequence[checks.Seen], ledger: targets.Ledger) -> int:
    """Count the most requests that ran in a window, by targets' own counts.

    Each counts once, however many targets ran parts of it. It was taken in
    after it was sent and before it first ran, so those with both in a
    window were taken in within it, whatever held up the others.
    """
    sent = {it.request_id: it.sent for it in seen if it.customer == HOT}
    ran: dict[str, float] = {}
    for run in ledger.runs:
        if run.request_id in sent:
            ran.setdefault(run.request_id, run.when)
    spans = [(sent[name], when) for name, when in ran.items()]
    return max((_count_within(spans, start) for start, _ in spans), default=0)


def _count_within(spans: Sequence[tuple[float, float]], start: float) -> int:
    return sum(
        start <= sent and when <= start + WINDOW_S for sent, when in spans
    )
