"""A small deployment on loopback addresses: store, servers, hosts, clients.

The hosts are the project's own program, started with the command of the deploy
file. The store is the project's stand-in. The servers and the clients here do
what the pages say of sound ones, unless a case tells them otherwise.
"""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins import metadata_store  # noqa: E402

LOOPBACK = '127.0.0.1'
ZONES = ('hall-a', 'hall-b')


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = time.monotonic()

    def note(self, *words):
        line = f'{time.monotonic() - self.start:8.3f} ' + ' '.join(map(str, words))
        print(line, file=self.file, flush=True)

    def say(self, *words):
        self.note(*words)
        print(*words, flush=True)


def free_port(used=set()):
    """Return a port below the ephemeral range that nobody listens at."""
    for port in random.SystemRandom().sample(range(17_000, 32_000), 1000):
        if port in used:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((LOOPBACK, port))
            used.add(port)
            return port
    raise RuntimeError('no free port')


class Server:
    """A sound searcher of one service; `work` gives seconds and the body."""

    def __init__(self, name, service, record, work):
        self.name, self.service, self.record, self.work = name, service, record, work
        self.address = ''
        self.runs = collections.Counter()
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                line, fields = parse_head(head)
                body = await reader.readexactly(int(fields.get('content-length', 0)))
                await self.answer(line, fields, body, writer)
        self.writers.discard(writer)
        writer.close()

    async def answer(self, line, fields, body, writer):
        request_id = fields.get('fuchsiahaven-request-id')
        if not request_id:
            writer.write(b'HTTP/1.1 400 Bad Request\r\nFuchsiahaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
            return
        if fields.get('fuchsiahaven-target-instance') != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\nFuchsiahaven-Request-Id: {request_id}\r\n'
                'Fuchsiahaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        self.runs[request_id] += 1
        self.record.note('run', self.name, request_id, line)
        seconds, answer = self.work(request_id)
        await asyncio.sleep(seconds)
        head = (
            f'HTTP/1.1 200 OK\r\nFuchsiahaven-Request-Id: {request_id}\r\n'
            f'Fuchsiahaven-Response-Signature: {signature(request_id, self.service)}\r\n'
            f'Content-Length: {len(answer)}\r\n\r\n'
        )
        writer.write(head.encode() + answer)
        await writer.drain()
        self.record.note('answered', self.name, request_id, len(answer), 'bytes')


def signature(request_id, service):
    return f'{request_id}.{service}'


def parse_head(head):
    """Return the first line and the fields of a message."""
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return first, fields


class Host:
    """One process of the system, started as deployed."""

    def __init__(self, name, zone, cluster):
        self.name, self.zone, self.cluster = name, zone, cluster
        self.ports = {it: free_port() for it in ('control', 'front', 'ready', 'first', 'last')}
        self.process = None

    def start(self):
        path = self.cluster.folder / f'{self.name}.conf'
        path.write_text(self.settings())
        words = self.cluster.role['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        env = {it: os.environ[it] for it in kept if it in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['FUCHSIAHAVEN_SETTINGS'] = str(path)
        with open(self.cluster.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.cluster.record.note('started', self.name, 'pid', self.process.pid)

    def send_signal(self, number):
        self.cluster.record.note('signal', number.name, self.name)
        self.process.send_signal(number)

    def settings(self):
        at = {name: f'{LOOPBACK}:{port}' for name, port in self.ports.items()}
        seeds = ','.join(f'{LOOPBACK}:{it.ports["control"]}' for it in self.cluster.hosts[:3])
        values = {
            'node': self.name, 'role': 'host', 'machine_class': 'front',
            'serves': 'front,control', 'ip': LOOPBACK, 'zone': self.zone, 'region': 'rm-a',
            **{f'zones.{it}': 'rm-a' for it in ZONES},
            'listen.front': at['front'], 'listen.ready': at['ready'],
            'listen.control': at['control'],
            'internal_ports': f'{self.ports["first"]},{self.ports["last"]}',
            'seeds': seeds, 'bootstrap': 'true', 'in_fault_budget': 'false',
            'limits.cpu_share': '0.537', 'limits.cores': '2', 'limits.memory_mb': '300',
            'limits.max_fds': '4100', 'limits.link_mbps': '1000.0', 'limits.disk_mb': '0',
            'discovery': 'platform', 'entry': 'vip', 'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,scatter,platform',
            'tolerate.machines': '2', 'tolerate.zones': '1', 'tolerate.regions': '0',
            'bounds.seed_lag_s': '3', 'bounds.reuse_after_s': '2',
            'bounds.stable_window_ms': '4000', 'bounds.ack_ms': '5000',
            'bounds.catch_up_s': '4', 'bounds.drain_ms': '3000', 'bounds.grace_s': '6',
            'bounds.loss_slack_ms': '200', 'bounds.config_apply_ms': '3000',
            'bounds.rollback_slack_ms': '250', 'bounds.outer_ms': '12000',
            'bounds.retry_budget_ratio': '0.2', 'bounds.retry_window_s': '10',
            'bounds.retry_slack': '56', 'bounds.recovery_s': '12',
            'platform.address': self.cluster.store_address, 'platform.form': 'kv',
            'platform.writes_per_s': '400', 'platform.reads_per_s': '2000',
            'platform.history_s': '20', 'platform.max_value_bytes': '1048576',
            'platform.min_ttl_ms': '1000',
        }
        return ''.join(f'{key}={value}\n' for key, value in values.items())

    async def is_ready(self):
        """Ask as the balancer does."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ports['ready'])
                writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        return False

    async def wait_ready(self, seconds=20):
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self.cluster.record.note('ready', self.name)


class Cluster:
    """Own the store, the servers and the hosts; ends all processes on exit."""

    def __init__(self, record):
        self.record = record
        self.store = metadata_store.Store()
        self.store.era = None
        self.hosts, self.servers = [], []
        self.role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['host']
        self.store_address = ''
        self.version = 0

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store_server = await asyncio.start_server(self.store.serve, LOOPBACK, 0)
        host, port = self.store_server.sockets[0].getsockname()
        self.store_address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process is not None:
                host.process.wait()
        self.temporary.cleanup()

    def put_configuration(self, routes, services):
        self.version += 3
        self.store.put('op/config', {
            'version': self.version,
            'routes': routes,
            'services': [{'name': it, 'max_connections': 110} for it in services],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        })

    async def add_server(self, server, zone=ZONES[0]):
        await server.listen()
        self.servers.append(server)
        self.put_entry(server, zone)
        return server

    def put_entry(self, server, zone=ZONES[0], **changed):
        self.store.put(f'servers/{server.name}', {
            'service': server.service, 'address': server.address, 'zone': zone,
            'version': '1', 'slots': 4, 'state': 'ready', 'warmup_left_ms': 0, 'seq': 1,
            **changed,
        })

    def log_of(self, host):
        return (self.folder / f'{host.name}.log').read_text(errors='replace')

    async def start_hosts(self, count):
        self.hosts = [Host(f'front-{it + 1}', ZONES[it % 2], self) for it in range(count)]
        for host in self.hosts:
            host.start()
        await asyncio.gather(*[it.wait_ready() for it in self.hosts])


def make_route(name, service, kind='idempotent', **changed):
    return {
        'name': name, 'host': 'shop.example', 'prefix': f'/{name}/', 'type': kind,
        'service': service, 'timeout_ms': 3000, 'target_latency_ms': 500,
        'max_attempts': 2, 'priority': 1, **changed,
    }


def encode_request(path, request_id, deadline_ms, method='GET', body=b'', extra=''):
    length = f'Content-Length: {len(body)}\r\n' if body or method == 'POST' else ''
    return (
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'Fuchsiahaven-Request-Id: {request_id}\r\n'
        f'Fuchsiahaven-Deadline-Ms: {deadline_ms}\r\n{extra}{length}\r\n'
    ).encode() + body


def run_case(case):
    """Run `case(record)` for 110 seconds at most; its result is the exit code."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')

    async def bounded():
        async with asyncio.timeout(110):
            return await case(record)

    try:
        code = asyncio.run(bounded())
    except Exception as error:
        record.say('the case could not run:', repr(error))
        code = 2
    record.say('exit code', code)
    sys.exit(code)
