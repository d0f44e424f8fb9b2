"""Tell what each of several customers on the same shards was given."""

from typing import Final, NamedTuple

from bench import model, shapes

#: Share of the answers that are as fast or faster.
P99: Final = 0.99


class Given(NamedTuple):
    """Hold what became of a customer's queries; `p99` is in seconds."""

    asked: int
    served: float
    in_time: float
    p99: float


def weigh(
    played: model.Result, flow: shapes.Flow, begins: float, ends: float
) -> Given:
    """Weigh the queries of a customer that were asked in a time."""
    found = [
        it
        for it in played.endings
        if it.customer == flow.customer and begins <= it.asked < ends
    ]
    took = sorted(it.took for it in found if it.covered)
    in_time = sum(1 for it in took if it <= flow.objective)
    total = max(1, len(found))
    p99 = took[int(P99 * len(took))] if took else 0.0
    return Given(len(found), len(took) / total, in_time / total, p99)
