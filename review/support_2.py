"""Stand-ins and helpers for the cases of the second review.

The store, the searchers and the clients run in the process of the script, on
loopback addresses. The hosts are separate processes, started with the command
of the deploy file.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

LOOPBACK = '127.0.0.1'
ROOT = Path(__file__).resolve().parents[1]
HEAD_END = b'\r\n\r\n'
HEARTBEAT_S = 1.2
#: How long a machine has run undisturbed before it is in touch.
STABLE_S = 4.0
MAX_RUN_S = 100.0
#: How often a watch looks for changes.
CHECK_INTERVAL_S = 0.01


class Record:
    """Write what was sent, answered and run to the record file."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._file = Path(path).open('w', encoding='utf-8')

    def write(self, text):
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


def find_port():
    """Return a free port below the range of ephemeral ports."""
    while True:
        port = 18_000 + int.from_bytes(os.urandom(2)) % 13_000
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((LOOPBACK, port))
            if port not in find_port.used:
                find_port.used.add(port)
                return port


find_port.used = set()


def decode_head(head):
    """Return the first line of a message, and its fields in lower case."""
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return first, fields


class Store:
    """Serve the calls of the platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.address = ''
        self._last_lease = 100
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = '%s:%s' % self._server.sockets[0].getsockname()

    def put_json(self, key, content):
        """Write a key as the operator and the searchers do."""
        text = json.dumps(content).encode()
        self.put(key, base64.b64encode(text).decode(), 0)

    def put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {'created': self.revision})['created']
        row = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = row
        self.events.append(row)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            row = {'key': key, 'revision': self.revision, 'deleted': True}
            self.events.append(row)

    def _expire(self):
        now = time.monotonic()
        for number in [n for n, it in self.leases.items() if it[1] <= now]:
            self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number)
        for key in [k for k, r in self.items.items() if r['lease'] == number]:
            self.remove(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, fields = decode_head(await reader.readuntil(HEAD_END))
                length = int(fields.get('content-length', '0'))
                body = await reader.readexactly(length)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                parsed = urllib.parse.parse_qs(query)
                values = {name: it[0] for name, it in parsed.items()}
                status, content = await self._call(
                    f'{method} {path}', values, body
                )
                text = json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode() + text
                )
                await writer.drain()
        writer.close()

    async def _call(self, call, values, body):
        self._expire()
        match call.split('/')[1]:
            case 'kv-key':
                row = self.items.get(values['key'])
                if row is None:
                    return 404, {}
                return 200, {**row, 'store_revision': self.revision}
            case 'kv-range':
                return 200, self._list(values)
            case 'kv-watch':
                return await self._watch(values)
            case 'kv-txn':
                return self._commit(json.loads(body))
            case 'kv-lease':
                self._last_lease += 1
                ttl_ms = json.loads(body)['ttl_ms']
                ends_at = time.monotonic() + ttl_ms / 1000
                self.leases[self._last_lease] = (ttl_ms, ends_at)
                return 200, {'lease': self._last_lease, 'ttl_ms': ttl_ms}
        number = int(call.rpartition('/')[2])
        if number not in self.leases:
            return 404, {}
        if 'kv-keep' in call:
            ttl_ms = self.leases[number][0]
            self.leases[number] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        else:
            self._end_lease(number)
        return 200, {}

    def _list(self, values):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(values.get('prefix', ''))
            and key > values.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'store_revision': self.revision,
        }

    async def _watch(self, values):
        after = int(values['after'])
        prefix = values.get('prefix', '')
        ends_at = time.monotonic() + int(values['wait_ms']) / 1000
        while True:
            self._expire()
            found = [
                it
                for it in self.events
                if it['revision'] > after and it['key'].startswith(prefix)
            ]
            if found or time.monotonic() >= ends_at:
                return 200, {'events': found, 'store_revision': self.revision}
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _commit(self, call):
        expected = {it['key']: it['revision'] for it in call['expected_rev']}
        current = {
            key: self.items[key]['revision'] if key in self.items else 0
            for key in expected
        }
        if current != expected:
            rows = [self.items[key] for key in expected if key in self.items]
            return 412, {'items': rows}
        leases = {it['lease'] for it in call['puts']} - {0}
        if leases - self.leases.keys():
            return 404, {}
        for row in call['puts']:
            self.put(row['key'], row['value'], row['lease'])
        for key in call['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Searcher:
    """Serve as one searcher, and keep its entry in the store."""

    def __init__(self, store, record, name, service, zone, **extra):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.state = 'ready'
        self.runs = []
        self.body_bytes = 64
        self.work_s = 0.005
        self._entry = {
            'service': service,
            'address': '',
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmup_left_ms': 0,
            'seq': 0,
            **extra,
        }
        self._server = None
        self._beating = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        address = '%s:%s' % self._server.sockets[0].getsockname()
        self._entry['address'] = address
        self._beating = asyncio.create_task(self._beat())

    @property
    def port(self):
        return int(self._entry['address'].rpartition(':')[2])

    @property
    def born(self):
        return self._entry['born']

    def report(self, **changes):
        """Write the entry now; the store has accepted it on return."""
        self._entry.update(changes)
        self._entry['seq'] += 1
        self.store.put_json(f'servers/{self.name}', self._entry)

    def crash(self):
        """End as a killed process does; the entry stays for now."""
        self._beating.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, fields = decode_head(await reader.readuntil(HEAD_END))
                length = int(fields.get('content-length', '0'))
                body = await reader.readexactly(length)
                await self._answer(first, fields, body, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, first, fields, body, writer):
        request_id = fields.get('fuchsiahaven-request-id', '')
        if fields.get('fuchsiahaven-target-instance', self.name) != self.name:
            self.record.write(f'{self.name} answers 421 to {request_id}')
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Fuchsiahaven-Not-Executed: 1\r\n'
                + f'Fuchsiahaven-Request-Id: {request_id}\r\n'.encode()
                + b'Content-Length: 0\r\n\r\n'
            )
            return
        self.runs.append((time.monotonic(), request_id))
        self.record.write(
            f'{self.name} runs {request_id}: {first.split(" HTTP")[0]}, '
            f'{len(body)} bytes of body'
        )
        await asyncio.sleep(self.work_s)
        answer = make_body(request_id, self.service, self.body_bytes)
        writer.write(
            'HTTP/1.1 200 OK\r\n'
            f'Fuchsiahaven-Request-Id: {request_id}\r\n'
            f'Fuchsiahaven-Response-Signature: {request_id}.{self.service}\r\n'
            f'Content-Length: {len(answer)}\r\n\r\n'.encode() + answer
        )
        await writer.drain()


def make_body(request_id, service, size):
    """Return the body with which a searcher of a service answers."""
    block = hashlib.sha256(f'{request_id} {service}'.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


class Host:
    """Run one host as a separate process, with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, store, zones, bounds=()):
        self.record = record
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store = store
        self.zones = zones
        self.bounds = dict(bounds)
        self.control, self.front, self.ready, self.low, self.high = [
            find_port() for _ in range(5)
        ]
        self.process = None

    def write_settings(self, seeds):
        bounds = {
            'seed_lag_s': 3,
            'reuse_after_s': 2,
            'stable_window_ms': 4000,
            'ack_ms': 5000,
            'catch_up_s': 4,
            'drain_ms': 3000,
            'grace_s': 6,
            'loss_slack_ms': 200,
            'config_apply_ms': 3000,
            'rollback_slack_ms': 250,
            'outer_ms': 12000,
            'retry_budget_ratio': 0.2,
            'retry_window_s': 10,
            'retry_slack': 56,
            'recovery_s': 12,
            **self.bounds,
        }
        lines = [
            f'node={self.name}',
            'role=host',
            'machine_class=front',
            'serves=front,control',
            f'ip={LOOPBACK}',
            f'zone={self.zone}',
            'region=rm-chile',
            *[f'zones.{zone}=rm-chile' for zone in self.zones],
            f'listen.front={LOOPBACK}:{self.front}',
            f'listen.ready={LOOPBACK}:{self.ready}',
            f'listen.control={LOOPBACK}:{self.control}',
            f'internal_ports={self.low},{self.high}',
            f'seeds={",".join(seeds)}',
            'bootstrap=true',
            'limits.cpu_share=0.537',
            'limits.cores=2',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            'limits.link_mbps=1000.0',
            'heartbeat_ms=1200',
            'tolerate.machines=2',
            'tolerate.zones=1',
            *[f'bounds.{name}={value}' for name, value in bounds.items()],
            f'platform.address={self.store.address}',
            'platform.form=kv',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.history_s=20',
            'platform.max_value_bytes=1048576',
            'platform.min_ttl_ms=1000',
            '',
        ]
        self.path = Path(self.folder) / f'{self.name}.conf'
        self.path.write_text('\n'.join(lines), encoding='utf-8')

    async def start(self, seeds):
        self.write_settings(seeds)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['host']['run'])
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {it: os.environ[it] for it in kept if it in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['FUCHSIAHAVEN_SETTINGS'] = str(self.path)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (Path(self.folder) / f'{self.name}.log').open('ab')
        with contextlib.closing(log):
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f'{self.name} started')

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self.ready
                )
                with contextlib.closing(writer):
                    writer.write(
                        b'GET /ready HTTP/1.1\r\nHost: ready\r\n'
                        b'Connection: close\r\n\r\n'
                    )
                    line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        return line.split(b' ')[1:2] == [b'200']


