"""Start hosts as separate processes, and signal them by their ids."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Final

from bench.soak import proxies, quotas

LOOPBACK: Final = '127.0.0.1'
DATA_CENTRES: Final = ('north', 'south')
PORTS: Final = range(18_000, 32_000)
#: A host that has not exited this long after it was asked to stop is killed,
#: as the platform does.
GRACE_S: Final = 6.0


_USED_PORTS: Final[set[int]] = set()


class Host:
    """Run one host process and its proxy to the store."""

    def __init__(self, name: str, data_centre: str, folder: Path) -> None:
        """Choose ports without starting the process."""
        self.name = name
        self.data_centre = data_centre
        self.stopping = False
        self.disturbed = False
        self.ports = [find_port() for _ in range(4)]
        self.store: proxies.Proxy | None = None
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    def get_address(self, index: int) -> str:
        """Return an address by index: hosts, callers, readiness, metrics."""
        return f'{LOOPBACK}:{self.ports[index]}'

    async def start(self, seeds: list[str]) -> None:
        """Start the process."""
        assert self.store is not None
        path = self._folder / f'{self.name}.conf'
        path.write_text(self._write_settings(seeds, self.store.address))
        log = (self._folder / f'{self.name}.log').open('ab')
        with contextlib.closing(log):
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'fuchsiahaven',
                'serve',
                '--platform',
                stdout=log,
                stderr=log,
                env={**os.environ, 'FUCHSIAHAVEN_SETTINGS': str(path)},
            )
        self.stopping = False
        self.disturbed = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def get_pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    async def kill(self) -> None:
        """Kill the process."""
        self.disturbed = True
        self.signal(signal.SIGKILL)
        await self._wait()

    async def stop(self) -> bool:
        """Stop the process gracefully; False if it had to be killed."""
        self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self._wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def _wait(self) -> None:
        if self._process is not None:
            await self._process.wait()

    def _write_settings(self, seeds: list[str], store: str) -> str:
        ports = ','.join(str(port) for port in self.ports[2:])
        lines = (
            f'node={self.name}',
            f'zone={self.data_centre}',
            f'ip={LOOPBACK}',
            f'listen.control={self.get_address(0)}',
            f'listen.front={self.get_address(1)}',
            f'listen.ready={self.get_address(2)}',
            f'internal_ports={ports}',
            f'seeds={",".join(seeds)}',
            f'platform.address={store}',
            'heartbeat_ms=1200',
            'bounds.retry_budget_ratio=0.2',
            'bounds.retry_slack=56',
            'bounds.retry_window_s=10',
            f'bounds.grace_s={GRACE_S}',
            *quotas.SETTINGS,
            *[f'zones.{name}=1' for name in DATA_CENTRES],
            '',
        )
        return '\n'.join(lines)


def find_port() -> int:
    """Return a free port that was not returned before.

    The port of a host that is down must not be taken by a target or a proxy;
    those use ephemeral ports, which are above this range. Ports are chosen
    before the hosts listen, so each is returned only once: otherwise two hosts
    of eight would share a port in one start of thirty.
    """
    while True:
        unused = [port for port in PORTS if port not in _USED_PORTS]
        port = random.SystemRandom().choice(unused)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((LOOPBACK, port))
            _USED_PORTS.add(port)
            return port
