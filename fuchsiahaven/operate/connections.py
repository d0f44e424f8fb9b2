"""Find the platform and the hosts for an operator's command."""

import argparse
import contextlib
import os
import sys
from pathlib import Path
from typing import Final, NamedTuple

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import editor, store
from fuchsiahaven.operate import settings_reader

PLATFORM_VARIABLE: Final = 'FUCHSIAHAVEN_PLATFORM'
HOSTS_VARIABLE: Final = 'FUCHSIAHAVEN_HOSTS'
EXPECTED: Final = 'expected IP:PORT, or several separated by commas'
HELP: Final = f"""where:
  --platform or {PLATFORM_VARIABLE} names the platform's service; --hosts or
  {HOSTS_VARIABLE} names peer ports of hosts, besides those that the platform
  lists; --settings takes both from a host's settings file.
"""

Addresses = tuple[addresses.Address, ...]


class Place(NamedTuple):
    """Say where the platform's service and some hosts answer.

    `patience` bounds how long the platform is asked again.
    """

    platform: Addresses
    hosts: Addresses
    patience: editor.Patience = editor.PATIENCE


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments that say where to go, and how to print."""
    parser.add_argument(
        '--platform',
        metavar='IP:PORT',
        default=os.environ.get(PLATFORM_VARIABLE, ''),
        help="the platform's service",
    )
    parser.add_argument(
        '--hosts',
        metavar='IP:PORT,...',
        default=os.environ.get(HOSTS_VARIABLE, ''),
        help='peer ports of hosts to ask besides those listed',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help="take both from a host's settings file",
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=editor.PATIENCE.seconds,
        metavar='SECONDS',
        help='how long to go on while the platform gives nothing',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')


def find_place(arguments: argparse.Namespace) -> Place | None:
    """Read where to go; print what is wrong and return None."""
    platform = _parse(arguments.platform)
    hosts = _parse(arguments.hosts)
    if platform is None or hosts is None:
        print(EXPECTED, file=sys.stderr)
        return None
    if arguments.settings is not None:
        reading = settings_reader.read_file(arguments.settings)
        for fault in reading.faults:
            print(settings_reader.describe(fault), file=sys.stderr)
        if reading.settings is None:
            return None
        platform = platform or reading.settings.platform.addresses
        hosts = hosts or (
            reading.settings.peers.address,
            *reading.settings.peers.seeds,
        )
    if not platform:
        print(f'--platform or {PLATFORM_VARIABLE}: {EXPECTED}', file=sys.stderr)
        return None
    return Place(platform, hosts, editor.Patience(arguments.timeout))


def open_store(place: Place, stack: contextlib.ExitStack) -> store.Store:
    """Open the platform's service; the stack closes it."""
    url = f'http://{addresses.write(place.platform[0])}'
    opened = store.Store(url)
    stack.callback(opened.close)
    return opened


def _parse(text: str) -> Addresses | None:
    words = text.replace(',', ' ').split()
    found = [addresses.parse(word) for word in words]
    known = tuple(address for address in found if address is not None)
    return known if len(known) == len(found) else None
