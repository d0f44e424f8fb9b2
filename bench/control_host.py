"""Run the control tasks of one host alone, and print what is in force.

A measurement of 64 hosts on one machine would otherwise measure how the
dispatch loops share its processors.
"""

import contextlib
import json
import signal
import sys
import threading
import time
from pathlib import Path

from fuchsiahaven.core import messages
from fuchsiahaven.edge import control, openings
from fuchsiahaven.operate import logs, settings_reader


def main() -> None:
    """Serve until asked to end; a line for each thing that changes."""
    read = settings_reader.read_file(Path(sys.argv[1]))
    assert read.settings, read.faults
    logs.set_up(read.settings.logs)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    with contextlib.ExitStack() as stack:
        caller = openings.open_caller(read.settings, stack)
        links = control.Links(post, lambda body: body, lambda listed: None)
        control.start(read.settings, links, caller, stack)
        stop.wait()


def post(event: control.Event) -> None:
    """Print one event with its time."""
    line: dict[str, object] = {'at': time.time()}
    match event:
        case messages.Configured(configuration):
            line['revision'] = configuration.revision
        case messages.MembersChanged(hosts):
            line['members'] = len(hosts)
        case _:
            return
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


main()
