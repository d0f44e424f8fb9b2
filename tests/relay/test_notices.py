"""Test how hosts learn of requests that end their targets."""

import asyncio
import json
import time

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.relay import notices, process
from fuchsiahaven.routing import events
from tests.relay import peers, worlds

ONE = request_identities.identify('shop', b'one')
KEY = f'fuchsiahaven/quarantines/{ONE.digest}'


def count_crashes(host: process.Process) -> int:
    """Count the moments that speak against ONE at a host."""
    news = host.desk.suspects.make_report(ONE, 0)
    return 0 if news is None else news.crashes


def find_out(host: process.Process, crashes: int) -> None:
    """Have a host find out that ONE ends its targets."""
    news = suspects.News(ONE, 0, crashes, suspects.MIN_QUARANTINE_S)
    host.runner.post(events.SuspectsReported((news,)))
    host.told.notices.tell(news)


def test_tells_every_host_of_a_small_fleet_at_once() -> None:
    """Symptom: the caller's repeat ends the targets of the next host."""

    async def check() -> None:
        async with worlds.make() as world:
            names = [f'host-{number}' for number in range(3)]
            await asyncio.gather(*[world.add_host(name) for name in names])
            await peers.wait_for(
                lambda: all(len(it.desk.hosts) == 2 for it in world.hosts)
            )
            world.store.down = True
            find_out(world.hosts[0], 1)
            await peers.wait_for(
                lambda: all(count_crashes(it) for it in world.hosts)
            )

    peers.run(check())


def test_a_host_that_starts_learns_of_it_from_another() -> None:
    """Symptom: each host that starts ends one target of each shard anew."""

    async def check() -> None:
        async with worlds.make() as world:
            first = await world.add_host('host-0')
            find_out(first, 1)
            second = await world.add_host('host-1')
            await peers.wait_for(lambda: count_crashes(second) == 1)

    peers.run(check())


def test_a_quarantine_outlives_all_hosts() -> None:
    """Symptom: after all hosts lost power the request ends targets again."""

    async def check() -> None:
        async with worlds.make() as world:
            first = await world.add_host('host-0')
            find_out(first, suspects.MIN_QUARANTINE_CRASHES)
            await peers.wait_for(lambda: KEY in world.store.items)
            world.hosts.clear()
            other = await world.add_host('host-1')
            await peers.wait_for(
                lambda: count_crashes(other) == suspects.MIN_QUARANTINE_CRASHES
            )
            wait = other.desk.suspects.compute_wait(ONE, time.monotonic())
            assert 0 < wait <= suspects.MIN_QUARANTINE_S

    peers.run(check())


def test_another_host_enters_what_its_finder_could_not() -> None:
    """The store turns the finder away and serves the others."""

    async def check() -> None:
        async with worlds.make() as world:
            first = await world.add_host('host-0')
            await world.add_host('host-1')
            await peers.wait_for(lambda: first.desk.hosts)
            first.news.writer.store.address = '127.0.0.1:1'
            find_out(first, suspects.MIN_QUARANTINE_CRASHES)
            await peers.wait_for(lambda: KEY in world.store.items)

    peers.run(check())


def test_refuses_a_notice_that_cannot_be_read() -> None:
    """Whoever sends nonsense is told so, and nothing is held back."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-0')
            address, _, port = host.settings.host.address.rpartition(':')
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(
                f'POST {notices.PATH} HTTP/1.1\r\nHost: a\r\n'
                'Connection: close\r\nContent-Length: 2\r\n\r\n[]'.encode()
            )
            answer = await reader.read()
            writer.close()
            assert b' 400 ' in answer.split(b'\r\n')[0]
            assert not host.desk.suspects.list_reports(0)

    peers.run(check())


def test_tells_people_what_is_quarantined() -> None:
    """An operator sees it without reading the log."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-0')
            find_out(host, suspects.MIN_QUARANTINE_CRASHES)
            asked = host.settings.host.address
            _, _, body = await worlds.fetch(asked, '/v1/state')
            (told,) = json.loads(body)['quarantined']
            assert told['digest'] == ONE.digest

    peers.run(check())


def test_reaches_a_large_fleet_in_few_hops() -> None:
    """Each host tells a few others."""
    assert notices.count_hops(notices.FAN_OUT) == 0
    hops = notices.count_hops(3100)
    assert notices.FAN_OUT**hops > 3100
