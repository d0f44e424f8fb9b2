"""Run blocking calls in threads of their own, beside the task that asks."""

import queue
import threading
from collections.abc import Callable

Job = Callable[[], None]


class WorkerPool:
    """Own threads that run jobs in the order in which they are asked for.

    The threads never keep a process alive: a call that waits for an answer
    ends with the process, and nothing is lost by it.
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
        """Run a job as soon as a thread is free."""
        self._jobs.put(job)

    def close(self) -> None:
        """Let each thread end after the job that it runs."""
        for _ in range(self._thread_count):
            self._jobs.put(None)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()
