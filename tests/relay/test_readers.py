"""Test how the store is read while it comes back from copies."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from fuchsiahaven.relay import calls, eras, readers
from fuchsiahaven.routing import configs, facts, freshness, store_views
from tests.relay import peers, test_decoders

#: A page of a listing that is not the last one, and one that is.
FIRST = {'items': [{'key': 'other/a', 'value': '', 'revision': 1}]}
LAST: dict[str, Any] = {'items': []}


class Script:
    """Own what a store answers, one call after the other."""

    def __init__(self, *answers: tuple[int, str, dict[str, Any]]) -> None:
        """Take statuses, eras and bodies."""
        self.asked: list[str] = []
        self._answers = list(answers)

    async def answer(self, asked: bytes, writer: asyncio.StreamWriter) -> None:
        """Give the next answer."""
        self.asked.append(asked.split(b' ')[1].decode())
        status, era, told = self._answers.pop(0)
        body = json.dumps(told).encode()
        line = f'Store-Era: {era}\r\n' if era else ''
        head = f'HTTP/1.1 {status} -\r\n{line}Content-Length: {len(body)}'
        writer.write(f'{head}\r\n\r\n{body.decode()}'.encode())


@contextlib.asynccontextmanager
async def read(
    script: Script, pace: float = 1, keys: freshness.Freshness | None = None
) -> AsyncIterator[readers.Reader]:
    """Read a store that answers by a script."""
    async with peers.listen(script.answer) as server:
        client = calls.Client(server.address)
        log = test_decoders.Log()
        yield readers.Reader(
            client, log, eras.Eras(log), keys or freshness.Freshness(), pace
        )
        client.close()


def page(revision: int, *, more: bool = False) -> dict[str, Any]:
    """Write a page of a listing."""
    told = FIRST if more else LAST
    return {**told, 'has_more': more, 'store_revision': revision}


def events(revision: int) -> dict[str, Any]:
    """Write that nothing has changed."""
    return {'events': [], 'store_revision': revision}


def take(report: facts.Report) -> facts.StoreView:
    """Begin with a report."""
    return store_views.merge_report(
        store_views.create(1), report, 0, returned_at=None
    ).view


def test_lists_anew_where_the_store_has_passed_the_cursor() -> None:
    """Symptom: changes are never heard of, and no watch is refused.

    The store came back from a copy and had passed the reader's revision by
    the next watch; only the era shows it.
    """

    async def check() -> None:
        script = Script(
            (200, '1', page(74)), (200, '2', events(80)), (200, '2', page(80))
        )
        async with read(script) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            report = await reader.read(ledger)
            assert (report.full, report.stamp) == (True, (2, 80))

    peers.run(check())


def test_a_listing_of_two_eras_is_none() -> None:
    """Symptom: targets vanish that stand on a page of the era before."""

    async def check() -> None:
        script = Script(
            (200, '1', page(74, more=True)),
            (200, '2', page(71)),
            (200, '2', page(71)),
        )
        async with read(script) as reader:
            report = await reader.read(store_views.create(1))
            assert report.stamp == (2, 71)
            assert len(script.asked) == 3

    peers.run(check())


def test_refuses_an_answer_of_an_earlier_era() -> None:
    """Symptom: what was read of the new era is undone by a late answer."""

    async def check() -> None:
        script = Script((200, '2', page(71)), (200, '1', events(74)))
        async with read(script) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            with pytest.raises(calls.CallFailed):
                await reader.read(ledger)

    peers.run(check())


@pytest.mark.parametrize('era', ['', 'seven'])
def test_reads_on_in_the_last_era_where_none_can_be_read(era: str) -> None:
    """A platform of before has no header; a broken one loses no body."""

    async def check() -> None:
        script = Script((200, '3', page(74)), (200, era, events(75)))
        async with read(script) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            report = await reader.read(ledger)
            assert (report.full, report.stamp) == (False, (3, 75))

    peers.run(check())


def test_lists_after_a_history_that_is_gone() -> None:
    """It is counted, so that it can be told from a store that is quiet."""

    async def check() -> None:
        script = Script(
            (200, '3', page(74)), (410, '3', {}), (200, '3', page(74))
        )
        async with read(script) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            assert (await reader.read(ledger)).full
            assert reader.forgotten == 1

    peers.run(check())


def test_waits_no_longer_than_the_promise_bears() -> None:
    """A deployment may promise changes sooner than others."""

    async def check() -> None:
        script = Script((200, '', page(74)), (200, '', events(74)))
        async with read(script, 0.5) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            await reader.read(ledger)
            assert script.asked[1].endswith('wait_ms=900')

    peers.run(check())


def test_waits_for_a_share_of_the_time_in_which_keys_have_to_die() -> None:
    """Symptom: calm hosts refuse keys where nothing changes in the store.

    A reading proves the moment at which it left, however long it waited.
    """

    async def check() -> None:
        now = [20.0]
        keys = freshness.Freshness(4, lambda: now[0])
        script = Script((200, '', page(74)), (200, '', events(74)))
        async with read(script, keys=keys) as reader:
            ledger = take(await reader.read(store_views.create(1)))
            keys.update_configuration(
                configs.EMPTY_CONFIGURATION._replace(customers=())
            )
            now[0] += 5
            await reader.read(ledger)
            assert script.asked[1].endswith('wait_ms=200')
            assert reader.left == 25

    peers.run(check())


def test_counts_a_listing_from_its_first_page() -> None:
    """The configuration may stand on a page that was read before a change."""

    async def check() -> None:
        now = iter((20.0, 30.0))
        keys = freshness.Freshness(4, lambda: next(now))
        script = Script((200, '', page(74, more=True)), (200, '', page(75)))
        async with read(script, keys=keys) as reader:
            await reader.read(store_views.create(1))
            assert reader.left == 20

    peers.run(check())
