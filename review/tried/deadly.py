"""A request that crashes its searchers comes again after all hosts were killed."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SHARDS = [f'shard-{it}' for it in range(6)]
REPLICAS = 2
STABLE_S = 4.0
DEADLINE_S = 0.8
#: How long after the third crash the hosts are killed.
DELAY_S = float(os.environ.get('DELAY_S', '0'))
DEADLY = '/search/death'


class CrashingServer(stand_ins.Server):
    """A searcher that crashes when it begins to run the deadly request."""

    async def answer(self, line, fields, body, writer):
        if DEADLY not in line or fields.get('fuchsiahaven-target-instance') != self.name:
            await super().answer(line, fields, body, writer)
            return
        self.arrivals.append(time.monotonic())
        self.record.note('arrival of the deadly request', self.name, fields['fuchsiahaven-request-id'])
        await asyncio.sleep(0.01)
        self.record.note('crashes', self.name)
        self.crashes.append(time.monotonic())
        if len(self.crashes) >= 3:
            self.third_crash.set()
        self.server.close()
        for it in self.writers:
            it.transport.abort()
        asyncio.get_running_loop().call_later(2, self.come_back)

    def come_back(self):
        task = asyncio.create_task(self.start_again())
        TASKS.add(task)

    async def start_again(self):
        self.cluster.store.remove(f'servers/{self.name}')
        self.starts += 1
        self.name = f'{self.base}-{self.starts}'
        self.writers = set()
        await self.cluster.add_server(self)
        self.record.note('starts', self.name)


TASKS = set()


async def ask(hosts, request_id, path, record):
    """Ask, and after a failure once more at another host, until the deadline."""
    ends_at = time.monotonic() + DEADLINE_S
    for attempt, host in enumerate(hosts[:2]):
        line, wait_s = await ask_once(
            host, f'{request_id}-{attempt}', path, ends_at, record
        )
        if ' 200 ' in line:
            return
        left_s = ends_at - time.monotonic()
        await asyncio.sleep(max(0, min(wait_s, left_s / 3)))


async def ask_once(host, request_id, path, ends_at, record):
    left_ms = int(1000 * (ends_at - time.monotonic()))
    if left_ms <= 0:
        return '', 0.0
    wait_s = 0.0
    try:
        reader, writer = await asyncio.open_connection(stand_ins.LOOPBACK, host.ports['front'])
        writer.write(stand_ins.encode_request(path, request_id, left_ms))
        line, fields = stand_ins.parse_head(await reader.readuntil(b'\r\n\r\n'))
        await reader.readexactly(int(fields.get('content-length', 0)))
        wait_s = float(fields.get('retry-after', 0))
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        line = repr(error)
    record.note('answer', request_id, host.name, line)
    return line, wait_s


async def case(record):
    async with stand_ins.Cluster(record) as cluster:
        route = stand_ins.make_route(
            'search', '', timeout_ms=800, target_latency_ms=145, max_attempts=2,
            gather=SHARDS, top_k=10, min_coverage=0.89,
        )
        route.pop('service')
        cluster.put_configuration([route], SHARDS)
        arrivals, crashes, third_crash = [], [], asyncio.Event()
        for shard in SHARDS:
            for number in range(REPLICAS):
                server = CrashingServer(
                    f'i-{shard}-{number}', shard, record, lambda it: (0.005, it.encode() * 2)
                )
                server.base, server.starts = server.name, 0
                server.cluster, server.arrivals = cluster, arrivals
                server.crashes, server.third_crash = crashes, third_crash
                await cluster.add_server(server, stand_ins.ZONES[number])
        await cluster.start_hosts(3)
        await asyncio.sleep(5)
        for n in range(20):
            await ask(cluster.hosts, f'warm-{n}', f'/search/{n}', record)
        first = asyncio.create_task(ask(cluster.hosts, 'deadly-0', DEADLY, record))
        await third_crash.wait()
        if TROUBLE:
            await asyncio.sleep(DELAY_S)
            for host in cluster.hosts:
                host.send_signal(signal.SIGKILL)
                host.process.wait()
            await asyncio.sleep(0.5)
            for host in cluster.hosts:
                host.start()
            await asyncio.gather(*[it.wait_ready() for it in cluster.hosts])
        await first
        third = crashes[2]
        # Machines are in touch stable_window_ms after their start.
        await asyncio.sleep(STABLE_S + 1.5)
        for number in range(1, 4):
            hosts = cluster.hosts[number % 3:] + cluster.hosts[: number % 3]
            await ask(hosts, f'deadly-{number}', DEADLY, record)
            await asyncio.sleep(0.5)
        late = sum(1 for it in arrivals if it > third + STABLE_S)
        record.say(f'{len(arrivals)} arrivals, {late} of them later than {STABLE_S} s after'
                   ' the third crash; 3 are allowed')
        return 1 if late > 3 else 0


stand_ins.run_case(case)
