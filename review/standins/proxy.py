"""A proxy between one machine and the platform's store, which can be cut without a word."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Forwards connections; while it is cut, nothing passes and nothing is reset."""

    def __init__(self, address: str, to: str) -> None:
        self.address = address
        self._to = to
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Let everything pass again; what was held up arrives now."""
        self._open.set()

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._pass_on(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open.wait()
        host, _, port = self._to.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._forward(reader, far_writer), self._forward(far_reader, writer)
            )
        finally:
            writer.close()
            far_writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
