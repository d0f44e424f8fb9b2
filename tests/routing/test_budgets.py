"""Test the bound on extra load at a service."""

from hypothesis import given, strategies

from fuchsiahaven.routing import budgets, deployments, load_shares


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
        max_size=400,
    ),
    strategies.integers(1, 10),
)
def test_extra_load_stays_in_bounds_in_any_window(
    script: list[tuple[float, bool]], hosts: int
) -> None:
    """In every window of 10 s, a host keeps to its part of the bound."""
    budget = budgets.Budget(deployments.ExtraLoadLimit(0.2, 50.0, 10.0))
    share = load_shares.Share(load_shares.USED_FRACTION, hosts)
    now = 0.0
    request_times: list[float] = []
    extra_times: list[float] = []
    for gap, wants_extra in script:
        now += gap
        budget.record_request(now)
        request_times.append(now)
        if wants_extra and budget.count_remaining(now, share) >= 1:
            budget.record_extra(now)
            extra_times.append(now)
    for start in extra_times:
        inside = [it for it in extra_times if start <= it <= start + 10]
        # Requests of the preceding window count as well.
        around = [it for it in request_times if start - 10 <= it <= start + 10]
        assert len(inside) <= 0.2 * len(around) + 50 / hosts
