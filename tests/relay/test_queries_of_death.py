"""Test that a request that crashes its targets stops reaching them.

The failure: targets crashed by the dozen at nine moments of a day. One request
had crashed three targets and was still sent on; 121 targets crashed in all,
while callers of the same shards were refused. The cause: each target that
starts to run the request crashes. A query runs at a target of each shard at
once, the host retried each broken part at a second target, and the caller's
retry started again at this host or another.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import pytest

from fuchsiahaven.relay import process
from tests.relay import clusters, servers

#: Part of the path of a request that crashes its targets.
DEADLY_PATH: Final = b'death'
#: Crashes that are allowed after a request has crashed three targets.
MAX_LATE_EXITS: Final = 3
#: How long callers go on sending the request, and how often.
LOAD_S: Final = 3.0
ROUND_INTERVAL_S: Final = 0.1
REPLICAS: Final = 2


class Target:
    """Run a target that exits when it gets a request for DEADLY_PATH."""

    def __init__(self, name: str, service: str) -> None:
        """Start without listening."""
        self.name = name
        self.service = service
        self.has_exited = False
        self.run_count = 0
        self.deadly_count = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, servers.LOOPBACK, 0
        )
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def exit(self) -> None:
        """Close the port and reset the connections, as an exit does."""
        self.has_exited = True
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.has_exited:
                await self._run(reader, writer)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(servers.HEAD_END)
        self.run_count += 1
        # Work takes a while, so that other requests are in flight beside it.
        await asyncio.sleep(0.01)
        if DEADLY_PATH in head.split(b'\r\n')[0]:
            self.deadly_count += 1
            self.exit()
            return
        body = self.service[-1].encode() * 16
        writer.write(
            servers.encode_response(servers.find_request_id(head), body)
        )


class CrashCluster:
    """Hold hosts, and targets that are replaced after an exit."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        """Start without targets."""
        self.cluster = cluster
        self.targets: list[Target] = []
        self._last_number = 0

    async def add(self, service: str) -> None:
        """Start a target and write its entry."""
        self._last_number += 1
        target = Target(f'n-{self._last_number}', service)
        self.targets.append(target)
        address = await target.listen()
        self.cluster.store.put_target(target.name, service, address)

    async def replace_exited(self) -> None:
        """Replace each target that has exited and still has an entry."""
        exited = [
            it
            for it in self.targets
            if it.has_exited
            and f'servers/{it.name}' in self.cluster.store.items
        ]
        for target in exited:
            self.cluster.store.remove(f'servers/{target.name}')
        await asyncio.gather(*[self.add(it.service) for it in exited])

    def count_runs(self) -> int:
        """Count the requests that targets have started so far."""
        return sum(target.run_count for target in self.targets)

    def count_deadly(self) -> int:
        """Count the requests that made a target exit."""
        return sum(target.deadly_count for target in self.targets)

    def count_exited(self) -> int:
        """Count the targets that have exited so far."""
        return sum(target.has_exited for target in self.targets)

    async def fetch(self, host: process.Process, path: str) -> tuple[int, str]:
        """Send a request to a host; return the status and the head."""
        status, head, _ = await clusters.fetch(
            host.settings.caller_address, path
        )
        return status, head

    async def fetch_from_all(self, path: str) -> list[tuple[int, str]]:
        """Send a request to all hosts at once, and replace exited targets."""
        answers = await asyncio.gather(
            *[self.fetch(host, path) for host in self.cluster.hosts]
        )
        await self.replace_exited()
        await asyncio.sleep(ROUND_INTERVAL_S)
        return answers

    async def fetch_for(
        self, seconds: float, path: str
    ) -> list[tuple[int, str]]:
        """Send a request to all hosts repeatedly for a time in seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        answers = []
        while loop.time() < until:
            answers.extend(await self.fetch_from_all(path))
        return answers

    async def fetch_until_exited(self, count: int, path: str) -> None:
        """Send a request repeatedly until `count` targets have exited."""
        while self.count_exited() < count:
            await self.fetch_from_all(path)


@contextlib.asynccontextmanager
async def make_cluster(hosts: int = 3) -> AsyncIterator[CrashCluster]:
    """Run hosts with two targets of each service."""
    async with clusters.make() as cluster:
        field = CrashCluster(cluster)
        for target_name in cluster.targets:
            cluster.store.remove(f'servers/{target_name}')
        services = (*clusters.SHARDS, 'records') * REPLICAS
        await asyncio.gather(*[field.add(service) for service in services])
        names = [f'host-{number}' for number in range(hosts)]
        await asyncio.gather(*[cluster.add_host(name) for name in names])
        await servers.wait_for(
            lambda: all(
                len(it.router.hosts) == hosts - 1 for it in cluster.hosts
            )
        )
        yield field
        for target in field.targets:
            target.exit()


def list_refusals(answers: list[tuple[int, str]]) -> list[str]:
    """List the heads of refusals, which promise that nothing has run."""
    return [head for status, head in answers if status == 503]


@pytest.mark.parametrize('path', ['/search/death', '/one/death'])
def test_stops_sending_a_deadly_request(path: str) -> None:
    """Test a query over shards, and a request to one target.

    Callers retry it under new ids at all hosts, and exited targets are
    replaced. Nothing but the request makes a target exit here.
    """

    async def check() -> None:
        async with make_cluster() as field:
            await field.fetch_until_exited(3, path)
            exited = field.count_exited()
            ran = field.count_deadly()
            answers = await field.fetch_for(LOAD_S, path)
            assert field.count_exited() - exited <= MAX_LATE_EXITS
            # Only requests that ran nowhere are refused as not run.
            refused = list_refusals(answers)
            assert len(answers) - len(refused) <= field.count_deadly() - ran
            assert all('retry-after' in head for head in refused)

    servers.run(check())


def test_serves_requests_beside_a_deadly_one() -> None:
    """Guard against refusals for seconds to callers of the same shards.

    Their requests are in flight beside the deadly one, and are retried at
    another target.
    """

    async def check() -> None:
        async with make_cluster() as field:
            await field.fetch(field.cluster.hosts[0], '/search/1')
            await field.fetch(field.cluster.hosts[0], '/search/death')
            # Nearly every shard has a second target that is running.
            status, _ = await field.fetch(field.cluster.hosts[1], '/search/1')
            assert status == 200

    servers.run(check())


def fetch_twice_from_all(
    field: CrashCluster, path: str
) -> asyncio.Future[list[tuple[int, str]]]:
    """Send a request twice to all hosts at once."""
    return asyncio.gather(
        *[field.fetch(host, path) for host in field.cluster.hosts * 2]
    )


def test_serves_a_popular_query_after_a_rack_fails() -> None:
    """Guard against a popular query that is refused after a rack fails.

    Targets of all shards exit at one moment while several callers at all hosts
    have the same query in flight. The query is retried, and served when it is
    sent again.
    """

    async def check() -> None:
        async with make_cluster() as field:
            answers = await field.fetch_from_all('/search/popular')
            before = field.count_runs()
            waiting = fetch_twice_from_all(field, '/search/popular')
            await servers.wait_for(lambda: field.count_runs() > before + 5)
            for target in field.targets[: len(clusters.SHARDS)]:
                target.exit()
            answers += await waiting
            answers += await field.fetch_from_all('/search/popular')
            assert {status for status, _ in answers} == {200}

    servers.run(check())
