"""Run the scenarios that take real processes, over loopback.

The bench starts them, ends them by their ids and judges each answer. Nothing
here asserts a time: what is waited for is that something has happened.
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


class Stage:
    """Own the processes and the callers of one module of scenarios."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Start everything; the stack ends it."""
        # Test runs side by side start to look at different places.
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
        # What was done to which host, and when.
        self.steps: list[tuple[float, str, int]] = []
        stack.callback(self.runner.run, self._close())
        self.runner.run(self.callers.wait_until_ready())

    def run_load_during(self, event: Callable[[], Awaitable[None]]) -> None:
        """Let requests arrive before, during and after an event."""
        self.callers.records.clear()
        self.callers.connection_errors.clear()
        self.steps.clear()
        self.runner.run(self._run_load_during(event))

    def count_runs(self) -> dict[str, collections.Counter[str]]:
        """Ask the targets how often each request was run."""
        return self.runner.run(self._count_runs())

    async def restart_host(self, number: int, signum: signal.Signals) -> None:
        """End a host by a signal and start it anew."""
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
        """Stop a host's process until requests to it have gone unanswered."""
        host = self.world.hosts[number]
        before = len(self.callers.records)
        self.world.send_signal(host, signal.SIGSTOP)
        while not any(
            record.kind == 'silent' for record in self.callers.records[before:]
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


Event = Callable[[Stage], Awaitable[None]]


@pytest.fixture(scope='module', name='stage')
def start_stage() -> Iterator[Stage]:
    """Start two hosts among stand-ins for all scenarios of this module."""
    # The callers' balancer asks twice a second who is ready; a busy machine
    # may hold it up.
    settings = testbeds.SETTINGS.replace('lag_s = 1\n', 'lag_s = 2\n')
    assert settings != testbeds.SETTINGS
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(testbeds, 'SETTINGS', settings))
        yield Stage(stack)


async def restart_both(stage: Stage) -> None:
    await stage.restart_host(0, signal.SIGTERM)
    await stage.restart_host(1, signal.SIGTERM)


EVENTS: Final[Mapping[str, Event]] = {
    'each host is stopped as planned and started': restart_both,
    'a host is killed and started': lambda it: it.restart_host(
        0, signal.SIGKILL
    ),
    'a host is frozen and goes on': lambda it: it.freeze_host(0),
}


@when(parsers.parse('requests arrive while {event}'))
def send_requests(stage: Stage, event: str) -> None:
    stage.run_load_during(functools.partial(EVENTS[event], stage))


@then('no request is cut')
def check_uncut(stage: Stage) -> None:
    # A request that finds the port closed is cut as well: the balancer that
    # sent it there had been told to trust this host for its lag.
    lost = {'cut', 'refused', 'silent'}
    cut = [record for record in stage.callers.records if record.kind in lost]
    # Which host it was sent to, and when, tell a late balancer from a host
    # that closed too soon.
    details = (
        cut,
        stage.callers.connection_errors,
        stage.steps,
        stage.world.read_logs(),
    )
    assert not cut, '\n'.join(map(str, details))


@then('every answer is true')
def check_true(stage: Stage) -> None:
    faults = {
        record.fault for record in stage.callers.records if not record.kind
    }
    assert faults == {''}


@then('what was told as not run has not run')
def check_not_run(stage: Stage) -> None:
    by_id: dict[str, list[str]] = {}
    for record in stage.callers.records:
        by_id.setdefault(record.request_id, []).append(record.ran)
    refused = {
        name for name, reports in by_id.items() if set(reports) == {'no'}
    }
    assert not refused & stage.count_runs()['runs'].keys()


@then('no request that may not be repeated has run twice')
def check_single(stage: Stage) -> None:
    runs = stage.count_runs()['single_runs']
    assert max(runs.values()) == 1


@then('both hosts answer again')
def check_again(stage: Stage) -> None:
    stage.callers.records.clear()
    stage.runner.run(stage.callers.generate(CHUNK_S, REQUESTS_PER_S))
    hosts = {record.host for record in stage.callers.records if not record.kind}
    assert hosts == {0, 1}, stage.callers.records
