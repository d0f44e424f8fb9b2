"""Measure the processor time of a fan-out: `python -m bench.fanout`.

One query asks every shard of two groups, fifty in all, each of a stand-in of
its own. The same sub-requests go out through a thread each and urllib3's
pool (the yardstick), through that pool one after another, and through the
program's own dispatch loop. The time is that of this process alone.
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

Ask = Callable[[], int]


def main() -> None:
    """Run the ways by turns and print the medians."""
    with contextlib.ExitStack() as stack:
        _start_targets(stack)
        ways: dict[str, Ask] = {
            'a thread each': _use_threads(stack),
            'one after another': _use_pool(stack),
            'dispatch loop': _use_loop(stack),
        }
        spent: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(ROUNDS):
            for name, ask in ways.items():
                spent[name].append(_measure(ask))
    yardstick = statistics.median(spent['a thread each'])
    for name, figures in spent.items():
        median = statistics.median(figures)
        print(
            f'{name:18} {median:7.1f} us '
            f'({min(figures):.1f}..{max(figures):.1f}) '
            f'{median / yardstick:.2f} of a thread each'
        )


def _measure(ask: Ask) -> float:
    ask()
    began = time.process_time()
    count = sum(ask() for _ in range(QUERIES))
    return (time.process_time() - began) / count * 1e6


def _start_targets(stack: contextlib.ExitStack) -> None:
    words = ('standins', 'searchers', '--deployment', 'santiago')
    process = subprocess.Popen(  # noqa: S603
        (sys.executable, '-m', *words, '--first-port', str(FIRST_PORT)),
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    assert process.stdout and process.stdout.readline().startswith('ready')
    # The wait for an answer costs no processor time, but it costs patience.
    order = {'targets': '*', 'behaviour': {'median_ms': 0.5}}
    urllib3.request(
        'POST', f'http://127.0.0.1:{FIRST_PORT}/control', json=order
    )


def _list_requests() -> Iterator[tuple[str, bytes]]:
    for group in LAYOUT.configuration.groups[:2]:
        shards: set[int] = set()
        for target in group.targets:
            for held in LAYOUT.holdings[target.name]:
                if held.shard not in shards:
                    shards.add(held.shard)
                    yield target.address, _write_body(group.name, held.shard)


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


def _use_threads(stack: contextlib.ExitStack) -> Ask:
    wanted = list(_list_requests())
    manager = urllib3.PoolManager(num_pools=len(wanted), maxsize=2)
    pool = concurrent.futures.ThreadPoolExecutor(len(wanted))
    stack.enter_context(pool)
    return lambda: sum(pool.map(lambda each: _send(manager, *each), wanted))


def _use_pool(stack: contextlib.ExitStack) -> Ask:
    wanted = list(_list_requests())
    manager = urllib3.PoolManager(num_pools=len(wanted), maxsize=2)
    stack.callback(manager.clear)
    return lambda: sum(_send(manager, *each) for each in wanted)


def _use_loop(stack: contextlib.ExitStack) -> Ask:
    bounds = dispatch_loop.Settings(
        max_answer_bytes=1_000_000, probe_timeout_s=0.5, connect_timeout_s=0.5
    )
    place = layouts.DATA_CENTRES['santiago'][0]
    state = states.make_state(place, random.random)
    dispatcher = dispatch_loop.DispatchLoop(state, bounds, _ignore)
    thread = threading.Thread(target=dispatcher.run)
    thread.start()
    stack.callback(thread.join)
    stack.callback(dispatcher.post, dispatch_loop.StopRequested())
    dispatcher.post(messages.ConfigurationReceived(LAYOUT.configuration))
    while dispatcher.status.unready_reason:
        time.sleep(0.1)
    return lambda: _ask_loop(dispatcher)


def _ask_loop(dispatcher: dispatch_loop.DispatchLoop) -> int:
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
    """Take no claim: the class of this query needs none."""


if __name__ == '__main__':
    main()
