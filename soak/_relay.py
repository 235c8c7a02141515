"""A TCP relay on loopback that delays, resets, holds back or silences what passes it."""

from __future__ import annotations

import asyncio
from typing import Final

HOST: Final = "127.0.0.1"
PART_BYTES = 64 * 1024


class _Line:
    """One connection to the relay and the one that it opened for it."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        #: Whether nothing passes any more, for good.
        self.is_silent = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Passes every connection on to one address, which may be set later."""

    def __init__(self) -> None:
        self.target = (HOST, 0)
        #: Seconds by which every part is late.
        self.delay = 0.0
        self.port = 0
        self._lines: set[_Line] = set()
        #: Set while parts pass: from whoever connected, and back.
        self._open = (asyncio.Event(), asyncio.Event())
        for way in self._open:
            way.set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The relay's "IP:port"."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for line in tuple(self._lines):
            line.abort()

    def silence(self) -> None:
        """Pass nothing more on the connections that are open now; new ones work."""
        for line in self._lines:
            line.is_silent = True

    def hold(self, way: int) -> None:
        """Hold back what passes in one direction, on all connections, until released."""
        self._open[way].clear()

    def release(self, way: int) -> None:
        """Pass on what was held back, and what comes."""
        self._open[way].set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        line = _Line((writer, far_writer))
        self._lines.add(line)
        ways = ((reader, far_writer, 0), (far_reader, writer, 1))
        try:
            await asyncio.gather(*(self._pump(line, *way) for way in ways))
        finally:
            self._lines.discard(line)
            line.abort()

    async def _pump(
        self, line: _Line, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: int
    ) -> None:
        try:
            while part := await reader.read(PART_BYTES):
                await self._open[way].wait()
                if self.delay:
                    await asyncio.sleep(self.delay)
                if line.is_silent:
                    continue
                writer.write(part)
                await writer.drain()
            if not line.is_silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other side of a reset connection hears a reset as well.
            line.abort()
