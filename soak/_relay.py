"""A TCP relay on loopback that can delay, block, reset or silence its connections.

It refuses connections while nothing listens at its target, as the target's own host would: it looks
whenever the target ends a connection, before it passes that end on.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

from fakes._local_fleet import free_ports
from fakes._silent_relay import accept_incoming, drop_incoming

HOST: Final = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
#: The directions of data on a connection.
TO_TARGET, FROM_TARGET = 0, 1
#: Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Seconds between two looks whether something listens again at a target that ended.
LOOK_SECONDS = 0.02


class _Connection:
    """An accepted connection and the one that the relay opened to the target for it."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        #: Whether the relay drops all further data, for good.
        self.is_silent = False

    def abort(self) -> None:
        """Close both connections; what is unsent is lost."""
        for writer in self.writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Reset both connections: without this option a close looks like the end of an answer."""
        for writer in self.writers:
            if not writer.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self.abort()


class Relay:
    """Forwards every connection to one address, which may be set later."""

    def __init__(self) -> None:
        self.target = (HOST, 0)
        #: Seconds by which every chunk is delayed.
        self.delay = 0.0
        self.port = 0
        self._connections: set[_Connection] = set()
        #: Set while data may pass: from the connecting side to the target, and back.
        self._unblocked = (asyncio.Event(), asyncio.Event())
        for event in self._unblocked:
            event.set()
        self._server: asyncio.Server | None = None
        #: Keeps the port from others while the relay does not listen; it never listens itself.
        self._holder: socket.socket | None = None
        #: Whether the port drops what comes to it.
        self._drops_incoming = False
        #: Whether a cut has the port refuse connections.
        self._is_cut = False
        self._is_closed = False
        #: Held while it begins to listen again.
        self._starting = asyncio.Lock()
        #: Waits until something listens again at the target; None while something does.
        self._waiting_for_target: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The relay's "IP:port"."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or again on the one that it had."""
        if self._holder is None:
            self._holder = _hold_port()
            self.port = self._holder.getsockname()[1]
        self._server = await asyncio.start_server(self._accept, HOST, self.port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._is_closed = True
        if self._waiting_for_target is not None:
            self._waiting_for_target.cancel()
        self._refuse()
        self.reset()
        if self._holder is not None:
            self._holder.close()

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self._connections):
            connection.reset()

    def silence(self) -> None:
        """Drop all further data on the connections open now; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    def cut(self, is_silent: bool) -> None:
        """Refuse new connections; if silent let them hang, and silence those open now."""
        if is_silent:
            if self._server is not None:
                drop_incoming(self._server.sockets[0])
                self._drops_incoming = True
                self.silence()
            return
        self._is_cut = True
        self._refuse()

    async def restore(self) -> None:
        """Let new connections pass again."""
        self._is_cut = False
        if self._server is None:
            await self._listen_again()
        elif self._drops_incoming:
            accept_incoming(self._server.sockets[0])
            self._drops_incoming = False

    def block(self, direction: int) -> None:
        """Hold back data in one direction, on all connections, until it is unblocked."""
        self._unblocked[direction].clear()

    def unblock(self, direction: int) -> None:
        """Forward the data that was held back and all that follows."""
        self._unblocked[direction].set()

    def _refuse(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
        self._server = None
        self._drops_incoming = False

    async def _refuse_if_target_ended(self) -> None:
        """Refuse new connections if nothing listens at the target, until something does."""
        if self._is_closed or self._waiting_for_target is not None or await self._has_target():
            return
        self._refuse()
        if self._waiting_for_target is None and not self._is_closed:
            self._waiting_for_target = asyncio.ensure_future(self._wait_for_target())

    async def _wait_for_target(self) -> None:
        while not await self._has_target():
            await asyncio.sleep(LOOK_SECONDS)
        self._waiting_for_target = None
        await self._listen_again()

    async def _listen_again(self) -> None:
        """Listen unless something else still keeps it from that, or it does already."""
        async with self._starting:
            is_kept = self._is_cut or self._is_closed or self._waiting_for_target is not None
            if self._server is None and not is_kept:
                await self.start()
            if self._is_cut or self._is_closed:
                self._refuse()

    async def _has_target(self) -> bool:
        """Return whether something listens at the target."""
        try:
            _, writer = await asyncio.open_connection(*self.target)
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        writer.transport.abort()
        return True

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer))
        self._connections.add(connection)
        flows = (
            (reader, target_writer, TO_TARGET),
            (target_reader, writer, FROM_TARGET),
        )
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
            if direction == FROM_TARGET:
                await self._refuse_if_target_ended()
            if not connection.is_silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            if direction == FROM_TARGET:
                await self._refuse_if_target_ended()
            # A reset on one side resets the other side as well.
            connection.reset()


def _hold_port() -> socket.socket:
    """Return a socket that is bound to a free port, on which another one may still listen."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Not an ephemeral port: no outgoing connection may have it.
    holder.bind((HOST, free_ports(1)[0]))
    return holder
