"""Reads requests for stand-ins that write every byte of their answers themselves."""

from __future__ import annotations

from dataclasses import dataclass
from io import BufferedIOBase

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
