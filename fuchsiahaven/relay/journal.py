"""Write the log: JSON lines on standard output, bounded, never waited for.

A thread of its own writes. Where whoever reads the output is stuck, lines are
left out and counted, and requests go on.
"""

import json
import os
import queue
import sys
import threading
import time
from typing import Final

#: Lines that may wait to be written; at 300 bytes each about 0.6 MB.
MAX_QUEUED_LINES: Final = 2000
#: Lines a second that tell of requests that went as planned. Failures have
#: as many again, so that success never crowds them out.
MAX_REQUEST_LINES_PER_S: Final = 100
#: How long the end of the process waits for the last lines, in seconds.
FLUSH_TIMEOUT_S: Final = 0.3
#: How long lines are gathered before they are written, in seconds.
BATCH_DELAY_S: Final = 0.2


class Journal:
    """Own the log of one process."""

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
        """Write a line about the process, however many there are."""
        self._enqueue(part, text, fields)

    def log_request(
        self, part: str, text: str, *, good: bool, **fields: object
    ) -> None:
        """Write a line about a request, unless this second has had many."""
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
        """Write what waits, but not for long."""
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
                # One write for many lines: each costs a system call.
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
                # Nobody reads: there is nowhere to tell it.
                return
            data = data[written:]
