"""Test which connections are kept when the targets change."""

import asyncio
import time

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import target_pools, traffic
from fuchsiahaven.routing import deployments, events, instances, states
from tests.relay import servers

HOST = deployments.Host('host-1', '10.0.0.1:7000', 'north')
FIELDS = (('host', 'shop.example'),)
EXTRA_LOAD = deployments.ExtraLoadLimit(0.2, 40.0, 10.0)


async def never_respond(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Leave a request without a response."""


def make_attempt(target: instances.Instance, number: int) -> events.SendAttempt:
    """Make an attempt with a deadline in half a minute."""
    now = time.monotonic()
    request = events.Request(
        f'id-{number}',
        'GET',
        '/a/1',
        'shop.example',
        FIELDS,
        b'',
        now,
        now + 30,
    )
    key = events.AttemptKey(number, 'records', 1)
    return events.SendAttempt(
        key, target, request, now + 30, fresh_connection=False
    )


def test_returns_queued_attempts_on_evacuation() -> None:
    """Guard against a request that reaches a target long after its evacuation.

    Two requests are sent to a target with one connection. The second one is
    queued when the target is evacuated; the first one may finish there.
    """

    async def check() -> list[events.Event]:
        recorded: list[events.Event] = []
        async with servers.listen(never_respond) as server:
            target = server.as_instance()
            router = states.Router(HOST, EXTRA_LOAD, float)
            router.directory = instances.build_directory([target])
            all_pools = target_pools.TargetPools(
                router, recorded.append, time.monotonic, traffic.TrafficCounts()
            )
            all_pools.send(make_attempt(target, 1))
            await servers.wait_for(lambda: bool(server.request_heads))
            all_pools.send(make_attempt(target, 2))
            router.directory = instances.build_directory([target], {'north'})
            all_pools.prune()
            # Closing the pools would post the same event.
            posted_before_close = list(recorded)
            all_pools.close()
        return posted_before_close

    queued = events.AttemptKey(2, 'records', 1)
    posted = asyncio.run(check())
    assert posted[1:] == [events.AttemptUnsent(queued, unreachable=False)]


def test_fails_attempts_at_a_restarted_target() -> None:
    """Guard against a request that waits for a dead process until its deadline.

    A target restarts under its id behind a network partition that resets no
    connection. Its new entry shows that the earlier process has ended, so the
    outcome of attempts sent to it is unknown.
    """

    async def check() -> list[events.Event]:
        recorded: list[events.Event] = []
        async with servers.listen(never_respond) as server:
            first = server.as_instance()
            router = states.Router(HOST, EXTRA_LOAD, float)
            router.directory = instances.build_directory([first])
            all_pools = target_pools.TargetPools(
                router, recorded.append, time.monotonic, traffic.TrafficCounts()
            )
            all_pools.send(make_attempt(first, 1))
            await servers.wait_for(lambda: bool(server.request_heads))
            second = first._replace(
                name=instances.make_start_name(first.id, 2), born=2
            )
            router.directory = instances.build_directory([second])
            all_pools.prune()
            # Closing the pools would post the same event.
            posted_before_close = list(recorded)
            all_pools.close()
        return posted_before_close

    posted = asyncio.run(check())
    fault = messages.Fault.CONNECTION_LOST
    assert (
        events.AttemptBroken(events.AttemptKey(1, 'records', 1), fault)
        in posted
    )
