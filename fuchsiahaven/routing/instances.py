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


def make_start_name(target_id: str, born: int) -> str:
    """Name one start of a target; `born` is 0 where that is not known."""
    return f'{target_id}@{born}' if born else target_id


def is_warmup_countdown(before: Instance, after: Instance) -> bool:
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
    evacuated_services: frozenset[str] = frozenset()


EMPTY_DIRECTORY = Directory({}, {})


def build_directory(
    instances: Iterable[Instance], evacuated: Iterable[str] = ()
) -> Directory:
    """Leave out what is leaving or evacuated; order each service by name.

    Everything that may lead to a sending asks the directory: first sendings,
    repeats, trials of targets taken for dead and connections opened ahead.
    """
    excluded = frozenset(evacuated)
    active = [instance for instance in instances if not instance.leaving]
    by_name = {
        instance.name: instance
        for instance in active
        if instance.data_centre not in excluded
    }
    by_service: dict[str, list[Instance]] = {}
    for name in sorted(by_name):
        instance = by_name[name]
        by_service.setdefault(instance.service, []).append(instance)
    return Directory(
        by_name,
        {service: tuple(targets) for service, targets in by_service.items()},
        excluded,
        frozenset(instance.service for instance in active) - by_service.keys(),
    )
