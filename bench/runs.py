"""Run one scenario: a new testbed, open-loop load and injected faults."""

import asyncio
import collections
import contextlib
import random
from typing import Final, NamedTuple

from bench import (
    fault_injection,
    http_client,
    load_generator,
    mixes,
    records,
    scenarios,
    testbeds,
)
from standins import wire

WARM_UP_S: Final = 2.0
EXTRA_TIME_S: Final = 60.0


class RunOptions(NamedTuple):
    """Hold the options of one run; the rate is requests per second."""

    scenario: scenarios.Scenario
    plan: testbeds.Plan
    seconds: float
    rate: float
    seed: int


def run(options: RunOptions) -> records.Figures:
    """Run a scenario in a new testbed; stop all processes afterwards."""
    with contextlib.ExitStack() as stack:
        testbed = testbeds.Testbed(options.plan, stack)
        limit_s = 2 * options.seconds + EXTRA_TIME_S
        return asyncio.run(asyncio.wait_for(_run(options, testbed), limit_s))


async def _run(
    options: RunOptions, testbed: testbeds.Testbed
) -> records.Figures:
    load = _make_load(options, testbed)
    await load.wait_until_ready()
    await _warm_up(options, load)
    before = await _fetch_counts(load.client, testbed)
    used = testbed.measure()
    injector = fault_injection.FaultInjector(testbed, load)
    steps = options.scenario.make_steps(testbed.layout.services)
    await asyncio.gather(
        injector.run_steps(steps, options.seconds),
        load.generate(
            options.seconds, options.rate, options.scenario.repeat_fraction
        ),
    )
    usage = records.subtract(testbed.measure(), used)
    counts = await _fetch_counts(load.client, testbed)
    counts['counts'].subtract(before['counts'])
    load.client.close()
    return records.summarise(
        options.plan.policy, load.records, counts, usage, injector.changes
    )


def _make_load(
    options: RunOptions, testbed: testbeds.Testbed
) -> load_generator.LoadGenerator:
    rng = random.Random(options.seed)
    mix = mixes.RequestMix(
        options.plan.deployment,
        testbed.layout.configuration.classes,
        rng,
        only_at_most_once=options.scenario.only_at_most_once,
    )
    return load_generator.LoadGenerator(testbed, mix, rng)


async def _warm_up(
    options: RunOptions, load: load_generator.LoadGenerator
) -> None:
    await load.generate(WARM_UP_S, options.rate)
    load.records.clear()


async def _fetch_counts(
    client: http_client.Client, testbed: testbeds.Testbed
) -> wire.Json:
    requests = (
        client.send(port, 'GET', '/control/runs')
        for port in testbed.control_ports
    )
    total: dict[str, collections.Counter[str]] = {}
    for response in await asyncio.gather(*requests):
        for name, numbers in response.body.items():
            total.setdefault(name, collections.Counter()).update(numbers)
    return dict(total)
