"""Test the times of a planned stop."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.routing import stop_schedules


@given(st.floats(0.1, 600))
def test_steps_end_in_order_before_the_kill(grace_s: float) -> None:
    """Guard against a process that is killed while it waits.

    The balancer's lag may be longer than the whole time to stop.
    """
    schedule = stop_schedules.make_schedule(50.0, grace_s)
    assert 50.0 < schedule.balancer_at <= schedule.replies_at
    assert schedule.replies_at < schedule.exit_at < 50.0 + grace_s


def test_replies_are_sent_well_before_the_kill() -> None:
    """The usual time to stop leaves room to send answers and to exit."""
    schedule = stop_schedules.make_schedule(0.0, 6.0)
    assert schedule == stop_schedules.Schedule(2.6, 5.3, 5.7)
