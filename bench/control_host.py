"""Run only the control tasks of one host, and print each change of state.

With dispatch loops, a measurement of 64 hosts on one machine would measure how
these share its processors. Bytes on sockets are counted separately for the
platform and for other hosts. TLS sockets are not counted, because they don't
use the socket methods that are wrapped here.
"""

import contextlib
import functools
import json
import signal
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fuchsiahaven.core.customers import freshness
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import authenticators, control, resources
from fuchsiahaven.operate import logs, settings_reader

BYTE_COUNTS: Counter[str] = Counter(peers=0, platform=0)


def main() -> None:
    """Run until SIGTERM; print the byte counts on SIGUSR1."""
    parsed = settings_reader.read_file(Path(sys.argv[1]))
    assert parsed.settings, parsed.faults
    logs.set_up(parsed.settings.logs)
    platform = parsed.settings.platform.addresses[0].port
    for name in ('send', 'sendall', 'recv', 'recv_into'):
        count_bytes(name, platform)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGUSR1, lambda *_: write_line(BYTE_COUNTS))
    with contextlib.ExitStack() as stack:
        peer_client = resources.open_peer_client(parsed.settings, stack)
        callbacks = control.Callbacks(
            post,
            lambda body: body,
            lambda listed: None,
            authenticators.Authenticator(freshness.Freshness()),
        )
        control.start(parsed.settings, callbacks, peer_client, stack)
        stop.wait()


def count_bytes(name: str, platform_port: int) -> None:
    """Wrap a method of all plain sockets to count its bytes."""
    method: Callable[..., Any] = getattr(socket.socket, name)

    @functools.wraps(method)
    def count_and_call(sock: socket.socket, buffer: Any, *rest: Any) -> Any:
        result = method(sock, buffer, *rest)
        size = len(result) if name == 'recv' else result
        size = len(buffer) if name == 'sendall' else size
        with contextlib.suppress(OSError):
            to_platform = sock.getpeername()[1] == platform_port
            BYTE_COUNTS['platform' if to_platform else 'peers'] += size
        return result

    setattr(socket.socket, name, count_and_call)


def post(event: control.Event) -> None:
    """Print the revision or the number of members of an event."""
    match event:
        case messages.ConfigurationReceived(configuration):
            write_line({'revision': configuration.revision})
        case messages.MembersChanged(hosts):
            write_line({'members': len(hosts)})


def write_line(fields: dict[str, int]) -> None:
    """Print fields as a line of JSON, with the current time."""
    line = json.dumps({'at': time.time(), **fields})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
