"""Emulate one target: its port, connections, slots and holdings.

A target has slots and a short queue, and closes connections above its limit
without reading them. It counts how often each request ran, so that the
tier's reports can be checked against the actual runs.
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
WARMUP_S: Final = 5.0
COLD_SLOWDOWN: Final = 6.0


class Stats:
    """Count the events of the targets in one process."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.single_runs: collections.Counter[str] = collections.Counter()
        self.after_leaving_s: dict[str, float] = {}

    def record_run(self, search: wire.Json) -> None:
        """Count one run, and separately if it may run at most once."""
        request_id = search['request_id']
        self.counts['runs'] += 1
        self.runs[request_id] += 1
        if search.get('at_most_once'):
            self.single_runs[request_id] += 1

    def to_json(self) -> wire.Json:
        """Return all counts as a JSON object."""
        return {
            'counts': self.counts,
            'runs': self.runs,
            'single_runs': self.single_runs,
            'after_leaving_s': self.after_leaving_s,
        }


class StatusReports:
    """Build status reports, in which the state and load of a target lag."""

    def __init__(self) -> None:
        """Start live and idle."""
        self._started_at = time.time()
        self._sequence = 0
        self._old_state = 'live'
        self._changed_at = -REPORT_LAG_S
        self._load_text = ''
        self._measured_at = -REPORT_LAG_S

    def record_state_change(self, old_state: str) -> None:
        """Report the old state for REPORT_LAG_S; reset after a restart."""
        self._old_state = old_state
        self._changed_at = time.monotonic()
        if old_state == 'dead':
            self._started_at = time.time()
            self._sequence = 0

    def report_load(self, in_flight: int, queued: int, slots: int) -> str:
        """Return the load as JSON text, up to REPORT_LAG_S old."""
        now = time.monotonic()
        if now - self._measured_at >= REPORT_LAG_S:
            self._measured_at = now
            load = {'in_flight': in_flight, 'queued': queued, 'slots': slots}
            self._load_text = json.dumps(load)
        return self._load_text

    def report_health(
        self,
        name: str,
        state: str,
        load: str,
        holdings: list[snapshots.Holding],
    ) -> str:
        """Return the health report as JSON text."""
        self._sequence += 1
        is_lagging = time.monotonic() - self._changed_at < REPORT_LAG_S
        reported = self._old_state if is_lagging else state
        body = {
            'name': name,
            'state': reported,
            'started_epoch': self._started_at,
            'sequence': self._sequence,
            'load': json.loads(load),
            'holdings': [holding._asdict() for holding in holdings],
            'health_version': self.compute_version(reported, holdings),
        }
        return json.dumps(body)

    def compute_version(
        self, state: str, holdings: list[snapshots.Holding]
    ) -> int:
        """Compute a checksum of a report without its load."""
        return zlib.crc32(repr((self._started_at, state, holdings)).encode())


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
        self.holdings = {
            (holding.snapshot, holding.shard): holding for holding in holdings
        }
        self.stats = stats
        self.state = 'live'
        self._entered_at = 0.0
        self._reports = StatusReports()
        self._rng = random.Random(target.name)
        self._channels: set[wire.Channel] = set()
        self._slots = slots.Slots(
            service.slots, self._start_run, self._finish_run, self._refuse
        )
        self._frozen_requests: list[tuple[wire.Channel, wire.Request]] = []
        self._server: asyncio.Server | None = None
        self._last_body = ''

    async def start(self) -> None:
        """Listen."""
        port = int(self.target.address.rpartition(':')[2])
        self._server = await wire.listen(self, port)

    def stop(self) -> None:
        """Stop listening and abort every connection, as a crash would."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.transport.abort()
        self._slots.clear()

    async def enter_state(self, state: str) -> None:
        """Enter a state: live, cold, leaving or dead."""
        if state == self.state:
            return
        if state == 'dead':
            self.stop()
        elif self.state == 'dead':
            await self.start()
        self._reports.record_state_change(self.state)
        self._entered_at = time.monotonic()
        self.state = state

    def update_behaviour(self, changes: wire.Json) -> None:
        """Change the behaviour; unfreezing answers the requests held back."""
        self.behaviour = self.behaviour._replace(**changes)
        if not self.behaviour.frozen:
            requests = tuple(self._frozen_requests)
            self._frozen_requests.clear()
            for channel, request in requests:
                self.request_received(channel, request)

    def connection_opened(self, channel: wire.Channel) -> None:
        """Abort a connection above the limit; delay reading from others."""
        self.stats.counts['connections'] += 1
        if len(self._channels) >= self.service.connections:
            self.stats.counts['connections_refused'] += 1
            channel.transport.abort()
            return
        self._channels.add(channel)
        channel.transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.connect_ms / 1000, _resume, channel)

    def connection_closed(self, channel: wire.Channel) -> None:
        """Discard a connection; its requests keep running."""
        self._channels.discard(channel)

    def request_received(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        """Answer one request."""
        if self.behaviour.frozen:
            self._frozen_requests.append((channel, request))
            return
        match request.path:
            case '/v1/search':
                search = request.parse_body()
                deadline = time.monotonic() + search['deadline_ms'] / 1000
                self._handle_search(answers.Job(channel, search, deadline))
            case '/v1/cancel':
                self.stats.counts['cancels'] += 1
                self._slots.cancel(answers.get_key(request.parse_body()))
                channel.reply(204)
            case '/v1/health':
                self.stats.counts['health'] += 1
                holdings = list(self.holdings.values())
                load = self._report_load()
                text = self._reports.report_health(
                    self.target.name, self.state, load, holdings
                )
                channel.reply(200, text)
            case _:
                channel.reply(404, '{"error": "no such path"}')

    def _handle_search(self, job: answers.Job) -> None:
        self.stats.counts['received'] += 1
        if self.state == 'leaving':
            elapsed_s = time.monotonic() - self._entered_at
            self.stats.after_leaving_s[self.target.name] = elapsed_s
        if self.behaviour.drop == 'before' and answers.draws_fault(
            self.behaviour, self._rng
        ):
            job.channel.transport.abort()
            return
        reason = self._find_refusal_reason(job.search)
        if reason:
            self._refuse(job, reason)
        else:
            self._slots.add(job)

    def _find_refusal_reason(self, search: wire.Json) -> str:
        not_after = search.get('not_after_epoch') or math.inf
        is_held = (search['snapshot'], search['shard']) in self.holdings
        if self.behaviour.refuse:
            return self.behaviour.refuse
        if search['group'] != self.service.name or not is_held:
            return 'snapshot_gone'
        if search['deadline_ms'] <= 0 or time.time() > not_after:
            return 'deadline'
        busy = self.state == 'cold' and self._slots.running
        return 'cold' if busy else ''

    def _start_run(self, job: answers.Job) -> float:
        self.stats.record_run(job.search)
        service_s = answers.draw_service_time_s(self.behaviour, self._rng)
        if self.state != 'cold':
            return service_s
        elapsed_s = time.monotonic() - self._entered_at
        if elapsed_s >= WARMUP_S:
            self.state = 'live'
        return service_s * max(1.0, COLD_SLOWDOWN * (1 - elapsed_s / WARMUP_S))

    def _finish_run(self, job: answers.Job) -> None:
        self.stats.counts['finished'] += 1
        search = job.search
        holding = self.holdings.get((search['snapshot'], search['shard']))
        if holding is None:
            self._refuse(job, 'snapshot_gone', 'unknown')
        elif self.behaviour.drop == 'after' and answers.draws_fault(
            self.behaviour, self._rng
        ):
            job.channel.transport.abort()
        else:
            holdings = list(self.holdings.values())
            version = self._reports.compute_version(self.state, holdings)
            report = answers.Report(self.state, version, self._report_load())
            self._send_answer(job, answers.build_body(job, holding, report))

    def _send_answer(self, job: answers.Job, body: str) -> None:
        if self.behaviour.spoil and answers.draws_fault(
            self.behaviour, self._rng
        ):
            answers.reply_spoiled(
                self.behaviour.spoil, job, body, self._last_body
            )
        elif self.behaviour.trickle_ms:
            data = wire.encode_response(200, body)
            pause_s = self.behaviour.trickle_ms / 1000
            answers.trickle(job.channel, data, pause_s)
        else:
            job.channel.reply(200, body)
        self._last_body = body

    def _refuse(self, job: answers.Job, reason: str, ran: str = 'no') -> None:
        self.stats.counts[f'refused_{reason}'] += 1
        answers.refuse(job, reason, self.state, ran)

    def _report_load(self) -> str:
        if self.behaviour.load is not None:
            return json.dumps(self.behaviour.load)
        return self._reports.report_load(
            len(self._slots.running),
            len(self._slots.queue),
            self.service.slots,
        )


def _resume(channel: wire.Channel) -> None:
    if not channel.transport.is_closing():
        channel.transport.resume_reading()
