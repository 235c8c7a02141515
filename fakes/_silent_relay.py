"""A TCP relay whose open connections can fall silent for good, while new ones work.

The silence is that of a lost path: the system drops every packet that comes in on a silent
connection, so that nothing sent there is acknowledged, no probe is answered, and no reset
or close tells of it. With ``acknowledging`` it is that of a middle box that hangs: bytes
are taken and go nowhere.
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

HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
#: Seconds within which the other side's system acknowledges; it may hold that back for 0.04 s.
ACKNOWLEDGEMENT_TIMEOUT = 1.0
POLL_SECONDS = 0.005
#: Option of Linux by which a socket's incoming packets pass a filter first.
SO_ATTACH_FILTER = 26
#: The filter's only instruction, "return 0": no packet passes.
DROP_ALL_FILTER = struct.pack("HBBI", 0x06, 0, 0, 0)


class _RelayedConnection:
    """One connection to the relay and the one that it opened for it."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self._ends = (near, far)
        self._is_silent = False
        for source, target in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=(source, target), daemon=True).start()

    def fall_silent(self, acknowledging: bool) -> None:
        self._is_silent = True
        if acknowledging:
            return
        for end in self._ends:
            _await_acknowledgement(end)
            _drop_incoming(end)

    def close(self) -> None:
        for end in self._ends:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        """Pass bytes on until an end is closed; of a silent line, nothing, nor its close."""
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                if not self._is_silent:
                    target.sendall(chunk)
        if not self._is_silent:
            self.close()


class SilentRelay:
    """Listens on a port of its own and passes every connection on to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        #: Connections that were opened so far.
        self.opened = 0
        self._connections: list[_RelayedConnection] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> SilentRelay:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for line in tuple(self._connections):
            line.close()

    def fall_silent(self, acknowledging: bool = False) -> None:
        """Pass nothing more on the connections that are open now."""
        for line in tuple(self._connections):
            line.fall_silent(acknowledging)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self.opened += 1
                self._open(near)

    def _open(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        self._connections.append(_RelayedConnection(near, far))


def _await_acknowledgement(end: socket.socket) -> None:
    """Wait until nothing sent is unacknowledged.

    Only what comes in can be dropped here: the system would go on sending what it holds for
    want of an acknowledgement, and the other side would hear that as a sign of life.
    """
    deadline = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT
    with contextlib.suppress(OSError, ValueError):  # An end that was closed holds nothing.
        while _unacknowledged(end) > 0 and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)


def _unacknowledged(end: socket.socket) -> int:
    answer = fcntl.ioctl(end.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(answer, sys.byteorder)


def _drop_incoming(end: socket.socket) -> None:
    instructions = ctypes.create_string_buffer(DROP_ALL_FILTER, len(DROP_ALL_FILTER))
    program = struct.pack("HP", 1, ctypes.addressof(instructions))
    with contextlib.suppress(OSError):  # An end that was closed meanwhile is silent anyway.
        end.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
