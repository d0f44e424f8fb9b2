"""Play the faults of a scenario."""

import asyncio
import signal
import time
from collections.abc import Awaitable
from typing import Final

from bench import callers, scenarios, worlds
from fuchsiahaven.core.configuration import manifests
from standins import layouts, wire

HOST_LIST_LAG_S: Final = 3.0


class Script:
    """Own what happens to one world during one turn."""

    def __init__(self, world: worlds.World, crowd: callers.Callers) -> None:
        """Prepare, with nothing done."""
        self.changes: list[tuple[float, int]] = []
        self._world = world
        self._crowd = crowd
        self._client = crowd.client

    async def follow(self, steps: scenarios.Steps, seconds: float) -> None:
        """Do each step at its share of a run of so many seconds."""
        pending = (self._do(step, step.at * seconds) for step in steps)
        await asyncio.gather(*pending)

    async def _do(self, step: scenarios.Step, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._start(step.action)

    def _start(self, action: scenarios.Action) -> Awaitable[None]:
        match action:
            case scenarios.TargetOrder(body):
                return self._order_targets(body)
            case scenarios.PlatformOrder(body):
                return self._order_platform(body)
            case scenarios.Leave(instances):
                return self._leave(instances)
            case scenarios.CutCentre(cut):
                ports = self._world.platform_ports[-1:] if cut else ()
                return self._order_platform({'cut_ports': list(ports)})
            case scenarios.Surge(factor):
                return self._surge(factor)
            case scenarios.Restart(index):
                return self._restart(self._world.hosts[index])
            case scenarios.Kill(index):
                return self._kill(self._world.hosts[index])
            case scenarios.Freeze(index, seconds):
                return self._freeze(self._world.hosts[index], seconds)
            case scenarios.Change():
                return self._change()

    async def _surge(self, factor: float) -> None:
        self._crowd.factor = factor

    async def _order_targets(self, body: wire.Json) -> None:
        posts = (
            self._client.send(port, 'POST', '/control', body)
            for port in self._world.control_ports
        )
        await asyncio.gather(*posts)

    async def _order_platform(self, body: wire.Json) -> None:
        await self._client.send(
            self._world.platform_ports[0], 'POST', '/control', body
        )

    async def _leave(self, instances: tuple[str, ...]) -> None:
        listed = layouts.list_hosts(self._world.layout)
        for host in listed:
            if str(host['name']).rpartition('/')[0] in instances:
                host['state'] = 'leaving'
        order = {'hosts': listed, 'hosts_lag_s': HOST_LIST_LAG_S}
        await self._order_platform(order)
        await self._order_targets(
            {'targets': list(instances), 'state': 'leaving'}
        )

    async def _restart(self, host: worlds.Host) -> None:
        self._world.ask_to_stop(host)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._world.wait_end, host)
        self._world.start(host)

    async def _kill(self, host: worlds.Host) -> None:
        self._world.send_signal(host, signal.SIGKILL)
        self._world.wait_end(host)
        self._world.start(host)

    async def _freeze(self, host: worlds.Host, seconds: float) -> None:
        self._world.send_signal(host, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._world.send_signal(host, signal.SIGCONT)

    async def _change(self) -> None:
        layout = self._world.layout
        revision = layout.configuration.revision + len(self.changes) + 1
        first, *others = layout.configuration.groups
        labels = (*first.labels, ('revision', str(revision)))
        changed = layout.configuration._replace(
            revision=revision,
            groups=(first._replace(labels=labels), *others),
        )
        keys = layouts.encode_keys(changed)
        manifest = keys.pop(manifests.MANIFEST_KEY)
        await asyncio.gather(*(self._put(*item) for item in keys.items()))
        await self._put(manifests.MANIFEST_KEY, manifest)
        self.changes.append((time.monotonic(), revision))

    async def _put(self, key: str, value: str) -> None:
        port = self._world.platform_ports[0]
        path = f'/v1/keys/{key}'
        found = await self._client.send(port, 'GET', path)
        body = {'value': value, 'revision': found.body.get('revision', 0)}
        await self._client.send(port, 'PUT', path, body)
