"""Run blocking calls in separate threads."""

import queue
import threading
from collections.abc import Callable

Job = Callable[[], None]


class WorkerPool:
    """Own threads that run jobs in the order of submission.

    The threads are daemons: a call that still waits for an answer ends with
    the process, and nothing is lost by it.
    """

    def __init__(self, name: str, count: int) -> None:
        """Start the threads."""
        self._jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self._thread_count = count
        for index in range(count):
            threading.Thread(
                target=self._run, name=f'{name}-{index}', daemon=True
            ).start()

    def submit(self, job: Job) -> None:
        """Queue a job, to run as soon as a thread is free."""
        self._jobs.put(job)

    def close(self) -> None:
        """Stop each thread after the queued jobs."""
        for _ in range(self._thread_count):
            self._jobs.put(None)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()
