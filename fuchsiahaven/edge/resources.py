"""Open connections, ports and threads according to the settings."""

import contextlib
import errno
import ssl
import threading
from collections.abc import Callable
from typing import Final, NamedTuple

from cheroot import wsgi

from fuchsiahaven.core import addresses
from fuchsiahaven.core.members import member_states
from fuchsiahaven.edge import peer_client, peer_port, revision_task, store, tls
from fuchsiahaven.operate import settings

MS_PER_S: Final = 1000

Section = (
    settings.Callers | settings.Peers | settings.Platform | settings.Targets
)


class ProcessAddress(NamedTuple):
    """Hold the member name and the peer address of one process."""

    name: str
    address: str


class BoundServer(NamedTuple):
    """Hold a listening server and its offset from the first port."""

    port_offset: int
    address: addresses.Address
    server: wsgi.Server


def make_timings(host_settings: settings.Settings) -> member_states.Timings:
    """Make the timings of membership from the settings."""
    section = host_settings.peers
    return member_states.Timings(
        probe_period_s=section.interval_ms / MS_PER_S,
        probe_timeout_s=section.timeout_ms / MS_PER_S,
    )


def open_peer_client(
    host_settings: settings.Settings, stack: contextlib.ExitStack
) -> peer_client.PeerClient:
    """Open the client for other hosts; the stack closes it."""
    identity = open_identity(host_settings.peers, ssl.Purpose.SERVER_AUTH)
    client = peer_client.PeerClient(identity, host_settings.peers.body_bytes)
    stack.callback(client.close)
    return client


def open_stores(
    host_settings: settings.Settings, stack: contextlib.ExitStack
) -> revision_task.Stores:
    """Open the configuration task's connections to the platform."""
    return revision_task.Stores(
        open_store(host_settings, stack), open_store(host_settings, stack)
    )


def open_store(
    host_settings: settings.Settings,
    stack: contextlib.ExitStack,
    limits: store.Limits = store.DEFAULT_LIMITS,
) -> store.Store:
    """Open one connection to the platform; the stack closes it."""
    platform = host_settings.platform
    limits = limits._replace(read_timeout_s=platform.timeout_ms / MS_PER_S)
    identity = open_identity(platform, ssl.Purpose.SERVER_AUTH)
    scheme = 'https' if identity else 'http'
    urls = tuple(
        f'{scheme}://{addresses.format_address(address)}'
        for address in platform.addresses
    )
    platform_store = store.Store(urls, limits, identity=identity)
    stack.callback(platform_store.close)
    return platform_store


def bind_peer_port(
    host_settings: settings.Settings, application: peer_port.Application
) -> tuple[ProcessAddress, wsgi.Server]:
    """Bind the peer port, or the next free one of this host's processes.

    Each process is a separate member because it has its own connections to
    targets. Raises OSError if no port is free.
    """
    count = host_settings.host.processes
    identity = open_identity(host_settings.peers, ssl.Purpose.CLIENT_AUTH)

    def make_server(address: addresses.Address) -> wsgi.Server:
        return peer_port.make_server(
            application, address, host_settings.peers.body_bytes, identity
        )

    bound = bind_free_port(make_server, host_settings.peers.address, count)
    name = host_settings.host.name
    name = f'{name}/{bound.port_offset}' if count > 1 else name
    return ProcessAddress(
        name, addresses.format_address(bound.address)
    ), bound.server


def bind_free_port(
    make_server: Callable[[addresses.Address], wsgi.Server],
    first_address: addresses.Address,
    count: int,
) -> BoundServer:
    """Bind the first free of `count` ports. Raises OSError if none is."""
    for index in range(count):
        address = first_address._replace(port=first_address.port + index)
        server = make_server(address)
        if _try_bind(server, last=index + 1 == count):
            return BoundServer(index, address, server)
    raise AssertionError('binding the last port succeeds or raises')


def start_thread(
    run: Callable[[], None], name: str, stack: contextlib.ExitStack
) -> None:
    """Start a thread; the stack joins it."""
    thread = threading.Thread(target=run, name=name)
    thread.start()
    stack.callback(thread.join)


def _try_bind(server: wsgi.Server, *, last: bool) -> bool:
    try:
        server.prepare()
    except OSError as error:
        if last or error.errno not in {errno.EADDRINUSE, None}:
            raise
        return False
    return True


def open_identity(
    section: Section, purpose: ssl.Purpose
) -> tls.Identity | None:
    """Load the TLS identity of a section; None if it uses plain text.

    Raises OSError if a file cannot be used.
    """
    files = tls.Files(section.tls_certificate, section.tls_key)
    if not isinstance(section, settings.Callers):
        files = files._replace(authority=section.tls_authority)
    if not any(files):
        return None
    return tls.Identity(files, purpose)
