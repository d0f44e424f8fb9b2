"""Two of a zone's three hosts are stopped at once under a steady load."""

import asyncio
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
GRACE_S = 6.0
#: What is sent until then and is still at work when the grace ends is excused.
EXCUSED_S = 3.0
CLIENTS = 60
#: Each client sends a request every half a second: 120 a second in the zone.
INTERVAL_S = 0.5
WORK_S = 0.15
DEADLINE_MS = 2000
DRAW = random.Random(41)


class Balancer:
    """Choose the host of each new connection as PROTOCOL.md, Ingress, says."""

    def __init__(self, hosts, record):
        self.hosts, self.record = hosts, record
        self.misses = dict.fromkeys(hosts, 0)

    async def poll(self, host):
        """Ask one host each second; two misses in a row take it out."""
        while True:
            began = time.monotonic()
            ready = await host.is_ready()
            before = self.misses[host] < 2
            self.misses[host] = 0 if ready else self.misses[host] + 1
            if before != (self.misses[host] < 2):
                self.record.note('balancer', host.name, 'out' if before else 'in')
            await asyncio.sleep(max(0, began + 1 - time.monotonic()))

    def choose(self):
        rotation = [it for it in self.hosts if self.misses[it] < 2]
        if len(rotation) < len(self.hosts) / 2:
            rotation = self.hosts
        return DRAW.choice(rotation)


async def send_requests(name, balancer, record, lost, statuses, until):
    """Send one request on each connection, and none a second time."""
    await asyncio.sleep(DRAW.random() * INTERVAL_S)
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f'{name}-{number:05d}'
        host = balancer.choose()
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(
                stand_ins.LOOPBACK, host.ports['front']
            )
        except OSError:
            statuses['no connection'] += 1
            await asyncio.sleep(0.1)
            continue
        try:
            writer.write(
                stand_ins.encode_request(
                    f'/orders/{request_id}', request_id, DEADLINE_MS, 'POST', b'{}'
                )
            )
            record.note('sent', request_id, host.name)
            head = await reader.readuntil(b'\r\n\r\n')
            line, fields = stand_ins.parse_head(head)
            await reader.readexactly(int(fields.get('content-length', 0)))
            statuses[line.split()[1]] += 1
            record.note('answer', request_id, line)
        except (OSError, asyncio.IncompleteReadError):
            statuses['cut, no answer'] += 1
            lost[request_id] = host, began, time.monotonic()
            record.note('cut, no answer', request_id, host.name)
        writer.close()
        await asyncio.sleep(max(0, began + INTERVAL_S - time.monotonic()))


async def case(record):
    async with stand_ins.Cluster(record) as cluster:
        cluster.put_configuration(
            [stand_ins.make_route('orders', 'alertas', 'non_idempotent')], ['alertas']
        )
        servers = [
            await cluster.add_server(
                stand_ins.Server(f'i-{it}', 'alertas', record, lambda it: (WORK_S, it.encode())),
                stand_ins.ZONES[it % 2],
            )
            for it in range(6)
        ]
        await cluster.start_hosts(5)
        zone = [it for it in cluster.hosts if it.zone == stand_ins.ZONES[0]]
        balancer = Balancer(zone, record)
        polls = [asyncio.create_task(balancer.poll(it)) for it in zone]
        # All machines are in touch after stable_window_ms, 4 s.
        await asyncio.sleep(5)
        lost, statuses = {}, collections.Counter()
        until = time.monotonic() + 4 + GRACE_S + 1
        clients = [
            asyncio.create_task(
                send_requests(f'c{it}', balancer, record, lost, statuses, until)
            )
            for it in range(CLIENTS)
        ]
        await asyncio.sleep(4)
        stopped = zone[:2] if TROUBLE else []
        stopped_at = time.monotonic()
        for host in stopped:
            host.send_signal(signal.SIGTERM)
        while time.monotonic() < until:
            for host in [it for it in stopped if it.process.poll() is not None]:
                stopped.remove(host)
                record.say(f'{host.name} ended, exit code {host.process.returncode},'
                           f' {time.monotonic() - stopped_at:.2f} s after SIGTERM')
            await asyncio.sleep(0.02)
        await asyncio.gather(*clients)
        for poll in polls:
            poll.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*polls)
        ran = set().union(*(it.runs for it in servers))
        counted = [
            request_id
            for request_id, (host, began, ended) in lost.items()
            if request_id in ran
            and ended - began < DEADLINE_MS / 1000
            and (not TROUBLE or stopped_at + EXCUSED_S < began < stopped_at + GRACE_S + 1)
        ]
        for request_id in counted:
            host, began, ended = lost[request_id]
            record.note(
                'LOST', request_id, host.name,
                f'sent {began - stopped_at:.2f} s, cut {ended - stopped_at:.2f} s after SIGTERM',
            )
        record.say('answers', dict(statuses))
        record.say(f'{len(counted)} requests ran, were sent later than {EXCUSED_S} s after'
                   ' SIGTERM, and ended with a closed connection')
        return 1 if counted else 0


stand_ins.run_case(case)
