"""Measure what control costs, by the number of hosts and targets.

`python -m bench.control_slopes --hosts 8,16,32,64` starts the platform's
stand-in and so many processes that run the control tasks alone, lets them
rest, changes the configuration, takes the platform down and kills a third.
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

CENTRE: Final = 'Quilicura'
TICKS: Final = os.sysconf('SC_CLK_TCK')
KIB: Final = 1024
KEPT_ENTRIES: Final = 20
SETTLE_S: Final = 90.0
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


class Plan(NamedTuple):
    """Hold what one measurement is made of."""

    hosts: int
    groups: int = 2
    targets: int = 25
    tls: Path | None = None
    seconds: float = 30.0
    changes: int = 40
    pause_s: float = 0.3
    first_port: int = 31_000


class Usage(NamedTuple):
    """Hold what a process has used so far."""

    cpu_s: float
    peers: int
    platform: int


class Tier:
    """Own the platform's stand-in and the hosts of one measurement."""

    def __init__(self, plan: Plan, stack: contextlib.ExitStack) -> None:
        """Start everything; the stack ends it."""
        self._plan = plan
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = Path(folder)
        self._stack = stack
        self._port = plan.first_port + 999
        words = ('standins', 'platform', '--port', str(self._port))
        standin = self._spawn(words, 'platform')
        while not self._read('platform').startswith('ready'):
            assert standin.poll() is None
            time.sleep(0.05)
        self.store = store.Store(f'http://127.0.0.1:{self._port}')
        self._entries: tuple[audit_log.Entry, ...] = ()
        self._number = 0
        self.revision = 0
        self.change()
        self.running = {
            f'h{number}': self._start_host(number)
            for number in range(plan.hosts)
        }

    def change(self) -> float:
        """Have a change of one label accepted; say when it was."""
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
        built = build(self._plan, self.revision)
        encoded = manifests.encode(built, self._entries)
        assert isinstance(encoded, manifests.Encoded)
        for key, text in encoded.part_texts.items():
            with contextlib.suppress(store.StoreConflict):
                self.store.swap(key, text, 0)
        written = self.store.swap(
            manifests.MANIFEST_KEY, encoded.text, self._number
        )
        self._number = written.revision
        return time.time()

    def order(self, **orders: object) -> dict[str, Any]:
        """Set faults of the platform; give its counts of calls."""
        url = f'http://127.0.0.1:{self._port}/control'
        answer: dict[str, Any]
        answer = urllib3.request('POST', url, json=orders).json()
        return answer

    def kill(self, count: int) -> None:
        """Kill hosts without a word, no seeds among them."""
        for name in list(self.running)[-count:]:
            process = self.running.pop(name)
            process.kill()
            process.wait()

    def wait_members(self, since: float) -> float:
        """Wait until all running hosts know each other; give the seconds."""
        wanted = len(self.running)
        while time.time() < since + SETTLE_S:
            last = [
                [line for line in self._list(name) if 'members' in line][-1:]
                for name in self.running
            ]
            if all(line and line[0]['members'] == wanted for line in last):
                return float(max(line[0]['at'] for line in last)) - since
            time.sleep(0.1)
        raise AssertionError('the hosts do not agree')

    def wait_revision(self, since: float) -> float:
        """Wait until the last change is in force; give the seconds."""
        while time.time() < since + SETTLE_S:
            found = [
                [it for it in self._list(name) if it.get('revision')][-1:]
                for name in self.running
            ]
            if all(it and it[0]['revision'] == self.revision for it in found):
                return float(max(it[0]['at'] for it in found)) - since
            time.sleep(0.02)
        raise AssertionError('the change is not in force')

    def measure(self) -> dict[str, Usage]:
        """Read what each host has used."""
        for running in self.running.values():
            running.send_signal(signal.SIGUSR1)
        time.sleep(0.5)
        return {
            name: self._measure(name, process.pid)
            for name, process in self.running.items()
        }

    def read_memory(self) -> list[float]:
        """Read the resident memory of each host, in MiB."""
        return [read_rss(it.pid) for it in self.running.values()]

    def _measure(self, name: str, pid: int) -> Usage:
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        user, system = fields.split()[11:13]
        lines = [it for it in self._list(name) if 'peers' in it]
        counted = lines[-1] if lines else {}
        return Usage(
            (int(user) + int(system)) / TICKS,
            counted.get('peers', 0),
            counted.get('platform', 0),
        )

    def _start_host(self, number: int) -> subprocess.Popen[str]:
        first = self._plan.first_port
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
        folder = self._plan.tls
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
        self, words: tuple[str, ...], name: str
    ) -> subprocess.Popen[str]:
        stdout = self._stack.enter_context(
            (self._folder / f'{name}.out').open('w')
        )
        process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', *words), stdout=stdout, text=True
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _read(self, name: str) -> str:
        return (self._folder / f'{name}.out').read_text()

    def _list(self, name: str) -> list[dict[str, Any]]:
        complete = self._read(name).rpartition('\n')[0]
        return [json.loads(line) for line in complete.splitlines()]


