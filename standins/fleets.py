"""Run the targets of a layout in one process, with a control port."""

import asyncio
import json
from typing import Final

from standins import layouts, searchers, wire

ALL_TARGETS: Final = '*'


class Fleet:
    """Own the searchers that one process runs."""

    def __init__(self, layout: layouts.Layout, share: int, shares: int) -> None:
        """Select the searchers of every `shares`-th instance of each group."""
        self.stats = searchers.Stats()
        self.searchers = [
            searchers.Searcher(
                target, service, layout.holdings[target.name], self.stats
            )
            for service, group in zip(
                layout.services, layout.configuration.groups, strict=True
            )
            for index, target in enumerate(group.targets)
            if index // service.searchers % shares == share
        ]
        self._layout = layout
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, control_port: int) -> None:
        """Listen on the port of every searcher and on the control port."""
        starts = (searcher.start() for searcher in self.searchers)
        await asyncio.gather(*starts, wire.listen(self, control_port))

    def connection_opened(self, channel: wire.Channel) -> None:
        """Accept every connection to the control port."""

    def connection_closed(self, channel: wire.Channel) -> None:
        """Ignore the end of a connection, which has no state."""

    def request_received(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        """Reply with the counts, or apply an order and list its targets."""
        if request.path == '/control/runs':
            channel.reply(200, json.dumps(self.stats.to_json()))
            return
        task = asyncio.ensure_future(
            self._handle_order(channel, request.parse_body())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_order(
        self, channel: wire.Channel, order: wire.Json
    ) -> None:
        names = _list_names(order.get('targets', ALL_TARGETS))
        selected = [
            searcher
            for searcher in self.searchers
            if _is_selected(searcher, names)
        ]
        await asyncio.gather(
            *(self._apply_order(searcher, order) for searcher in selected)
        )
        selected_names = [searcher.target.name for searcher in selected]
        channel.reply(200, json.dumps({'targets': selected_names}))

    async def _apply_order(
        self, searcher: searchers.Searcher, order: wire.Json
    ) -> None:
        searcher.update_behaviour(order.get('behaviour', {}))
        await searcher.enter_state(order.get('state', searcher.state))
        self._add_snapshot(
            searcher, order.get('add_snapshot'), order.get('shards')
        )
        searcher.holdings = {
            key: holding
            for key, holding in searcher.holdings.items()
            if holding.snapshot != order.get('drop_snapshot')
        }

    def _add_snapshot(
        self,
        searcher: searchers.Searcher,
        snapshot: int | None,
        shards: int | None,
    ) -> None:
        if snapshot is None:
            return
        # A different number of shards repartitions the group.
        service = searcher.service
        group = next(
            group
            for group in self._layout.configuration.groups
            if group.name == service.name
        )
        count = service.instances * service.searchers
        index = group.targets.index(searcher.target) % count
        holdings = layouts.assign_shards(
            service, shards or service.shards, snapshot
        )
        for holding in holdings[index]:
            searcher.holdings[snapshot, holding.shard] = holding


def _list_names(targets: str | list[str]) -> set[str]:
    return {targets} if isinstance(targets, str) else set(targets)


def _is_selected(searcher: searchers.Searcher, names: set[str]) -> bool:
    # An order selects a target by its own name, its instance or its group.
    name = searcher.target.name
    aliases = {
        ALL_TARGETS,
        name,
        name.rpartition('/')[0],
        searcher.service.name,
    }
    return bool(names & aliases)
