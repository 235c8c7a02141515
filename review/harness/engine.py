"""Stand-in for an engine: runs requests, keeps its entry in the store, notes what it did.

Run as ``engine.py OPTIONS``, a JSON object; see ``Options``. It follows the page: it echoes
``Attempt-Id``, signs its answers, answers 421 for another instance, and writes its entry about
every heartbeat. What it did is appended to its notes file, one JSON line each.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

HEARTBEAT_SECONDS = 1.2
READ_BYTES = 16_384


@dataclass
class Options:
    """What one engine is and how it answers."""

    id: str
    service: str
    port: int
    store: str
    notes: str
    zone: str = "zone-a"
    slots: int = 8
    #: Seconds of work before an answer begins.
    work: float = 0.02
    #: Bytes of a whole answer whose path does not end with a number of bytes.
    size: int = 800
    #: Events of a stream, and seconds between two; 0 events for a whole answer.
    events: int = 0
    pause: float = 0.1
    #: Seconds between two parts of 16 KB of a whole answer.
    part_pause: float = 0.0
    #: "length", "chunked" or "close".
    framing: str = "length"
    #: One in so many answers, the first among them, lacks both and ends with its connection.
    unframed_one_in: int = 0
    #: Only answers of at least so many bytes do, and count.
    unframed_bytes: int = 0
    #: Bytes of a request's body that it reads a second; 0 for as they come.
    read_rate: int = 0
    #: Receive buffer and segments of its connections; 0 for loopback's own, of megabytes and 64 KB.
    window: int = 0
    segment: int = 0
    #: Whether it writes an entry of its own.
    listed: bool = True
    #: Fields of its entry that replace or add to the usual ones.
    extra: dict = field(default_factory=dict)

    def entry(self) -> dict:
        """Return its entry in the store.

        The sequence stands still: the store tells a change only where more than that differs.
        """
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            **self.extra,
        }


class Engine:
    """One engine."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self._notes = Path(options.notes)
        self._runs = 0

    def note(self, what: str, **more: object) -> None:
        """Append what happened to the notes."""
        line = {"t": round(time.time(), 4), "engine": self.options.id, "what": what, **more}
        with self._notes.open("a") as notes:
            notes.write(json.dumps(line) + "\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        fields = {}
        for line in head[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        if "chunked" in fields.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                await reader.readexactly(size + 2)
            await reader.readuntil(b"\r\n")
        else:
            length = int(fields.get("content-length", "0"))
            if length > READ_BYTES:
                self.note("arrives", attempt=fields.get("attempt-id", ""), length=length)
            await self._read_body(reader, length)
        options = self.options
        attempt = fields.get("attempt-id", "")
        if target == "/healthz":
            own = f"Instance-Id: {options.id}"
            writer.write(f"HTTP/1.1 200 OK\r\n{own}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if not attempt or fields.get("expect-instance", options.id) != options.id:
            status = "400 Bad Request" if not attempt else "421 Misdirected Request"
            self.note("refused", attempt=attempt, status=status)
            writer.write(
                f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        after = int(fields.get("last-event-id") or 0)
        last = target.rpartition("/")[2]
        size = int(last) if last.isdigit() else options.size
        one_in = options.unframed_one_in if size >= options.unframed_bytes else 0
        framing = "close" if one_in and self._runs % one_in == 0 else options.framing
        self._runs += bool(one_in)
        self.note(
            "runs", attempt=attempt, method=method, target=target, after=after, framing=framing
        )
        await asyncio.sleep(options.work)
        kind = "text/event-stream" if options.events else "application/octet-stream"
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            f"Instance-Signature: {options.id}.{attempt}",
            f"Content-Type: {kind}",
        ]
        if framing == "close":
            lines.append("Connection: close")
        else:
            lines.append("Keep-Alive: timeout=5")
        if framing == "length" and not options.events:
            lines.append(f"Content-Length: {size}")
        elif framing != "close":
            lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        chunked = framing != "close" and (options.events or framing == "chunked")
        sent = written = 0
        for part in self._parts(after, size):
            if sent:
                await asyncio.sleep(options.pause if options.events else options.part_pause)
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            await writer.drain()
            sent += 1
            written += len(part)
            if options.events or options.part_pause:
                self.note("part", attempt=attempt, number=after + sent, bytes=written)
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("whole", attempt=attempt, parts=sent)
        return framing != "close"

    async def _read_body(self, reader: asyncio.StreamReader, size: int) -> None:
        rate = self.options.read_rate
        while size:
            part = await reader.read(min(size, READ_BYTES))
            if not part:
                raise ConnectionError("closed within a body")
            size -= len(part)
            if rate:
                await asyncio.sleep(len(part) / rate)

    def _parts(self, after: int, size: int) -> list[bytes]:
        options = self.options
        if options.events:
            return [
                f"id: {number}\ndata: piece {number} of {options.events}\n\n".encode()
                for number in range(after + 1, options.events + 1)
            ]
        block, rest = divmod(size, 16384)
        return [b"x" * 16384] * block + ([b"x" * rest] if rest else [])

    async def beat(self) -> None:
        """Write the entry about every heartbeat."""
        while True:
            await asyncio.to_thread(self.write_entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def write_entry(self) -> None:
        """Write the entry once, unless it says by now that the engine leaves."""
        if not self._is_leaving():
            put_object(self.options.store, "servers", self.options.id, self.options.entry())

    def _is_leaving(self) -> bool:
        options = self.options
        url = f"http://{options.store}/objects/servers/{options.id}"
        try:
            with urllib.request.urlopen(url, timeout=3) as answer:
                return json.load(answer)["Spec"]["State"] == "draining"
        except OSError:
            return False


def put_object(store: str, kind: str, name: str, spec: object) -> None:
    """Write an object, created if it is missing."""
    body = json.dumps({"Metadata": {"Name": name}, "Spec": spec}).encode()
    for method, path in (("PUT", f"{kind}/{name}"), ("POST", kind)):
        request = urllib.request.Request(f"http://{store}/objects/{path}", body, method=method)
        try:
            with urllib.request.urlopen(request, timeout=3):
                return
        except urllib.error.HTTPError as error:
            error.close()
        except OSError:
            return


async def main(options: Options) -> None:
    """Serve until killed."""
    engine = Engine(options)
    listener = socket.create_server(("127.0.0.1", options.port))
    if options.segment:
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, options.segment)
    if options.window:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.window)
    server = await asyncio.start_server(engine.serve, sock=listener)
    engine.note("listens")
    async with server:
        if options.listed:
            await engine.beat()
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(Options(**json.loads(sys.argv[1]))))
