"""Measure group commit of claims: `python -m bench.claims --rate 500`.

Hosts are claims tasks in this process; the platform's stand-in is a separate
process that enforces its rate limits. Arrivals are open-loop: they don't wait
for earlier claims. Each granted claim records an outcome.
"""

import argparse
import collections
import contextlib
import json
import queue
import random
import statistics
import subprocess
import sys
import time
from typing import Final, NamedTuple

import urllib3

from bench import testbeds
from fuchsiahaven.core import request_ids
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import claim_owners, claim_task, store

DEADLINE_S: Final = 0.8
POLL_INTERVAL_S: Final = 0.01
# A call to a peer host takes about a millisecond.
PEER_CALL_S: Final = 0.001
OUTCOME: Final = json.dumps({'rows': [{'id': 'x' * 300}]})


class Host(NamedTuple):
    """Hold the claims task of one host and the events that it posts."""

    task: claim_task.Task
    events: queue.SimpleQueue[messages.ClaimSettled]


def main() -> None:
    """Run one measurement and print its figures as JSON."""
    parser = argparse.ArgumentParser('bench.claims', description=__doc__)
    parser.add_argument('--rate', type=float, default=200)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--slow-ms', type=float, default=2)
    parser.add_argument(
        '--alone', action='store_true', help='hosts without other members'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--platform', help='the URL of a running platform')
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        url = options.platform or _start_platform(stack)
        _control(url, slow_s=options.slow_ms / 1000)
        load = ClaimLoad(_start_hosts(url, options, stack), options.seed)
        before = _control(url)['calls']
        cpu_s = time.process_time()
        load.generate(options.rate, options.seconds)
        cpu_s = time.process_time() - cpu_s
        after = _control(url)['calls']
    calls = {name: after[name] - before.get(name, 0) for name in after}
    figures = {**load.summarise(), 'calls': calls, 'cpu_s': round(cpu_s, 2)}
    print(json.dumps({**vars(options), **figures}))


def _start_platform(stack: contextlib.ExitStack) -> str:
    port = next(testbeds.find_free_ports())
    arguments = ('-m', 'standins', 'platform', '--port', str(port))
    child = subprocess.Popen(
        (sys.executable, *arguments), stdout=subprocess.PIPE, text=True
    )
    stack.enter_context(child)
    stack.callback(child.terminate)
    assert child.stdout and child.stdout.readline()
    return f'http://127.0.0.1:{port}'


def _control(url: str, **settings: object) -> dict[str, dict[str, int]]:
    reply = urllib3.request('POST', f'{url}/control', json=settings)
    return dict(reply.json())


def _start_hosts(
    url: str, options: argparse.Namespace, stack: contextlib.ExitStack
) -> list[Host]:
    hosts: list[Host] = []

    def call_peer(address: str, body: bytes, timeout_s: float) -> bytes | None:
        time.sleep(PEER_CALL_S)
        return hosts[int(address)].task.handle_claims(body)

    def open_store() -> store.Store:
        return store.Store(url, claim_task.LIMITS._replace(read_timeout_s=0.5))

    names = [str(number) for number in range(options.hosts)]
    for name in names:
        host = Host(claim_task.Task(open_store, call_peer), queue.SimpleQueue())
        host.task.start(host.events.put, stack)
        hosts.append(host)
        if not options.alone:
            members = claim_owners.MemberAddresses(
                name, dict(zip(names, names))
            )
            host.task.update_members(members)
    return hosts


class ClaimLoad:
    """Send the claims of one run and record their results."""

    def __init__(self, hosts: list[Host], seed: int) -> None:
        """Create a load generator that has sent no claim."""
        self._hosts = hosts
        self._due_times: list[float] = []
        self._grant_times: list[float] = []
        self._results: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)

    def generate(self, rate: float, seconds: float) -> None:
        """Send `rate` claims per second and wait for all results."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._rng.expovariate(rate)
            time.sleep(max(0, due - time.monotonic()))
            self._send_claim(due)
            self._handle_events()
        while self._results.total() < len(self._due_times):
            time.sleep(POLL_INTERVAL_S)
            self._handle_events()

    def summarise(self) -> dict[str, float]:
        """Return the results by count and the quantiles of granted claims."""
        percentiles = statistics.quantiles(self._grant_times, n=100)
        return {
            **self._results,
            'p50_ms': round(percentiles[49] * 1000, 1),
            'p99_ms': round(percentiles[98] * 1000, 1),
        }

    def _send_claim(self, due: float) -> None:
        number = self._rng.getrandbits(request_ids.RANDOM_BITS)
        request_id = request_ids.make_request_id(time.time(), number)
        token = len(self._due_times)
        self._due_times.append(due)
        claim = messages.Claim(token, request_id, due + DEADLINE_S)
        self._hosts[token % len(self._hosts)].task.perform(claim)

    def _handle_events(self) -> None:
        for host in self._hosts:
            while not host.events.empty():
                self._handle_settled(host, host.events.get())

    def _handle_settled(self, host: Host, event: messages.ClaimSettled) -> None:
        self._results[event.result] += 1
        if event.result is messages.ClaimResult.GRANTED:
            self._grant_times.append(
                time.monotonic() - self._due_times[event.token]
            )
            host.task.perform(messages.RecordOutcome(event.request_id, OUTCOME))


if __name__ == '__main__':
    main()
