"""Test how a command asks a host."""

from fuchsiahaven.operate import exchanges


def test_long_answer_is_waited_for() -> None:
    """Bound the connecting alone by the short limit.

    Symptom: a report with a deadline of 5 s is given up after 2 s.
    Sequence: the command asks; the host takes its time, as it may.
    Cause: the first argument of the library's limit is the total time, and
    it was given the limit on connecting.
    """
    limit = exchanges.limit_time(30.0)
    assert limit.total == 30.0
    assert limit.connect_timeout == exchanges.CONNECT_TIMEOUT_S
