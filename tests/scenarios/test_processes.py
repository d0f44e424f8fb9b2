"""Run the scenarios that need real processes, over loopback.

The bench starts them, ends them by process id and checks each answer. Nothing
here asserts a time: the tests wait for events.
"""

import asyncio
import collections
import contextlib
import functools
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import Final
from unittest import mock

import pytest
from pytest_bdd import parsers, scenarios, then, when

from bench import load_generator, mixes, testbeds

scenarios('processes')

REQUESTS_PER_S: Final = 40.0
REPEAT_FRACTION: Final = 0.3
CHUNK_S: Final = 0.5
DEPLOYMENT: Final = 'santiago'


class Cluster:
    """Own the processes and callers of the scenarios in this module."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Start everything; the stack stops it."""
        # Concurrent test runs start their port search at different ports.
        ports = list(testbeds.find_free_ports())
        plan = testbeds.Plan(DEPLOYMENT, ports[os.getpid() % len(ports)])
        self.world = testbeds.Testbed(plan, stack)
        self.runner = stack.enter_context(asyncio.Runner())
        rng = random.Random(1)
        classes = self.world.layout.configuration.classes
        mix = mixes.RequestMix(
            DEPLOYMENT, classes, rng, only_at_most_once=False
        )
        self.callers = load_generator.LoadGenerator(self.world, mix, rng)
        # Time, step and host number of each step.
        self.steps: list[tuple[float, str, int]] = []
        stack.callback(self.runner.run, self._close())
        self.runner.run(self.callers.wait_until_ready())

    def run_load_during(self, event: Callable[[], Awaitable[None]]) -> None:
        """Send requests before, during and after an event."""
        self.callers.records.clear()
        self.callers.connection_errors.clear()
        self.steps.clear()
        self.runner.run(self._run_load_during(event))

    def count_runs(self) -> dict[str, collections.Counter[str]]:
        """Return the run counts that the targets report."""
        return self.runner.run(self._count_runs())

    async def restart_host(self, number: int, signum: signal.Signals) -> None:
        """End a host by a signal, restart it and wait until it is ready."""
        host = self.world.hosts[number]
        self._record_step(signum.name, number)
        self.world.send_signal(host, signum)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.world.wait_for_exit, host)
        self._record_step('ended', number)
        self.world.start(host)
        await self.callers.wait_until_ready()
        self._record_step('ready', number)

    def _record_step(self, step: str, number: int) -> None:
        self.steps.append((time.monotonic(), step, number))

    async def freeze_host(self, number: int) -> None:
        """Stop a host's process until a request to it is unanswered."""
        host = self.world.hosts[number]
        first = len(self.callers.records)
        self.world.send_signal(host, signal.SIGSTOP)
        while not any(
            record.kind == 'silent' for record in self.callers.records[first:]
        ):
            await asyncio.sleep(0.05)
        self.world.send_signal(host, signal.SIGCONT)
        await self.callers.wait_until_ready()

    async def _run_load_during(
        self, event: Callable[[], Awaitable[None]]
    ) -> None:
        await self.callers.generate(CHUNK_S, REQUESTS_PER_S, REPEAT_FRACTION)
        task = asyncio.ensure_future(event())
        while not task.done():
            await self.callers.generate(
                CHUNK_S, REQUESTS_PER_S, REPEAT_FRACTION
            )
        await task
        await self.callers.generate(CHUNK_S, REQUESTS_PER_S, REPEAT_FRACTION)

    async def _count_runs(self) -> dict[str, collections.Counter[str]]:
        calls = (
            self.callers.client.send(port, 'GET', '/control/runs')
            for port in self.world.control_ports
        )
        counts: dict[str, collections.Counter[str]] = {}
        for reply in await asyncio.gather(*calls):
            for name, numbers in reply.body.items():
                counts.setdefault(name, collections.Counter()).update(numbers)
        return counts

    async def _close(self) -> None:
        self.callers.client.close()


Event = Callable[[Cluster], Awaitable[None]]


@pytest.fixture(scope='module', name='cluster')
def start_cluster() -> Iterator[Cluster]:
    """Start two hosts and stand-ins for all scenarios of this module."""
    # The callers' balancer polls readiness twice a second, and may be
    # delayed on a busy machine.
    settings = testbeds.SETTINGS.replace('lag_s = 1\n', 'lag_s = 2\n')
    assert settings != testbeds.SETTINGS
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(testbeds, 'SETTINGS', settings))
        yield Cluster(stack)


async def restart_both(cluster: Cluster) -> None:
    await cluster.restart_host(0, signal.SIGTERM)
    await cluster.restart_host(1, signal.SIGTERM)


EVENTS: Final[Mapping[str, Event]] = {
    'each host is stopped as planned and started': restart_both,
    'a host is killed and started': lambda it: it.restart_host(
        0, signal.SIGKILL
    ),
    'a host is frozen and goes on': lambda it: it.freeze_host(0),
}


@when(parsers.parse('requests arrive while {event}'))
def send_requests(cluster: Cluster, event: str) -> None:
    cluster.run_load_during(functools.partial(EVENTS[event], cluster))


@then('no request is cut')
def check_no_request_cut(cluster: Cluster) -> None:
    # A request that finds the port closed counts as cut: a host must accept
    # requests for the configured lag of the balancer.
    kinds = {'cut', 'refused', 'silent'}
    cut = [record for record in cluster.callers.records if record.kind in kinds]
    # The host and time of each cut show whether the balancer was late or the
    # host closed its port too early.
    details = (
        cut,
        cluster.callers.connection_errors,
        cluster.steps,
        cluster.world.read_logs(),
    )
    assert not cut, '\n'.join(map(str, details))


@then('every answer is true')
def check_answers_correct(cluster: Cluster) -> None:
    faults = {
        record.fault for record in cluster.callers.records if not record.kind
    }
    assert faults == {''}


@then('what was told as not run has not run')
def check_not_run(cluster: Cluster) -> None:
    by_id: dict[str, list[str]] = {}
    for record in cluster.callers.records:
        by_id.setdefault(record.request_id, []).append(record.ran)
    refused = {
        name for name, reports in by_id.items() if set(reports) == {'no'}
    }
    assert not refused & cluster.count_runs()['runs'].keys()


@then('no request that may not be repeated has run twice')
def check_single_runs(cluster: Cluster) -> None:
    runs = cluster.count_runs()['single_runs']
    assert max(runs.values()) == 1


@then('both hosts answer again')
def check_both_hosts_answer(cluster: Cluster) -> None:
    cluster.callers.records.clear()
    cluster.runner.run(cluster.callers.generate(CHUNK_S, REQUESTS_PER_S))
    hosts = {
        record.host for record in cluster.callers.records if not record.kind
    }
    assert hosts == {0, 1}, cluster.callers.records
