"""Stand in for targets whose answers can be checked against what they hold.

Each group has the same listings at fixed positions, in every snapshot and in
any number of shards; a row says of which snapshot it is and who asked.
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

LISTINGS: Final = range(2048, 65_536, 4096)
SERVICE_S: Final = 0.005
QUEUE: Final = 4
CUT: Final = frames.Frame(200, b'{', closes=True)

Answer = Callable[[frames.Frame], None]


class Job(NamedTuple):
    """Hold one sub-request, as its bytes say, and where its answer goes."""

    order: dict[str, Any]
    deadline: float
    answer: Answer

    @property
    def name(self) -> tuple[str, int, int]:
        """Tell attempts apart as the protocol does."""
        order = self.order
        return order['request_id'], order['shard'], order['attempt']


class Run(NamedTuple):
    """Remember that a request was run, and when."""

    request_id: str
    at: float


class Target:
    """Own what one searcher holds, runs and says of itself."""

    def __init__(
        self,
        config: configurations.Target,
        group: configurations.Group,
        clock: networks.Network,
    ) -> None:
        """Start live, holding nothing."""
        self.config = config
        self.holdings: dict[tuple[int, int], snapshots.Holding] = {}
        self.factor = 1.0
        self.frozen = False
        self.crossed = False
        self.drops = False
        self.shows_load = True
        self.report_lag_s = 0.0
        self.left_at = math.inf
        self.back_at = math.inf
        self.runs: list[Run] = []
        self.received: list[float] = []
        self.repeats = 0
        self.states = [(clock.now, messages.TargetState.LIVE)]
        self._group = group
        self._clock = clock
        self._started = clock.now
        self._sequence = 0
        self._running: dict[tuple[str, int, int], Job] = {}
        self._queue: collections.deque[Job] = collections.deque()
        self._held: list[Callable[[], None]] = []
        self._last_body: dict[str, Any] | None = None

    @property
    def state(self) -> messages.TargetState:
        """Say how it truly is now."""
        return self.states[-1][1]

    def enter(self, state: messages.TargetState) -> None:
        """Change the state, which reports show late."""
        self.states.append((self._clock.now, state))

    def hold(self, snapshot: int, shard: int, shards: int) -> None:
        """Add one shard of a snapshot."""
        low = shard * 65_536 // shards
        high = (shard + 1) * 65_536 // shards
        self.holdings[snapshot, shard] = snapshots.Holding(
            snapshot, shard, shards, low, high
        )

    def drop(self, snapshot: int) -> None:
        """Drop a snapshot, also from under what runs on it."""
        self.holdings = {
            key: held
            for key, held in self.holdings.items()
            if held.snapshot != snapshot
        }

    def restart(self) -> None:
        """Start anew as another process that has run nothing."""
        self._started = self._clock.now
        self._sequence = 0
        self._running.clear()
        self._queue.clear()
        self.states = [(self._clock.now, messages.TargetState.LIVE)]

    def thaw(self) -> None:
        """Go on with what has come, and what has ended, meanwhile."""
        self.frozen = False
        held = tuple(self._held)
        self._held.clear()
        for act in held:
            act()

    def take(self, request: bytes, answer: Answer) -> None:
        """Take a sub-request as bytes: run it, queue it or refuse it."""
        if self.frozen:
            self._held.append(functools.partial(self.take, request, answer))
            return
        order = json.loads(request.partition(b'\r\n\r\n')[2])
        deadline = self._clock.now + order['deadline_ms'] / 1000
        job = Job(order, deadline, answer)
        self.received.append(self._clock.now)
        self.repeats += order['attempt'] > 1
        reason = self._find_refusal(order)
        if reason:
            self._refuse(job, reason)
            return
        self._queue.append(job)
        self._fill()

    def cancel(self, name: tuple[str, int, int]) -> None:
        """Refuse a job at once, whether it waits or runs."""
        if self.frozen:
            self._held.append(functools.partial(self.cancel, name))
            return
        for waiting in tuple(self._queue):
            if waiting.name == name:
                self._queue.remove(waiting)
                self._refuse(waiting, 'cancelled')
        running = self._running.pop(name, None)
        if running is not None:
            self._refuse(running, 'cancelled', 'unknown')
            self._fill()

    def report(self) -> frames.Frame:
        """Tell its health as it was a while ago."""
        self._sequence += 1
        seen = self._clock.now - self.report_lag_s
        shown = [told for since, told in self.states if since <= seen]
        return _frame(
            {
                'name': self.config.name,
                'state': shown[-1] if shown else self.states[0][1],
                'started_epoch': self._started,
                'sequence': self._sequence,
                'load': self._tell_load(),
                'holdings': [held._asdict() for held in self.holdings.values()],
            }
        )

    def _find_refusal(self, order: dict[str, Any]) -> str:
        not_after = order['not_after_epoch']
        if not_after is not None and self._clock.now > not_after:
            return 'deadline'
        if self.state is messages.TargetState.LEAVING:
            return 'leaving'
        if (order['snapshot'], order['shard']) not in self.holdings:
            return 'snapshot_gone'
        return 'shed' if len(self._queue) >= QUEUE else ''

    def _fill(self) -> None:
        while self._queue and len(self._running) < self._group.slots:
            job = self._queue.popleft()
            if self._clock.now > job.deadline:
                self._refuse(job, 'deadline')
                continue
            self._running[job.name] = job
            self.runs.append(Run(job.order['request_id'], self._clock.now))
            end = functools.partial(self._end, job)
            self._clock.call_later(SERVICE_S * self.factor, end)

    def _end(self, job: Job) -> None:
        if self.frozen:
            self._held.append(functools.partial(self._end, job))
            return
        if self._running.pop(job.name, None) is None:
            return
        key = job.order['snapshot'], job.order['shard']
        held = self.holdings.get(key)
        if held is None:
            self._refuse(job, 'snapshot_gone', 'unknown')
        else:
            body = self._write_answer(job.order, held)
            told = self._last_body if self.crossed else body
            self._last_body = body
            # A connection that breaks in the middle leaves no whole answer.
            job.answer(CUT if self.drops else _frame(told or body))
        self._fill()

    def _write_answer(
        self, order: dict[str, Any], held: snapshots.Holding
    ) -> dict[str, Any]:
        rows = [
            {
                'id': f'{self._group.name}-{position}',
                'rank': position,
                'group': self._group.name,
                'snapshot': held.snapshot,
                'asked_by': order['request_id'],
            }
            for position in LISTINGS
            if held.low <= position < held.high
        ]
        named = ('request_id', 'group', 'shard', 'snapshot', 'attempt')
        return {
            **{name: order[name] for name in named},
            'rows': rows,
            'state': self.state,
            'load': self._tell_load(),
        }

    def _refuse(self, job: Job, reason: str, ran: str = 'no') -> None:
        body = {
            'request_id': job.order['request_id'],
            'attempt': job.order['attempt'],
            'reason': reason,
            'ran': ran,
            'state': self.state,
            'retry_after_ms': 50,
        }
        job.answer(_frame(body, 503))

    def _tell_load(self) -> dict[str, int]:
        shown = self.shows_load
        return {
            'in_flight': len(self._running) * shown,
            'queued': len(self._queue) * shown,
            'slots': self._group.slots,
        }


def _frame(body: dict[str, Any], status: int = 200) -> frames.Frame:
    return frames.Frame(status, json.dumps(body).encode(), closes=False)
