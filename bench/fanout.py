"""Measure the processor time of a fan-out: `python -m bench.fanout`.

One query fans out to every shard of two groups, fifty in all, each served by
its own stand-in. The same sub-requests are sent by a thread each with urllib3's
pool (the baseline), by that pool one after another, and by the program's own
dispatch loop. Only the time of this process is measured.
"""

import concurrent.futures
import contextlib
import json
import queue
import random
import statistics
import subprocess  # noqa: S404
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import Final

import urllib3

from fuchsiahaven.core.queries import states
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import dispatch_loop
from standins import layouts

FIRST_PORT: Final = 26_000
QUERIES: Final = 40
ROUNDS: Final = 5
TERMS: Final = {'text': 'combi oven', 'limit': 10}
LAYOUT: Final = layouts.build('santiago', FIRST_PORT)

RunQuery = Callable[[], int]


def main() -> None:
    """Run the methods alternately and print their median times."""
    with contextlib.ExitStack() as stack:
        _start_targets(stack)
        methods: dict[str, RunQuery] = {
            'a thread each': _use_threads(stack),
            'one after another': _use_pool(stack),
            'dispatch loop': _use_loop(stack),
        }
        times: dict[str, list[float]] = {name: [] for name in methods}
        for _ in range(ROUNDS):
            for name, run_query in methods.items():
                times[name].append(_measure(run_query))
    baseline = statistics.median(times['a thread each'])
    for name, method_times in times.items():
        median = statistics.median(method_times)
        print(
            f'{name:18} {median:7.1f} us '
            f'({min(method_times):.1f}..{max(method_times):.1f}) '
            f'{median / baseline:.2f} of a thread each'
        )


def _measure(run_query: RunQuery) -> float:
    run_query()
    started_at = time.process_time()
    sub_requests = sum(run_query() for _ in range(QUERIES))
    return (time.process_time() - started_at) / sub_requests * 1e6


def _start_targets(stack: contextlib.ExitStack) -> None:
    arguments = ('standins', 'searchers', '--deployment', 'santiago')
    process = subprocess.Popen(  # noqa: S603
        (sys.executable, '-m', *arguments, '--first-port', str(FIRST_PORT)),
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    assert process.stdout and process.stdout.readline().startswith('ready')
    # Waiting for answers costs no processor time; short answers save run time.
    order = {'targets': '*', 'behaviour': {'median_ms': 0.5}}
    urllib3.request(
        'POST', f'http://127.0.0.1:{FIRST_PORT}/control', json=order
    )


def _list_requests() -> Iterator[tuple[str, bytes]]:
    for group in LAYOUT.configuration.groups[:2]:
        shards: set[int] = set()
        for target in group.targets:
            for holding in LAYOUT.holdings[target.name]:
                if holding.shard not in shards:
                    shards.add(holding.shard)
                    yield target.address, _write_body(group.name, holding.shard)


def _write_body(group: str, shard: int) -> bytes:
    body = {
        'request_id': 'fan-out',
        'class': 'price-check',
        'group': group,
        'shard': shard,
        'snapshot': layouts.FIRST_SNAPSHOT,
        'attempt': 1,
        'deadline_ms': 800,
        'at_most_once': False,
        'not_after_epoch': None,
        'query': TERMS,
    }
    return json.dumps(body).encode()


def _send(manager: urllib3.PoolManager, address: str, body: bytes) -> int:
    answer = manager.request(
        'POST',
        f'http://{address}/v1/search',
        body=body,
        headers={'Content-Type': 'application/json'},
    )
    assert answer.json()['rows']
    return 1


def _use_threads(stack: contextlib.ExitStack) -> RunQuery:
    requests = list(_list_requests())
    manager = urllib3.PoolManager(num_pools=len(requests), maxsize=2)
    pool = concurrent.futures.ThreadPoolExecutor(len(requests))
    stack.enter_context(pool)
    return lambda: sum(pool.map(lambda each: _send(manager, *each), requests))


def _use_pool(stack: contextlib.ExitStack) -> RunQuery:
    requests = list(_list_requests())
    manager = urllib3.PoolManager(num_pools=len(requests), maxsize=2)
    stack.callback(manager.clear)
    return lambda: sum(_send(manager, *each) for each in requests)


def _use_loop(stack: contextlib.ExitStack) -> RunQuery:
    settings = dispatch_loop.Settings(
        max_answer_bytes=1_000_000, probe_timeout_s=0.5, connect_timeout_s=0.5
    )
    data_centre = layouts.DATA_CENTRES['santiago'][0]
    state = states.make_state(data_centre, random.random)
    dispatcher = dispatch_loop.DispatchLoop(state, settings, _ignore)
    thread = threading.Thread(target=dispatcher.run)
    thread.start()
    stack.callback(thread.join)
    stack.callback(dispatcher.post, dispatch_loop.StopRequested())
    dispatcher.post(messages.ConfigurationReceived(LAYOUT.configuration))
    while dispatcher.status.unready_reason:
        time.sleep(0.1)
    return lambda: _query_loop(dispatcher)


def _query_loop(dispatcher: dispatch_loop.DispatchLoop) -> int:
    now = time.monotonic()
    reply_to: dispatch_loop.ReplyQueue = queue.SimpleQueue()
    query = messages.Query(
        'fan-out', 'price-check', TERMS, None, now, now + 0.8
    )
    dispatcher.post(dispatch_loop.QueryReceived(query, reply_to))
    answer = reply_to.get(timeout=2).outcome
    assert isinstance(answer, messages.Answer)
    return len(answer.coverage.covered)


def _ignore(action: messages.Action) -> None:
    """Ignore claims: the class of this query needs none."""


if __name__ == '__main__':
    main()
