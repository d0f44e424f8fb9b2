"""Test which queries are started, queued or refused."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import admission, queues

NOW = 100.0
HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 3
MAX_QUEUED = queues.MAX_LENGTH + 4 * queues.RESERVED_PER_PRIORITY


def make_busy(running: int = 8, run_s: float = 0.1) -> admission.Admission:
    """Return an admission with a full window."""
    run_time = admission.RunTime(run_s, 0.0)
    return admission.EMPTY._replace(
        running=running,
        window=float(running),
        mean_run_s=run_s,
        finish_interval_s=run_s / running,
        run_times={'': run_time},
        last_finish_at=NOW,
        window_cut_at=NOW,
    )


def make_entry(
    token: int, priority: int = 1, allowed_s: float = 1.0, now: float = NOW
) -> queues.Entry:
    return queues.Entry(token, priority, now, now + allowed_s)


def test_a_query_that_cannot_be_answered_in_time_is_refused_at_once() -> None:
    """A query that can't be answered in time is refused with a retry-after.

    Guards against callers that wait for their whole deadline under load: 40
    queries are queued, 80 finish per second, and the queue accepts one more
    with a time limit of 0.3 s.
    """
    current = make_busy()
    for token in range(40):
        current = admission.offer(
            current, make_entry(token, allowed_s=3.0), NOW
        ).admission
    step = admission.offer(current, make_entry(99, allowed_s=0.3), NOW)
    (refused,) = step.refused
    assert refused.token == 99
    assert refused.failure.kind is errors.Kind.DEADLINE_UNREACHABLE
    assert refused.failure.ran is errors.Ran.NO
    assert refused.failure.retry_after == 41 * current.finish_interval_s


def test_a_query_that_expires_in_the_queue_is_not_started() -> None:
    """Nothing is sent for a query that would end after its deadline.

    Guards against partial answers at the deadline, half of all under load: a
    query starts when less time is left than queries take, because only the
    deadline itself is checked at the start.
    """
    current = make_busy()
    entry = make_entry(1, allowed_s=0.4)
    current = admission.offer(current, entry, NOW).admission
    step = admission.record_finish(current, NOW + 0.35, 0.1, overloaded=False)
    assert not step.started
    assert step.refused[0].token == 1
    assert step.refused[0].failure.ran is errors.Ran.NO


def test_the_lowest_priority_is_served_under_higher_load() -> None:
    """A fixed part of the starts goes to the query that has waited longest.

    Guards against starvation by strict priorities: a query of low priority
    never starts while queries of high priority keep arriving, such as reports
    on a day with many gate lookups.
    """
    current = admission.offer(
        make_busy(), make_entry(0, LOWEST_PRIORITY, 60.0), NOW
    ).admission
    low_starts: list[int] = []
    for turn in range(3 * queues.OLDEST_FIRST_PERIOD):
        high = make_entry(1000 + turn, HIGHEST_PRIORITY, 60.0, NOW + turn + 0.5)
        step = admission.offer(current, high, NOW + turn + 0.5)
        step = admission.record_finish(
            step.admission, NOW + turn + 1.0, 0.1, overloaded=False
        )
        current = step.admission._replace(window=8.0)
        low_starts.extend(
            turn for entry in step.started if entry.priority == LOWEST_PRIORITY
        )
    assert low_starts
    assert low_starts[0] < queues.OLDEST_FIRST_PERIOD


def test_a_full_queue_reserves_entries_for_every_priority() -> None:
    current = make_busy(run_s=0.001)
    for token in range(queues.MAX_LENGTH):
        current = admission.offer(
            current, make_entry(token, HIGHEST_PRIORITY), NOW
        ).admission
    low = admission.offer(current, make_entry(900, LOWEST_PRIORITY), NOW)
    assert not low.refused
    high = admission.offer(
        low.admission, make_entry(901, HIGHEST_PRIORITY), NOW
    )
    assert high.refused[0].token == 901
    assert high.refused[0].failure.kind is errors.Kind.OVERLOADED


def test_the_newest_of_a_lower_priority_is_evicted() -> None:
    current = make_busy(run_s=0.001)
    for token in range(queues.MAX_LENGTH):
        current = admission.offer(
            current, make_entry(token, LOWEST_PRIORITY), NOW
        ).admission
    for token in range(900, 900 + queues.RESERVED_PER_PRIORITY):
        current = admission.offer(
            current, make_entry(token, HIGHEST_PRIORITY), NOW
        ).admission
    step = admission.offer(current, make_entry(990, HIGHEST_PRIORITY), NOW)
    (refused,) = step.refused
    assert refused.token == queues.MAX_LENGTH - 1
    assert refused.failure.ran is errors.Ran.NO


def test_a_class_with_a_long_run_time_estimate_still_starts() -> None:
    """A class is admitted again after its queries ran past their deadline.

    Guards against a class that is refused until the host restarts: by the run
    time estimate no query can be in time, so none runs to correct the estimate.
    """
    slow = make_busy(run_s=5.0)._replace(running=0)
    step = admission.offer(slow, make_entry(1, allowed_s=0.5), NOW)
    assert step.started


def test_a_window_below_one_spaces_out_starts() -> None:
    current = make_busy(run_s=0.1)._replace(
        running=0, window=0.5, last_start_at=NOW - 0.1
    )
    step = admission.offer(current, make_entry(1), NOW)
    assert not step.started
    start_at = admission.find_next_start(step.admission)
    assert start_at is not None
    assert admission.start_queued(step.admission, start_at).started


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('offer', 'finish', 'start')),
            st.integers(0, 3),
            st.floats(0.001, 1.0),
            st.booleans(),
        ),
        max_size=200,
    )
)
def test_every_query_is_started_or_refused_once(
    steps: list[tuple[str, int, float, bool]],
) -> None:
    current = admission.EMPTY
    now = NOW
    settled: list[int] = []
    tokens = itertools.count(1)
    for kind, priority, amount_s, overloaded in steps:
        now += amount_s / 100
        if kind == 'offer':
            entry = make_entry(next(tokens), priority, amount_s, now)
            step = admission.offer(current, entry, now)
        elif kind == 'finish' and current.running:
            step = admission.record_finish(
                current, now, amount_s, overloaded=overloaded
            )
        else:
            step = admission.start_queued(current, now)
        current = step.admission
        settled.extend(entry.token for entry in step.started)
        settled.extend(refused.token for refused in step.refused)
        assert admission.count_queued(current) <= MAX_QUEUED
    step = admission.expire_queued(current, now + 10)
    settled.extend(refused.token for refused in step.refused)
    assert sorted(settled) == list(range(1, next(tokens)))
