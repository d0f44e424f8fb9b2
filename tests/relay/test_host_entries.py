"""Test how a host keeps its entry in the store."""

from fuchsiahaven.relay import host_entries


def test_backs_off_while_the_store_refuses() -> None:
    """Symptom: a store that is busy gets two calls a second from each host.

    It turns a third of the hosts away for nine seconds and has revoked their
    leases. What each of them calls in vain is a load on the store.
    """
    delays = [
        host_entries.compute_retry_delay(failures) for failures in range(20)
    ]
    assert delays[:4] == [0.5, 1, 2, 4]
    calls_in_nine_seconds = next(
        count for count in range(20) if sum(delays[:count]) >= 9
    )
    assert calls_in_nine_seconds <= 6
    # It is back among the hosts soon after the store serves it again.
    assert max(delays) <= 4
