"""Test how a command sends a request to a host."""

from fuchsiahaven.operate import host_client


def test_connect_timeout_does_not_bound_the_answer() -> None:
    """Guard against giving up a query with a deadline of 5 s after 2 s.

    The first argument of urllib3.Timeout is the total time. The timeout for
    connecting must not be passed there.
    """
    timeout = host_client.build_timeout(30.0)
    assert timeout.total == 30.0
    assert timeout.connect_timeout == host_client.CONNECT_TIMEOUT_S
