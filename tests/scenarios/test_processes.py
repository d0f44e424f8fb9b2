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

from bench import callers, mixes, worlds

scenarios('processes')

RATE: Final = 40.0
REPEATS: Final = 0.3
CHUNK_S: Final = 0.5
PLACE: Final = 'santiago'


class Stage:
    """Own the processes and the callers of one module of scenarios."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Start everything; the stack ends it."""
        # Test runs side by side start to look at different places.
        ports = list(worlds.find_free_ports())
        plan = worlds.Plan(PLACE, ports[os.getpid() % len(ports)])
        self.world = worlds.World(plan, stack)
        self.runner = stack.enter_context(asyncio.Runner())
        numbers = random.Random(1)
        classes = self.world.layout.configuration.classes
        mix = mixes.Mix(PLACE, classes, numbers, only_at_most_once=False)
        self.crowd = callers.Callers(self.world, mix, numbers)
        # What was done to which host, and when.
        self.steps: list[tuple[float, str, int]] = []
        stack.callback(self.runner.run, self._close())
        self.runner.run(self.crowd.wait_ready())

    def ask_while(self, event: Callable[[], Awaitable[None]]) -> None:
        """Let requests arrive before, during and after an event."""
        self.crowd.records.clear()
        self.crowd.cuts.clear()
        self.steps.clear()
        self.runner.run(self._ask_while(event))

    def count_runs(self) -> dict[str, collections.Counter[str]]:
        """Ask the targets how often each request was run."""
        return self.runner.run(self._count_runs())

    async def end(self, number: int, how: signal.Signals) -> None:
        """End a host by a signal and start it anew."""
        host = self.world.hosts[number]
        self._note(how.name, number)
        self.world.send_signal(host, how)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.world.wait_end, host)
        self._note('ended', number)
        self.world.start(host)
        await self.crowd.wait_ready()
        self._note('ready', number)

    def _note(self, step: str, number: int) -> None:
        self.steps.append((time.monotonic(), step, number))

    async def freeze(self, number: int) -> None:
        """Stop a host's process until requests to it have gone unanswered."""
        host = self.world.hosts[number]
        before = len(self.crowd.records)
        self.world.send_signal(host, signal.SIGSTOP)
        while not any(
            record.kind == 'silent' for record in self.crowd.records[before:]
        ):
            await asyncio.sleep(0.05)
        self.world.send_signal(host, signal.SIGCONT)
        await self.crowd.wait_ready()

    async def _ask_while(self, event: Callable[[], Awaitable[None]]) -> None:
        await self.crowd.arrive(CHUNK_S, RATE, REPEATS)
        happening = asyncio.ensure_future(event())
        while not happening.done():
            await self.crowd.arrive(CHUNK_S, RATE, REPEATS)
        await happening
        await self.crowd.arrive(CHUNK_S, RATE, REPEATS)

    async def _count_runs(self) -> dict[str, collections.Counter[str]]:
        asked = (
            self.crowd.client.send(port, 'GET', '/control/runs')
            for port in self.world.control_ports
        )
        counts: dict[str, collections.Counter[str]] = {}
        for told in await asyncio.gather(*asked):
            for name, numbers in told.body.items():
                counts.setdefault(name, collections.Counter()).update(numbers)
        return counts

    async def _close(self) -> None:
        self.crowd.client.close()


Event = Callable[[Stage], Awaitable[None]]


@pytest.fixture(scope='module', name='stage')
def start_stage() -> Iterator[Stage]:
    """Start two hosts among stand-ins for all scenarios of this module."""
    # The callers' balancer asks twice a second who is ready; a busy machine
    # may hold it up.
    patient = worlds.SETTINGS.replace('lag_s = 1\n', 'lag_s = 2\n')
    assert patient != worlds.SETTINGS
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(worlds, 'SETTINGS', patient))
        yield Stage(stack)


async def restart_both(stage: Stage) -> None:
    await stage.end(0, signal.SIGTERM)
    await stage.end(1, signal.SIGTERM)


EVENTS: Final[Mapping[str, Event]] = {
    'each host is stopped as planned and started': restart_both,
    'a host is killed and started': lambda it: it.end(0, signal.SIGKILL),
    'a host is frozen and goes on': lambda it: it.freeze(0),
}


@when(parsers.parse('requests arrive while {event}'))
def arrive(stage: Stage, event: str) -> None:
    stage.ask_while(functools.partial(EVENTS[event], stage))


@then('no request is cut')
def check_uncut(stage: Stage) -> None:
    # A request that finds the port closed is cut as well: the balancer that
    # sent it there had been told to trust this host for its lag.
    lost = {'cut', 'refused', 'silent'}
    cut = [record for record in stage.crowd.records if record.kind in lost]
    # Which host it was sent to, and when, tell a late balancer from a host
    # that closed too soon.
    told = (cut, stage.crowd.cuts, stage.steps, stage.world.read_logs())
    assert not cut, '\n'.join(map(str, told))


@then('every answer is true')
def check_true(stage: Stage) -> None:
    faults = {record.fault for record in stage.crowd.records if not record.kind}
    assert faults == {''}


@then('what was told as not run has not run')
def check_not_run(stage: Stage) -> None:
    by_id: dict[str, list[str]] = {}
    for record in stage.crowd.records:
        by_id.setdefault(record.request_id, []).append(record.ran)
    refused = {name for name, told in by_id.items() if set(told) == {'no'}}
    assert not refused & stage.count_runs()['runs'].keys()


@then('no request that may not be repeated has run twice')
def check_single(stage: Stage) -> None:
    runs = stage.count_runs()['single_runs']
    assert max(runs.values()) == 1


@then('both hosts answer again')
def check_again(stage: Stage) -> None:
    stage.crowd.records.clear()
    stage.runner.run(stage.crowd.arrive(CHUNK_S, RATE))
    hosts = {record.host for record in stage.crowd.records if not record.kind}
    assert hosts == {0, 1}, stage.crowd.records
