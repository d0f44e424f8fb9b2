"""Start the processes of one run and stop them by their ids.

The bench may start processes; the product itself starts none.
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

MIN_FIRST_PORT: Final = 21_000
MAX_FIRST_PORT: Final = 30_000
PORTS_PER_RANGE: Final = 400
# Offsets of the first port of each kind in a range.
PLATFORM_OFFSET: Final = 350
CALLERS_OFFSET: Final = 360
PEERS_OFFSET: Final = 380
SEARCHER_PROCESSES: Final = 3
MAX_EXIT_S: Final = 15.0
TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
KIB_PER_MIB: Final = 1024.0

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


POLICY_SETTINGS: Final = """
[policy]
name = {}
"""


class Plan(NamedTuple):
    """Hold the options of a testbed; an empty policy is the default."""

    deployment: str
    first_port: int
    policy: str = ''
    hosts: int = 2
    data_centres: int = 1


class Host(NamedTuple):
    """Hold one host of the tier: its name, caller port and settings file."""

    name: str
    port: int
    settings: Path


class Testbed:
    """Run the stand-ins and the hosts of one run."""

    def __init__(self, plan: Plan, stack: contextlib.ExitStack) -> None:
        """Start all processes; the stack stops them."""
        self.plan = plan
        self.layout = layouts.build(
            plan.deployment, plan.first_port, plan.data_centres
        )
        first = plan.first_port + PLATFORM_OFFSET
        self.platform_ports = range(first, first + plan.data_centres)
        self.control_ports = range(
            plan.first_port, plan.first_port + SEARCHER_PROCESSES
        )
        self._stack = stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = Path(folder)
        self._standin_processes = [self._start_platform()]
        self._standin_processes.extend(
            self._start_searchers(at) for at in range(SEARCHER_PROCESSES)
        )
        self.hosts = self._write_hosts()
        self._running: dict[str, subprocess.Popen[str]] = {}
        # By process id, so that the time of exited hosts still counts.
        self._cpu_s: dict[int, float] = {}
        for host in self.hosts:
            self.start(host)

    def start(self, host: Host) -> None:
        """Start one host of the tier."""
        arguments = ('fuchsiahaven', 'serve', '--settings', str(host.settings))
        self._running[host.name] = self._spawn(arguments, host.name)

    def request_stop(self, host: Host) -> None:
        """Ask one host to stop gracefully."""
        self.send_signal(host, signal.SIGTERM)

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of one host."""
        self._running[host.name].send_signal(number)

    def wait_for_exit(self, host: Host) -> None:
        """Wait until the process of a host has exited."""
        self._running[host.name].wait()

    def read_logs(self) -> str:
        """Return the logs of all processes."""
        paths = sorted(self._folder.glob('*.log'))
        return '\n'.join(path.read_text(encoding='utf-8') for path in paths)

    def measure(self) -> records.Usage:
        """Return the usage of all processes so far."""
        running = tuple(self._running.values())
        for process in running:
            earlier_s = self._cpu_s.get(process.pid, 0)
            self._cpu_s[process.pid] = max(earlier_s, _read_cpu_s(process))
        return records.Usage(
            time.monotonic(),
            sum(self._cpu_s.values()),
            time.process_time(),
            max(_read_cpu_s(one) for one in self._standin_processes),
            max(_read_rss_mib(one) for one in running),
        )

    def _start_platform(self) -> subprocess.Popen[str]:
        ports = (f'--port={port}' for port in self.platform_ports)
        return self._start_standin('platform', *ports)

    def _start_searchers(self, index: int) -> subprocess.Popen[str]:
        arguments = (f'--share={index}', f'--shares={SEARCHER_PROCESSES}')
        return self._start_standin('searchers', *arguments)

    def _start_standin(self, part: str, *extra: str) -> subprocess.Popen[str]:
        plan = self.plan
        arguments = (
            'standins',
            part,
            f'--deployment={plan.deployment}',
            f'--first-port={plan.first_port}',
            f'--data-centres={plan.data_centres}',
            *extra,
        )
        process = self._spawn(arguments, f'{part}{extra[0]}')
        assert process.stdout is not None
        line = process.stdout.readline()
        assert line.startswith('ready'), line
        return process

    def _write_hosts(self) -> list[Host]:
        plan = self.plan
        data_centres = layouts.DATA_CENTRES[plan.deployment][
            : plan.data_centres
        ]
        return [
            self._write_host(index * plan.hosts + number, index, data_centre)
            for index, data_centre in enumerate(data_centres)
            for number in range(plan.hosts)
        ]

    def _write_host(self, number: int, index: int, data_centre: str) -> Host:
        plan = self.plan
        peers = plan.first_port + PEERS_OFFSET
        first_seed = peers + index * plan.hosts
        seeds = range(first_seed, first_seed + plan.hosts)
        host = Host(
            f'host-{number}',
            plan.first_port + CALLERS_OFFSET + number,
            self._folder / f'host-{number}.ini',
        )
        text = SETTINGS.format(
            name=host.name,
            place=data_centre,
            port=host.port,
            peer=peers + number,
            seeds=', '.join(f'127.0.0.1:{seed}' for seed in seeds),
            platform=self.platform_ports[index],
        )
        if plan.policy:
            text += POLICY_SETTINGS.format(plan.policy)
        host.settings.write_text(text, encoding='utf-8')
        return host

    def _spawn(
        self, arguments: tuple[str, ...], name: str
    ) -> subprocess.Popen[str]:
        log: TextIO = self._stack.enter_context(
            (self._folder / f'{name}.log').open('a', encoding='utf-8')
        )
        process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', *arguments),
            stdout=subprocess.PIPE if arguments[0] == 'standins' else log,
            stderr=log,
            text=True,
        )
        self._stack.callback(_stop_process, process)
        return process


def find_free_ports() -> Iterator[int]:
    """Yield the first ports of ranges without a used port."""
    return filter(
        _is_free, range(MIN_FIRST_PORT, MAX_FIRST_PORT, PORTS_PER_RANGE)
    )


def _is_free(first: int) -> bool:
    for port in range(first, first + PORTS_PER_RANGE):
        with socket.socket() as probe:
            # Recently closed ports count as free, as servers can bind them.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((wire.LOOPBACK, port))
            except OSError:
                return False
    return True


def _stop_process(process: subprocess.Popen[str]) -> None:
    process.terminate()
    try:
        process.wait(MAX_EXIT_S)
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
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_rss_mib(process: subprocess.Popen[str]) -> float:
    try:
        text = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0.0
    lines = [line for line in text.splitlines() if line.startswith('VmRSS:')]
    return int(lines[0].split()[1]) / KIB_PER_MIB if lines else 0.0