def build(plan: Plan, revision: int) -> configurations.Configuration:
    """Build a configuration of a size; the revision shows in a label."""
    groups = tuple(
        configurations.Group(
            f'g{number}',
            (('n', str(revision)),) if number == 0 else (('tier', 'gold'),),
            tuple(
                configurations.Target(
                    f'g{number}-{it:03}/1', f'10.0.{number}.{it}:9000', CENTRE
                )
                for it in range(plan.targets)
            ),
        )
        for number in range(plan.groups)
    )
    return configurations.Configuration(
        revision,
        groups,
        (configurations.Selector('s', 'price-check', 'tier=gold'),),
        (configurations.RequestClass('price-check'),),
    )


def read_rss(pid: int) -> float:
    """Read a process's resident memory, in MiB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KIB
    return 0


def run(plan: Plan) -> dict[str, Any]:
    """Run one measurement."""
    with contextlib.ExitStack() as stack:
        began = time.time()
        tier = Tier(plan, stack)
        figures: dict[str, Any] = {
            'hosts': plan.hosts,
            'targets': plan.groups * plan.targets,
            'tls': plan.tls is not None,
            'peer_bytes_counted': plan.tls is None,
            'start_s': round(tier.wait_members(began), 2),
        }
        tier.wait_revision(began)
        # News of the start are told for some seconds more.
        time.sleep(15)
        figures['quiet'] = rest(tier, plan)
        figures['changes'] = change(tier, plan)
        figures['memory_mib'] = round(statistics.median(tier.read_memory()), 2)
        figures['outage'] = fail_platform(tier)
        figures['third_killed'] = kill_third(tier, plan)
    return figures


def rest(tier: Tier, plan: Plan) -> Figures:
    """Measure hosts at rest."""
    calls = count_calls(tier)
    before = tier.measure()
    time.sleep(plan.seconds)
    used = list(compare(before, tier.measure()))
    made = count_calls(tier) - calls
    return {
        'seconds': plan.seconds,
        **summarise(used, plan.seconds),
        'platform_calls_per_host_minute': round(
            made / plan.hosts / plan.seconds * 60, 2
        ),
    }


def change(tier: Tier, plan: Plan) -> Figures:
    """Measure changes, one after another."""
    calls = count_calls(tier)
    before = tier.measure()
    began = time.monotonic()
    times = []
    for _ in range(plan.changes):
        times.append(tier.wait_revision(tier.change()))
        time.sleep(plan.pause_s)
    seconds = time.monotonic() - began
    used = list(compare(before, tier.measure()))
    times.sort()
    made = count_calls(tier) - calls
    return {
        'count': plan.changes,
        'seconds': round(seconds, 2),
        'p50_ms': round(statistics.median(times) * 1000, 1),
        'p99_ms': round(times[int(len(times) * 0.99) - 1] * 1000, 1),
        'worst_ms': round(times[-1] * 1000, 1),
        **summarise(used, seconds),
        'platform_calls_per_change': round(made / plan.changes, 2),
    }


def fail_platform(tier: Tier) -> Figures:
    """Take the platform down for twenty seconds and have a change after."""
    tier.order(down=True)
    before = tier.measure()
    time.sleep(20)
    used = list(compare(before, tier.measure()))
    tier.order(down=False)
    up = time.time()
    tier.change()
    return {
        'in_force_after_up_ms': round(tier.wait_revision(up) * 1000, 1),
        **summarise(used, 20),
    }


def kill_third(tier: Tier, plan: Plan) -> Figures:
    """Kill a third at once; a change is accepted right after."""
    tier.kill(plan.hosts // 3)
    killed = time.time()
    in_force = tier.wait_revision(tier.change())
    return {
        'change_in_force_ms': round(in_force * 1000, 1),
        'all_agree_s': round(tier.wait_members(killed), 2),
    }


def count_calls(tier: Tier) -> int:
    """Count all calls that the platform has answered."""
    counted: Mapping[str, int] = tier.order()['calls']
    return sum(counted.values()) - counted.get('limited', 0)


def compare(
    before: Mapping[str, Usage], after: Mapping[str, Usage]
) -> Iterator[Usage]:
    """Yield what each host used in between."""
    for name, late in after.items():
        early = before[name]
        yield Usage(
            late.cpu_s - early.cpu_s,
            late.peers - early.peers,
            late.platform - early.platform,
        )


def summarise(used: list[Usage], seconds: float) -> Figures:
    """Give the median and the most of all hosts, a second."""
    cpu = [it.cpu_s / seconds * 100 for it in used]
    peers = [it.peers / seconds for it in used]
    return {
        'cpu_percent': round(statistics.mean(cpu), 3),
        'cpu_percent_most': round(max(cpu), 3),
        'peer_bytes_per_s': round(statistics.mean(peers)),
        'peer_bytes_per_s_most': round(max(peers)),
        'platform_bytes_per_s': round(
            statistics.mean(it.platform for it in used) / seconds
        ),
        'platform_bytes_per_s_most': round(
            max(it.platform for it in used) / seconds
        ),
    }


def main() -> None:
    """Run the measurements that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', default='8')
    parser.add_argument('--groups', type=int, default=2)
    parser.add_argument('--targets', type=int, default=25)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--changes', type=int, default=40)
    parser.add_argument('--pause', type=float, default=0.3)
    parser.add_argument('--tls', type=Path, default=None)
    asked = parser.parse_args()
    for hosts in asked.hosts.split(','):
        plan = Plan(
            int(hosts),
            asked.groups,
            asked.targets,
            asked.tls,
            asked.seconds,
            asked.changes,
            asked.pause,
        )
        print(json.dumps(run(plan)), flush=True)


if __name__ == '__main__':
    main()
