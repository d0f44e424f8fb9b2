"""Restore the configuration of hosts to a platform with an older copy."""

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
from fuchsiahaven.core.members import patch_codecs
from fuchsiahaven.edge import config_client
from fuchsiahaven.operate import (
    connections,
    exit_codes,
    host_client,
    statuses,
    submissions,
)

FETCH_TIMEOUT_S: Final = 10.0
CONFIGURATION_PATH: Final = '/v1/configuration?above=0'
EPILOG: Final = f"""examples:
  fuchsiahaven status
  fuchsiahaven recover --hosts 10.0.1.7:8201,10.0.2.7:8201 --wait

For a platform that was restored from an older copy. Each host holds the
targets that it can reach, so one host of every data centre has to answer with
the highest revision; with --force the platform's older copy is used for data
centres where no host answers. The result is one new revision above all others.

{submissions.EXIT_CODES}"""

#: The configuration in force on one host of each data centre.
HeldConfigurations = Mapping[str, configurations.Configuration]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    submissions.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Merge the configurations of hosts and submit them as one change."""
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        loaded = config_client.read_configuration(
            opened_store, endpoints.retries
        )
        if isinstance(loaded, errors.Failure):
            submissions.print_failure(loaded, as_json=arguments.json)
            return submissions.choose_exit_code(loaded)
        platform_copy = loaded.manifest.configuration
        by_data_centre = collect_configurations(
            endpoints, statuses.survey_hosts(endpoints, opened_store).hosts
        )
        missing = list_data_centres(platform_copy) - by_data_centre.keys()
        if not by_data_centre or (missing and not arguments.force):
            names = ', '.join(sorted(missing)) or 'any data centre'
            print(
                f'no host returned a configuration in {names}', file=sys.stderr
            )
            return exit_codes.UNREACHABLE
        merged = merge_configurations(
            {**by_data_centre, **dict.fromkeys(missing, platform_copy)}
        )
        change = changes.RecoverConfiguration(merged)
        return submissions.submit_to_store(
            arguments, change, endpoints, opened_store
        )


def collect_configurations(
    endpoints: connections.Endpoints, hosts: tuple[statuses.HostStatus, ...]
) -> HeldConfigurations:
    """Fetch the newest configuration from one host of each data centre."""
    newest = max((status.revision or 0 for status in hosts), default=0)
    by_data_centre: dict[str, configurations.Configuration] = {}
    for host in hosts:
        if host.revision == newest and host.data_centre not in by_data_centre:
            configuration = _fetch_configuration(
                endpoints, host.address, newest
            )
            by_data_centre.update(
                {host.data_centre: configuration} if configuration else {}
            )
    return by_data_centre


def list_data_centres(configuration: configurations.Configuration) -> set[str]:
    """List the data centres that have targets."""
    return {
        target.data_centre
        for group in configuration.groups
        for target in group.targets
    }


def merge_configurations(
    by_data_centre: HeldConfigurations,
) -> configurations.Configuration:
    """Merge configurations, with each data centre's targets from its own."""
    first = next(iter(by_data_centre.values()))
    groups = [
        _merge_group(
            group,
            [
                (data_centre, other)
                for data_centre, configuration in by_data_centre.items()
                for other in configuration.groups
                if other.name == group.name
            ],
        )
        for group in first.groups
    ]
    return first._replace(groups=tuple(groups))


def _merge_group(
    group: configurations.Group,
    others: Iterable[tuple[str, configurations.Group]],
) -> configurations.Group:
    targets: list[configurations.Target] = []
    leaving: set[str] = set()
    for data_centre, other in others:
        own = [it for it in other.targets if it.data_centre == data_centre]
        targets += own
        leaving.update(other.leaving.intersection(it.name for it in own))
    return group._replace(
        targets=trees.sort_targets(targets), leaving=frozenset(leaving)
    )


def _fetch_configuration(
    endpoints: connections.Endpoints, address: str, revision: int
) -> configurations.Configuration | None:
    response = statuses.send_get(
        endpoints, address, CONFIGURATION_PATH, FETCH_TIMEOUT_S
    )
    if isinstance(response, host_client.NoResponse):
        return None
    message = patch_codecs.decode_patches(json.dumps(response.body).encode())
    stamped: patches.StampedConfiguration | None = patches.EMPTY
    for patch in message.patches if message else ():
        stamped = patches.apply_patch(patch, stamped) if stamped else None
    if stamped is None or stamped.stamp.revision != revision:
        return None
    return stamped.configuration
