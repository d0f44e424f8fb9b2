"""Keep which hosts callers are sent to, by asking each whether it is ready."""

import asyncio
import enum
import itertools
from collections.abc import Sequence
from typing import Final

from bench import exchanges

PAUSE_S: Final = 0.5
TIMEOUT_S: Final = 1.0
READY: Final = 200


class Word(enum.Enum):
    """List what a host was heard to say of itself last.

    LEFT covers one that accepts no connection, SILENT one that did not answer
    in time and may only be slow.
    """

    READY = enum.auto()
    SILENT = enum.auto()
    LEFT = enum.auto()


class Balancer:
    """Own one question after the other to each host.

    Each host is asked by itself and all the time. Were one round of questions
    to wait for all hosts, or to end with each batch of requests, a host that
    stops would go on getting requests for as long as another one is slow.
    """

    def __init__(self, client: exchanges.Client, ports: Sequence[int]) -> None:
        """Start with every host taken for ready."""
        self._client = client
        self._ports = ports
        self._words = [Word.READY for _ in ports]
        self._asked = itertools.count()
        self._latest = [-1 for _ in ports]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Go on asking, if that has not begun, until the loop ends."""
        if not self._tasks:
            self._tasks = [
                asyncio.create_task(self._watch(number))
                for number in range(len(self._ports))
            ]

    def list_usable(self) -> list[int]:
        """List the hosts that are ready; without one, those that may be."""
        for word in Word:
            found = [it for it, told in enumerate(self._words) if told is word]
            if found:
                return found
        return []

    async def ask_all(self) -> bool:
        """Ask each host once; tell whether all are ready."""
        numbers = range(len(self._ports))
        await asyncio.gather(*(self._ask(number) for number in numbers))
        return all(word is Word.READY for word in self._words)

    async def _watch(self, number: int) -> None:
        while True:
            await self._ask(number)
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, number: int) -> None:
        place = next(self._asked)
        outcome = await self._client.send(
            self._ports[number], 'GET', '/readyz', timeout_s=TIMEOUT_S
        )
        word = Word.LEFT
        if outcome.status == READY:
            word = Word.READY
        elif outcome.body.get('why') == exchanges.SILENT:
            word = Word.SILENT
        if place > self._latest[number]:
            # A slow answer to an earlier question is no news.
            self._latest[number] = place
            self._words[number] = word
