"""Measure the service that each of several customers on one cluster gets."""

from typing import Final, NamedTuple

from bench import setups, simulation

#: The fraction of answers that are at most as slow as the percentile.
P99_FRACTION: Final = 0.99


class CustomerOutcome(NamedTuple):
    """Summarise a customer's requests; `p99_s` is a latency in seconds."""

    requests: int
    served_fraction: float
    in_time_fraction: float
    p99_s: float


def summarise_customer(
    result: simulation.Result, flow: setups.Flow, start: float, end: float
) -> CustomerOutcome:
    """Summarise the queries of a customer that arrived in an interval."""
    endings = [
        it
        for it in result.endings
        if it.customer == flow.customer and start <= it.arrived_at < end
    ]
    times = sorted(it.elapsed_s for it in endings if it.covered)
    in_time = sum(1 for it in times if it <= flow.objective)
    requests = max(1, len(endings))
    p99 = times[int(P99_FRACTION * len(times))] if times else 0.0
    return CustomerOutcome(
        len(endings), len(times) / requests, in_time / requests, p99
    )
