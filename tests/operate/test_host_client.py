"""Test how a command asks a host."""

from fuchsiahaven.operate import host_client


def test_connect_timeout_does_not_bound_the_answer() -> None:
    """Bound the connecting alone by the short limit.

    Symptom: a report with a deadline of 5 s is given up after 2 s.
    Sequence: the command asks; the host takes its time, as it may.
    Cause: the first argument of the library's limit is the total time, and
    it was given the limit on connecting.
    """
    timeout = host_client.build_timeout(30.0)
    assert timeout.total == 30.0
    assert timeout.connect_timeout == host_client.CONNECT_TIMEOUT_S
