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

COUNTED: Counter[str] = Counter(peers=0, platform=0)


def main() -> None:
    """Serve until asked to end; a line for each thing that changes."""
    read = settings_reader.read_file(Path(sys.argv[1]))
    assert read.settings, read.faults
    logs.set_up(read.settings.logs)
    platform = read.settings.platform.addresses[0].port
    for name in ('send', 'sendall', 'recv', 'recv_into'):
        count_calls(name, platform)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGUSR1, lambda *_: write_line(COUNTED))
    with contextlib.ExitStack() as stack:
        caller = resources.open_peer_client(read.settings, stack)
        links = control.Callbacks(
            post,
            lambda body: body,
            lambda listed: None,
            authenticators.Authenticator(freshness.Freshness()),
        )
        control.start(read.settings, links, caller, stack)
        stop.wait()


def count_calls(name: str, platform: int) -> None:
    """Count the bytes that a method of all sockets carries."""
    carry: Callable[..., Any] = getattr(socket.socket, name)

    @functools.wraps(carry)
    def counted(sock: socket.socket, buffer: Any, *rest: Any) -> Any:
        result = carry(sock, buffer, *rest)
        size = len(result) if name == 'recv' else result
        size = len(buffer) if name == 'sendall' else size
        with contextlib.suppress(OSError):
            there = sock.getpeername()[1] == platform
            COUNTED['platform' if there else 'peers'] += size
        return result

    setattr(socket.socket, name, counted)


def post(event: control.Event) -> None:
    """Print one event with its time."""
    match event:
        case messages.ConfigurationReceived(configuration):
            write_line({'revision': configuration.revision})
        case messages.MembersChanged(hosts):
            write_line({'members': len(hosts)})


def write_line(told: dict[str, int]) -> None:
    """Print one line with its time."""
    line = json.dumps({'at': time.time(), **told})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
