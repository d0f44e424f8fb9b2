"""Define targets; each start of a target is an instance of its own."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Instance(NamedTuple):
    """Describe one start of a target.

    Requests name a target by its `id`, because an address can pass to a target
    of another service. A target may start again under the same id; `born`, in
    milliseconds of its own clock, distinguishes the starts, and `name` belongs
    to one start alone: all state kept by name (connections, latencies,
    failures) starts anew with the target. `warming` is for how many seconds the
    target will be cold from the time of its entry; 0 for a warm one.
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
    """Return the name of one start of a target; `born` is 0 if unknown."""
    return f'{target_id}@{born}' if born else target_id


def is_warmup_countdown(before: Instance, after: Instance) -> bool:
    """Return whether an entry only counts down the time until a target is warm.

    A cold target writes its remaining time with each heartbeat. Passed on
    between hosts, these entries would be most of their traffic when many
    targets start.
    """
    if not 0 < after.warming <= before.warming:
        return False
    return before == after._replace(warming=before.warming)


class Directory(NamedTuple):
    """Index the targets that may get new work, by name and by service.

    Targets of `evacuated` data centres may not; `evacuated_services` are the
    services with targets in such data centres alone.
    """

    by_name: Mapping[str, Instance]
    by_service: Mapping[str, tuple[Instance, ...]]
    evacuated: frozenset[str] = frozenset()
    evacuated_services: frozenset[str] = frozenset()


EMPTY_DIRECTORY = Directory({}, {})


def build_directory(
    instances: Iterable[Instance], evacuated: Iterable[str] = ()
) -> Directory:
    """Build a directory without leaving and evacuated targets.

    The targets of each service are ordered by name. The directory is used for
    everything that may send to a target: first attempts, retries, hedges,
    trials of excluded targets and connections opened in advance.
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
