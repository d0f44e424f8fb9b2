"""Measure the cost of control tasks by the number of hosts and targets.

`python -m bench.control_slopes --hosts 8,16,32,64` starts the platform's
stand-in and that many processes with only the control tasks. It measures them
idle, under configuration changes, during a platform outage and after a third
of them is killed.
"""

import argparse
import contextlib
import json
import os
import signal
import statistics
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import urllib3

from fuchsiahaven.core.configuration import (
    audit_log,
    configurations,
    manifests,
    trees,
)
from fuchsiahaven.edge import store

DATA_CENTRE: Final = 'Quilicura'
TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
KIB: Final = 1024
KEPT_ENTRIES: Final = 20
MAX_CONVERGENCE_S: Final = 90.0
SETTINGS: Final = """
[host]
name = h{number}
data_centre = Quilicura
[callers]
address = 127.0.0.1:{callers}
[peers]
address = 127.0.0.1:{peers}
seeds = 127.0.0.1:{first}, 127.0.0.1:{second}
{tls}
[platform]
addresses = 127.0.0.1:{platform}
host_list_interval_s = 60
[logs]
verbosity = error
"""

Figures = Mapping[str, float | int | bool]


class RunOptions(NamedTuple):
    """Hold the options of one measurement."""

    hosts: int
    groups: int = 2
    targets: int = 25
    tls: Path | None = None
    seconds: float = 30.0
    changes: int = 40
    change_interval_s: float = 0.3
    first_port: int = 31_000


class Usage(NamedTuple):
    """Hold the processor time and the bytes that a process has used."""

    cpu_s: float
    peer_bytes: int
    platform_bytes: int


class ControlHosts:
    """Run the platform's stand-in and the hosts of one measurement."""

    def __init__(
        self, options: RunOptions, stack: contextlib.ExitStack
    ) -> None:
        """Start all processes; the stack stops them."""
        self._options = options
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = Path(folder)
        self._stack = stack
        self._port = options.first_port + 999
        arguments = ('standins', 'platform', '--port', str(self._port))
        standin = self._spawn(arguments, 'platform')
        while not self._read_output('platform').startswith('ready'):
            assert standin.poll() is None
            time.sleep(0.05)
        self.store = store.Store(f'http://127.0.0.1:{self._port}')
        self._entries: tuple[audit_log.Entry, ...] = ()
        self._manifest_revision = 0
        self.revision = 0
        self.commit_change()
        self.running = {
            f'h{number}': self._start_host(number)
            for number in range(options.hosts)
        }

    def commit_change(self) -> float:
        """Commit a change of one label; return its wall-clock time."""
        self.revision += 1
        field = ('groups', 'g0', 'labels', 'n')
        edit = trees.Edit(field, str(self.revision - 1), str(self.revision))
        entry = audit_log.Entry(
            f'018f0000-0000-7000-8000-{self.revision:012}',
            self.revision,
            'bench',
            time.time(),
            'group label',
            (edit,),
            self.revision - 1,
        )
        self._entries = (*self._entries, entry)[-KEPT_ENTRIES:]
        configuration = build_configuration(self._options, self.revision)
        encoded = manifests.encode(configuration, self._entries)
        assert isinstance(encoded, manifests.Encoded)
        for key, text in encoded.part_texts.items():
            with contextlib.suppress(store.StoreConflict):
                self.store.swap(key, text, 0)
        written = self.store.swap(
            manifests.MANIFEST_KEY, encoded.text, self._manifest_revision
        )
        self._manifest_revision = written.revision
        return time.time()

    def control_platform(self, **settings: object) -> dict[str, Any]:
        """Set the stand-in's behaviour; return its state with call counts."""
        url = f'http://127.0.0.1:{self._port}/control'
        answer: dict[str, Any]
        answer = urllib3.request('POST', url, json=settings).json()
        return answer

    def kill_last(self, count: int) -> None:
        """Kill the last hosts with SIGKILL; the seeds are the first two."""
        for name in list(self.running)[-count:]:
            process = self.running.pop(name)
            process.kill()
            process.wait()

    def wait_for_members(self, since: float) -> float:
        """Wait until all running hosts list each other; return the seconds."""
        expected = len(self.running)
        while time.time() < since + MAX_CONVERGENCE_S:
            last = [
                [
                    line
                    for line in self._list_records(name)
                    if 'members' in line
                ][-1:]
                for name in self.running
            ]
            if all(line and line[0]['members'] == expected for line in last):
                return float(max(line[0]['at'] for line in last)) - since
            time.sleep(0.1)
        raise AssertionError('the hosts do not agree')

    def wait_for_revision(self, since: float) -> float:
        """Wait until the last change is in force; return the seconds."""
        while time.time() < since + MAX_CONVERGENCE_S:
            last = [
                [it for it in self._list_records(name) if it.get('revision')][
                    -1:
                ]
                for name in self.running
            ]
            if all(it and it[0]['revision'] == self.revision for it in last):
                return float(max(it[0]['at'] for it in last)) - since
            time.sleep(0.02)
        raise AssertionError('the change is not in force')

    def measure(self) -> dict[str, Usage]:
        """Return the usage of each host so far."""
        for running in self.running.values():
            running.send_signal(signal.SIGUSR1)
        time.sleep(0.5)
        return {
            name: self._measure(name, process.pid)
            for name, process in self.running.items()
        }

    def read_memory(self) -> list[float]:
        """Return the resident memory of each host, in MiB."""
        return [read_rss(it.pid) for it in self.running.values()]

    def _measure(self, name: str, pid: int) -> Usage:
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        user, system = fields.split()[11:13]
        lines = [it for it in self._list_records(name) if 'peers' in it]
        counted = lines[-1] if lines else {}
        return Usage(
            (int(user) + int(system)) / TICKS_PER_S,
            counted.get('peers', 0),
            counted.get('platform', 0),
        )

    def _start_host(self, number: int) -> subprocess.Popen[str]:
        first = self._options.first_port
        path = self._folder / f'h{number}.ini'
        path.write_text(
            SETTINGS.format(
                number=number,
                callers=first + 500 + number,
                peers=first + number,
                first=first,
                second=first + 1,
                tls=self._write_tls(),
                platform=self._port,
            )
        )
        return self._spawn(('bench.control_host', str(path)), f'h{number}')

    def _write_tls(self) -> str:
        folder = self._options.tls
        if folder is None:
            return 'allow_plain = yes'
        return '\n'.join(
            (
                f'tls_certificate = {folder}/host.pem',
                f'tls_key = {folder}/host.key',
                f'tls_authority = {folder}/authority.pem',
            )
        )

    def _spawn(
        self, arguments: tuple[str, ...], name: str
    ) -> subprocess.Popen[str]:
        stdout = self._stack.enter_context(
            (self._folder / f'{name}.out').open('w')
        )
        process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', *arguments), stdout=stdout, text=True
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _read_output(self, name: str) -> str:
        return (self._folder / f'{name}.out').read_text()

    def _list_records(self, name: str) -> list[dict[str, Any]]:
        whole_lines = self._read_output(name).rpartition('\n')[0]
        return [json.loads(line) for line in whole_lines.splitlines()]


