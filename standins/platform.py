"""Emulate the platform's key-value service and host list.

`Platform.call` answers one request as specified in `docs/PROTOCOL.md`,
without sockets, so that a test can use it directly; `serve` listens on ports.
A reply states how it is to be delivered: with a delay, or not at all.
"""

import asyncio
import collections
import json
import time
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple
from urllib import parse as urls

from standins import wire

MAX_VALUE_BYTES: Final = 1 << 20
WATCH_POLL_S: Final = 0.02
NO_PARAMS: Final[Mapping[str, str]] = {}


class Entry(NamedTuple):
    """Hold one stored value; it is removed when its lease ends."""

    value: str
    revision: int
    lease: str | None = None


class Lease(NamedTuple):
    """Hold the time to live of a lease and its end on the clock in seconds."""

    ttl_s: float
    ends_at: float


class Reply(NamedTuple):
    """Hold an answer, its delay, and whether it is lost."""

    status: int
    body: wire.Json | None = None
    delay_s: float = 0.0
    lost: bool = False


class Faults(NamedTuple):
    """Hold the injected faults.

    The answers to the next `lose_writes` writes are lost after the write took
    effect; those to the `late_writes` after them are delayed by `late_s`. A
    silent watch never answers.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0
    late_writes: int = 0
    late_s: float = 30.0
    silent_watch: bool = False
    hosts_lag_s: float = 0.0
    cut_ports: tuple[int, ...] = ()


class Rates(NamedTuple):
    """Hold the rate limits of the service, in calls per second."""

    writes: float = 400.0
    reads: float = 2000.0


RATES: Final = Rates()


class Platform:
    """Own the keys, leases, host list, faults and call counts."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        rates: Rates = RATES,
    ) -> None:
        """Start empty, with a clock in seconds."""
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._rates = rates
        self._revision = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._hosts: list[tuple[float, list[wire.Json]]] = [(clock(), [])]
        self._saved: tuple[int, dict[str, Entry]] = (0, {})
        self._buckets: dict[bool, tuple[float, float]] = {}

    def call(
        self,
        method: str,
        path: str,
        params: Mapping[str, str] = NO_PARAMS,
        body: wire.Json | None = None,
    ) -> Reply:
        """Answer one request; a watch without a change answers 204 at once."""
        kind = classify(method, path)
        self.calls[kind] += 1
        if self.faults.down:
            return Reply(503, {'error': 'down'})
        if not self._take_token(kind):
            self.calls['limited'] += 1
            return Reply(429, {'error': 'rate exceeded'})
        self._expire_leases()
        reply = self.route(method, path, params, body or {})
        reply = reply._replace(delay_s=self.faults.slow_s)
        return self._apply_faults(reply) if kind == 'writes' else reply

    def control(self, orders: wire.Json) -> wire.Json:
        """Change the faults; `hosts`, `save` and `restore` set the content."""
        faults = self.faults._asdict()
        faults.update(
            {name: value for name, value in orders.items() if name in faults}
        )
        self.faults = Faults(**faults)
        hosts = orders.get('hosts')
        if hosts is not None:
            self.set_host_list(hosts)
        if orders.get('save'):
            self._saved = (self._revision, dict(self._entries))
        if orders.get('restore'):
            self._revision = self._saved[0]
            self._entries = dict(self._saved[1])
        return {'calls': self.calls, 'faults': faults}

    def set_host_list(self, hosts: list[wire.Json]) -> None:
        """Set the host list, which becomes visible after `hosts_lag_s`."""
        self._hosts.append((self._clock(), hosts))

    def _take_token(self, kind: str) -> bool:
        now = self._clock()
        writes = kind == 'writes'
        rate = self._rates.writes if writes else self._rates.reads
        tokens, updated_at = self._buckets.get(writes, (rate, now))
        tokens = min(rate, tokens + (now - updated_at) * rate)
        granted = tokens >= 1
        self._buckets[writes] = (tokens - granted, now)
        return granted

    def _expire_leases(self) -> None:
        now = self._clock()
        expired = {
            name for name, lease in self._leases.items() if lease.ends_at <= now
        }
        if not expired:
            return
        for name in expired:
            self._leases.pop(name)
        remaining = {
            key: entry
            for key, entry in self._entries.items()
            if entry.lease not in expired
        }
        self._revision += len(self._entries) - len(remaining)
        self._entries = remaining

    def _apply_faults(self, reply: Reply) -> Reply:
        faults = self.faults
        if faults.lose_writes:
            self.faults = faults._replace(lose_writes=faults.lose_writes - 1)
            return reply._replace(lost=True)
        if faults.late_writes:
            self.faults = faults._replace(late_writes=faults.late_writes - 1)
            return reply._replace(delay_s=faults.late_s)
        return reply

    def route(
        self, method: str, path: str, params: Mapping[str, str], body: wire.Json
    ) -> Reply:
        """Answer one request by its path, without faults, limits or counts."""
        match (method, *path.strip('/').split('/', 2)):
            case ['GET', 'v1', 'keys']:
                reply = self._list_keys(params.get('prefix', ''))
            case ['GET', 'v1', 'keys', key]:
                reply = self._get(key)
            case ['GET', 'v1', 'watch', key]:
                reply = self._get(key, int(params.get('above', '0')))
            case ['PUT', 'v1', 'keys', key]:
                reply = self._put(key, body)
            case ['DELETE', 'v1', 'keys', key]:
                reply = self._delete(key, int(params['revision']))
            case ['POST', 'v1', 'leases', *name]:
                reply = self._handle_lease(name[0] if name else '', body)
            case ['GET', 'v1', 'hosts']:
                reply = self._get_host_list()
            case _:
                reply = Reply(404, {'error': 'no such path'})
        return reply

    def _list_keys(self, prefix: str) -> Reply:
        keys = [
            {'key': key, 'revision': entry.revision}
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        ]
        return Reply(200, {'keys': keys})

    def _get(self, key: str, above: int | None = None) -> Reply:
        entry = self._entries.get(key)
        if above is not None and (entry is None or entry.revision <= above):
            return Reply(204)
        if entry is None:
            return Reply(404, {'error': 'no such key'})
        body = {'key': key, 'value': entry.value, 'revision': entry.revision}
        return Reply(200, body)

    def _put(self, key: str, body: wire.Json) -> Reply:
        lease = body.get('lease')
        if len(body['value'].encode()) > MAX_VALUE_BYTES:
            return Reply(413, {'error': 'value too large'})
        if lease is not None and lease not in self._leases:
            return Reply(404, {'error': 'no such lease'})
        conflict = self._find_conflict(key, body['revision'])
        if conflict is not None:
            return conflict
        self._revision += 1
        self._entries[key] = Entry(body['value'], self._revision, lease)
        return Reply(200, {'revision': self._revision})

    def _delete(self, key: str, revision: int) -> Reply:
        if key not in self._entries:
            return Reply(404, {'error': 'no such key'})
        conflict = self._find_conflict(key, revision)
        if conflict is not None:
            return conflict
        self._revision += 1
        self._entries.pop(key)
        return Reply(200, {'revision': self._revision})

    def _find_conflict(self, key: str, revision: int) -> Reply | None:
        entry = self._entries.get(key)
        current = entry.revision if entry else 0
        return (
            None if current == revision else Reply(409, {'revision': current})
        )

    def _handle_lease(self, name: str, body: wire.Json) -> Reply:
        now = self._clock()
        if not name:
            self._revision += 1
            lease_id = f'lease-{self._revision}'
            ttl_s = float(body['ttl_s'])
            self._leases[lease_id] = Lease(ttl_s, now + ttl_s)
            return Reply(200, {'lease': lease_id})
        lease = self._leases.get(name)
        if lease is None:
            return Reply(404, {'error': 'no such lease'})
        self._leases[name] = lease._replace(ends_at=now + lease.ttl_s)
        return Reply(200, {'ttl_s': lease.ttl_s})

    def _get_host_list(self) -> Reply:
        as_of = self._clock() - self.faults.hosts_lag_s
        visible = [hosts for since, hosts in self._hosts if since <= as_of]
        hosts = visible[-1] if visible else []
        return Reply(200, {'hosts': hosts, 'age_s': self.faults.hosts_lag_s})


