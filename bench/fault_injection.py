"""Inject the faults of a scenario."""

import asyncio
import signal
import time
from collections.abc import Awaitable
from typing import Final

from bench import load_generator, scenarios, testbeds
from fuchsiahaven.core.configuration import manifests
from standins import layouts, wire

HOST_LIST_LAG_S: Final = 3.0


class FaultInjector:
    """Run the steps of a scenario on a testbed."""

    def __init__(
        self, testbed: testbeds.Testbed, load: load_generator.LoadGenerator
    ) -> None:
        """Create an injector that has done nothing."""
        self.changes: list[tuple[float, int]] = []
        self._testbed = testbed
        self._load = load
        self._client = load.client

    async def run_steps(self, steps: scenarios.Steps, seconds: float) -> None:
        """Run each step at its fraction of a run of `seconds`."""
        pending = (
            self._run_step(step, step.at_fraction * seconds) for step in steps
        )
        await asyncio.gather(*pending)

    async def _run_step(self, step: scenarios.Step, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._start(step.action)

    def _start(self, action: scenarios.Action) -> Awaitable[None]:
        match action:
            case scenarios.ControlTargets(body):
                return self._control_targets(body)
            case scenarios.ControlPlatform(body):
                return self._control_platform(body)
            case scenarios.AnnounceLeaving(instances):
                return self._announce_leaving(instances)
            case scenarios.CutDataCentre(cut):
                ports = self._testbed.platform_ports[-1:] if cut else ()
                return self._control_platform({'cut_ports': list(ports)})
            case scenarios.Surge(factor):
                return self._surge(factor)
            case scenarios.Restart(index):
                return self._restart(self._testbed.hosts[index])
            case scenarios.Kill(index):
                return self._kill(self._testbed.hosts[index])
            case scenarios.Freeze(index, seconds):
                return self._freeze(self._testbed.hosts[index], seconds)
            case scenarios.CommitChange():
                return self._commit_change()

    async def _surge(self, factor: float) -> None:
        self._load.rate_factor = factor

    async def _control_targets(self, body: wire.Json) -> None:
        posts = (
            self._client.send(port, 'POST', '/control', body)
            for port in self._testbed.control_ports
        )
        await asyncio.gather(*posts)

    async def _control_platform(self, body: wire.Json) -> None:
        await self._client.send(
            self._testbed.platform_ports[0], 'POST', '/control', body
        )

    async def _announce_leaving(self, instances: tuple[str, ...]) -> None:
        listed = layouts.list_hosts(self._testbed.layout)
        for host in listed:
            if str(host['name']).rpartition('/')[0] in instances:
                host['state'] = 'leaving'
        order = {'hosts': listed, 'hosts_lag_s': HOST_LIST_LAG_S}
        await self._control_platform(order)
        await self._control_targets(
            {'targets': list(instances), 'state': 'leaving'}
        )

    async def _restart(self, host: testbeds.Host) -> None:
        self._testbed.request_stop(host)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._testbed.wait_for_exit, host)
        self._testbed.start(host)

    async def _kill(self, host: testbeds.Host) -> None:
        self._testbed.send_signal(host, signal.SIGKILL)
        self._testbed.wait_for_exit(host)
        self._testbed.start(host)

    async def _freeze(self, host: testbeds.Host, seconds: float) -> None:
        self._testbed.send_signal(host, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._testbed.send_signal(host, signal.SIGCONT)

    async def _commit_change(self) -> None:
        layout = self._testbed.layout
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
        port = self._testbed.platform_ports[0]
        path = f'/v1/keys/{key}'
        stored = await self._client.send(port, 'GET', path)
        body = {'value': value, 'revision': stored.body.get('revision', 0)}
        await self._client.send(port, 'PUT', path, body)
