"""Test claims over real connections against the platform's stand-in."""

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
from fuchsiahaven.edge import claim_owners, claim_stores, store
from fuchsiahaven.edge import claim_task as claim_tasks
from standins import platform as standin

GRANTED = messages.ClaimResult.GRANTED
EXPIRED = messages.ClaimResult.EXPIRED
HELD = messages.ClaimResult.HELD
UNAVAILABLE = messages.ClaimResult.UNAVAILABLE
ANSWER_TIMEOUT_S = 10.0


class ClaimSystem:
    """Own the platform's stand-in and the hosts' claims tasks."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Serve the platform from a thread of its own."""
        self.stack = stack
        self.platform = standin.Platform()
        self.tasks: dict[str, claim_tasks.Task] = {}
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
        """Open a store that gives a silent platform up soon."""
        limits = store.Limits(read_timeout_s=0.2)
        return store.Store(f'http://127.0.0.1:{self.port}', limits)

    def send_to_member(
        self, address: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Reach a member by its name; 'lost-x' does it and loses the word."""
        loses_answer, _, name = address.rpartition('-')
        member = self.tasks.get(name)
        answer = member.handle_claims(body) if member else None
        return None if loses_answer else answer


class TrueDate:
    """Stand for a platform that tells the time in every answer."""

    def __get__(self, owner: object, kind: type) -> float:
        """Give the true time."""
        return time.time()

    def __set__(self, owner: object, value: float | None) -> None:
        """Ignore what the stand-in told."""


class Host:
    """Hold one host's claims task and what it tells the loop."""

    def __init__(
        self,
        world: ClaimSystem,
        name: str = 'a',
        clocks: claim_stores.Clocks = claim_stores.CLOCKS,
    ) -> None:
        """Start the task."""
        self.settled: queue.SimpleQueue[messages.ClaimSettled]
        self.settled = queue.SimpleQueue()
        self.task = claim_tasks.Task(
            world.open_store, world.send_to_member, clocks
        )
        self.task.start(self.settled.put, world.stack)
        world.tasks[name] = self.task
        self._token = 0

    def submit(self, request_id: str) -> None:
        """Ask for the right to run a request."""
        self._token += 1
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        self.task.perform(messages.Claim(self._token, request_id, deadline))

    def claim(self, request_id: str) -> messages.ClaimSettled:
        """Ask and wait for the answer."""
        self.submit(request_id)
        return self.settled.get(timeout=ANSWER_TIMEOUT_S)

    def claim_until(
        self, request_id: str, wanted: messages.ClaimResult = GRANTED
    ) -> messages.ClaimSettled:
        """Ask again until the claim is granted, or is held and done."""
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < deadline:
            settled = self.claim(request_id)
            if settled.result is wanted and settled.completed == (
                wanted is HELD
            ):
                return settled
        raise AssertionError(f'still {settled}')


@pytest.fixture
def world() -> Iterator[ClaimSystem]:
    """Run a platform; end it and all tasks with the test."""
    with contextlib.ExitStack() as stack:
        yield ClaimSystem(stack)


def make_request_id(age_s: float = 0) -> str:
    """Mint an id of a caller."""
    return request_ids.make_request_id(time.time() - age_s, time.monotonic_ns())


def test_grants_one_id_once_across_hosts(world: ClaimSystem) -> None:
    """Grant one of many attempts that race for one id.

    Symptom: a refund runs twice. Sequence: an impatient caller sends it to
    two hosts at the same moment, several times. Cause: both read the key
    before either has written it.
    """
    hosts = [Host(world, 'a'), Host(world, 'b')]
    request_ids_sent = [make_request_id() for _ in range(20)]
    for request_id in request_ids_sent:
        for host in hosts:
            host.submit(request_id)
            host.submit(request_id)
    settled = [
        it.settled.get(timeout=ANSWER_TIMEOUT_S)
        for it in hosts
        for _ in range(40)
    ]
    granted = [it.request_id for it in settled if it.result is GRANTED]
    assert sorted(granted) == sorted(request_ids_sent)
    assert {it.result for it in settled} == {GRANTED, HELD}


def test_refuses_an_id_outside_its_window(world: ClaimSystem) -> None:
    host = Host(world)
    for age_s in (claims.MAX_ID_AGE_S + 1, -claims.MAX_ID_AHEAD_S - 1):
        assert host.claim(make_request_id(age_s)).result is EXPIRED
    assert not world.platform.calls


def test_reads_a_claim_back_after_a_lost_answer(world: ClaimSystem) -> None:
    """Grant a claim whose write took effect though its answer was lost.

    Symptom: a refund is refused, and refused again with its own claim.
    Sequence: the write takes effect; the connection breaks before the
    answer. Cause: the attempt does not know its own claim again.
    """
    host = Host(world)
    other = Host(world, 'b')
    for _ in range(8):
        request_id = make_request_id()
        world.control(lose_writes=1)
        assert host.claim(request_id).result is GRANTED
        assert other.claim(request_id).result is HELD
    assert world.platform.faults.lose_writes == 0


def test_refuses_at_once_while_the_platform_is_down(world: ClaimSystem) -> None:
    """Refuse truthfully while the platform is down, then serve again.

    Symptom: refunds hang to their deadline, or are told as unknown.
    Sequence: the platform is down before a claim is made, and comes back.
    Cause: claims wait for a platform that has just failed, or a refusal is
    taken for a lost answer.
    """
    host = Host(world)
    world.control(down=True)
    request_id = make_request_id()
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert not refused.maybe_written
    calls = world.platform.calls.total()
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert world.platform.calls.total() == calls
    world.control(down=False)
    host.claim_until(request_id)


def test_reports_a_repeat_as_held_during_an_outage(world: ClaimSystem) -> None:
    """Say of an id that ran that it was claimed, platform or not.

    Symptom: a refund is sent with a new id and lands twice. Sequence: its
    answer gets lost on the way to the caller; the platform goes down; the
    caller asks again with the same id. Cause: "not run" is true of the
    second attempt and is understood of the refund.
    """
    host = Host(world)
    other = Host(world, 'b')
    other.task.update_members(claim_owners.MemberAddresses('b', {'a': 'a'}))
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    world.control(down=True)
    assert host.claim(request_id).result is HELD
    assert other.claim(request_id).result is HELD
    assert other.claim(make_request_id()).result is UNAVAILABLE


def test_reports_and_releases_a_claim_in_doubt(world: ClaimSystem) -> None:
    """Say that a claim may stand, and free its id once that can be done.

    Symptom: a refund that never ran answers "unknown" for ever. Sequence:
    the write takes effect, its answer is lost, and the platform goes down
    before it can be read back. Cause: the attempt is refused as not run and
    nobody gives its claim back.
    """
    host = Host(world)
    host.claim(make_request_id())
    request_id = make_request_id()
    platform_call = world.platform.call

    def call(*args: Any, **kwargs: Any) -> standin.Reply:
        reply = platform_call(*args, **kwargs)
        if args[0] == 'PUT':
            world.control(down=True)
            return reply._replace(lost=True)
        return reply

    world.platform.call = call  # type: ignore[method-assign]
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert refused.maybe_written
    assert 'may stand' in refused.detail
    world.platform.call = platform_call  # type: ignore[method-assign]
    assert Host(world, 'b').claim(request_id).result is UNAVAILABLE
    world.control(down=False)
    # The first host waits a little before it asks a failed platform again.
    Host(world, 'c').claim_until(request_id)


def test_writes_an_outcome_after_an_outage(world: ClaimSystem) -> None:
    """Keep an outcome for a platform that is down when it is recorded.

    Symptom: a refund that was answered is told as unknown. Sequence: the
    platform goes down between the claim and the answer, and comes back.
    Cause: a failed write of an outcome is not made again.
    """
    host = Host(world)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    world.control(down=True)
    host.task.perform(messages.RecordOutcome(request_id, '{"rows": []}'))
    assert host.claim(make_request_id()).result is UNAVAILABLE
    world.control(down=False)
    settled = Host(world, 'b').claim_until(request_id, HELD)
    assert settled.outcome == '{"rows": []}'


def test_keeps_the_claim_of_a_killed_host(
    world: ClaimSystem,
) -> None:
    """Never run a claim again whose holder has vanished.

    Symptom: a refund runs twice. Sequence: a host is killed, or paused past
    its deadline, between claim and send; the caller asks another host; the
    first one wakes. Cause: a claim that ends with its holder.
    """
    request_id = make_request_id()
    granted = Host(world).claim(request_id)
    assert granted.result is GRANTED
    assert granted.not_after_epoch < time.time() + ANSWER_TIMEOUT_S
    clocks = claim_stores.Clocks(epoch=lambda: time.time() + 60)
    settled = Host(world, 'b', clocks).claim(request_id)
    assert settled.result is HELD
    assert settled.start_expired
    assert not settled.completed


def test_grants_a_released_id_again(world: ClaimSystem) -> None:
    host = Host(world)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    host.task.perform(messages.ReleaseClaim(request_id))
    assert host.claim(request_id).result is GRANTED


def test_refuses_ids_that_a_restored_platform_may_have_lost(
    world: ClaimSystem,
) -> None:
    """Refuse the ids of the seconds before the platform went back.

    Symptom: a refund runs twice. Sequence: the platform is put back to an
    older copy and has forgotten a claim; the caller asks again. Cause:
    revisions that fall are not noticed.
    """
    host = Host(world)
    host.claim(make_request_id())
    world.control(save=True)
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    world.control(restore=True)
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert refused.detail.startswith(claim_stores.CLAIMS_LOST)
    assert host.claim(request_id).result is not GRANTED


def test_grants_nothing_at_a_host_with_a_wrong_clock(
    world: ClaimSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Refuse claims at a host whose clock is far behind.

    Symptom: a refund runs twice, an hour apart. Sequence: the caller asks
    again after an hour, and the clock of the host that it reaches is an
    hour behind. Cause: the id is in that host's window, its key has gone.
    """
    late_clocks = claim_stores.Clocks(epoch=lambda: time.time() - 3600)
    host = Host(world, 'a', late_clocks)
    request_id = make_request_id(age_s=3600)
    assert Host(world, 'b').claim(request_id).result is EXPIRED
    monkeypatch.setattr(store.Store, 'date_epoch', TrueDate(), raising=False)
    refused = host.claim(request_id)
    assert refused.result is UNAVAILABLE
    assert claim_stores.CLOCK_DIFFERS in refused.detail
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': 'b'}))
    assert host.claim(request_id).result is UNAVAILABLE


@pytest.mark.parametrize('address', ['b', 'lost-b', 'nobody'])
def test_claims_alone_where_the_owner_fails(
    world: ClaimSystem, address: str
) -> None:
    """Claim alone where the member that writes for us cannot be asked.

    Symptom: refunds are refused, or run twice, while a member is away.
    Sequence: the member cannot be reached, or writes and its answer is
    lost. Cause: correctness that rests on who writes.
    """
    host = Host(world)
    Host(world, 'b')
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': address}))
    request_id = make_request_id()
    assert host.claim(request_id).result is GRANTED
    assert host.claim(request_id).result is HELD
    host.task.perform(messages.RecordOutcome(request_id, '{}'))
    assert host.claim_until(request_id, HELD).outcome == '{}'


def test_claims_where_two_hosts_take_each_other_for_the_owner(
    world: ClaimSystem,
) -> None:
    """Write what a member hands on, whoever seems to be the writer.

    Symptom: claims of one bucket time out while all hosts are well.
    Sequence: two views of the members differ, and each of two hosts takes
    the other for the writer. Cause: what was handed on is handed on again.
    """
    host = Host(world, 'a')
    other = Host(world, 'b')
    host.task.update_members(claim_owners.MemberAddresses('a', {'b': 'b'}))
    other.task.update_members(claim_owners.MemberAddresses('b', {'a': 'a'}))
    assert host.claim(make_request_id()).result is GRANTED


def test_refuses_a_batch_for_the_wrong_key(world: ClaimSystem) -> None:
    """Refuse steps whose ids belong under another key.

    Symptom: a refund runs twice during an upgrade. Sequence: a member that
    computes keys in another way sends its batch. Cause: the key was taken
    on trust.
    """
    host = Host(world)
    request_id = make_request_id()
    time_epoch = request_ids.parse_epoch(request_id)
    assert time_epoch is not None
    key = claims.make_key(request_id, time_epoch - claims.SLOT_S)
    body = (
        f'{{"key": "{key}", "steps": [{{"kind": "attempt", "nonce": "n",'
        f' "request_id": "{request_id}", "not_after_epoch": 1}}]}}'
    )
    assert host.task.handle_claims(body.encode()) is None
