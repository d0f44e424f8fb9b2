"""Test whole hosts that have to prove how fresh their knowledge of keys is."""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

from bench.soak import hosts
from fuchsiahaven.core import boot_clock
from fuchsiahaven.relay import confirmations, news, process, traffic
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)
from tests.relay import peers, test_customers, test_decoders, worlds

REVOKE_S: Final = 1.5
#: Longer than it takes to notice a host that stands still.
CALM_S: Final = 3.0
THREE: Final = ('host-1', 'host-2', 'host-3')
NOWHERE: Final = f'{peers.LOOPBACK}:1'
CONFIGURATION: Final = facts.Key(facts.Subject.CONFIGURATION, '')
ASKED: Final = ('/one/1', test_customers.SHOWN)


@contextlib.asynccontextmanager
async def make(
    *names: str, revoke: float = REVOKE_S
) -> AsyncIterator[worlds.World]:
    """Make a world with hosts and customers, of a store that has no eras."""
    async with worlds.make() as world:
        world.revoke = revoke
        world.store.era = None
        world.store.put('op/config', test_customers.write(5))
        await world.add_hosts(*names)
        yield world


def turn_away(host: process.Process) -> None:
    """Have the store turn a host away, on its first way and on its second."""
    nowhere = f'{peers.LOOPBACK}:{hosts.find_port()}'
    host.confirmations.store.address = nowhere
    host.confirmations.store.close()
    host.news.store.address = nowhere
    host.news.store.close()


def move(host: process.Process, other: deployments.Host, address: str) -> None:
    """Have a host take another one for being at an address."""
    known = host.news.ledger
    moved = other._replace(address=address)
    found = {
        key: fact._replace(value=moved) if fact.value == other else fact
        for key, fact in known.facts.items()
    }
    host.news.ledger = known._replace(facts=found)


async def outlast(host: process.Process) -> None:
    """Wait for longer than the time, in which a host has to stay fresh."""
    until = boot_clock.read_clock() + 1.5 * CALM_S

    def is_over() -> bool:
        assert not host.keys.compute_wait()
        return boot_clock.read_clock() >= until

    await peers.wait_for(is_over)


def test_refuses_keys_while_the_store_is_away_for_all() -> None:
    """Symptom: keys that were taken away are served for as long as it lasts.

    Public routes go on, and soon after its return requests with keys too.
    """

    async def check() -> None:
        async with make('host-1', 'host-2') as world:
            await test_customers.put(
                world, test_customers.write(7, public=True)
            )
            wide = ('/search/1', test_customers.SHOWN)
            asked = (wide, ('/one/1',))
            assert await test_customers.ask(world.hosts, *asked) == [200] * 4
            world.store.down = True
            await peers.wait_for(
                lambda: all(it.keys.compute_wait() for it in world.hosts)
            )
            refused = await test_customers.ask(world.hosts, *asked)
            assert refused == [503, 200, 503, 200]
            world.store.down = False
            async with asyncio.timeout(worlds.IN_FORCE_S):
                await peers.wait_for(
                    lambda: (
                        not any(it.keys.compute_wait() for it in world.hosts)
                    )
                )

    peers.run(check())


def test_others_keep_a_host_fresh_that_the_store_turns_away() -> None:
    """Symptom: one host refuses keys while the others are served.

    It is the one that reads the store for all.
    """

    async def check() -> None:
        async with make(*THREE, revoke=CALM_S) as world:
            first = world.hosts[0]
            turn_away(first)
            await outlast(first)
            assert await test_customers.ask([first], ASKED) == [200]

    peers.run(check())


def test_the_others_stay_fresh_when_the_reader_falls_silent() -> None:
    """Symptom: all hosts refuse keys because one of them stands still."""

    async def check() -> None:
        async with make(*THREE, revoke=CALM_S) as world:
            silent = world.hosts[0]
            async with peers.listen(say_nothing) as server:
                for host in world.hosts[1:]:
                    move(host, silent.settings.host, server.address)
                await asyncio.gather(*[outlast(it) for it in world.hosts[1:]])

    peers.run(check())


def test_hears_of_a_withdrawal_by_the_second_way() -> None:
    """The configuration comes along with the proof, and nothing else does."""

    async def check() -> None:
        async with make('host-1') as world:
            host = world.hosts[0]
            rest = (test_customers.CUSTOMERS[1],)
            world.store.put('op/config', test_customers.write(9, rest))
            await world.wait_for_version(9)
            address = host.settings.host.address
            _, _, body = await worlds.fetch(
                address, f'{confirmations.PATH}?version=5'
            )
            told = json.loads(body)
            assert [it['subject'] for it in told['facts']] == ['configuration']
            assert told['proof']['lead'] < 0
            _, _, body = await worlds.fetch(
                address, f'{confirmations.PATH}?version=9'
            )
            assert not json.loads(body)['facts']
            assert await test_customers.ask([host], ASKED) == [401]

    peers.run(check())


