"""Test that a request that ends its targets stops reaching them.

Seen: targets ended by the dozen at nine moments of a day; under one request
three had ended, and it was sent on, 121 ended in all, while callers of the same
shards were refused. How it came about: each target that begins to run the
request ends; a query runs at a target of each shard at once, the host sent each
part that broke to a second target, and the caller's repeat began anew, at this
host or another.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import pytest

from fuchsiahaven.relay import process
from tests.relay import peers, worlds

#: What a request that ends its targets asks for.
DEADLY: Final = b'death'
#: Sendings that are allowed once a request has ended three targets.
MOST_AFTER: Final = 3
#: For how long callers go on asking, in seconds, and how often.
ASKED_S: Final = 3.0
PAUSE_S: Final = 0.1
REPLICAS: Final = 2


class Target:
    """Own a target that ends with its connections when it runs DEADLY."""

    def __init__(self, name: str, service: str) -> None:
        """Prepare without listening."""
        self.name = name
        self.service = service
        self.ended = False
        self.runs = 0
        self.deadly = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, peers.LOOPBACK, 0
        )
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def end(self) -> None:
        """End as a process does."""
        self.ended = True
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.ended:
                await self._run(reader, writer)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(peers.END_OF_HEAD)
        self.runs += 1
        # Work takes a while, so that other requests are under way beside it.
        await asyncio.sleep(0.01)
        if DEADLY in head.split(b'\r\n')[0]:
            self.deadly += 1
            self.end()
            return
        body = self.service[-1].encode() * 16
        writer.write(peers.write_answer(peers.find_id(head), body))


class Field:
    """Own hosts, and targets that are replaced when they have ended."""

    def __init__(self, world: worlds.World) -> None:
        """Start without targets."""
        self.world = world
        self.targets: list[Target] = []
        self._last = 0

    async def add(self, service: str) -> None:
        """Start a target and enter it."""
        self._last += 1
        target = Target(f'n-{self._last}', service)
        self.targets.append(target)
        address = await target.listen()
        self.world.store.put_target(target.name, service, address)

    async def replace_ended(self) -> None:
        """Start another target for each that has ended and is entered."""
        ended = [
            it
            for it in self.targets
            if it.ended and f'servers/{it.name}' in self.world.store.items
        ]
        for target in ended:
            self.world.store.remove(f'servers/{target.name}')
        await asyncio.gather(*[self.add(it.service) for it in ended])

    def count_runs(self) -> int:
        """Count the requests that targets have begun to run so far."""
        return sum(target.runs for target in self.targets)

    def count_deadly(self) -> int:
        """Count the requests that ended a target, each where it ran."""
        return sum(target.deadly for target in self.targets)

    def count_ended(self) -> int:
        """Count the targets that have ended so far."""
        return sum(target.ended for target in self.targets)

    async def ask(self, host: process.Process, path: str) -> tuple[int, str]:
        """Ask a host; return the status and the head of the answer."""
        status, head, _ = await worlds.fetch(host.settings.caller_address, path)
        return status, head

    async def ask_all(self, path: str) -> list[tuple[int, str]]:
        """Ask all hosts in turn, and replace what has ended."""
        told = await asyncio.gather(
            *[self.ask(host, path) for host in self.world.hosts]
        )
        await self.replace_ended()
        await asyncio.sleep(PAUSE_S)
        return told

    async def ask_for(self, seconds: float, path: str) -> list[tuple[int, str]]:
        """Ask all hosts for so long, with pauses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        told = []
        while loop.time() < until:
            told.extend(await self.ask_all(path))
        return told

    async def ask_until_ended(self, count: int, path: str) -> None:
        """Ask until so many targets have ended."""
        while self.count_ended() < count:
            await self.ask_all(path)


@contextlib.asynccontextmanager
async def make(hosts: int = 3) -> AsyncIterator[Field]:
    """Make hosts that know two targets of each service."""
    async with worlds.make() as world:
        field = Field(world)
        for given in world.targets:
            world.store.remove(f'servers/{given}')
        services = (*worlds.SHARDS, 'records') * REPLICAS
        await asyncio.gather(*[field.add(service) for service in services])
        names = [f'host-{number}' for number in range(hosts)]
        await asyncio.gather(*[world.add_host(name) for name in names])
        await peers.wait_for(
            lambda: all(len(it.desk.hosts) == hosts - 1 for it in world.hosts)
        )
        yield field
        for target in field.targets:
            target.end()


def list_promises(told: list[tuple[int, str]]) -> list[str]:
    """List the heads of refusals that say that nothing has run."""
    return [head for status, head in told if status == 503]


@pytest.mark.parametrize('path', ['/search/death', '/one/death'])
def test_stops_sending_what_ends_its_targets(path: str) -> None:
    """A query over shards, and a request for one target.

    Callers repeat it under new ids at all hosts, and targets come back. Their
    ends were no coincidence: nothing else ends a target here.
    """

    async def check() -> None:
        async with make() as field:
            await field.ask_until_ended(3, path)
            ended = field.count_ended()
            ran = field.count_deadly()
            told = await field.ask_for(ASKED_S, path)
            assert field.count_ended() - ended <= MOST_AFTER
            # Whatever ran nowhere is refused with a promise, and only that.
            refused = list_promises(told)
            assert len(told) - len(refused) <= field.count_deadly() - ran
            assert all('retry-after' in head for head in refused)

    peers.run(check())


def test_serves_others_beside_what_ends_its_targets() -> None:
    """Symptom: callers of the same shards are refused for seconds.

    Their requests run beside it, and each is sent to another target.
    """

    async def check() -> None:
        async with make() as field:
            await field.ask(field.world.hosts[0], '/search/1')
            await field.ask(field.world.hosts[0], '/search/death')
            # The second target of nearly each shard lives.
            status, _ = await field.ask(field.world.hosts[1], '/search/1')
            assert status == 200

    peers.run(check())


def ask_often(field: Field, path: str) -> asyncio.Future[list[tuple[int, str]]]:
    """Ask all hosts for the same at once, twice each."""
    return asyncio.gather(
        *[field.ask(host, path) for host in field.world.hosts * 2]
    )


def test_serves_what_was_under_way_when_a_rack_died() -> None:
    """Symptom: what many callers ask for is refused because a rack died.

    Targets of all shards end at one moment, under the same query of several
    callers at all hosts. It is repeated, and served whenever it is asked again.
    """

    async def check() -> None:
        async with make() as field:
            told = await field.ask_all('/search/popular')
            before = field.count_runs()
            waiting = ask_often(field, '/search/popular')
            await peers.wait_for(lambda: field.count_runs() > before + 5)
            for target in field.targets[: len(worlds.SHARDS)]:
                target.end()
            told += await waiting
            told += await field.ask_all('/search/popular')
            assert {status for status, _ in told} == {200}

    peers.run(check())
