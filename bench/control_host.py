"""Run the control tasks of one host alone, and print what is in force.

A measurement of 64 hosts on one machine would otherwise measure how the
dispatch loops share its processors. All bytes that sockets carry are counted,
apart for the platform and for the other hosts. Sockets with TLS are not
counted: their methods are not those that are counted here.
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
    """Serve until asked to end; a line for each thing that changes."""
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
    """Count the bytes that a method of all sockets carries."""
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
    """Print one event with its time."""
    match event:
        case messages.ConfigurationReceived(configuration):
            write_line({'revision': configuration.revision})
        case messages.MembersChanged(hosts):
            write_line({'members': len(hosts)})


def write_line(fields: dict[str, int]) -> None:
    """Print one line with its time."""
    line = json.dumps({'at': time.time(), **fields})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
