"""Test how the store is read across restores."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from fuchsiahaven.relay import eras, http_clients, store_readers
from fuchsiahaven.routing import configs, facts, freshness, store_views
from tests.relay import servers, test_decoders

#: A page of a listing before the last one, and the last one.
FIRST_PAGE = {'items': [{'key': 'other/a', 'value': '', 'revision': 1}]}
LAST_PAGE: dict[str, Any] = {'items': []}


class StoreScript:
    """Serve scripted responses of a store in turn."""

    def __init__(self, *answers: tuple[int, str, dict[str, Any]]) -> None:
        """Keep the responses: status, era and body."""
        self.targets: list[str] = []
        self._answers = list(answers)

    async def answer(
        self, request_head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send the next response."""
        self.targets.append(request_head.split(b' ')[1].decode())
        status, era, row = self._answers.pop(0)
        body = json.dumps(row).encode()
        line = f'Store-Era: {era}\r\n' if era else ''
        head = f'HTTP/1.1 {status} -\r\n{line}Content-Length: {len(body)}'
        writer.write(f'{head}\r\n\r\n{body.decode()}'.encode())


@contextlib.asynccontextmanager
async def open_reader(
    script: StoreScript,
    delay_factor: float = 1,
    keys: freshness.Freshness | None = None,
) -> AsyncIterator[store_readers.StoreReader]:
    """Open a reader of a scripted store."""
    async with servers.listen(script.answer) as server:
        client = http_clients.Client(server.address)
        log = test_decoders.RecordingLog()
        yield store_readers.StoreReader(
            client,
            log,
            eras.EraTracker(log),
            keys or freshness.Freshness(),
            delay_factor,
        )
        client.close()


def make_page(revision: int, *, more: bool = False) -> dict[str, Any]:
    """Make a page of a listing."""
    row = FIRST_PAGE if more else LAST_PAGE
    return {**row, 'has_more': more, 'store_revision': revision}


def make_events(revision: int) -> dict[str, Any]:
    """Make the response to a watch without changes."""
    return {'events': [], 'store_revision': revision}


def merge_first(report: facts.Report) -> facts.StoreView:
    """Merge a report into an empty view."""
    return store_views.merge_report(
        store_views.create(1), report, 0, returned_at=None
    ).view


def test_lists_again_in_a_new_era() -> None:
    """Guard against changes that are missed although no watch is refused.

    The store was restored from a copy and had passed the reader's revision by
    the next watch; only the era shows it.
    """

    async def check() -> None:
        script = StoreScript(
            (200, '1', make_page(74)),
            (200, '2', make_events(80)),
            (200, '2', make_page(80)),
        )
        async with open_reader(script) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            report = await reader.read(view)
            assert (report.full, report.stamp) == (True, (2, 80))

    servers.run(check())


def test_discards_a_listing_across_eras() -> None:
    """Guard against targets that vanish after pages of two eras are mixed."""

    async def check() -> None:
        script = StoreScript(
            (200, '1', make_page(74, more=True)),
            (200, '2', make_page(71)),
            (200, '2', make_page(71)),
        )
        async with open_reader(script) as reader:
            report = await reader.read(store_views.create(1))
            assert report.stamp == (2, 71)
            assert len(script.targets) == 3

    servers.run(check())


def test_rejects_an_earlier_era() -> None:
    """Guard against a late response that reverts the new era."""

    async def check() -> None:
        script = StoreScript(
            (200, '2', make_page(71)), (200, '1', make_events(74))
        )
        async with open_reader(script) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            with pytest.raises(http_clients.CallFailed):
                await reader.read(view)

    servers.run(check())


@pytest.mark.parametrize('era', ['', 'seven'])
def test_assumes_the_last_era_without_a_field(era: str) -> None:
    """A store may send no era; a malformed one does not lose the body."""

    async def check() -> None:
        script = StoreScript(
            (200, '3', make_page(74)), (200, era, make_events(75))
        )
        async with open_reader(script) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            report = await reader.read(view)
            assert (report.full, report.stamp) == (False, (3, 75))

    servers.run(check())


def test_lists_after_a_forgotten_history() -> None:
    """It is counted, to distinguish it from a store without changes."""

    async def check() -> None:
        script = StoreScript(
            (200, '3', make_page(74)), (410, '3', {}), (200, '3', make_page(74))
        )
        async with open_reader(script) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            assert (await reader.read(view)).full
            assert reader.watches_forgotten == 1

    servers.run(check())


def test_delay_factor_shortens_the_watch() -> None:
    """A deployment may require changes sooner than others."""

    async def check() -> None:
        script = StoreScript(
            (200, '', make_page(74)), (200, '', make_events(74))
        )
        async with open_reader(script, 0.5) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            await reader.read(view)
            assert script.targets[1].endswith('wait_ms=900')

    servers.run(check())


def test_key_deadline_shortens_the_watch() -> None:
    """Guard against refused keys while nothing changes in the store.

    A read proves the state at the time it was sent, however long it waited.
    """

    async def check() -> None:
        now = [20.0]
        keys = freshness.Freshness(4, lambda: now[0])
        script = StoreScript(
            (200, '', make_page(74)), (200, '', make_events(74))
        )
        async with open_reader(script, keys=keys) as reader:
            view = merge_first(await reader.read(store_views.create(1)))
            keys.update_configuration(
                configs.EMPTY_CONFIGURATION._replace(customers=())
            )
            now[0] += 5
            await reader.read(view)
            assert script.targets[1].endswith('wait_ms=200')
            assert reader.sent_at == 25

    servers.run(check())


def test_listing_dates_from_its_first_page() -> None:
    """The configuration may be on a page that was read before a change."""

    async def check() -> None:
        now = iter((20.0, 30.0))
        keys = freshness.Freshness(4, lambda: next(now))
        script = StoreScript(
            (200, '', make_page(74, more=True)), (200, '', make_page(75))
        )
        async with open_reader(script, keys=keys) as reader:
            await reader.read(store_views.create(1))
            assert reader.sent_at == 20

    servers.run(check())
