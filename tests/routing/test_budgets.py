"""Test the bound on repeats at a service."""

from hypothesis import given, strategies

from fuchsiahaven.routing import budgets, places


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
        max_size=400,
    ),
    strategies.integers(1, 10),
)
def test_repeats_stay_in_bounds_in_any_window(
    script: list[tuple[float, bool]], hosts: int
) -> None:
    """Whenever a window of 10 s begins, a host keeps to its share in it."""
    terms = places.ExtraLoad(0.2, 50.0, 10.0)
    budget = budgets.Budget(terms)
    now = 0.0
    asked: list[float] = []
    extra: list[float] = []
    for gap, wants in script:
        now += gap
        budget.note_request(now)
        asked.append(now)
        if wants and budget.count_left(now, hosts) >= 1:
            budget.note_extra(now)
            extra.append(now)
    for start in extra:
        inside = [it for it in extra if start <= it <= start + 10]
        # Requests of the window before count as well.
        around = [it for it in asked if start - 10 <= it <= start + 10]
        assert len(inside) <= 0.2 * len(around) + 50 / hosts