class Server:
    """Serve a platform on a port, applying the delay or loss of its replies."""

    def __init__(self, platform: Platform, port: int) -> None:
        """Serve one port, which the fault `cut_ports` can cut off."""
        self._platform = platform
        self._port = port

    def connection_opened(self, channel: wire.Channel) -> None:
        """Accept every connection."""

    def connection_closed(self, channel: wire.Channel) -> None:
        """Ignore the end of a connection, which has no state."""

    def request_received(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        """Answer one request to the service or to its control path."""
        url = urls.urlsplit(request.path)
        path = urls.unquote(url.path)
        if path == '/control':
            result = self._platform.control(request.parse_body())
            channel.reply(200, json.dumps(result))
        elif self._port not in self._platform.faults.cut_ports:
            params = dict(urls.parse_qsl(url.query))
            args = (request.method, path, params, request.parse_body())
            reply = self._platform.call(*args)
            if classify(request.method, path) == 'watches':
                wait_s = float(params.get('wait_s', '0'))
                self._watch(channel, path, params, reply, wait_s)
            else:
                self._send_reply(channel, reply)

    def _watch(
        self,
        channel: wire.Channel,
        path: str,
        params: Mapping[str, str],
        reply: Reply,
        left_s: float,
    ) -> None:
        if self._platform.faults.silent_watch:
            return
        if reply.status != 204 or left_s <= 0:
            self._send_reply(channel, reply)
            return
        latest = self._platform.route('GET', path, params, {})
        args = (channel, path, params, latest, left_s - WATCH_POLL_S)
        asyncio.get_running_loop().call_later(WATCH_POLL_S, self._watch, *args)

    def _send_reply(self, channel: wire.Channel, reply: Reply) -> None:
        if reply.lost:
            channel.transport.abort()
            return
        body = '' if reply.body is None else json.dumps(reply.body)
        if reply.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(reply.delay_s, channel.reply, reply.status, body)
        else:
            channel.reply(reply.status, body)


async def serve(platform: Platform, ports: list[int]) -> list[asyncio.Server]:
    """Serve one platform on a port for each data centre."""
    servers = (wire.listen(Server(platform, port), port) for port in ports)
    return await asyncio.gather(*servers)


def classify(method: str, path: str) -> str:
    if path.startswith('/v1/watch/'):
        return 'watches'
    return 'reads' if method == 'GET' else 'writes'
