"""Test the hedge delay."""

import math

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.queries import hedges

QUICK_S = 0.01
SLOW_S = 0.2
LATENCIES = st.lists(st.floats(0.0005, 5.0), min_size=200, max_size=400)


def make_window(latencies: list[float]) -> hedges.Window:
    window = hedges.EMPTY
    for latency in latencies:
        window = hedges.record_latency(window, latency)
    return window


@given(LATENCIES)
def test_the_quantile_is_within_one_bucket_of_the_true_one(
    latencies: list[float],
) -> None:
    window = make_window(latencies)
    rank = math.ceil(0.95 * len(latencies))
    expected = sorted(latencies)[rank - 1]
    estimate = hedges.estimate_quantile(window, 0.95)
    assert (
        expected / 1.001 <= estimate <= expected * hedges.BUCKET_RATIO * 1.001
    )


def test_there_is_no_delay_below_the_minimum_of_samples() -> None:
    window = make_window([QUICK_S] * (hedges.MIN_SAMPLES - 1))
    assert hedges.find_delay(window) is None


def test_old_samples_fade() -> None:
    window = make_window(
        [SLOW_S] * hedges.MAX_SAMPLES + [QUICK_S] * hedges.MAX_SAMPLES * 4
    )
    delay = hedges.find_delay(window)
    assert delay is not None
    assert delay < 2 * QUICK_S


def test_an_overload_turns_hedging_off() -> None:
    """Hedging stops while a group sheds and resumes afterwards.

    Guards against 5 % more load on a group at its limit, which then sheds more:
    one sub-request in five is shed, and the answers are late, so that more of
    them exceed the quantile. A hedge helps if a replica is slow, not if the
    whole group is overloaded.
    """
    window = make_window([QUICK_S] * 200)
    assert hedges.find_delay(window) is not None
    for _ in range(40):
        window = hedges.record_shed(window)
        for _ in range(4):
            window = hedges.record_latency(window, QUICK_S)
    assert hedges.find_delay(window) is None
    for _ in range(200):
        window = hedges.record_latency(window, QUICK_S)
    assert hedges.find_delay(window) is not None


def test_full_queues_turn_hedging_off_before_anything_is_shed() -> None:
    window = make_window([QUICK_S] * 200)
    for _ in range(20):
        window = hedges.record_latency(window, QUICK_S, queued=True)
    assert hedges.find_delay(window) is None


def test_the_delay_stays_short_where_the_quantile_is_a_slow_answer() -> None:
    """The delay stays short if more than 5 % of the answers are slow.

    Guards against hedges that are sent too late: with 6 % slow answers the 95 %
    quantile is a slow answer, and a hedge would be sent after 0.2 s.
    """
    window = make_window(([QUICK_S] * 47 + [SLOW_S] * 3) * 8)
    assert hedges.estimate_quantile(window, 0.95) >= SLOW_S
    delay = hedges.find_delay(window)
    assert delay is not None
    assert delay < SLOW_S / 4
