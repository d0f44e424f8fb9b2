"""Admit queries by deadline and priority; refuse early those that are late.

There is one `Admission` for each set of groups that a class of request
reaches. The scarce resource is the searchers' time, and classes that reach
other groups don't use it. No query refused here was sent to a searcher.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import queues

SOURCE: Final = 'admission'
# Fraction of its time limit that a query may be queued. With a longer queue,
# more of the queries that start have too little time left to finish, and no
# more queries start overall.
MAX_QUEUE_WAIT_FRACTION: Final = 0.5
# The estimated run time is the mean plus this many mean deviations.
RUN_TIME_DEVIATIONS: Final = 2.0
RUN_TIME_WEIGHT: Final = 0.1
FINISH_INTERVAL_WEIGHT: Final = 0.1

INITIAL_WINDOW: Final = 8.0
MIN_WINDOW: Final = 0.1
MAX_WINDOW: Final = 1024.0
WINDOW_CUT_FACTOR: Final = 0.8
# Growth for each full window of finished queries: a fixed amount, and a
# fraction of the window. A faster growth kept the window above the limit most
# of the time, with parts shed.
WINDOW_GROWTH: Final = 0.05
WINDOW_GROWTH_FRACTION: Final = 0.02
# If fewer parts are shed, single targets are the cause and not the load.
MAX_SHED_FRACTION: Final = 0.05
MIN_RETRY_AFTER_S: Final = 0.01
# `start_queued` is called for each event of the host, thousands of times per
# second.
EXPIRY_INTERVAL_S: Final = 0.005


class RunTime(NamedTuple):
    """Hold the mean run time of a class and its mean deviation, in seconds."""

    mean: float
    deviation: float


class Admission(NamedTuple):
    """Hold the running and queued queries, and how fast queries finish.

    `window` is how many queries may run at once; below 1, one runs at a time
    and starts are spaced out. `finish_interval_s` is the smoothed time between
    two finishes while queries are queued. `window_cut_at` is when the window
    was last reduced, 0 for never.
    """

    queue: queues.Queue = queues.EMPTY
    running: int = 0
    window: float = INITIAL_WINDOW
    run_times: Mapping[str, RunTime] = MappingProxyType({})
    mean_run_s: float = 0.0
    finish_interval_s: float = 0.0
    last_finish_at: float = 0.0
    window_cut_at: float = 0.0
    last_start_at: float = 0.0
    last_expiry_at: float = 0.0


class Refusal(NamedTuple):
    """Hold the token of a query that will not run, and the failure to send."""

    token: int
    failure: errors.Failure


class Step(NamedTuple):
    """Hold the new state, the queries to start and those to refuse."""

    admission: Admission
    started: tuple[queues.Entry, ...] = ()
    refused: tuple[Refusal, ...] = ()


EMPTY: Final = Admission()


def count_queued(admission: Admission) -> int:
    """Count the queued queries."""
    return queues.count_entries(admission.queue)


def is_idle(admission: Admission) -> bool:
    """Return whether no query is running or queued."""
    return not admission.running and not count_queued(admission)


def is_overloaded(parts: int, shed: int) -> bool:
    """Return whether this many shed parts of a query indicate an overload."""
    return shed > parts * MAX_SHED_FRACTION


def offer(admission: Admission, entry: queues.Entry, now: float) -> Step:
    """Start, queue or refuse one query."""
    step = expire_queued(admission, now)
    wait_s = estimate_wait(step.admission, entry.priority)
    if _is_too_late(step.admission, entry, now, wait_s):
        kind = errors.Kind.DEADLINE_UNREACHABLE
        return _add_refusals(step, _refuse(entry, kind, wait_s))
    added = queues.add(step.admission.queue, entry)
    if added is None:
        refused = _refuse(entry, errors.Kind.OVERLOADED, wait_s)
        return _add_refusals(step, refused)
    if added.evicted is not None:
        evicted = _refuse(added.evicted, errors.Kind.OVERLOADED, wait_s)
        step = _add_refusals(step, evicted)
    started = start_queued(step.admission._replace(queue=added.queue), now)
    return started._replace(refused=(*step.refused, *started.refused))


def start_queued(admission: Admission, now: float) -> Step:
    """Start queued queries within the window; refuse those that are late."""
    if now - admission.last_expiry_at < EXPIRY_INTERVAL_S and not _has_room(
        admission, now
    ):
        return Step(admission)
    step = expire_queued(admission._replace(last_expiry_at=now), now)
    current = step.admission
    started: list[queues.Entry] = []
    while count_queued(current) and _has_room(current, now):
        popped = queues.pop(current.queue)
        current = current._replace(
            queue=popped.queue, running=current.running + 1, last_start_at=now
        )
        started.append(popped.entry)
    return Step(current, tuple(started), step.refused)


def find_next_start(admission: Admission) -> float | None:
    """Return when the next query may start.

    None if no query is queued, or if the next start follows a finish.
    """
    if admission.running or not count_queued(admission):
        return None
    return _compute_start(admission)


def expire_queued(admission: Admission, now: float) -> Step:
    """Refuse every queued query that can't be answered in time any more."""
    remaining, expired = queues.remove_matching(
        admission.queue,
        lambda entry: _would_miss_deadline(admission, entry, now),
    )
    if not expired:
        return Step(admission)
    current = admission._replace(queue=remaining)
    kind = errors.Kind.DEADLINE_UNREACHABLE
    refused = tuple(
        _refuse(entry, kind, estimate_wait(current, entry.priority))
        for entry in expired
    )
    return Step(current, refused=refused)


