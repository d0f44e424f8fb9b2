"""Test the emulated platform without sockets."""

import json

import pytest

from standins import platform

KEY = '/v1/keys/a/b'


class Clock:
    """Hold a time that the test sets."""

    def __init__(self) -> None:
        """Start at 0 s."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Make a clock."""
    return Clock()


@pytest.fixture
def store(clock: Clock) -> platform.Platform:
    """Make an empty platform."""
    return platform.Platform(clock)


def write_key(
    store: platform.Platform, value: str, revision: int, lease: str = ''
) -> platform.Reply:
    """Write the key under test."""
    body = {'value': value, 'revision': revision, 'lease': lease or None}
    return store.call('PUT', KEY, body=body)


def read_key(store: platform.Platform) -> str | None:
    """Return the value of the key under test, None if absent."""
    reply = store.call('GET', KEY)
    return reply.body['value'] if reply.status == 200 and reply.body else None


def test_write_from_stale_revision_conflicts(store: platform.Platform) -> None:
    first = write_key(store, 'one', 0)
    assert first.body == {'revision': 1}
    assert write_key(store, 'two', 0) == platform.Reply(409, {'revision': 1})
    assert write_key(store, 'two', 1).body == {'revision': 2}
    assert read_key(store) == 'two'


def test_lost_answer_took_effect(store: platform.Platform) -> None:
    """The answer to a write is lost, but the write takes effect."""
    store.control({'lose_writes': 1})
    assert write_key(store, 'one', 0).lost
    assert read_key(store) == 'one'
    assert not write_key(store, 'two', 1).lost


def test_key_goes_with_its_lease(
    store: platform.Platform, clock: Clock
) -> None:
    """A client that pauses until its lease has ended finds its key removed."""
    granted = store.call('POST', '/v1/leases', body={'ttl_s': 5}).body or {}
    keep = f'/v1/leases/{granted["lease"]}'
    write_key(store, 'mine', 0, granted['lease'])
    clock.now = 4.0
    assert store.call('POST', keep).status == 200
    clock.now = 8.9
    assert read_key(store) == 'mine'
    clock.now = 9.1
    assert read_key(store) is None
    assert store.call('POST', keep).status == 404


def test_restored_copy_has_older_revisions(store: platform.Platform) -> None:
    """A platform restored from an older copy assigns its revisions again."""
    write_key(store, 'old', 0)
    store.control({'save': True})
    write_key(store, 'new', 1)
    store.control({'restore': True})
    assert read_key(store) == 'old'
    assert write_key(store, 'other', 1).body == {'revision': 2}


def test_rates_are_limited_and_calls_counted(
    store: platform.Platform, clock: Clock
) -> None:
    replies = [write_key(store, 'x', 99).status for _ in range(401)]
    assert replies.count(429) == 1
    clock.now = 1.0
    assert write_key(store, 'x', 0).status == 200
    assert store.calls == {'writes': 402, 'limited': 1}


def test_host_list_lags(store: platform.Platform, clock: Clock) -> None:
    clock.now = 10.0
    store.control({'hosts_lag_s': 4.0, 'hosts': [{'name': 'new'}]})
    early = store.call('GET', '/v1/hosts').body
    clock.now = 14.0
    late = store.call('GET', '/v1/hosts').body
    assert early == {'hosts': [], 'age_s': 4.0}
    assert late == {'hosts': [{'name': 'new'}], 'age_s': 4.0}


def test_watch_answers_above_a_revision(store: platform.Platform) -> None:
    write_key(store, json.dumps({}), 0)
    path = '/v1/watch/a/b'
    assert store.call('GET', path, {'above': '0'}).status == 200
    assert store.call('GET', path, {'above': '1'}).status == 204
