"""Write the log as JSON lines to standard output without blocking.

A separate thread writes the lines of a bounded queue. If the reader of the
output is stuck, lines are dropped and counted, and requests are not delayed.
"""

import json
import os
import queue
import sys
import threading
import time
from typing import Final

#: Lines in the queue; at 300 bytes each about 0.6 MB.
MAX_QUEUED_LINES: Final = 2000
#: Lines a second about successful requests. Failed requests have a limit of
#: their own of the same size, so that successes never crowd them out.
MAX_REQUEST_LINES_PER_S: Final = 100
#: How long the end of the process waits for the last lines.
FLUSH_TIMEOUT_S: Final = 0.3
#: How long lines are collected for one write.
BATCH_DELAY_S: Final = 0.2


class Journal:
    """Write the log of one process; `left_out` counts dropped lines."""

    def __init__(self, host: str, output: int | None = None) -> None:
        """Start the thread that writes to a file descriptor."""
        self.left_out = 0
        self._host = host
        self._output = sys.stdout.fileno() if output is None else output
        self._lines: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._second = 0
        self._line_counts = {True: 0, False: 0}
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def log_event(self, part: str, text: str, **fields: object) -> None:
        """Log an event of the process, without a rate limit."""
        self._enqueue(part, text, fields)

    def log_request(
        self, part: str, text: str, *, good: bool, **fields: object
    ) -> None:
        """Log an event of a request, within the limit of lines a second.

        `good` says that the request succeeded.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_counts = {True: 0, False: 0}
        if self._line_counts[good] >= MAX_REQUEST_LINES_PER_S:
            self.left_out += 1
            return
        self._line_counts[good] += 1
        self._enqueue(part, text, fields)

    def close(self) -> None:
        """Write the queued lines, for FLUSH_TIMEOUT_S at most."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(FLUSH_TIMEOUT_S)

    def _enqueue(self, part: str, text: str, fields: dict[str, object]) -> None:
        line = {
            'time': round(time.time(), 3),
            'up': round(time.monotonic(), 3),
            'host': self._host,
            'part': part,
            'text': text,
            **fields,
        }
        if self.left_out:
            line['left_out'] = self.left_out
        encoded = json.dumps(line, separators=(',', ':'), default=str)
        try:
            self._lines.put_nowait(f'{encoded}\n'.encode())
        except queue.Full:
            self.left_out += 1
        else:
            self.left_out = 0

    def _write_lines(self) -> None:
        ended = False
        while not ended:
            lines = [self._lines.get()]
            if lines[0] is not None:
                # One write for many lines, as each write is a system call.
                time.sleep(BATCH_DELAY_S)
            while not self._lines.empty():
                lines.append(self._lines.get())
            ended = None in lines
            self._write(b''.join(line for line in lines if line))

    def _write(self, data: bytes) -> None:
        while data:
            try:
                written = os.write(self._output, data)
            except OSError:
                # The reader is gone, so there is nowhere to report it.
                return
            data = data[written:]
