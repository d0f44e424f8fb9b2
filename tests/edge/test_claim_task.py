"""Test claims over real connections to the platform's stand-in."""

import asyncio
import contextlib
import queue
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from fuchsiahaven.core import request_ids
from fuchsiahaven.core.claims import claims
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import claim_owners, claim_stores, claim_task, store
from standins import platform as standin

GRANTED = messages.ClaimResult.GRANTED
EXPIRED = messages.ClaimResult.EXPIRED
HELD = messages.ClaimResult.HELD
UNAVAILABLE = messages.ClaimResult.UNAVAILABLE
ANSWER_TIMEOUT_S = 10.0


class ClaimSystem:
    """Own the platform's stand-in and the claims tasks of the hosts."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Serve the platform in a separate thread."""
        self.stack = stack
        self.platform = standin.Platform()
        self.tasks: dict[str, claim_task.Task] = {}
        self.loop = asyncio.new_event_loop()
        with socket.create_server(('127.0.0.1', 0)) as probe:
            self.port = probe.getsockname()[1]
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        stack.callback(self.loop.close)
        stack.callback(thread.join)
        stack.callback(self.loop.call_soon_threadsafe, self.loop.stop)
        serving = standin.serve(self.platform, [self.port])
        asyncio.run_coroutine_threadsafe(serving, self.loop).result()

    def control(self, **settings: Any) -> None:
        """Change the platform's faults or contents."""
        self.platform.control(settings)

    def open_store(self) -> store.Store:
        """Open a store with a short timeout."""
        limits = store.Limits(read_timeout_s=0.2)
        return store.Store(f'http://127.0.0.1:{self.port}', limits)

    def send_to_member(
        self, address: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Call the member of this name; 'lost-x' calls x, drops the answer."""
        loses_answer, _, name = address.rpartition('-')
        member = self.tasks.get(name)
        answer = member.handle_claims(body) if member else None
        return None if loses_answer else answer


class TrueDate:
    """Replace the platform's clock by the true time."""

    def __get__(self, owner: object, kind: type) -> float:
        """Return the true time."""
        return time.time()

    def __set__(self, owner: object, value: float | None) -> None:
        """Ignore the stand-in's time."""


class Host:
    """Hold a host's claims task and the events it posts to the loop."""

    def __init__(
        self,
        system: ClaimSystem,
        name: str = 'a',
        clocks: claim_stores.Clocks = claim_stores.CLOCKS,
    ) -> None:
        """Start the task."""
        self.settled: queue.SimpleQueue[messages.ClaimSettled]
        self.settled = queue.SimpleQueue()
        self.task = claim_task.Task(
            system.open_store, system.send_to_member, clocks
        )
        self.task.start(self.settled.put, system.stack)
        system.tasks[name] = self.task
        self._token = 0

    def submit(self, request_id: str) -> None:
        """Claim a request without waiting for the result."""
        self._token += 1
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        self.task.perform(messages.Claim(self._token, request_id, deadline))

    def claim(self, request_id: str) -> messages.ClaimSettled:
        """Claim a request and wait for the result."""
        self.submit(request_id)
        return self.settled.get(timeout=ANSWER_TIMEOUT_S)

    def claim_until(
        self, request_id: str, wanted: messages.ClaimResult = GRANTED
    ) -> messages.ClaimSettled:
        """Claim again until the claim is granted, or held and completed."""
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < deadline:
            settled = self.claim(request_id)
            if settled.result is wanted and settled.completed == (
                wanted is HELD
            ):
                return settled
        raise AssertionError(f'still {settled}')


@pytest.fixture
def system() -> Iterator[ClaimSystem]:
    """Run a platform; stop it and all tasks with the test."""
    with contextlib.ExitStack() as stack:
        yield ClaimSystem(stack)


def make_request_id(age_s: float = 0) -> str:
    """Make the request id of a caller."""
    return request_ids.make_request_id(time.time() - age_s, time.monotonic_ns())


def test_grants_one_id_once_across_hosts(system: ClaimSystem) -> None:
    """Grant one of several concurrent attempts for one id.

    Guards against a refund that runs twice: a caller sends it to two hosts
    at once, several times, and both read the key before either writes it.
    """
    hosts = [Host(system, 'a'), Host(system, 'b')]
    sent_ids = [make_request_id() for _ in range(20)]
    for request_id in sent_ids:
        for host in hosts:
            host.submit(request_id)
            host.submit(request_id)
    settled = [
        it.settled.get(timeout=ANSWER_TIMEOUT_S)
        for it in hosts
        for _ in range(40)
    ]
    granted = [it.request_id for it in settled if it.result is GRANTED]
    assert sorted(granted) == sorted(sent_ids)
    assert {it.result for it in settled} == {GRANTED, HELD}


def test_refuses_an_id_outside_its_window(system: ClaimSystem) -> None:
    host = Host(system)
    for age_s in (claims.MAX_ID_AGE_S + 1, -claims.MAX_ID_AHEAD_S - 1):
        assert host.claim(make_request_id(age_s)).result is EXPIRED
    assert not system.platform.calls


def test_reads_a_claim_back_after_a_lost_answer(system: ClaimSystem) -> None:
    """Grant a claim whose write took effect although its answer was lost.

    Guards against a refund that is refused because of its own claim: the
    connection breaks between the write and its answer, and the attempt does
    not recognize the claim it wrote.
    """
    host = Host(system)
    other = Host(system, 'b')
    for _ in range(8):
        request_id = make_request_id()
        system.control(lose_writes=1)
        assert host.claim(request_id).result is GRANTED
        assert other.claim(request_id).result is HELD
    assert system.platform.faults.lose_writes == 0


def test_refuses_at_once_while_the_platform_is_down(
    system: ClaimSystem,
) -> None:
    """Refuse as not run while the platform is down, then serve again.

    Guards against refunds that wait until their deadline or are reported as
    unknown: claims wait for a platform that has just failed, or its refusal
    is taken for a lost answer.
    """
    host = Host(system)
    system.control(down=True)
    request_id = make_request_id()
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert not refused.maybe_written
    calls = system.platform.calls.total()
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert system.platform.calls.total() == calls
    system.control(down=False)
    host.claim_until(request_id)


def test_reports_a_repeat_as_held_during_an_outage(system: ClaimSystem) -> None:
    """Report an id that ran as claimed, also while the platform is down.

    Guards against a refund that is sent under a new id and runs twice: its
    answer is lost on the way to the caller, the platform goes down, and the
    caller repeats the id. "Not run" would be true of the second attempt, but
    the caller would take it to be true of the refund.
    """
    host = Host(system)
    other = Host(system, 'b')
    other.task.update_members(claim_owners.MemberAddresses('b', {'a': 'a'}))
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    system.control(down=True)
    assert host.claim(request_id).result is HELD
    assert other.claim(request_id).result is HELD
    assert other.claim(make_request_id()).result is UNAVAILABLE


def test_reports_and_releases_a_claim_in_doubt(system: ClaimSystem) -> None:
    """Report that an id may be claimed, and release it once possible.

    Guards against a refund that never ran and stays "unknown" for ever: the
    write takes effect, its answer is lost, and the platform goes down before
    the key can be read back. The attempt is refused as not run, and its
    claim would never be released.
    """
    host = Host(system)
    host.claim(make_request_id())
    request_id = make_request_id()
    platform_call = system.platform.call

    def call(*args: Any, **kwargs: Any) -> standin.Reply:
        reply = platform_call(*args, **kwargs)
        if args[0] == 'PUT':
            system.control(down=True)
            return reply._replace(lost=True)
        return reply

    system.platform.call = call  # type: ignore[method-assign]
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert refused.maybe_written
    assert 'may stand' in refused.detail
    system.platform.call = platform_call  # type: ignore[method-assign]
    assert Host(system, 'b').claim(request_id).result is UNAVAILABLE
    system.control(down=False)
    # The first host waits before it calls a failed platform again.
    Host(system, 'c').claim_until(request_id)


def test_writes_an_outcome_after_an_outage(system: ClaimSystem) -> None:
    """Keep an outcome until a platform that is down can record it.

    Guards against an answered refund that is reported as unknown: the
    platform is down between the claim and the answer, and the failed write
    of the outcome is not retried.
    """
    host = Host(system)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    system.control(down=True)
    host.task.perform(messages.RecordOutcome(request_id, '{"rows": []}'))
    assert host.claim(make_request_id()).result is UNAVAILABLE
    system.control(down=False)
    settled = Host(system, 'b').claim_until(request_id, HELD)
    assert settled.outcome == '{"rows": []}'


def test_keeps_the_claim_of_a_killed_host(
    system: ClaimSystem,
) -> None:
    """Never grant an id again after its holder disappeared.

    Guards against a refund that runs twice: a host is killed, or paused past
    its deadline, between claim and send; the caller repeats the request at
    another host, and the first one resumes. A claim must outlive its holder.
    """
    request_id = make_request_id()
    granted = Host(system).claim(request_id)
    assert granted.result is GRANTED
    assert granted.not_after_epoch < time.time() + ANSWER_TIMEOUT_S
    clocks = claim_stores.Clocks(epoch=lambda: time.time() + 60)
    settled = Host(system, 'b', clocks).claim(request_id)
    assert settled.result is HELD
    assert settled.start_expired
    assert not settled.completed


def test_grants_a_released_id_again(system: ClaimSystem) -> None:
    host = Host(system)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    host.task.perform(messages.ReleaseClaim(request_id))
    assert host.claim(request_id).result is GRANTED


def test_refuses_ids_that_a_restored_platform_may_have_lost(
    system: ClaimSystem,
) -> None:
    """Refuse the ids of the seconds before the platform was restored.

    Guards against a refund that runs twice: the platform is restored from an
    older copy without its claim, the caller repeats the request, and the
    decreased revision goes unnoticed.
    """
    host = Host(system)
    host.claim(make_request_id())
    system.control(save=True)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    system.control(restore=True)
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert refused.detail.startswith(claim_stores.CLAIMS_LOST)
    assert host.claim(request_id).result is not GRANTED


def test_grants_nothing_at_a_host_with_a_wrong_clock(
    system: ClaimSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Refuse claims at a host whose clock is far behind.

    Guards against a refund that runs twice, an hour apart: the caller
    repeats it after an hour at a host whose clock is an hour behind. The id
    is in that host's window, but its key has expired.
    """
    late_clocks = claim_stores.Clocks(epoch=lambda: time.time() - 3600)
    host = Host(system, 'a', late_clocks)
    request_id = make_request_id(age_s=3600)
    assert Host(system, 'b').claim(request_id).result is EXPIRED
    monkeypatch.setattr(store.Store, 'date_epoch', TrueDate(), raising=False)
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert claim_stores.CLOCK_DIFFERS in refused.detail
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': 'b'}))
    assert host.claim(request_id).result is UNAVAILABLE


@pytest.mark.parametrize('address', ['b', 'lost-b', 'nobody'])
def test_claims_alone_where_the_owner_fails(
    system: ClaimSystem, address: str
) -> None:
    """Claim directly if the member that owns the bucket does not answer.

    Guards against refunds that are refused or run twice while a member is
    unreachable, or writes and its answer is lost. Correctness must not
    depend on who writes.
    """
    host = Host(system)
    Host(system, 'b')
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': address}))
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    assert host.claim(request_id).result is HELD
    host.task.perform(messages.RecordOutcome(request_id, '{}'))
    assert host.claim_until(request_id, HELD).outcome == '{}'


def test_claims_where_two_hosts_take_each_other_for_the_owner(
    system: ClaimSystem,
) -> None:
    """Write forwarded steps, whichever member seems to own the bucket.

    Guards against claims of one bucket that time out while all hosts are
    healthy: two hosts with different views of the members each take the
    other for the owner, and forwarded steps would be forwarded again.
    """
    host = Host(system, 'a')
    other = Host(system, 'b')
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': 'b'}))
    other.task.update_members(claim_owners.MemberAddresses('b', {'a': 'a'}))
    assert host.claim(make_request_id()).result is GRANTED


def test_refuses_a_batch_for_the_wrong_key(system: ClaimSystem) -> None:
    """Refuse steps whose ids belong to another key.

    Guards against a refund that runs twice during an upgrade: a member of
    another version computes keys differently, and its key is not checked.
    """
    host = Host(system)
    request_id = make_request_id()
    time_epoch = request_ids.parse_epoch(request_id)
    assert time_epoch is not None
    key = claims.make_key(request_id, time_epoch - claims.SLOT_S)
    body = (
        f'{{"key": "{key}", "steps": [{{"kind": "attempt", "nonce": "n",'
        f' "request_id": "{request_id}", "not_after_epoch": 1}}]}}'
    )
    assert host.task.handle_claims(body.encode()) is None
