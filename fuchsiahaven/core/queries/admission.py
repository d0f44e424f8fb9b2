"""Admit queries by deadline and priority; refuse early and truthfully.

One `Admission` stands for the groups that a class of request reaches: what
is short is the searchers' time, and classes that reach other groups do not
use it. Whatever is refused here was never sent to a searcher.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import queues

SOURCE: Final = 'admission'
# A query may spend this share of its time in the queue. A longer queue starts
# queries that have too little time left to finish, and starts no more of them.
QUEUE_SHARE: Final = 0.5
# A query is taken to run as long as the mean and so many mean deviations.
DEVIATIONS: Final = 2.0
PACE_WEIGHT: Final = 0.1
GAP_WEIGHT: Final = 0.1

WINDOW_START: Final = 8.0
WINDOW_LEAST: Final = 0.1
WINDOW_MOST: Final = 1024.0
WINDOW_FACTOR: Final = 0.8
# Growth for each window's worth of finishes: fixed, and as a part of it. A
# faster growth spent most of its time over the limit, with parts shed.
GROWTH: Final = 0.05
GROWTH_SHARE: Final = 0.02
# Below this share of parts shed, single targets are at fault, not the load.
STRAIN_SHARE: Final = 0.05
SHORTEST_RETRY_S: Final = 0.01
# `start` is called for each event of the host, thousands of times a second.
SWEEP_S: Final = 0.005


class Pace(NamedTuple):
    """Hold how long queries of one class run: mean and mean deviation."""

    mean: float
    deviation: float


class Admission(NamedTuple):
    """Hold what runs, what waits, and how fast queries finish.

    `window` is how many queries may run at once; below 1, starts are spaced
    out. `gap_s` is the smoothed time between two finishes while others wait.
    `cut` is when the window last shrank, 0 for never.
    """

    queue: queues.Queue = queues.EMPTY
    running: int = 0
    window: float = WINDOW_START
    paces: Mapping[str, Pace] = MappingProxyType({})
    run_s: float = 0.0
    gap_s: float = 0.0
    finished: float = 0.0
    cut: float = 0.0
    started: float = 0.0
    swept: float = 0.0


class Refused(NamedTuple):
    """Name one query that will not run, and what to tell its caller."""

    token: int
    failure: errors.Failure


class Step(NamedTuple):
    """Hold the new state, the queries to start and those to refuse."""

    admission: Admission
    started: tuple[queues.Entry, ...] = ()
    refused: tuple[Refused, ...] = ()


EMPTY: Final = Admission()


def count_waiting(admission: Admission) -> int:
    """Count the queries that wait."""
    return queues.count(admission.queue)


def is_idle(admission: Admission) -> bool:
    """Tell whether nothing runs or waits."""
    return not admission.running and not count_waiting(admission)


def is_strained(parts: int, shed: int) -> bool:
    """Tell whether so many shed parts of a query show an overload."""
    return shed > parts * STRAIN_SHARE


def offer(admission: Admission, entry: queues.Entry, now: float) -> Step:
    """Start, queue or refuse one query."""
    step = expire(admission, now)
    wait = estimate_wait(step.admission, entry.priority)
    if _comes_too_late(step.admission, entry, now, wait):
        kind = errors.Kind.DEADLINE_UNREACHABLE
        return _add_refusals(step, _refuse(entry, kind, wait))
    added = queues.add(step.admission.queue, entry)
    if added is None:
        refused = _refuse(entry, errors.Kind.OVERLOADED, wait)
        return _add_refusals(step, refused)
    if added.evicted is not None:
        evicted = _refuse(added.evicted, errors.Kind.OVERLOADED, wait)
        step = _add_refusals(step, evicted)
    started = start(step.admission._replace(queue=added.queue), now)
    return started._replace(refused=(*step.refused, *started.refused))


def start(admission: Admission, now: float) -> Step:
    """Start what the window has room for; drop what is too late."""
    if now - admission.swept < SWEEP_S and not _has_room(admission, now):
        return Step(admission)
    step = expire(admission._replace(swept=now), now)
    current = step.admission
    started: list[queues.Entry] = []
    while count_waiting(current) and _has_room(current, now):
        taken = queues.take(current.queue)
        current = current._replace(
            queue=taken.queue, running=current.running + 1, started=now
        )
        started.append(taken.entry)
    return Step(current, tuple(started), step.refused)


def next_start(admission: Admission) -> float | None:
    """Return when a spaced start falls due; None where a finish starts it."""
    if admission.running or not count_waiting(admission):
        return None
    return _find_start(admission)


def expire(admission: Admission, now: float) -> Step:
    """Drop every waiting query that can no longer be answered in time."""
    left, late = queues.part(
        admission.queue, lambda entry: _is_doomed(admission, entry, now)
    )
    if not late:
        return Step(admission)
    current = admission._replace(queue=left)
    kind = errors.Kind.DEADLINE_UNREACHABLE
    refused = tuple(
        _refuse(entry, kind, estimate_wait(current, entry.priority))
        for entry in late
    )
    return Step(current, refused=refused)


def finish(
    admission: Admission,
    now: float,
    run_s: float,
    *,
    strained: bool,
    class_name: str = '',
) -> Step:
    """Take in that a query finished after `run_s`, and start the next.

    `strained` tells that the load was too much for the searchers; the window
    then shrinks, at most once in the time that a query takes, because all
    that run together meet the same overload.
    """
    gap_s = admission.gap_s
    if count_waiting(admission):
        gap_s = _smooth(gap_s, now - admission.finished, GAP_WEIGHT)
    smoothed = _smooth(admission.run_s, run_s, PACE_WEIGHT)
    window, cut = admission.window, admission.cut
    if strained:
        if now - cut >= smoothed:
            window = max(WINDOW_LEAST, window * WINDOW_FACTOR)
            cut = now
    elif admission.running >= int(window):
        window = min(WINDOW_MOST, _grow(window, cut))
    current = admission._replace(
        running=max(0, admission.running - 1),
        window=window,
        paces=_note_pace(admission.paces, class_name, run_s),
        run_s=smoothed,
        gap_s=gap_s,
        finished=now,
        cut=cut,
    )
    return start(current, now)


def estimate_wait(admission: Admission, priority: int) -> float:
    """Estimate the seconds until a query offered now would start."""
    if admission.running < int(admission.window):
        return 0.0
    gap_s = admission.gap_s or admission.run_s / admission.window
    return queues.count_turns(admission.queue, priority) * gap_s


def _has_room(admission: Admission, now: float) -> bool:
    if admission.window >= 1:
        return admission.running < int(admission.window)
    return not admission.running and now >= _find_start(admission)


def _find_start(admission: Admission) -> float:
    if admission.window >= 1:
        return admission.started
    return admission.started + admission.run_s / admission.window


def _grow(window: float, cut: float) -> float:
    if not cut:
        # Nothing was ever shed: look for the limit fast.
        return window + 1
    return window + (GROWTH + GROWTH_SHARE * window) / max(1.0, window)


def _estimate_run(admission: Admission, entry: queues.Entry) -> float:
    """Estimate how long a query would run, at most half of its time.

    Without that bound a class whose queries once ran longer than their
    deadline would be refused for ever, and nothing would correct the
    estimate.
    """
    pace = admission.paces.get(entry.class_name)
    if pace is None:
        return 0.0
    likely = pace.mean + DEVIATIONS * pace.deviation
    return min(likely, (entry.deadline - entry.arrived) / 2)


def _is_doomed(admission: Admission, entry: queues.Entry, now: float) -> bool:
    return now + _estimate_run(admission, entry) >= entry.deadline


def _comes_too_late(
    admission: Admission, entry: queues.Entry, now: float, wait: float
) -> bool:
    allowed = (entry.deadline - entry.arrived) * QUEUE_SHARE
    waited = now - entry.arrived
    if wait and waited + wait > allowed:
        return True
    return _is_doomed(admission, entry, now + wait)


def _refuse(entry: queues.Entry, kind: errors.Kind, wait: float) -> Refused:
    failure = errors.make_failure(
        kind, SOURCE, retry_after=max(SHORTEST_RETRY_S, wait)
    )
    return Refused(entry.token, failure)


def _add_refusals(step: Step, refused: Refused) -> Step:
    return step._replace(refused=(*step.refused, refused))


def _note_pace(
    paces: Mapping[str, Pace], class_name: str, run_s: float
) -> Mapping[str, Pace]:
    pace = paces.get(class_name) or Pace(run_s, 0.0)
    off = run_s - pace.mean
    noted = Pace(
        pace.mean + PACE_WEIGHT * off,
        pace.deviation + PACE_WEIGHT * (abs(off) - pace.deviation),
    )
    return MappingProxyType({**paces, class_name: noted})


def _smooth(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old) if old else new
