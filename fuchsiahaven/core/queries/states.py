"""Hold the state of one host's dispatch.

Scalars are replaced and tables are updated in place, so a state must not be
used again after it was passed to `dispatch.handle_event`.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from fuchsiahaven.core import policies
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import tables


class State(NamedTuple):
    """Hold the whole state of one host's dispatch.

    `hosts` are the members of the data centre that share its targets,
    `own_name` is this host's name among them. `draw` returns random numbers
    from 0 to below 1.
    """

    data_centre: str
    draw: Callable[[], float]
    policy: policies.Policy
    tables: tables.Tables
    configuration: configurations.Configuration = configurations.EMPTY
    hosts: tuple[str, ...] = ()
    own_name: str = ''
    stopping: bool = False


def make_state(
    data_centre: str,
    draw: Callable[[], float],
    policy: policies.Policy = policies.STANDARD,
) -> State:
    """Return the state of a host without a configuration."""
    return State(data_centre, draw, policy, tables.make_tables())


def set_timer(state: State, fires_at: float, timer: tables.Timer) -> None:
    """Set a timer that fires at `fires_at`, in monotonic seconds."""
    number = next(state.tables.numbers)
    heapq.heappush(state.tables.timers, (fires_at, number, timer))


def pop_timer(state: State, now: float) -> tables.Timer | None:
    """Remove and return the next timer that has fired; None if none has."""
    timers = state.tables.timers
    if timers and timers[0][0] <= now:
        return heapq.heappop(timers)[2]
    return None


def find_class(state: State, name: str) -> configurations.RequestClass | None:
    """Find a class of request by name; None if it is not configured."""
    for request_class in state.configuration.classes:
        if request_class.name == name:
            return request_class
    return None