def test_tells_operators_when_it_turns_stale_and_fresh_again(
    tmp_path: Path,
) -> None:
    """An operator goes from a refusal to its cause by these."""

    async def check() -> None:
        log = tmp_path / 'log'
        log.touch()
        async with worlds.make() as world:
            world.revoke = REVOKE_S
            world.store.era = None
            world.log = str(log)
            world.store.put('op/config', test_customers.write(5))
            host = await world.add_host('host-1')
            world.store.down = True
            await peers.wait_for(lambda: '"stale"' in log.read_text())
            state, metrics, _ = await test_customers.tell(host)
            assert json.loads(state)['keys_stale']
            assert float(json.loads(state)['keys_age']) > 1
            assert 'fuchsiahaven_relay_keys_age_seconds' in metrics
            world.store.down = False
            await peers.wait_for(lambda: '"fresh again"' in log.read_text())

    peers.run(check())


def know(
    others: tuple[str, ...],
    keys: freshness.Freshness,
    settings: deployments.Settings,
) -> news.News:
    """Make the news of a host that knows hosts and a version with customers."""
    keyed = configs.EMPTY_CONFIGURATION._replace(version=5, customers=())
    keys.update_configuration(keyed)
    written = [facts.Fact(CONFIGURATION, 1, keyed)]
    for address in others:
        host = deployments.Host(f'at {address}', address, 'south')
        key = facts.Key(facts.Subject.HOST, host.name)
        written.append(facts.Fact(key, 2, host))
    known = news.News(
        settings,
        test_decoders.Log(),
        lambda _: None,
        traffic.Traffic(),
        keys,
    )
    report = facts.Report(2, tuple(written), full=True, age=0)
    known.ledger = store_views.merge_report(
        known.ledger, report, 0, returned_at=0
    ).view
    return known


async def confirm(*others: str, store: str = NOWHERE) -> freshness.Freshness:
    """Have a host confirm its keys that has no first way; return what it knows.

    It knows version 5 and hosts at the addresses given, and is nearly stale.
    """
    keys = freshness.Freshness(REVOKE_S)
    keys.record_read(boot_clock.read_clock() - REVOKE_S / 2, facts.NO_ERA)
    settings = deployments.Settings(
        host=deployments.Host('host-9', NOWHERE, 'south'),
        data_centres=('south',),
        caller_address='',
        readiness_address='',
        metrics_address='',
        seeds=(),
        store_address=store,
        extra_load=worlds.EXTRA,
        heartbeat_s=1.2,
        grace_s=6.0,
    )
    known = know(others, keys, settings)
    second = confirmations.Confirmations(
        settings, known, keys, test_decoders.Log(), traffic.Traffic()
    )
    staying = asyncio.create_task(second.stay())
    await peers.wait_for(lambda: keys.compute_urgent_delay() > 0)
    await worlds.end(staying)
    second.close()
    known.close()
    return keys


def answer(told: object) -> peers.Script:
    """Answer every question with a body."""

    async def script(asked: bytes, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(told).encode()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)

    return script


async def say_nothing(asked: bytes, writer: asyncio.StreamWriter) -> None:
    """Hold a question for ever."""


def test_asks_others_by_a_second_way_past_one_that_is_silent() -> None:
    """Symptom: a host refuses keys because one other stands still."""
    proof = facts.Proof(-0.1, facts.NO_ERA)
    report = facts.Report(0, (), full=False, age=0, proof=proof)
    told = json.loads(report_codecs.encode_report(report))

    async def check() -> None:
        async with (
            peers.listen(say_nothing) as silent,
            peers.listen(answer(told)) as other,
        ):
            keys = await confirm(silent.address, other.address)
            assert not keys.compute_wait()
            assert all(b'version=5' in head for head in other.heads)

    peers.run(check())


def test_reads_the_configuration_alone_by_a_second_way() -> None:
    """Symptom: a host that no other host reaches refuses keys."""
    written = json.dumps(test_customers.write(5)).encode()
    told = {
        'key': 'op/config',
        'value': base64.b64encode(written).decode(),
        'revision': 1,
    }

    async def check() -> None:
        async with peers.listen(answer(told)) as store:
            keys = await confirm(store=store.address)
            assert not keys.compute_wait()
            assert all(b'/kv-key?' in head for head in store.heads)

    peers.run(check())


def test_tells_nothing_more_where_keys_need_not_die_in_time() -> None:
    """Deployments without it send, log and serve as before."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            state, metrics, news_told = await test_customers.tell(host)
            assert 'keys' not in json.loads(state)
            assert 'keys' not in metrics
            assert 'proof' not in json.loads(news_told)

    peers.run(check())
