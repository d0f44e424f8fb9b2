"""Start the processes of one run and end them by their ids.

The bench may start processes; the product starts none.
"""

import contextlib
import os
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final, NamedTuple, TextIO

from bench import records
from standins import layouts, wire

FIRST_RANGE: Final = 21_000
LAST_RANGE: Final = 30_000
RANGE: Final = 400
# Where each kind of port lies in a range.
PLATFORM: Final = 350
CALLERS: Final = 360
PEERS: Final = 380
FLEETS: Final = 3
END_S: Final = 15.0
TICKS: Final = os.sysconf('SC_CLK_TCK')
MIB: Final = 1024.0

SETTINGS: Final = """
[host]
name = {name}
data_centre = {place}
[callers]
address = 127.0.0.1:{port}
[peers]
address = 127.0.0.1:{peer}
seeds = {seeds}
allow_plain = yes
[platform]
addresses = 127.0.0.1:{platform}
[limits]
balancer_lag_s = 1
drain_s = 10
[logs]
verbosity = warning
"""


POLICY: Final = """
[policy]
name = {}
"""


class Plan(NamedTuple):
    """Hold what a world is made of; no policy is the program's own."""

    deployment: str
    first_port: int
    policy: str = ''
    hosts: int = 2
    data_centres: int = 1


class Host(NamedTuple):
    """Hold one host of the tier: its name, port and settings."""

    name: str
    port: int
    settings: Path


class World:
    """Own the stand-ins and the hosts of one run."""

    def __init__(self, plan: Plan, stack: contextlib.ExitStack) -> None:
        """Start everything; the stack ends it."""
        self.plan = plan
        self.layout = layouts.build(
            plan.deployment, plan.first_port, plan.data_centres
        )
        first = plan.first_port + PLATFORM
        self.platform_ports = range(first, first + plan.data_centres)
        self.control_ports = range(plan.first_port, plan.first_port + FLEETS)
        self._stack = stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = Path(folder)
        self._standins = [self._start_platform()]
        self._standins.extend(self._start_fleet(at) for at in range(FLEETS))
        self.hosts = self._plan_hosts()
        self._running: dict[str, subprocess.Popen[str]] = {}
        # A host that has ended took its part, by its process id.
        self._spent_s: dict[int, float] = {}
        for host in self.hosts:
            self.start(host)

    def start(self, host: Host) -> None:
        """Start one host of the tier."""
        words = ('fuchsiahaven', 'serve', '--settings', str(host.settings))
        self._running[host.name] = self._spawn(words, host.name)

    def ask_to_stop(self, host: Host) -> None:
        """Ask one host for a planned stop."""
        self.send_signal(host, signal.SIGTERM)

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of one host."""
        self._running[host.name].send_signal(number)

    def wait_end(self, host: Host) -> None:
        """Wait until a host's process has ended."""
        self._running[host.name].wait()

    def read_logs(self) -> str:
        """Read what the processes have logged."""
        paths = sorted(self._folder.glob('*.log'))
        return '\n'.join(path.read_text(encoding='utf-8') for path in paths)

    def measure(self) -> records.Usage:
        """Measure what the processes have used so far."""
        running = tuple(self._running.values())
        for process in running:
            before_s = self._spent_s.get(process.pid, 0)
            self._spent_s[process.pid] = max(before_s, _read_cpu_s(process))
        return records.Usage(
            time.monotonic(),
            sum(self._spent_s.values()),
            time.process_time(),
            max(_read_cpu_s(one) for one in self._standins),
            max(_read_rss_mib(one) for one in running),
        )

    def _start_platform(self) -> subprocess.Popen[str]:
        ports = (f'--port={port}' for port in self.platform_ports)
        return self._start_standin('platform', *ports)

    def _start_fleet(self, share: int) -> subprocess.Popen[str]:
        words = (f'--share={share}', f'--shares={FLEETS}')
        return self._start_standin('searchers', *words)

    def _start_standin(self, part: str, *extra: str) -> subprocess.Popen[str]:
        plan = self.plan
        words = (
            'standins',
            part,
            f'--deployment={plan.deployment}',
            f'--first-port={plan.first_port}',
            f'--data-centres={plan.data_centres}',
            *extra,
        )
        process = self._spawn(words, f'{part}{extra[0]}')
        assert process.stdout is not None
        line = process.stdout.readline()
        assert line.startswith('ready'), line
        return process

    def _plan_hosts(self) -> list[Host]:
        plan = self.plan
        places = layouts.DATA_CENTRES[plan.deployment][: plan.data_centres]
        return [
            self._plan_host(index * plan.hosts + number, index, place)
            for index, place in enumerate(places)
            for number in range(plan.hosts)
        ]

    def _plan_host(self, number: int, index: int, place: str) -> Host:
        plan = self.plan
        peers = plan.first_port + PEERS
        first_seed = peers + index * plan.hosts
        seeds = range(first_seed, first_seed + plan.hosts)
        host = Host(
            f'host-{number}',
            plan.first_port + CALLERS + number,
            self._folder / f'host-{number}.ini',
        )
        text = SETTINGS.format(
            name=host.name,
            place=place,
            port=host.port,
            peer=peers + number,
            seeds=', '.join(f'127.0.0.1:{seed}' for seed in seeds),
            platform=self.platform_ports[index],
        )
        if plan.policy:
            text += POLICY.format(plan.policy)
        host.settings.write_text(text, encoding='utf-8')
        return host

    def _spawn(
        self, words: tuple[str, ...], name: str
    ) -> subprocess.Popen[str]:
        log: TextIO = self._stack.enter_context(
            (self._folder / f'{name}.log').open('a', encoding='utf-8')
        )
        process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', *words),
            stdout=subprocess.PIPE if words[0] == 'standins' else log,
            stderr=log,
            text=True,
        )
        self._stack.callback(_end, process)
        return process


def find_free_ports() -> Iterator[int]:
    """Find the first ports of ranges that nothing uses."""
    return filter(_is_free, range(FIRST_RANGE, LAST_RANGE, RANGE))


def _is_free(first: int) -> bool:
    for port in range(first, first + RANGE):
        with socket.socket() as probe:
            # What closed a moment ago may be bound again, as servers do.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((wire.LOOPBACK, port))
            except OSError:
                return False
    return True


def _end(process: subprocess.Popen[str]) -> None:
    process.terminate()
    try:
        process.wait(END_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    if process.stdout is not None:
        process.stdout.close()


def _read_cpu_s(process: subprocess.Popen[str]) -> float:
    try:
        stat = Path(f'/proc/{process.pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return 0.0
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _read_rss_mib(process: subprocess.Popen[str]) -> float:
    try:
        text = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0.0
    lines = [line for line in text.splitlines() if line.startswith('VmRSS:')]
    return int(lines[0].split()[1]) / MIB if lines else 0.0
