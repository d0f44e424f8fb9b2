"""Test when the callers of a host that is cut off are asked to retry."""

import pytest

from fuchsiahaven.routing import balancer_polls


def poll(*answers: tuple[float, bool]) -> balancer_polls.BalancerPolls:
    """Record polls of the balancer at these times, with these answers."""
    polls = balancer_polls.BalancerPolls()
    for now, ready in answers:
        polls = balancer_polls.record_poll(polls, now, ready=ready)
    return polls


@pytest.mark.parametrize(
    ('answers', 'now', 'expected'),
    [
        (((0, True), (1, True)), 1.5, 1.5),
        (((0, True), (1, False)), 1.5, 0.5),
        (((0, False), (1, False)), 1.5, 0.0),
        ((), 1.5, 2.0),
    ],
)
def test_retry_after_covers_the_balancer_switch(
    answers: tuple[tuple[float, bool], ...], now: float, expected: float
) -> None:
    """Symptom: callers of a data centre that is cut off are refused twice.

    They retry before the balancer has polled a second time, and reach the same
    host again.
    """
    delay_s = balancer_polls.estimate_removal_delay(poll(*answers), now, now)
    assert expected <= delay_s <= expected + 0.1


def test_follows_the_poll_period() -> None:
    """The period is half a second; one long gap does not change it."""
    answers = [(number / 2, True) for number in range(40)]
    polls = poll(*answers, (60.0, True))
    assert balancer_polls.estimate_removal_delay(polls, 60.0, 60.0) < 1.2


def test_a_ready_answer_resets_the_failures() -> None:
    """After an answer of 200 the balancer uses the host again at once."""
    polls = poll((0, False), (1, False), (2, True))
    assert balancer_polls.estimate_removal_delay(polls, 2.0, 2.0) > 1.5


@pytest.mark.parametrize('answers', [(), ((0, True), (1, True))])
def test_waits_for_no_balancer_that_does_not_poll(
    answers: tuple[tuple[float, bool], ...],
) -> None:
    """Guard against callers that a stopping host holds off for seconds.

    Nobody polls the host, so no balancer moves them.
    """
    polls = poll(*answers)
    assert balancer_polls.estimate_removal_delay(polls, 50.0, 50.0) > 1.5
    assert balancer_polls.estimate_removal_delay(polls, 50.0, 52.5) < 0.2
