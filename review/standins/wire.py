"""The little HTTP/1.1 that the stand-ins speak, and the journal that each process writes."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

#: Headers as they came: pairs of a name and a value.
Headers = list[tuple[str, str]]


class Journal:
    """One JSON object for each event, in the order in which they happened in one process."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    def write(self, event: str, **fields: Any) -> None:
        """Write an event with the machine's steady clock, which all processes share."""
        line = {"at": round(time.monotonic(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")


def value_of(headers: Headers, name: str) -> str:
    """Return the value of a header, empty if there is none."""
    for each, value in headers:
        if each.lower() == name:
            return value
    return ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers of a message, None at the end of a connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0], [(name, value.strip()) for name, _, value in pairs]


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks; raise IncompleteReadError if its last chunk is missing."""
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks; raise IncompleteReadError if it is cut."""
    if "chunked" in value_of(headers, "transfer-encoding"):
        return await read_chunks(reader)
    return await reader.readexactly(int(value_of(headers, "content-length") or 0))


def message(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message whose body has a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str, method: str, path: str, body: Any = None, seconds: float = 5.0
) -> tuple[int, Any]:
    """Make one call with a JSON body on a connection of its own."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            head: Headers = [("Host", address), ("Content-Type", "application/json")]
            writer.write(message(f"{method} {path} HTTP/1.1", head, content))
            found = await read_head(reader)
            if found is None:
                raise ConnectionError("closed without an answer")
            answer = await read_body(reader, found[1])
            return int(found[0].split()[1]), json.loads(answer) if answer else None
        finally:
            writer.close()
