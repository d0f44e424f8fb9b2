"""Test how other hosts are asked for assistance."""

import asyncio
import contextlib
import time

from fuchsiahaven.relay import assistants, traffic
from fuchsiahaven.routing import deployments, events
from tests.routing import router_rig

SOON_S = 1.0


def make_delegate(number: int, address: str) -> events.Delegate:
    """Make what is asked of a host, until soon."""
    now = time.monotonic()
    request = events.Request(
        'r', 'GET', '/search/', 'shop.example', (), b'', now, now + SOON_S
    )
    assist = events.DelegatedRequest(
        request, 'search', 0.1, 3, ('shard-a',), now + SOON_S
    )
    helper = deployments.Host(
        f'host-{number}', address, router_rig.HOST.data_centre
    )
    return events.Delegate(events.DelegationKey(1, number), helper, assist)


async def sweep_late() -> list[events.Event]:
    """Have a host forget what it was asked, and ask another one at that."""
    reported: list[events.Event] = []
    arrived = asyncio.Event()

    async def take(
        reader: asyncio.StreamReader, _: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        arrived.set()

    def report(event: events.Event) -> None:
        reported.append(event)
        owner.place(make_delegate(len(reported) + 1, '127.0.0.2:9'))

    async with contextlib.AsyncExitStack() as stack:
        server = await asyncio.start_server(take, '127.0.0.1', 0)
        stack.callback(server.close)
        owner = assistants.Assistants(
            report,
            time.monotonic,
            traffic.Traffic(),
            router_rig.HOST.data_centre,
        )
        stack.callback(owner.close)
        host, port = server.sockets[0].getsockname()
        owner.place(make_delegate(1, f'{host}:{port}'))
        await arrived.wait()
        owner.sweep(time.monotonic() + 1000)
        return list(reported)


def test_another_host_is_asked_as_soon_as_one_has_forgotten() -> None:
    """Symptom: a host that was never asked before ends the process.

    Hosts that are cut off from many others ask the next one while they go
    through those that they have asked.
    """
    (first,) = asyncio.run(sweep_late())
    assert isinstance(first, events.DelegationFailed)
