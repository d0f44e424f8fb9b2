"""Select hosts for callers by probing the readiness of each host."""

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
    """List the results of a host's last readiness probe.

    UNREACHABLE covers a host that reports that it is not ready or accepts no
    connection; SILENT is one that did not answer in time and may only be slow.
    """

    READY = enum.auto()
    SILENT = enum.auto()
    UNREACHABLE = enum.auto()


class Balancer:
    """Probe each host repeatedly and keep its last state.

    Hosts are probed independently and without a break. If a round of probes
    waited for all hosts, or ended with each batch of requests, a stopped host
    would get requests for as long as another one is slow.
    """

    def __init__(
        self, client: http_client.Client, ports: Sequence[int]
    ) -> None:
        """Create a balancer that takes every host for ready."""
        self._client = client
        self._ports = ports
        self._states = [Readiness.READY for _ in ports]
        self._probe_numbers = itertools.count()
        self._newest = [-1 for _ in ports]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start probing, unless already started, until the loop ends."""
        if not self._tasks:
            self._tasks = [
                asyncio.create_task(self._probe_repeatedly(index))
                for index in range(len(self._ports))
            ]

    def list_usable(self) -> list[int]:
        """List the ready hosts, or else the silent, or else all others."""
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
        """Probe each host once; return whether all are ready."""
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
            # A late answer to an earlier probe is out of date.
            self._newest[index] = probe_number
            self._states[index] = state
