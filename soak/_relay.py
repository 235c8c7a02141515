"""A TCP relay on loopback that delays, resets, holds back or silences what passes it."""

from __future__ import annotations

import asyncio
from typing import Final

HOST: Final = "127.0.0.1"
CHUNK_BYTES = 64 * 1024


class _Connection:
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
        self._connections: set[_Connection] = set()
        #: Set while parts pass: from whoever connected, and back.
        self._unblocked = (asyncio.Event(), asyncio.Event())
        for event in self._unblocked:
            event.set()
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
        for connection in tuple(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Pass nothing more on the connections that are open now; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def block(self, direction: int) -> None:
        """Hold back what passes in one direction, on all connections, until released."""
        self._unblocked[direction].clear()

    def unblock(self, direction: int) -> None:
        """Pass on what was held back, and what comes."""
        self._unblocked[direction].set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer))
        self._connections.add(connection)
        flows = ((reader, target_writer, 0), (target_reader, writer, 1))
        try:
            await asyncio.gather(*(self._pump(connection, *flow) for flow in flows))
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: int,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._unblocked[direction].wait()
                if self.delay:
                    await asyncio.sleep(self.delay)
                if connection.is_silent:
                    continue
                writer.write(chunk)
                await writer.drain()
            if not connection.is_silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other side of a reset connection hears a reset as well.
            connection.abort()
