"""Hold which targets there are, each start of one under its own identity."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Instance(NamedTuple):
    """Describe one start of a target.

    `id` is what a request names it by, because an address can pass to a
    target of another service. A target may start again under the same id;
    `born`, in milliseconds of its own clock, tells the starts apart, and
    `name` belongs to one start alone: whatever is kept by name (connections,
    latencies, failures) starts anew with the target. `warming` is for how many
    seconds it will be cold from when that was told; 0 for a warm one.
    """

    name: str
    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warming: float
    born: int = 0


def name_start(target_id: str, born: int) -> str:
    """Name one start of a target; `born` is 0 where that is not known."""
    return f'{target_id}@{born}' if born else target_id


def is_countdown(before: Instance, after: Instance) -> bool:
    """Tell whether a target is no more than a little nearer to being warm.

    Each of its heartbeats says so while it is cold. Passed on, they would be
    most of what hosts tell each other when many targets start.
    """
    if not 0 < after.warming <= before.warming:
        return False
    return before == after._replace(warming=before.warming)


class Directory(NamedTuple):
    """Hold the targets that may get new work, by service.

    Those of an `evacuated` data centre may not; services with targets in
    these alone are `withheld`.
    """

    by_name: Mapping[str, Instance]
    by_service: Mapping[str, tuple[Instance, ...]]
    evacuated: frozenset[str] = frozenset()
    withheld: frozenset[str] = frozenset()


EMPTY = Directory({}, {})


def build_directory(
    instances: Iterable[Instance], evacuated: Iterable[str] = ()
) -> Directory:
    """Leave out what is leaving or evacuated; order each service by name.

    Everything that may lead to a sending asks the directory: first sendings,
    repeats, trials of targets taken for dead and connections opened ahead.
    """
    barred = frozenset(evacuated)
    staying = [one for one in instances if not one.leaving]
    by_name = {
        one.name: one for one in staying if one.data_centre not in barred
    }
    by_service: dict[str, list[Instance]] = {}
    for name in sorted(by_name):
        one = by_name[name]
        by_service.setdefault(one.service, []).append(one)
    return Directory(
        by_name,
        {service: tuple(found) for service, found in by_service.items()},
        barred,
        frozenset(one.service for one in staying) - by_service.keys(),
    )
