"""Test how a host keeps its entry in the store."""

from fuchsiahaven.relay import entries


def test_tries_less_often_while_the_store_turns_it_away() -> None:
    """Symptom: a store that is busy gets two calls a second from each host.

    It turns a third of the hosts away for nine seconds and has revoked their
    leases. What each of them calls in vain is a load on the store.
    """
    pauses = [entries.count_pause(failures) for failures in range(20)]
    assert pauses[:4] == [0.5, 1, 2, 4]
    calls_in_nine_seconds = next(
        count for count in range(20) if sum(pauses[:count]) >= 9
    )
    assert calls_in_nine_seconds <= 6
    # It is back among the hosts soon after the store serves it again.
    assert max(pauses) <= 4
