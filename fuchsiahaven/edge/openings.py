"""Open what the control tasks need, as the settings say."""

import contextlib
import errno
import ssl
import threading
from collections.abc import Callable
from typing import Final, NamedTuple

from cheroot import wsgi

from fuchsiahaven.core import addresses
from fuchsiahaven.core.members import member_states
from fuchsiahaven.edge import peer_calls, peers, revisions, store, tls
from fuchsiahaven.operate import settings

MILLISECONDS: Final = 1000

Section = (
    settings.Callers | settings.Peers | settings.Platform | settings.Targets
)


class Place(NamedTuple):
    """Name one process among the members, and say where it listens."""

    name: str
    address: str


class Bound(NamedTuple):
    """Hold a server that listens, and the how manieth of its ports it has."""

    number: int
    address: addresses.Address
    server: wsgi.Server


def read_rules(chosen: settings.Settings) -> member_states.Timings:
    """Take the times of membership from the settings."""
    own = chosen.peers
    return member_states.Timings(
        probe_period_s=own.interval_ms / MILLISECONDS,
        probe_timeout_s=own.timeout_ms / MILLISECONDS,
    )


def open_caller(
    chosen: settings.Settings, stack: contextlib.ExitStack
) -> peer_calls.Caller:
    """Open the calls to other hosts; the stack closes them."""
    identity = open_identity(chosen.peers, ssl.Purpose.SERVER_AUTH)
    caller = peer_calls.Caller(identity, chosen.peers.body_bytes)
    stack.callback(caller.close)
    return caller


def open_stores(
    chosen: settings.Settings, stack: contextlib.ExitStack
) -> revisions.Stores:
    """Open the configuration task's connections to the platform."""
    return revisions.Stores(
        open_store(chosen, stack), open_store(chosen, stack)
    )


def open_store(
    chosen: settings.Settings,
    stack: contextlib.ExitStack,
    limits: store.Limits = store.DEFAULT_LIMITS,
) -> store.Store:
    """Open one connection to the platform; the stack closes it."""
    platform = chosen.platform
    limits = limits._replace(read_s=platform.timeout_ms / MILLISECONDS)
    identity = open_identity(platform, ssl.Purpose.SERVER_AUTH)
    scheme = 'https' if identity else 'http'
    urls = tuple(
        f'{scheme}://{addresses.format_address(address)}'
        for address in platform.addresses
    )
    opened = store.Store(urls, limits, identity=identity)
    stack.callback(opened.close)
    return opened


def bind_peer_port(
    chosen: settings.Settings, application: peers.Application
) -> tuple[Place, wsgi.Server]:
    """Bind the peer port; processes of one host take the ports after it.

    Each process is a member of its own, for it holds connections to targets
    of its own. Raises OSError where no port is free.
    """
    count = chosen.host.processes
    identity = open_identity(chosen.peers, ssl.Purpose.CLIENT_AUTH)

    def make(address: addresses.Address) -> wsgi.Server:
        return peers.make_server(
            application, address, chosen.peers.body_bytes, identity
        )

    bound = bind_next(make, chosen.peers.address, count)
    name = chosen.host.name
    name = f'{name}/{bound.number}' if count > 1 else name
    return Place(name, addresses.format_address(bound.address)), bound.server


def bind_next(
    make: Callable[[addresses.Address], wsgi.Server],
    first: addresses.Address,
    count: int,
) -> Bound:
    """Bind the first free one of `count` ports; OSError where none is."""
    for number in range(count):
        address = first._replace(port=first.port + number)
        server = make(address)
        if _prepare(server, last=number + 1 == count):
            return Bound(number, address, server)
    raise AssertionError('the last port is bound or raises')


def start_thread(
    run: Callable[[], None], name: str, stack: contextlib.ExitStack
) -> None:
    """Start a thread; the stack waits for its end."""
    thread = threading.Thread(target=run, name=name)
    thread.start()
    stack.callback(thread.join)


def _prepare(server: wsgi.Server, *, last: bool) -> bool:
    try:
        server.prepare()
    except OSError as error:
        if last or error.errno not in {errno.EADDRINUSE, None}:
            raise
        return False
    return True


def open_identity(section: Section, side: ssl.Purpose) -> tls.Identity | None:
    """Open the identity that a section names; None where it speaks plainly.

    Raises OSError where a file cannot be used.
    """
    files = tls.Files(section.tls_certificate, section.tls_key)
    if not isinstance(section, settings.Callers):
        files = files._replace(authority=section.tls_authority)
    if not any(files):
        return None
    return tls.Identity(files, side)
