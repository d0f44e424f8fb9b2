"""All hosts are killed once while extra attempts are at their bound."""

import asyncio
import bisect
import collections
import contextlib
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOSTS = 6
CLIENTS = 30
REQUEST_INTERVAL_S = 0.25
WINDOW_S, RATIO, SLACK = 10.0, 0.2, 56
#: How long the two searchers are in trouble, about.
TROUBLE_S = 9.0
DRAW = random.Random(41)


class TroubledServer(stand_ins.Server):
    """A searcher that sheds, or loses the answers of, a share of its requests."""

    sheds = loses = 0.0

    async def answer(self, line, fields, body, writer):
        request_id = fields['fuchsiahaven-request-id']
        self.arrivals.append((time.monotonic(), request_id))
        self.record.note('arrival', self.name, request_id)
        if DRAW.random() < self.sheds:
            writer.write(
                f'HTTP/1.1 503 Busy\r\nFuchsiahaven-Request-Id: {request_id}\r\n'
                'Fuchsiahaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        if DRAW.random() < self.loses:
            self.record.note('run, answer lost', self.name, request_id)
            await asyncio.sleep(0.01)
            writer.transport.abort()
            return
        await super().answer(line, fields, body, writer)


async def send_requests(name, hosts, sent, record, until):
    """Send requests at a steady rate, each to another host that is up."""
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f'{name}-{number:06d}'
        host = hosts[DRAW.randrange(len(hosts))]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                stand_ins.LOOPBACK, host.ports['front']
            )
            sent.append(time.monotonic())
            writer.write(stand_ins.encode_request(f'/records/{request_id}', request_id, 2000))
            record.note('sent', request_id, host.name)
            line, _ = stand_ins.parse_head(await reader.readuntil(b'\r\n\r\n'))
            record.note('answer', request_id, host.name, line.split()[1])
            writer.close()
        await asyncio.sleep(REQUEST_INTERVAL_S)


def find_worst(sent, arrivals):
    """Return how far the extra arrivals of a window exceed the bound at most."""
    seen = set()
    extra = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            extra.append(at)
        seen.add(request_id)

    def count(times, start, end):
        return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)

    worst = (-SLACK, 0, 0)
    for start in extra:
        spans = ((start, start + WINDOW_S), (start - WINDOW_S, start),
                 (start - WINDOW_S / 2, start + WINDOW_S / 2))
        requests = max(count(sent, *span) for span in spans)
        extras = count(extra, start, start + WINDOW_S)
        worst = max(worst, (extras - RATIO * requests - SLACK, extras, requests))
    return worst


async def case(record):
    async with stand_ins.Cluster(record) as cluster:
        cluster.put_configuration([stand_ins.make_route('records', 'catalogo')], ['catalogo'])
        arrivals, sent = [], []
        for number in range(2):
            server = TroubledServer(
                f'i-{number}', 'catalogo', record, lambda it: (0.01, it.encode())
            )
            server.arrivals = arrivals
            await cluster.add_server(server, stand_ins.ZONES[number])
        await cluster.start_hosts(HOSTS)
        await asyncio.sleep(6)
        until = time.monotonic() + 24
        clients = [
            asyncio.create_task(
                send_requests(f'c{it}', cluster.hosts, sent, record, until)
            )
            for it in range(CLIENTS)
        ]
        await asyncio.sleep(6)
        record.note('trouble of the searchers')
        cluster.servers[0].sheds = 0.6
        cluster.servers[1].loses = 0.4
        await asyncio.sleep(TROUBLE_S / 2)
        if TROUBLE:
            for host in cluster.hosts:
                host.send_signal(signal.SIGKILL)
                host.process.wait()
            await asyncio.sleep(0.5)
            for host in cluster.hosts:
                host.start()
        await asyncio.sleep(TROUBLE_S / 2)
        for server in cluster.servers:
            server.sheds = server.loses = 0.0
        await asyncio.gather(*clients)
        over, extras, requests = find_worst(sorted(sent), arrivals)
        record.say(f'worst window: {extras} extra arrivals for {requests} requests,'
                   f' allowed {RATIO * requests + SLACK:.0f}')
        return 1 if over > 0 else 0


stand_ins.run_case(case)