def record_finish(
    admission: Admission,
    now: float,
    run_s: float,
    *,
    overloaded: bool,
    class_name: str = '',
) -> Step:
    """Record that a query finished after `run_s` seconds; start queued ones.

    If the searchers were `overloaded`, the window is reduced, at most once in
    the mean run time of a query: queries that run together meet the same
    overload.
    """
    interval_s = admission.finish_interval_s
    if count_queued(admission):
        interval_s = _smooth(
            interval_s, now - admission.last_finish_at, FINISH_INTERVAL_WEIGHT
        )
    mean_run_s = _smooth(admission.mean_run_s, run_s, RUN_TIME_WEIGHT)
    window, window_cut_at = admission.window, admission.window_cut_at
    if overloaded:
        if now - window_cut_at >= mean_run_s:
            window = max(MIN_WINDOW, window * WINDOW_CUT_FACTOR)
            window_cut_at = now
    elif admission.running >= int(window):
        window = min(MAX_WINDOW, _grow(window, window_cut_at))
    current = admission._replace(
        running=max(0, admission.running - 1),
        window=window,
        run_times=_record_run_time(admission.run_times, class_name, run_s),
        mean_run_s=mean_run_s,
        finish_interval_s=interval_s,
        last_finish_at=now,
        window_cut_at=window_cut_at,
    )
    return start_queued(current, now)


def estimate_wait(admission: Admission, priority: int) -> float:
    """Estimate the seconds until a query offered now would start."""
    if admission.running < int(admission.window):
        return 0.0
    interval_s = (
        admission.finish_interval_s or admission.mean_run_s / admission.window
    )
    return queues.count_starts_until(admission.queue, priority) * interval_s


def _has_room(admission: Admission, now: float) -> bool:
    if admission.window >= 1:
        return admission.running < int(admission.window)
    return not admission.running and now >= _compute_start(admission)


def _compute_start(admission: Admission) -> float:
    if admission.window >= 1:
        return admission.last_start_at
    return admission.last_start_at + admission.mean_run_s / admission.window


def _grow(window: float, window_cut_at: float) -> float:
    if not window_cut_at:
        # Until the first overload, grow fast to find the limit.
        return window + 1
    return window + (WINDOW_GROWTH + WINDOW_GROWTH_FRACTION * window) / max(
        1.0, window
    )


def _estimate_run(admission: Admission, entry: queues.Entry) -> float:
    """Estimate how long a query would run, at most half of its time limit.

    Without this bound, a class whose queries once ran past their deadline
    would be refused for ever, and no query would run to correct the estimate.
    """
    run_time = admission.run_times.get(entry.class_name)
    if run_time is None:
        return 0.0
    estimate = run_time.mean + RUN_TIME_DEVIATIONS * run_time.deviation
    return min(estimate, (entry.deadline - entry.arrived_at) / 2)


def _would_miss_deadline(
    admission: Admission, entry: queues.Entry, now: float
) -> bool:
    return now + _estimate_run(admission, entry) >= entry.deadline


def _is_too_late(
    admission: Admission, entry: queues.Entry, now: float, wait_s: float
) -> bool:
    max_wait_s = (entry.deadline - entry.arrived_at) * MAX_QUEUE_WAIT_FRACTION
    waited_s = now - entry.arrived_at
    if wait_s and waited_s + wait_s > max_wait_s:
        return True
    return _would_miss_deadline(admission, entry, now + wait_s)


def _refuse(entry: queues.Entry, kind: errors.Kind, wait_s: float) -> Refusal:
    failure = errors.make_failure(
        kind, SOURCE, retry_after=max(MIN_RETRY_AFTER_S, wait_s)
    )
    return Refusal(entry.token, failure)


def _add_refusals(step: Step, refused: Refusal) -> Step:
    return step._replace(refused=(*step.refused, refused))


def _record_run_time(
    run_times: Mapping[str, RunTime], class_name: str, run_s: float
) -> Mapping[str, RunTime]:
    run_time = run_times.get(class_name) or RunTime(run_s, 0.0)
    error = run_s - run_time.mean
    updated = RunTime(
        run_time.mean + RUN_TIME_WEIGHT * error,
        run_time.deviation
        + RUN_TIME_WEIGHT * (abs(error) - run_time.deviation),
    )
    return MappingProxyType({**run_times, class_name: updated})


def _smooth(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old) if old else new
