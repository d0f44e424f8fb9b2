"""Run one turn: a fresh world, open-loop arrivals, faults by script."""

import asyncio
import collections
import contextlib
import random
from typing import Final, NamedTuple

from bench import callers, exchanges, mixes, records, scenarios, scripts, worlds
from standins import wire

WARM_S: Final = 2.0
LEEWAY_S: Final = 60.0


class Order(NamedTuple):
    """Hold what one turn runs; the rate is requests a second."""

    scenario: scenarios.Scenario
    plan: worlds.Plan
    seconds: float
    rate: float
    seed: int


def run(order: Order) -> records.Figures:
    """Run one turn in a fresh world and end all that it started."""
    with contextlib.ExitStack() as stack:
        world = worlds.World(order.plan, stack)
        limit_s = 2 * order.seconds + LEEWAY_S
        return asyncio.run(asyncio.wait_for(_run(order, world), limit_s))


async def _run(order: Order, world: worlds.World) -> records.Figures:
    crowd = _gather_callers(order, world)
    await crowd.wait_ready()
    await _warm_up(order, crowd)
    before = await _count(crowd.client, world)
    used = world.measure()
    script = scripts.Script(world, crowd)
    steps = order.scenario.make_steps(world.layout.services)
    await asyncio.gather(
        script.follow(steps, order.seconds),
        crowd.arrive(order.seconds, order.rate, order.scenario.repeats),
    )
    usage = records.subtract(world.measure(), used)
    counts = await _count(crowd.client, world)
    counts['counts'].subtract(before['counts'])
    crowd.client.close()
    return records.summarise(
        order.plan.policy, crowd.records, counts, usage, script.changes
    )


def _gather_callers(order: Order, world: worlds.World) -> callers.Callers:
    numbers = random.Random(order.seed)
    mix = mixes.Mix(
        order.plan.deployment,
        world.layout.configuration.classes,
        numbers,
        only_at_most_once=order.scenario.only_at_most_once,
    )
    return callers.Callers(world, mix, numbers)


async def _warm_up(order: Order, crowd: callers.Callers) -> None:
    await crowd.arrive(WARM_S, order.rate)
    crowd.records.clear()


async def _count(client: exchanges.Client, world: worlds.World) -> wire.Json:
    gets = (
        client.send(port, 'GET', '/control/runs')
        for port in world.control_ports
    )
    total: dict[str, collections.Counter[str]] = {}
    for outcome in await asyncio.gather(*gets):
        for name, numbers in outcome.body.items():
            total.setdefault(name, collections.Counter()).update(numbers)
    return dict(total)
