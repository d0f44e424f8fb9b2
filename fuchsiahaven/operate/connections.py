"""Find the platform and the hosts for an operator's command."""

import argparse
import contextlib
import os
import ssl
import sys
from pathlib import Path
from typing import Final, NamedTuple

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import editor, store, tls
from fuchsiahaven.operate import settings_reader

PLATFORM_VARIABLE: Final = 'FUCHSIAHAVEN_PLATFORM'
HOSTS_VARIABLE: Final = 'FUCHSIAHAVEN_HOSTS'
EXPECTED: Final = 'expected IP:PORT, or several separated by commas'
HELP: Final = f"""where:
  --platform or {PLATFORM_VARIABLE} names the platform's service; --hosts or
  {HOSTS_VARIABLE} names peer ports of hosts, besides those that the platform
  lists; --settings takes both, and the TLS files, from a settings file of the
  form that hosts have. Without TLS files both are spoken with plainly.
"""

Addresses = tuple[addresses.Address, ...]


class Place(NamedTuple):
    """Say where the platform's service and some hosts answer.

    `patience` bounds how long the platform is asked again. Without an
    identity there is no TLS.
    """

    platform: Addresses
    hosts: Addresses
    patience: editor.Patience = editor.PATIENCE
    platform_identity: tls.Identity | None = None
    peer_identity: tls.Identity | None = None


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
    patience = editor.Patience(arguments.timeout)
    place: Place | None = Place(platform, hosts, patience)
    if arguments.settings is not None:
        place = _read_settings(arguments.settings, Place(platform, hosts))
    if place is not None and not place.platform:
        print(f'--platform or {PLATFORM_VARIABLE}: {EXPECTED}', file=sys.stderr)
        return None
    return place and place._replace(patience=patience)


def open_store(place: Place, stack: contextlib.ExitStack) -> store.Store:
    """Open the platform's service; the stack closes it."""
    scheme = 'https' if place.platform_identity else 'http'
    urls = tuple(
        f'{scheme}://{addresses.format_address(address)}'
        for address in place.platform
    )
    opened = store.Store(urls, identity=place.platform_identity)
    stack.callback(opened.close)
    return opened


def _read_settings(path: Path, place: Place) -> Place | None:
    reading = settings_reader.read_file(path)
    for fault in reading.faults:
        print(settings_reader.describe(fault), file=sys.stderr)
    found = reading.settings
    if found is None:
        return None
    # What opens keys is imported only where there may be some.
    from fuchsiahaven.edge import openings

    side = ssl.Purpose.SERVER_AUTH
    try:
        platform_identity = openings.open_identity(found.platform, side)
        peer_identity = openings.open_identity(found.peers, side)
    except OSError as error:
        print(f'{path}: a TLS file cannot be used: {error}', file=sys.stderr)
        return None
    return place._replace(
        platform=place.platform or found.platform.addresses,
        hosts=place.hosts or (found.peers.address, *found.peers.seeds),
        platform_identity=platform_identity,
        peer_identity=peer_identity,
    )


def _parse(text: str) -> Addresses | None:
    words = text.replace(',', ' ').split()
    found = [addresses.parse(word) for word in words]
    known = tuple(address for address in found if address is not None)
    return known if len(known) == len(found) else None