def build_configuration(
    options: RunOptions, revision: int
) -> configurations.Configuration:
    """Build a configuration of a given size, with its revision in a label."""
    groups = tuple(
        configurations.Group(
            f'g{number}',
            (('n', str(revision)),) if number == 0 else (('tier', 'gold'),),
            tuple(
                configurations.Target(
                    f'g{number}-{it:03}/1',
                    f'10.0.{number}.{it}:9000',
                    DATA_CENTRE,
                )
                for it in range(options.targets)
            ),
        )
        for number in range(options.groups)
    )
    return configurations.Configuration(
        revision,
        groups,
        (configurations.Selector('s', 'price-check', 'tier=gold'),),
        (configurations.RequestClass('price-check'),),
    )


def read_rss(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KIB
    return 0


def run(options: RunOptions) -> dict[str, Any]:
    """Run one measurement and return its figures."""
    with contextlib.ExitStack() as stack:
        started_at = time.time()
        control_hosts = ControlHosts(options, stack)
        figures: dict[str, Any] = {
            'hosts': options.hosts,
            'targets': options.groups * options.targets,
            'tls': options.tls is not None,
            'peer_bytes_counted': options.tls is None,
            'start_s': round(control_hosts.wait_for_members(started_at), 2),
        }
        control_hosts.wait_for_revision(started_at)
        # Membership messages about the start spread for some more seconds.
        time.sleep(15)
        figures['quiet'] = measure_idle(control_hosts, options)
        figures['changes'] = measure_changes(control_hosts, options)
        figures['memory_mib'] = round(
            statistics.median(control_hosts.read_memory()), 2
        )
        figures['outage'] = measure_outage(control_hosts)
        figures['third_killed'] = measure_third_killed(control_hosts, options)
    return figures


def measure_idle(control_hosts: ControlHosts, options: RunOptions) -> Figures:
    """Measure idle hosts."""
    calls = count_calls(control_hosts)
    before = control_hosts.measure()
    time.sleep(options.seconds)
    used = list(subtract_usage(before, control_hosts.measure()))
    calls_made = count_calls(control_hosts) - calls
    return {
        'seconds': options.seconds,
        **summarise(used, options.seconds),
        'platform_calls_per_host_minute': round(
            calls_made / options.hosts / options.seconds * 60, 2
        ),
    }


def measure_changes(
    control_hosts: ControlHosts, options: RunOptions
) -> Figures:
    """Measure configuration changes, one after another."""
    calls = count_calls(control_hosts)
    before = control_hosts.measure()
    started_at = time.monotonic()
    times = []
    for _ in range(options.changes):
        times.append(
            control_hosts.wait_for_revision(control_hosts.commit_change())
        )
        time.sleep(options.change_interval_s)
    seconds = time.monotonic() - started_at
    used = list(subtract_usage(before, control_hosts.measure()))
    times.sort()
    calls_made = count_calls(control_hosts) - calls
    return {
        'count': options.changes,
        'seconds': round(seconds, 2),
        'p50_ms': round(statistics.median(times) * 1000, 1),
        'p99_ms': round(times[int(len(times) * 0.99) - 1] * 1000, 1),
        'worst_ms': round(times[-1] * 1000, 1),
        **summarise(used, seconds),
        'platform_calls_per_change': round(calls_made / options.changes, 2),
    }


def measure_outage(control_hosts: ControlHosts) -> Figures:
    """Measure a platform outage of 20 s and a change right after it."""
    control_hosts.control_platform(down=True)
    before = control_hosts.measure()
    time.sleep(20)
    used = list(subtract_usage(before, control_hosts.measure()))
    control_hosts.control_platform(down=False)
    restored_at = time.time()
    control_hosts.commit_change()
    return {
        'in_force_after_up_ms': round(
            control_hosts.wait_for_revision(restored_at) * 1000, 1
        ),
        **summarise(used, 20),
    }


def measure_third_killed(
    control_hosts: ControlHosts, options: RunOptions
) -> Figures:
    """Kill a third of the hosts at once and commit a change right after."""
    control_hosts.kill_last(options.hosts // 3)
    killed_at = time.time()
    in_force = control_hosts.wait_for_revision(control_hosts.commit_change())
    return {
        'change_in_force_ms': round(in_force * 1000, 1),
        'all_agree_s': round(control_hosts.wait_for_members(killed_at), 2),
    }


def count_calls(control_hosts: ControlHosts) -> int:
    """Return the number of platform calls, without rate-limited ones."""
    counted: Mapping[str, int] = control_hosts.control_platform()['calls']
    return sum(counted.values()) - counted.get('limited', 0)


def subtract_usage(
    before: Mapping[str, Usage], after: Mapping[str, Usage]
) -> Iterator[Usage]:
    """Yield the usage of each host between two measurements."""
    for name, latest in after.items():
        earlier = before[name]
        yield Usage(
            latest.cpu_s - earlier.cpu_s,
            latest.peer_bytes - earlier.peer_bytes,
            latest.platform_bytes - earlier.platform_bytes,
        )


def summarise(used: list[Usage], seconds: float) -> Figures:
    """Return the mean and the maximum over all hosts, per second."""
    cpu = [it.cpu_s / seconds * 100 for it in used]
    peers = [it.peer_bytes / seconds for it in used]
    return {
        'cpu_percent': round(statistics.mean(cpu), 3),
        'cpu_percent_most': round(max(cpu), 3),
        'peer_bytes_per_s': round(statistics.mean(peers)),
        'peer_bytes_per_s_most': round(max(peers)),
        'platform_bytes_per_s': round(
            statistics.mean(it.platform_bytes for it in used) / seconds
        ),
        'platform_bytes_per_s_most': round(
            max(it.platform_bytes for it in used) / seconds
        ),
    }


def main() -> None:
    """Run the measurements given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', default='8')
    parser.add_argument('--groups', type=int, default=2)
    parser.add_argument('--targets', type=int, default=25)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--changes', type=int, default=40)
    parser.add_argument('--pause', type=float, default=0.3)
    parser.add_argument('--tls', type=Path, default=None)
    options = parser.parse_args()
    for hosts in options.hosts.split(','):
        run_options = RunOptions(
            int(hosts),
            options.groups,
            options.targets,
            options.tls,
            options.seconds,
            options.changes,
            options.pause,
        )
        print(json.dumps(run(run_options)), flush=True)


if __name__ == '__main__':
    main()
