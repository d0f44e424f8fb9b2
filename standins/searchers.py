"""Stand in for one target: its port, connections, slots and holdings.

A target has slots and a short queue, closes connections past its cap
unread, and counts for itself how often each request ran, so that what the
tier claims can be checked against what happened.
"""

import asyncio
import collections
import json
import math
import random
import time
import zlib
from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import snapshots
from standins import answers, layouts, slots, wire

REPORT_LAG_S: Final = 1.0
COLD_S: Final = 5.0
COLD_FACTOR: Final = 6.0


class Stats:
    """Count what the targets of one process have done."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.single_runs: collections.Counter[str] = collections.Counter()
        self.after_leaving_s: dict[str, float] = {}

    def note_run(self, order: wire.Json) -> None:
        """Count one run, apart for a request that may not be repeated."""
        request_id = order['request_id']
        self.counts['runs'] += 1
        self.runs[request_id] += 1
        if order.get('at_most_once'):
            self.single_runs[request_id] += 1

    def show(self) -> wire.Json:
        """Give every count as JSON."""
        return {
            'counts': self.counts,
            'runs': self.runs,
            'single_runs': self.single_runs,
            'after_leaving_s': self.after_leaving_s,
        }


class Reports:
    """Say of a target what lags: its state and its load."""

    def __init__(self) -> None:
        """Start live and idle."""
        self._started = time.time()
        self._sequence = 0
        self._old_state = 'live'
        self._changed = -REPORT_LAG_S
        self._load_text = ''
        self._measured = -REPORT_LAG_S

    def note_state(self, old_state: str) -> None:
        """Go on showing the old state for a while; a restart starts over."""
        self._old_state = old_state
        self._changed = time.monotonic()
        if old_state == 'dead':
            self._started = time.time()
            self._sequence = 0

    def show_load(self, in_flight: int, queued: int, slots: int) -> str:
        """Give the load as JSON, as it was a while ago."""
        now = time.monotonic()
        if now - self._measured >= REPORT_LAG_S:
            self._measured = now
            load = {'in_flight': in_flight, 'queued': queued, 'slots': slots}
            self._load_text = json.dumps(load)
        return self._load_text

    def show_health(
        self, name: str, state: str, load: str, held: list[snapshots.Holding]
    ) -> str:
        """Give the health report as JSON."""
        self._sequence += 1
        late = time.monotonic() - self._changed < REPORT_LAG_S
        shown = self._old_state if late else state
        body = {
            'name': name,
            'state': shown,
            'started_epoch': self._started,
            'sequence': self._sequence,
            'load': json.loads(load),
            'holdings': [holding._asdict() for holding in held],
            'health_version': self.find_version(shown, held),
        }
        return json.dumps(body)

    def find_version(self, state: str, held: list[snapshots.Holding]) -> int:
        """Number what a report says, but for the load."""
        return zlib.crc32(repr((self._started, state, held)).encode())


class Searcher:
    """Own one target: its port, connections, slots and holdings."""

    def __init__(
        self,
        target: configurations.Target,
        service: layouts.Service,
        holdings: tuple[snapshots.Holding, ...],
        stats: Stats,
    ) -> None:
        """Start live, without a port yet."""
        self.target = target
        self.service = service
        self.behaviour = answers.Behaviour()
        self.holdings = {(held.snapshot, held.shard): held for held in holdings}
        self.stats = stats
        self.state = 'live'
        self._since = 0.0
        self._reports = Reports()
        self._numbers = random.Random(target.name)
        self._channels: set[wire.Channel] = set()
        self._slots = slots.Slots(
            service.slots, self._start_run, self._finish_run, self._refuse
        )
        self._held: list[tuple[wire.Channel, wire.Request]] = []
        self._server: asyncio.Server | None = None
        self._last_body = ''

    async def start(self) -> None:
        """Listen."""
        port = int(self.target.address.rpartition(':')[2])
        self._server = await wire.listen(self, port)

    def stop(self) -> None:
        """Refuse connects and break every connection, as a lost target."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.transport.abort()
        self._slots.clear()

    async def enter(self, state: str) -> None:
        """Enter a state: live, cold, leaving or dead."""
        if state == self.state:
            return
        if state == 'dead':
            self.stop()
        elif self.state == 'dead':
            await self.start()
        self._reports.note_state(self.state)
        self._since = time.monotonic()
        self.state = state

    def behave(self, changes: wire.Json) -> None:
        """Change the behaviour; a thaw answers what a freeze held back."""
        self.behaviour = self.behaviour._replace(**changes)
        if not self.behaviour.frozen:
            held = tuple(self._held)
            self._held.clear()
            for channel, request in held:
                self.received(channel, request)

    def opened(self, channel: wire.Channel) -> None:
        """Close what exceeds the cap; a new connection costs its time."""
        self.stats.counts['connections'] += 1
        if len(self._channels) >= self.service.connections:
            self.stats.counts['connections_refused'] += 1
            channel.transport.abort()
            return
        self._channels.add(channel)
        channel.transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.connect_ms / 1000, _resume, channel)

    def closed(self, channel: wire.Channel) -> None:
        """Forget a connection; what it asked for runs on."""
        self._channels.discard(channel)

    def received(self, channel: wire.Channel, request: wire.Request) -> None:
        """Answer one request."""
        if self.behaviour.frozen:
            self._held.append((channel, request))
            return
        match request.path:
            case '/v1/search':
                order = request.load()
                deadline = time.monotonic() + order['deadline_ms'] / 1000
                self._accept(answers.Job(channel, order, deadline))
            case '/v1/cancel':
                self.stats.counts['cancels'] += 1
                self._slots.cancel(answers.find_key(request.load()))
                channel.reply(204)
            case '/v1/health':
                self.stats.counts['health'] += 1
                held = list(self.holdings.values())
                load = self._show_load()
                text = self._reports.show_health(
                    self.target.name, self.state, load, held
                )
                channel.reply(200, text)
            case _:
                channel.reply(404, '{"error": "no such path"}')

    def _accept(self, job: answers.Job) -> None:
        self.stats.counts['received'] += 1
        if self.state == 'leaving':
            late = time.monotonic() - self._since
            self.stats.after_leaving_s[self.target.name] = late
        if self.behaviour.drop == 'before' and answers.hits(
            self.behaviour, self._numbers
        ):
            job.channel.transport.abort()
            return
        reason = self._find_refusal(job.order)
        if reason:
            self._refuse(job, reason)
        else:
            self._slots.add(job)

    def _find_refusal(self, order: wire.Json) -> str:
        not_after = order.get('not_after_epoch') or math.inf
        held = (order['snapshot'], order['shard']) in self.holdings
        if self.behaviour.refuse:
            return self.behaviour.refuse
        if order['group'] != self.service.name or not held:
            return 'snapshot_gone'
        if order['deadline_ms'] <= 0 or time.time() > not_after:
            return 'deadline'
        busy = self.state == 'cold' and self._slots.running
        return 'cold' if busy else ''

    def _start_run(self, job: answers.Job) -> float:
        self.stats.note_run(job.order)
        took_s = answers.draw_service_s(self.behaviour, self._numbers)
        if self.state != 'cold':
            return took_s
        age = time.monotonic() - self._since
        if age >= COLD_S:
            self.state = 'live'
        return took_s * max(1.0, COLD_FACTOR * (1 - age / COLD_S))

    def _finish_run(self, job: answers.Job) -> None:
        self.stats.counts['finished'] += 1
        order = job.order
        holding = self.holdings.get((order['snapshot'], order['shard']))
        if holding is None:
            self._refuse(job, 'snapshot_gone', 'unknown')
        elif self.behaviour.drop == 'after' and answers.hits(
            self.behaviour, self._numbers
        ):
            job.channel.transport.abort()
        else:
            held = list(self.holdings.values())
            version = self._reports.find_version(self.state, held)
            report = answers.Report(self.state, version, self._show_load())
            self._deliver(job, answers.build(job, holding, report))

    def _deliver(self, job: answers.Job, body: str) -> None:
        if self.behaviour.spoil and answers.hits(self.behaviour, self._numbers):
            answers.spoil(self.behaviour.spoil, job, body, self._last_body)
        elif self.behaviour.trickle_ms:
            data = wire.frame(200, body)
            pause_s = self.behaviour.trickle_ms / 1000
            answers.trickle(job.channel, data, pause_s)
        else:
            job.channel.reply(200, body)
        self._last_body = body

    def _refuse(self, job: answers.Job, reason: str, ran: str = 'no') -> None:
        self.stats.counts[f'refused_{reason}'] += 1
        answers.refuse(job, reason, self.state, ran)

    def _show_load(self) -> str:
        if self.behaviour.load is not None:
            return json.dumps(self.behaviour.load)
        return self._reports.show_load(
            len(self._slots.running),
            len(self._slots.queue),
            self.service.slots,
        )


def _resume(channel: wire.Channel) -> None:
    if not channel.transport.is_closing():
        channel.transport.resume_reading()
