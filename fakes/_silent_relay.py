"""A TCP relay whose open connections can fall silent permanently, while new ones work.

By default this simulates a lost network path: the kernel drops every packet that arrives on
a silent connection, so that nothing sent there is acknowledged, no probe is answered, and no
reset or close arrives. With ``acknowledging`` it simulates a middlebox that hangs: bytes are
acknowledged and discarded.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import socket
import struct
import sys
import termios
import threading
import time
from types import TracebackType
from typing import Protocol, Self

HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
#: Seconds within which the peer's kernel acknowledges; it may delay that by 0.04 s.
ACKNOWLEDGEMENT_TIMEOUT = 1.0
POLL_SECONDS = 0.005
#: Linux socket option that attaches a BPF filter to a socket's incoming packets.
SO_ATTACH_FILTER = 26
#: Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Linux socket option that removes a BPF filter from a socket; its value is ignored.
SO_DETACH_FILTER = 27
#: A filter of one instruction, "return 0", which drops every packet.
DROP_ALL_FILTER = struct.pack("HBBI", 0x06, 0, 0, 0)


class _Socket(Protocol):
    """A socket, or what asyncio shows of one."""

    def setsockopt(self, level: int, option: int, value: int | bytes, /) -> None:
        """Set an option."""


class _RelayedConnection:
    """A connection accepted by the relay, and the one that it opened to the target."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self._ends = (near, far)
        self._is_silent = False
        #: When bytes were last forwarded, in seconds of the machine's monotonic clock.
        self.last_forwarded_at = float("-inf")

    def start(self) -> None:
        """Begin to forward bytes."""
        near, far = self._ends
        for source, target in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=(source, target), daemon=True).start()

    def fall_silent(self, acknowledging: bool) -> None:
        self._is_silent = True
        if acknowledging:
            return
        for end in self._ends:
            _await_acknowledgement(end)
            drop_incoming(end)

    def pause(self, seconds: float) -> None:
        for end in self._ends:
            _await_acknowledgement(end)
            drop_incoming(end)
        threading.Timer(seconds, self._resume).start()

    def _resume(self) -> None:
        for end in self._ends:
            with contextlib.suppress(OSError):
                accept_incoming(end)

    def close(self) -> None:
        for end in self._ends:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def reset(self) -> None:
        """Reset both ends."""
        self._is_silent = True
        for end in self._ends:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # Wakes the thread that reads, which would keep the socket open.
                end.shutdown(socket.SHUT_RD)
            end.close()

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        """Forward bytes until an end is closed; once silent, forward neither bytes nor a close."""
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                if not self._is_silent:
                    target.sendall(chunk)
                    self.last_forwarded_at = time.monotonic()
        if not self._is_silent:
            self.close()


class SilentRelay:
    """Listens on a port of its own and relays every connection to one address."""

    def __init__(self, host: str, port: int, listening_port: int = 0) -> None:
        self._target = (host, port)
        self._listener = socket.create_server((HOST, listening_port))
        self.port: int = self._listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        #: Connections accepted so far.
        self.opened = 0
        self._connections: list[_RelayedConnection] = []
        self._start_accepting()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop_accepting()
        for connection in tuple(self._connections):
            connection.close()

    def fall_silent(self, acknowledging: bool = False) -> None:
        """Forward nothing more on the connections that are open now."""
        for connection in tuple(self._connections):
            connection.fall_silent(acknowledging)

    def pause(self, seconds: float) -> None:
        """Lose all packets of the open connections for a while; senders then send them again."""
        for connection in tuple(self._connections):
            connection.pause(seconds)

    def _start_accepting(self) -> None:
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _stop_accepting(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                self.opened += 1
                self._open(near)

    def _open(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        connection = _RelayedConnection(near, far)
        # Before the first byte passes, so that whoever has seen one can cut the connection.
        self._connections.append(connection)
        connection.start()


def _await_acknowledgement(end: socket.socket) -> None:
    """Wait until everything sent is acknowledged.

    The filter drops incoming packets only: the kernel would keep retransmitting unacknowledged
    bytes, and the other side would take these packets as a sign of life.
    """
    deadline = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT
    with contextlib.suppress(OSError, ValueError):  # A closed socket has nothing to send.
        while _unacknowledged_bytes(end) > 0 and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)


def _unacknowledged_bytes(end: socket.socket) -> int:
    answer = fcntl.ioctl(end.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(answer, sys.byteorder)


def accept_incoming(end: _Socket) -> None:
    """Undo ``drop_incoming``."""
    end.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def drop_incoming(end: _Socket) -> None:
    """Drop every packet that arrives on a socket; a listening one then answers no connection."""
    instructions = ctypes.create_string_buffer(DROP_ALL_FILTER, len(DROP_ALL_FILTER))
    program = struct.pack("HP", 1, ctypes.addressof(instructions))
    with contextlib.suppress(OSError):  # A socket closed meanwhile is silent anyway.
        end.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
