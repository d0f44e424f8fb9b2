"""Resolve the addresses of the platform and hosts, and connect to them."""

import argparse
import contextlib
import os
import ssl
import sys
from pathlib import Path
from typing import Final, NamedTuple

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import config_client, store, tls
from fuchsiahaven.operate import settings_reader

PLATFORM_VARIABLE: Final = 'FUCHSIAHAVEN_PLATFORM'
HOSTS_VARIABLE: Final = 'FUCHSIAHAVEN_HOSTS'
ADDRESSES_EXPECTED: Final = 'expected IP:PORT, or several separated by commas'
CONNECTION_HELP: Final = f"""connections:
  --platform or {PLATFORM_VARIABLE} names the platform's service; --hosts or
  {HOSTS_VARIABLE} names peer ports of hosts, besides those that the platform
  lists; --settings reads both, and the TLS files, from the settings file of a
  host. Without TLS files connections are not encrypted.
"""

Addresses = tuple[addresses.Address, ...]


class Endpoints(NamedTuple):
    """Hold the addresses of the platform's service and of some hosts.

    `retries` bounds how long calls to the platform are retried. TLS is used
    where there is an identity.
    """

    platform: Addresses
    hosts: Addresses
    retries: config_client.RetryPolicy = config_client.DEFAULT_RETRIES
    platform_identity: tls.Identity | None = None
    peer_identity: tls.Identity | None = None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments for the connections and for the output."""
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
        help="read both from a host's settings file",
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=config_client.DEFAULT_RETRIES.timeout_s,
        metavar='SECONDS',
        help='how long to retry while the platform does not answer',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')


def find_endpoints(arguments: argparse.Namespace) -> Endpoints | None:
    """Resolve the endpoints; on an error print it and return None."""
    platform = _parse_addresses(arguments.platform)
    hosts = _parse_addresses(arguments.hosts)
    if platform is None or hosts is None:
        print(ADDRESSES_EXPECTED, file=sys.stderr)
        return None
    retries = config_client.RetryPolicy(arguments.timeout)
    endpoints: Endpoints | None = Endpoints(platform, hosts, retries)
    if arguments.settings is not None:
        endpoints = _read_settings(
            arguments.settings, Endpoints(platform, hosts)
        )
    if endpoints is not None and not endpoints.platform:
        print(
            f'--platform or {PLATFORM_VARIABLE}: {ADDRESSES_EXPECTED}',
            file=sys.stderr,
        )
        return None
    return endpoints and endpoints._replace(retries=retries)


def open_store(
    endpoints: Endpoints, stack: contextlib.ExitStack
) -> store.Store:
    """Open a client of the platform's service, which the stack closes."""
    scheme = 'https' if endpoints.platform_identity else 'http'
    urls = tuple(
        f'{scheme}://{addresses.format_address(address)}'
        for address in endpoints.platform
    )
    opened = store.Store(urls, identity=endpoints.platform_identity)
    stack.callback(opened.close)
    return opened


def _read_settings(path: Path, endpoints: Endpoints) -> Endpoints | None:
    reading = settings_reader.read_file(path)
    for fault in reading.faults:
        print(settings_reader.describe_fault(fault), file=sys.stderr)
    host_settings = reading.settings
    if host_settings is None:
        return None
    # Imported only where there may be TLS files to open.
    from fuchsiahaven.edge import resources

    purpose = ssl.Purpose.SERVER_AUTH
    try:
        platform_identity = resources.open_identity(
            host_settings.platform, purpose
        )
        peer_identity = resources.open_identity(host_settings.peers, purpose)
    except OSError as error:
        print(f'{path}: a TLS file cannot be used: {error}', file=sys.stderr)
        return None
    return endpoints._replace(
        platform=endpoints.platform or host_settings.platform.addresses,
        hosts=endpoints.hosts
        or (host_settings.peers.address, *host_settings.peers.seeds),
        platform_identity=platform_identity,
        peer_identity=peer_identity,
    )


def _parse_addresses(text: str) -> Addresses | None:
    tokens = text.replace(',', ' ').split()
    parsed = [addresses.parse(token) for token in tokens]
    valid = tuple(address for address in parsed if address is not None)
    return valid if len(valid) == len(parsed) else None
