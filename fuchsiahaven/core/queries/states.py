"""Hold the state of one host's dispatch.

The scalars are replaced, the tables are updated in place, so a state that was
handed to `dispatch.handle` must not be used again.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from fuchsiahaven.core import policies
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import tables


class State(NamedTuple):
    """Hold all that one host's dispatch knows.

    `hosts` are the members of the data centre that share its targets, `own`
    is this one's name among them.
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
    """Return the state of a host that knows nothing yet."""
    return State(data_centre, draw, policy, tables.make_tables())


def set_timer(state: State, fires_at: float, timer: tables.Timer) -> None:
    """Remember to act at a time."""
    number = next(state.tables.numbers)
    heapq.heappush(state.tables.timers, (fires_at, number, timer))


def pop_timer(state: State, now: float) -> tables.Timer | None:
    """Take the next timer whose time has come."""
    timers = state.tables.timers
    if timers and timers[0][0] <= now:
        return heapq.heappop(timers)[2]
    return None


def find_class(state: State, name: str) -> configurations.RequestClass | None:
    """Find a class of request by name."""
    for request_class in state.configuration.classes:
        if request_class.name == name:
            return request_class
    return None
