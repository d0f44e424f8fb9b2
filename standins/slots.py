"""Run jobs in the slots of one target, with a short queue."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from standins import answers

MAX_QUEUED_JOBS: Final = 4


class Running(NamedTuple):
    """Hold a job in a slot and the timer that finishes it."""

    job: answers.Job
    timer: asyncio.TimerHandle


class RefuseJob(Protocol):
    """Describe the callback that refuses a job; `ran` says if it started."""

    def __call__(self, job: answers.Job, reason: str, ran: str = 'no') -> None:
        """Refuse the job."""


class Slots:
    """Own the running and queued jobs."""

    def __init__(
        self,
        size: int,
        start: Callable[[answers.Job], float],
        finish: Callable[[answers.Job], None],
        refuse: RefuseJob,
    ) -> None:
        """Start empty; `start` returns the run time of a job in seconds."""
        self.running: dict[answers.JobKey, Running] = {}
        self.queue: collections.deque[answers.Job] = collections.deque()
        self._size = size
        self._start = start
        self._finish = finish
        self._refuse = refuse

    def add(self, job: answers.Job) -> None:
        """Run a job, queue it, or shed it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED_JOBS:
            self._refuse(job, 'shed')
            return
        self.queue.append(job)
        self._start_queued()

    def cancel(self, key: answers.JobKey) -> None:
        """Refuse a queued or running job at once."""
        for queued in tuple(self.queue):
            if queued.key == key:
                self.queue.remove(queued)
                self._refuse(queued, 'cancelled')
        running = self.running.pop(key, None)
        if running is not None:
            running.timer.cancel()
            self._refuse(running.job, 'cancelled', 'unknown')
            self._start_queued()

    def clear(self) -> None:
        """Discard every job without an answer, as a crash would."""
        for running in self.running.values():
            running.timer.cancel()
        self.running.clear()
        self.queue.clear()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self._size:
            job = self.queue.popleft()
            if time.monotonic() > job.deadline:
                self._refuse(job, 'deadline')
                continue
            service_s = self._start(job)
            loop = asyncio.get_running_loop()
            timer = loop.call_later(service_s, self._finish_job, job)
            self.running[job.key] = Running(job, timer)

    def _finish_job(self, job: answers.Job) -> None:
        self.running.pop(job.key, None)
        self._finish(job)
        self._start_queued()