async def wait_until_ready(hosts, timeout_s=20.0):
    """Wait until all hosts are ready; raises TimeoutError."""
    async with asyncio.timeout(timeout_s):
        for host in hosts:
            while not await host.is_ready():
                await asyncio.sleep(0.1)


class Client:
    """Send requests over one kept connection."""

    def __init__(self, record, name, host):
        self.record = record
        self.name = name
        self.host = host
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            LOOPBACK, self.host.front
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def read_answer(self, timeout_s):
        """Return the status, the fields and the body; status 0 without."""
        try:
            async with asyncio.timeout(timeout_s):
                first, fields = decode_head(
                    await self.reader.readuntil(HEAD_END)
                )
                length = int(fields.get('content-length', '0'))
                body = await self.reader.readexactly(length)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return 0, {'error': repr(error)}, b''
        return int(first.split(' ')[1]), fields, body


def make_head(method, path, request_id, deadline_ms, *extra):
    """Return the head of a request."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: pupu76.example',
        f'Fuchsiahaven-Request-Id: {request_id}',
        f'Fuchsiahaven-Deadline-Ms: {deadline_ms}',
        *extra,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def make_configuration(version, routes, services, **limits):
    """Return a version of the configuration, with limits like the site's."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
    }


def make_route(name, prefix, service, kind='idempotent'):
    """Return a route to one service, with the times of `ficha-unica`."""
    return {
        'name': name,
        'host': 'pupu76.example',
        'prefix': prefix,
        'type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 534,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
    }


