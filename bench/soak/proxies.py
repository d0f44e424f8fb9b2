"""TCP proxies on loopback that delay, hold or refuse traffic on demand."""

import asyncio
import contextlib
import enum
from typing import Final

MAX_CHUNK_BYTES: Final = 65_536
DELAY_S: Final = 0.2
#: How often a held connection checks whether it may continue.
POLL_INTERVAL_S: Final = 0.02


class Mode(enum.StrEnum):
    """List how a proxy treats traffic."""

    PASS = 'pass'
    DELAY = 'delay'
    HOLD = 'silent'
    ONE_WAY = 'one_way'
    REFUSE = 'refuse'


class Proxy:
    """Forward connections from one address to another."""

    def __init__(self, host: str, target: str) -> None:
        """Create a proxy that does not listen; `target` is `ip:port`."""
        self.address = ''
        self.mode = Mode.PASS
        self._host = host
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def reset(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers |= {writer, far_writer}
            await asyncio.gather(
                self._copy(reader, far_writer, to_client=False),
                self._copy(far_reader, writer, to_client=True),
            )
            self._writers -= {writer, far_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_client: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(MAX_CHUNK_BYTES):
                while self._is_held(to_client=to_client):
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        writer.close()

    def _is_held(self, *, to_client: bool) -> bool:
        return self.mode is Mode.HOLD or (
            to_client and self.mode is Mode.ONE_WAY
        )
