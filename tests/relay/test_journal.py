"""Test that the log is bounded and never blocks."""

import json
import os

from fuchsiahaven.relay import journal


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Read the lines written so far."""
    data = os.read(descriptor, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_writes_lines_with_their_fields() -> None:
    """A line is one JSON object with the host, part, text and fields."""
    reader, writer = os.pipe()
    log = journal.Journal('host-1', writer)
    log.log_event('process', 'started', version=3)
    log.close()
    (line,) = read_lines(reader)
    assert line['host'] == 'host-1'
    assert (line['part'], line['text'], line['version']) == (
        'process',
        'started',
        3,
    )


def test_drops_lines_while_the_pipe_is_full() -> None:
    """Guard against a host that stops serving because its log is stuck.

    The pipe is full and has no reader: the writing thread blocks, lines beyond
    the queue's limit are dropped and counted, and no call blocks.
    """
    reader, writer = os.pipe()
    log = journal.Journal('host-1', writer)
    left_out = 0
    for number in range(3 * journal.MAX_QUEUED_LINES):
        log.log_event('process', 'x' * 200, number=number)
        # The thread takes the first batch meanwhile; the next line then reports
        # and resets the count.
        left_out = max(left_out, log.left_out)
    assert left_out > 0
    log.close()
    os.close(reader)


def test_limits_successes_and_failures_apart() -> None:
    """Successes and failures have separate limits of lines a second."""
    reader, writer = os.pipe()
    log = journal.Journal('host-1', writer)
    for number in range(3 * journal.MAX_REQUEST_LINES_PER_S):
        log.log_request('request', 'ended', good=True, number=number)
    log.log_request('request', 'failed', good=False)
    log.close()
    lines = read_lines(reader)
    assert lines[-1]['text'] == 'failed'
    assert len(lines) <= 2 * journal.MAX_REQUEST_LINES_PER_S + 1
    assert lines[-1]['left_out']