async def start_hosts(record, folder, store, zones):
    """Start a host in each zone, and wait until they are in touch."""
    hosts = [
        Host(record, folder, f'front-{zone}-1', zone, store, zones)
        for zone in zones
    ]
    seeds = [f'{LOOPBACK}:{host.control}' for host in hosts]
    try:
        for host in hosts:
            await host.start(seeds)
        await wait_until_ready(hosts)
    except BaseException:
        await end_hosts(hosts)
        raise
    record.write('all hosts are ready')
    return hosts


async def end_hosts(hosts):
    """Kill the hosts that run."""
    await asyncio.gather(*[host.end() for host in hosts])


def run_case(check, folder):
    """Run a case; return 1 if the rule was broken, 0 if it held, else 2.

    `check` gets the record, a temporary folder and whether to make trouble. It
    returns whether the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record.write(f'began with TROUBLE={int(trouble)}')
    try:
        with tempfile.TemporaryDirectory(prefix='case-') as temporary:
            broken = asyncio.run(_run_bounded(check, record, temporary, trouble))
    except Exception as error:
        record.write(f'could not run: {error!r}')
        return 2
    record.write('THE RULE IS BROKEN' if broken else 'the rule held')
    record.close()
    return 1 if broken else 0


async def _run_bounded(check, record, temporary, trouble):
    async with asyncio.timeout(MAX_RUN_S):
        return await check(record, temporary, trouble)
