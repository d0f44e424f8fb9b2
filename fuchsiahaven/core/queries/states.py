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
    own: str = ''
    stopping: bool = False


def start(
    data_centre: str,
    draw: Callable[[], float],
    policy: policies.Policy = policies.STANDARD,
) -> State:
    """Return the state of a host that knows nothing yet."""
    return State(data_centre, draw, policy, tables.make_tables())


def set_timer(state: State, when: float, due: tables.Due) -> None:
    """Remember to act at a time."""
    number = next(state.tables.numbers)
    heapq.heappush(state.tables.timers, (when, number, due))


def pop_due(state: State, now: float) -> tables.Due | None:
    """Take the next timer whose time has come."""
    timers = state.tables.timers
    if timers and timers[0][0] <= now:
        return heapq.heappop(timers)[2]
    return None


def find_class(state: State, name: str) -> configurations.RequestClass | None:
    """Find a class of request by name."""
    for policy in state.configuration.classes:
        if policy.name == name:
            return policy
    return None
