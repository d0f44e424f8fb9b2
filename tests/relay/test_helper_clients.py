"""Test the delegation of requests to helper hosts."""

import asyncio
import contextlib
import time

from fuchsiahaven.relay import helper_clients, traffic
from fuchsiahaven.routing import deployments, events
from tests.routing import router_rig

DEADLINE_S = 1.0


def make_delegate(number: int, address: str) -> events.Delegate:
    """Make a delegation to a host with a near deadline."""
    now = time.monotonic()
    request = events.Request(
        'r', 'GET', '/search/', 'shop.example', (), b'', now, now + DEADLINE_S
    )
    delegated = events.DelegatedRequest(
        request, 'search', 0.1, 3, ('shard-a',), now + DEADLINE_S
    )
    helper = deployments.Host(
        f'host-{number}', address, router_rig.HOST.data_centre
    )
    return events.Delegate(events.DelegationKey(1, number), helper, delegated)


async def expire_delegation() -> list[events.Event]:
    """Let a delegation expire, and delegate to another host in its event."""
    posted: list[events.Event] = []
    arrived = asyncio.Event()

    async def take(
        reader: asyncio.StreamReader, _: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        arrived.set()

    def post_event(event: events.Event) -> None:
        posted.append(event)
        clients.send(make_delegate(len(posted) + 1, '127.0.0.2:9'))

    async with contextlib.AsyncExitStack() as stack:
        server = await asyncio.start_server(take, '127.0.0.1', 0)
        stack.callback(server.close)
        clients = helper_clients.HelperClients(
            post_event,
            time.monotonic,
            traffic.TrafficCounts(),
            router_rig.HOST.data_centre,
        )
        stack.callback(clients.close)
        host, port = server.sockets[0].getsockname()
        clients.send(make_delegate(1, f'{host}:{port}'))
        await arrived.wait()
        clients.expire(time.monotonic() + 1000)
        return list(posted)


def test_delegates_anew_while_expiring() -> None:
    """Guard against a crash when a new client is added during expiry.

    A host that is cut off from many others delegates to the next one from the
    event of an expired delegation, while it iterates over its clients.
    """
    (first,) = asyncio.run(expire_delegation())
    assert isinstance(first, events.DelegationFailed)
