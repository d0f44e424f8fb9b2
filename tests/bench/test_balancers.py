"""Test which hosts the bench's balancer sends callers to."""

import asyncio
import time
from typing import Any

from bench import balancers, exchanges

SLOW_S = 0.3
BATCH_S = 0.1
READY = exchanges.Outcome(200, {})
LEAVING = exchanges.Outcome(503, {})
SILENT = exchanges.Outcome(0, {'why': exchanges.SILENT})


class Client(exchanges.Client):
    """Answer for hosts, each by its port, after a time."""

    def __init__(self) -> None:
        """Have the first host answer at once and the second one slowly."""
        super().__init__()
        self.told = {1: READY, 2: READY}
        self.waits = {1: 0.0, 2: SLOW_S}

    async def send(
        self, port: int, *asked: Any, **more: Any
    ) -> exchanges.Outcome:
        """Answer as the host would when it was asked."""
        told = self.told[port]
        await asyncio.sleep(self.waits[port])
        return told


async def play(
    client: Client, told: exchanges.Outcome, seconds: float
) -> list[int]:
    """Let the first host change its word while batches of requests run."""
    balancer = balancers.Balancer(client, (1, 2))
    await balancer.ask_all()
    client.told[1] = told
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        balancer.start()
        await asyncio.sleep(BATCH_S)
    return balancer.list_usable()


def test_leaves_a_host_out_that_stops_while_another_is_slow() -> None:
    """Symptom: a rolling restart beside other load cuts requests.

    One host stops as planned and closes its port after its lag. The other one
    answers so slowly that no round of questions to both ends within a batch of
    requests, and a round that ends with its batch tells nothing: the balancer
    went on sending to the closed port for the whole restart.
    """
    assert asyncio.run(play(Client(), LEAVING, 1.2)) == [1]


def test_prefers_a_silent_host_to_one_that_has_left() -> None:
    """Where none is ready the one that may only be slow is asked."""
    client = Client()
    client.told[2] = SILENT
    assert asyncio.run(play(client, LEAVING, 1.2)) == [1]


def test_takes_no_earlier_answer_for_news() -> None:
    """An answer that took long says what was true long ago."""

    async def ask() -> list[int]:
        client = Client()
        client.waits[1] = SLOW_S
        balancer = balancers.Balancer(client, (1, 2))
        early = asyncio.create_task(balancer.ask_all())
        await asyncio.sleep(0)
        client.told[1] = LEAVING
        client.waits[1] = 0.0
        client.waits[2] = 0.0
        await balancer.ask_all()
        await early
        return balancer.list_usable()

    assert asyncio.run(ask()) == [1]
