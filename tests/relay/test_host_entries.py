"""Test the retry delays of a host's entry in the store."""

from fuchsiahaven.relay import host_entries


def test_backs_off_while_the_store_refuses() -> None:
    """Guard against two calls a second from each host to a busy store.

    The store refuses a third of the hosts for nine seconds after it has revoked
    their leases. Each refused call is load on the store.
    """
    delays = [
        host_entries.compute_retry_delay(failures) for failures in range(20)
    ]
    assert delays[:4] == [0.5, 1, 2, 4]
    calls_in_nine_seconds = next(
        count for count in range(20) if sum(delays[:count]) >= 9
    )
    assert calls_in_nine_seconds <= 6
    # The entry is back soon after the store accepts the host again.
    assert max(delays) <= 4
