"""Put what hosts have in force back into a platform with an older copy."""

import argparse
import contextlib
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    patches,
    trees,
)
from fuchsiahaven.core.members import patch_rows
from fuchsiahaven.edge import editor
from fuchsiahaven.operate import (
    connections,
    exchanges,
    exits,
    statuses,
    submissions,
)

TIMEOUT_S: Final = 10.0
PATH: Final = '/v1/configuration?above=0'
EPILOG: Final = f"""examples:
  fuchsiahaven status
  fuchsiahaven recover --hosts 10.0.1.7:8201,10.0.2.7:8201 --wait

For a platform that came back with an older copy. Each host holds the targets
that it can reach, so one host of every data centre has to answer with the
highest revision; with --force the platform's older copy speaks for those
that none answers in. The result is one new revision above all of them.

{submissions.EXIT_CODES}"""

#: What was found to be in force, by data centre.
Held = Mapping[str, configurations.Configuration]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    submissions.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Collect the configuration from hosts and submit it as one change."""
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        loaded = editor.read_configuration(platform, place.patience)
        if isinstance(loaded, errors.Failure):
            submissions.show_failure(loaded, as_json=arguments.json)
            return submissions.choose_exit(loaded)
        older = loaded.manifest.configuration
        held = collect(place, statuses.survey(place, platform).hosts)
        missing = list_centres(older) - held.keys()
        if not held or (missing and not arguments.force):
            names = ', '.join(sorted(missing)) or 'any data centre'
            print(f'no host gave what is in force in {names}', file=sys.stderr)
            return exits.UNREACHABLE
        whole = join({**held, **dict.fromkeys(missing, older)})
        change = changes.RecoverConfiguration(whole)
        return submissions.submit_at(arguments, change, place, platform)


def collect(place: connections.Place, hosts: tuple[statuses.Seen, ...]) -> Held:
    """Fetch what is in force from one host of each data centre."""
    newest = max((seen.revision or 0 for seen in hosts), default=0)
    held: dict[str, configurations.Configuration] = {}
    for each in hosts:
        if each.revision == newest and each.data_centre not in held:
            found = _fetch(place, each.address, newest)
            held.update({each.data_centre: found} if found else {})
    return held


def list_centres(configuration: configurations.Configuration) -> set[str]:
    """List the data centres that have targets."""
    return {
        target.data_centre
        for group in configuration.groups
        for target in group.targets
    }


def join(held: Held) -> configurations.Configuration:
    """Take each data centre's targets from what that data centre gave."""
    first = next(iter(held.values()))
    groups = [
        _join_group(
            group,
            [
                (centre, other)
                for centre, configuration in held.items()
                for other in configuration.groups
                if other.name == group.name
            ],
        )
        for group in first.groups
    ]
    return first._replace(groups=tuple(groups))


def _join_group(
    group: configurations.Group,
    others: Iterable[tuple[str, configurations.Group]],
) -> configurations.Group:
    targets: list[configurations.Target] = []
    leaving: set[str] = set()
    for centre, other in others:
        own = [it for it in other.targets if it.data_centre == centre]
        targets += own
        leaving.update(other.leaving.intersection(it.name for it in own))
    return group._replace(
        targets=trees.sort_targets(targets), leaving=frozenset(leaving)
    )


def _fetch(
    place: connections.Place, address: str, revision: int
) -> configurations.Configuration | None:
    told = statuses.ask(place, address, PATH, TIMEOUT_S)
    if isinstance(told, exchanges.Silent):
        return None
    parcel = patch_rows.read(json.dumps(told.body).encode())
    held: patches.StampedConfiguration | None = patches.EMPTY
    for patch in parcel.patches if parcel else ():
        held = patches.apply_patch(patch, held) if held else None
    if held is None or held.stamp.revision != revision:
        return None
    return held.configuration
