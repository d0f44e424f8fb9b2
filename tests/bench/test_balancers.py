"""Test which hosts the balancer of the bench selects."""

import asyncio
import time
from typing import Any

from bench import balancers, http_client

SLOW_ANSWER_S = 0.3
BATCH_S = 0.1
READY = http_client.Response(200, {})
LEAVING = http_client.Response(503, {})
SILENT = http_client.Response(0, {'why': http_client.NO_ANSWER})


class FakeClient(http_client.Client):
    """Answer probes for hosts, by port, after a delay."""

    def __init__(self) -> None:
        """Have the first host answer at once and the second one slowly."""
        super().__init__()
        self.responses = {1: READY, 2: READY}
        self.delays_s = {1: 0.0, 2: SLOW_ANSWER_S}

    async def send(
        self, port: int, *asked: Any, **more: Any
    ) -> http_client.Response:
        """Return the response that the host had at the time of the call."""
        response = self.responses[port]
        await asyncio.sleep(self.delays_s[port])
        return response


async def run_balancer(
    client: FakeClient, readiness: http_client.Response, seconds: float
) -> list[int]:
    """Change the first host's readiness while batches of requests run."""
    balancer = balancers.Balancer(client, (1, 2))
    await balancer.probe_all()
    client.responses[1] = readiness
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        balancer.start()
        await asyncio.sleep(BATCH_S)
    return balancer.list_usable()


def test_excludes_a_stopped_host_while_another_is_slow() -> None:
    """Symptom: a rolling restart beside other load cuts requests.

    One host stops gracefully and closes its port after the balancer lag. The
    other answers so slowly that no round of probes to both completes within a
    batch of requests. If rounds ended with their batch, the balancer would send
    to the closed port during the whole restart.
    """
    assert asyncio.run(run_balancer(FakeClient(), LEAVING, 1.2)) == [1]


def test_prefers_a_silent_host_to_an_unreachable_one() -> None:
    """If no host is ready, one that may only be slow is selected."""
    client = FakeClient()
    client.responses[2] = SILENT
    assert asyncio.run(run_balancer(client, LEAVING, 1.2)) == [1]


def test_ignores_a_late_answer_to_an_earlier_probe() -> None:
    """A late answer to an earlier probe must not replace a newer state."""

    async def ask() -> list[int]:
        client = FakeClient()
        client.delays_s[1] = SLOW_ANSWER_S
        balancer = balancers.Balancer(client, (1, 2))
        early = asyncio.create_task(balancer.probe_all())
        await asyncio.sleep(0)
        client.responses[1] = LEAVING
        client.delays_s[1] = 0.0
        client.delays_s[2] = 0.0
        await balancer.probe_all()
        await early
        return balancer.list_usable()

    assert asyncio.run(ask()) == [1]
