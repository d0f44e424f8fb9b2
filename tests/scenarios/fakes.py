"""Emulate targets whose answers can be checked against their holdings.

Each group has the same listings at fixed positions, in every snapshot and for
any number of shards. A row names its snapshot and the id of the request.
"""

import collections
import functools
import json
import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages, snapshots
from fuchsiahaven.edge import frames
from tests.core import networks

LISTING_POSITIONS: Final = range(2048, 65_536, 4096)
SERVICE_TIME_S: Final = 0.005
MAX_QUEUED_JOBS: Final = 4
TRUNCATED_ANSWER: Final = frames.Frame(200, b'{', closes=True)

Answer = Callable[[frames.Frame], None]


class Job(NamedTuple):
    """Hold one decoded sub-request and the callback for its answer."""

    search: dict[str, Any]
    deadline: float
    answer: Answer

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the key by which the protocol identifies an attempt."""
        search = self.search
        return search['request_id'], search['shard'], search['attempt']


class Run(NamedTuple):
    """Record that a request was run, and when."""

    request_id: str
    started_at: float


class Target:
    """Own the holdings, jobs and reports of one searcher."""

    def __init__(
        self,
        config: configurations.Target,
        group: configurations.Group,
        clock: networks.Network,
    ) -> None:
        """Start live, without a snapshot."""
        self.config = config
        self.holdings: dict[tuple[int, int], snapshots.Holding] = {}
        self.slowdown = 1.0
        self.frozen = False
        self.crosses_answers = False
        self.drops_answers = False
        self.reports_load = True
        self.report_lag_s = 0.0
        self.left_at = math.inf
        self.back_at = math.inf
        self.runs: list[Run] = []
        self.received_at: list[float] = []
        self.extra_attempts = 0
        self.states = [(clock.now, messages.TargetState.LIVE)]
        self._group = group
        self._clock = clock
        self._started_at = clock.now
        self._sequence = 0
        self._running: dict[tuple[str, int, int], Job] = {}
        self._queue: collections.deque[Job] = collections.deque()
        self._frozen_events: list[Callable[[], None]] = []
        self._last_body: dict[str, Any] | None = None

    @property
    def state(self) -> messages.TargetState:
        """Return the current state, which reports show late."""
        return self.states[-1][1]

    def enter_state(self, state: messages.TargetState) -> None:
        """Enter a state."""
        self.states.append((self._clock.now, state))

    def add_shard(self, snapshot: int, shard: int, shards: int) -> None:
        """Add the holding of one shard of a snapshot."""
        low = shard * 65_536 // shards
        high = (shard + 1) * 65_536 // shards
        self.holdings[snapshot, shard] = snapshots.Holding(
            snapshot, shard, shards, low, high
        )

    def drop_snapshot(self, snapshot: int) -> None:
        """Drop a snapshot, even if jobs are running on it."""
        self.holdings = {
            key: holding
            for key, holding in self.holdings.items()
            if holding.snapshot != snapshot
        }

    def restart(self) -> None:
        """Restart as a new process without jobs."""
        self._started_at = self._clock.now
        self._sequence = 0
        self._running.clear()
        self._queue.clear()
        self.states = [(self._clock.now, messages.TargetState.LIVE)]

    def thaw(self) -> None:
        """Unfreeze, and handle the requests and finished jobs held back."""
        self.frozen = False
        events = tuple(self._frozen_events)
        self._frozen_events.clear()
        for handle in events:
            handle()

    def handle_search(self, request: bytes, answer: Answer) -> None:
        """Run, queue or refuse an encoded sub-request."""
        if self.frozen:
            self._frozen_events.append(
                functools.partial(self.handle_search, request, answer)
            )
            return
        search = json.loads(request.partition(b'\r\n\r\n')[2])
        deadline = self._clock.now + search['deadline_ms'] / 1000
        job = Job(search, deadline, answer)
        self.received_at.append(self._clock.now)
        self.extra_attempts += search['attempt'] > 1
        reason = self._find_refusal_reason(search)
        if reason:
            self._refuse(job, reason)
            return
        self._queue.append(job)
        self._start_queued()

    def cancel(self, key: tuple[str, int, int]) -> None:
        """Refuse a queued or running job at once."""
        if self.frozen:
            self._frozen_events.append(functools.partial(self.cancel, key))
            return
        for queued in tuple(self._queue):
            if queued.key == key:
                self._queue.remove(queued)
                self._refuse(queued, 'cancelled')
        running = self._running.pop(key, None)
        if running is not None:
            self._refuse(running, 'cancelled', 'unknown')
            self._start_queued()

    def report_health(self) -> frames.Frame:
        """Return the health report, with the state of `report_lag_s` ago."""
        self._sequence += 1
        as_of = self._clock.now - self.report_lag_s
        visible = [state for since, state in self.states if since <= as_of]
        return _encode_frame(
            {
                'name': self.config.name,
                'state': visible[-1] if visible else self.states[0][1],
                'started_epoch': self._started_at,
                'sequence': self._sequence,
                'load': self._report_load(),
                'holdings': [
                    holding._asdict() for holding in self.holdings.values()
                ],
            }
        )

    def _find_refusal_reason(self, search: dict[str, Any]) -> str:
        not_after = search['not_after_epoch']
        if not_after is not None and self._clock.now > not_after:
            return 'deadline'
        if self.state is messages.TargetState.LEAVING:
            return 'leaving'
        if (search['snapshot'], search['shard']) not in self.holdings:
            return 'snapshot_gone'
        return 'shed' if len(self._queue) >= MAX_QUEUED_JOBS else ''

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._group.slots:
            job = self._queue.popleft()
            if self._clock.now > job.deadline:
                self._refuse(job, 'deadline')
                continue
            self._running[job.key] = job
            self.runs.append(Run(job.search['request_id'], self._clock.now))
            finish = functools.partial(self._finish_job, job)
            self._clock.call_later(SERVICE_TIME_S * self.slowdown, finish)

    def _finish_job(self, job: Job) -> None:
        if self.frozen:
            self._frozen_events.append(functools.partial(self._finish_job, job))
            return
        if self._running.pop(job.key, None) is None:
            return
        key = job.search['snapshot'], job.search['shard']
        holding = self.holdings.get(key)
        if holding is None:
            self._refuse(job, 'snapshot_gone', 'unknown')
        else:
            body = self._build_answer(job.search, holding)
            sent = self._last_body if self.crosses_answers else body
            self._last_body = body
            # A connection that breaks midway delivers a truncated answer.
            job.answer(
                TRUNCATED_ANSWER
                if self.drops_answers
                else _encode_frame(sent or body)
            )
        self._start_queued()

    def _build_answer(
        self, search: dict[str, Any], holding: snapshots.Holding
    ) -> dict[str, Any]:
        rows = [
            {
                'id': f'{self._group.name}-{position}',
                'rank': position,
                'group': self._group.name,
                'snapshot': holding.snapshot,
                'asked_by': search['request_id'],
            }
            for position in LISTING_POSITIONS
            if holding.low <= position < holding.high
        ]
        echoed = ('request_id', 'group', 'shard', 'snapshot', 'attempt')
        return {
            **{name: search[name] for name in echoed},
            'rows': rows,
            'state': self.state,
            'load': self._report_load(),
        }

    def _refuse(self, job: Job, reason: str, ran: str = 'no') -> None:
        body = {
            'request_id': job.search['request_id'],
            'attempt': job.search['attempt'],
            'reason': reason,
            'ran': ran,
            'state': self.state,
            'retry_after_ms': 50,
        }
        job.answer(_encode_frame(body, 503))

    def _report_load(self) -> dict[str, int]:
        reported = self.reports_load
        return {
            'in_flight': len(self._running) * reported,
            'queued': len(self._queue) * reported,
            'slots': self._group.slots,
        }


def _encode_frame(body: dict[str, Any], status: int = 200) -> frames.Frame:
    return frames.Frame(status, json.dumps(body).encode(), closes=False)
