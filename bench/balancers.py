"""Keep which hosts callers are sent to, by asking each whether it is ready."""

import asyncio
import enum
import itertools
from collections.abc import Sequence
from typing import Final

from bench import http_client

PROBE_INTERVAL_S: Final = 0.5
PROBE_TIMEOUT_S: Final = 1.0
READY_STATUS: Final = 200


class Readiness(enum.Enum):
    """List what a host was heard to say of itself last.

    LEFT covers one that accepts no connection, SILENT one that did not answer
    in time and may only be slow.
    """

    READY = enum.auto()
    SILENT = enum.auto()
    UNREACHABLE = enum.auto()


class Balancer:
    """Own one question after the other to each host.

    Each host is asked by itself and all the time. Were one round of questions
    to wait for all hosts, or to end with each batch of requests, a host that
    stops would go on getting requests for as long as another one is slow.
    """

    def __init__(
        self, client: http_client.Client, ports: Sequence[int]
    ) -> None:
        """Start with every host taken for ready."""
        self._client = client
        self._ports = ports
        self._states = [Readiness.READY for _ in ports]
        self._probe_numbers = itertools.count()
        self._newest = [-1 for _ in ports]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Go on asking, if that has not begun, until the loop ends."""
        if not self._tasks:
            self._tasks = [
                asyncio.create_task(self._probe_repeatedly(index))
                for index in range(len(self._ports))
            ]

    def list_usable(self) -> list[int]:
        """List the hosts that are ready; without one, those that may be."""
        for state in Readiness:
            usable = [
                it
                for it, reported in enumerate(self._states)
                if reported is state
            ]
            if usable:
                return usable
        return []

    async def probe_all(self) -> bool:
        """Ask each host once; tell whether all are ready."""
        indexes = range(len(self._ports))
        await asyncio.gather(*(self._probe(index) for index in indexes))
        return all(state is Readiness.READY for state in self._states)

    async def _probe_repeatedly(self, index: int) -> None:
        while True:
            await self._probe(index)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, index: int) -> None:
        probe_number = next(self._probe_numbers)
        response = await self._client.send(
            self._ports[index], 'GET', '/readyz', timeout_s=PROBE_TIMEOUT_S
        )
        state = Readiness.UNREACHABLE
        if response.status == READY_STATUS:
            state = Readiness.READY
        elif response.body.get('why') == http_client.NO_ANSWER:
            state = Readiness.SILENT
        if probe_number > self._newest[index]:
            # A slow answer to an earlier question is no news.
            self._newest[index] = probe_number
            self._states[index] = state
