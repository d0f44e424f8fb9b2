"""Test that the log is bounded and that nothing waits for it."""

import json
import os

from fuchsiahaven.relay import journal


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Read what was written so far."""
    data = os.read(descriptor, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_writes_lines_with_their_fields() -> None:
    """A line is one JSON object that says who tells it."""
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
    """Symptom: a host stops serving because its log is stuck.

    The pipe is full and nobody reads: the thread that writes waits, lines
    beyond what may wait are left out and counted, and no call takes long.
    """
    reader, writer = os.pipe()
    log = journal.Journal('host-1', writer)
    left_out = 0
    for number in range(3 * journal.MAX_QUEUED_LINES):
        log.log_event('process', 'x' * 200, number=number)
        # The first batch is taken meanwhile, and the next line tells of them.
        left_out = max(left_out, log.left_out)
    assert left_out > 0
    log.close()
    os.close(reader)


def test_limits_successes_and_failures_apart() -> None:
    """In one second there may be as many lines of either kind."""
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
