"""Upstreams of tests that write every byte of their answers themselves, in threads of their own."""

from __future__ import annotations

import contextlib
import socket
import socketserver
import threading
from dataclasses import dataclass
from io import BufferedIOBase
from types import TracebackType
from typing import Any, Self

#: Headers that hold the id of a request, in the dialects of both interfaces.
ID_HEADERS = (b"attempt-id", b"x-request-id")


@dataclass(frozen=True)
class RawRequest:
    """A request, as far as its answer depends on it."""

    method: str
    path: str
    #: Lines of a head by which an answer names the request.
    names: bytes


def read_request(stream: BufferedIOBase, signature: bytes) -> RawRequest | None:
    """Return the next request of a connection; None at its end.

    The answer is signed with ``signature`` and the request's id.
    """
    first = stream.readline().split()
    if len(first) < 2:
        return None
    names, length = b"", 0
    while (line := stream.readline()).strip():
        name, _, value = line.partition(b":")
        if name.lower() in ID_HEADERS:
            names += line
            names += b"Instance-Signature: " + signature + b"." + value.strip() + b"\r\n"
        if name.lower() == b"content-length":
            length = int(value)
    stream.read(length)
    return RawRequest(first[0].decode(), first[1].decode(), names)


class RawUpstream:
    """Listens while it is entered; each connection has a handler of its own."""

    def __init__(self, host: str, port: int, handler: type[RawHandler]) -> None:
        self._server = _Server((host, port), handler)
        self._server.upstream = self
        #: "IP:port".
        self.address = f"{host}:{self._server.server_address[1]}"

    def __enter__(self) -> Self:
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.shutdown()
        self._server.server_close()
        # A connection that a router has kept would still be answered.
        for each in tuple(self._server.connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 100
    upstream: Any

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.connections: set[socket.socket] = set()


class RawHandler(socketserver.StreamRequestHandler):
    """Reads the requests of one connection, and has them answered one after the other."""

    server: _Server
    #: Signs the answers.
    signature: bytes

    def answer(self, request: RawRequest) -> bool:
        """Answer a request; return whether another one may follow."""
        raise NotImplementedError

    def handle(self) -> None:
        """Answer requests until one side closes."""
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self.connection)
        try:
            while (request := read_request(self.rfile, self.signature)) is not None:
                if not self.answer(request):
                    return
        except OSError:
            return
        finally:
            self.server.connections.discard(self.connection)
