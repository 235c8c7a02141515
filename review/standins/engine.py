"""Stand-in for an engine: runs requests in slots, queues a few more and sheds the others.

Usage: engine.py OPTIONS, a JSON object with the fields of ``Options``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from standins.wire import Headers, Journal, call, message, read_body, read_head, value_of

#: Seconds for which an idle connection is kept, as stated in each answer.
KEPT_SECONDS = 15
HEARTBEAT_SECONDS = 1.2


@dataclass
class Options:
    """How one engine behaves."""

    name: str
    address: str
    service: str
    zone: str
    store: str
    journal: str
    slots: int = 6
    queue: int = 3
    work_ms: float = 60.0
    #: Events of a stream, and the milliseconds between two of them; 0 for answers that are none.
    events: int = 0
    gap_ms: float = 20.0
    #: A stream pauses after this event for so long, and meanwhile sends a comment line each time
    #: that nothing was sent for ``comment_ms``; 0 for no pause.
    pause_after: int = 0
    pause_ms: float = 0.0
    comment_ms: float = 80.0
    #: Seconds for which it serves on after its entry has gone, before it ends.
    serve_on_s: float = 3.0
    #: Whether a path may end in "?bytes=N" for an answer of so many bytes, and whether it notes
    #: that an answer has been sent whole.
    sizes: bool = False
    #: The disruption "garble, extra late": it sends its refusals a second time, in the place where
    #: the next answer on the connection is due, up to this share of all its answers.
    late_extra: float = 0.0
    #: The disruption "srv_grey, shed": the share of its requests that it turns away, not run.
    shed: float = 0.0
    seed: int = 1


class Engine:
    """One start of an engine."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._journal = Journal(Path(options.journal))
        self._random = random.Random(options.seed)
        self._answered = 0
        self._doubled = 0
        self._places = asyncio.Semaphore(options.slots)
        self._held = 0
        #: Set once its entry is to go, while it serves on.
        self._left = asyncio.Event()

    async def serve(self) -> None:
        """Serve until the process is ended; SIGUSR1 has it leave the list without a word."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._left.set)
        host, _, port = self._options.address.rpartition(":")
        server = await asyncio.start_server(self._handle, host, int(port))
        async with server:
            await self._keep_listed()
            await asyncio.sleep(self._options.serve_on_s)
        # What it still runs may come to its end.
        await asyncio.sleep(1.0)

    async def _keep_listed(self) -> None:
        """Write its entry into the store at each heartbeat."""
        options, sequence = self._options, 0
        while not self._left.is_set():
            sequence += 1
            spec = {
                "Service": options.service,
                "Address": options.address,
                "Zone": options.zone,
                "Version": "v1",
                "Slots": options.slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": sequence,
            }
            body = {"Metadata": {"Name": options.name}, "Spec": spec}
            status, _ = await call(options.store, "PUT", f"/objects/servers/{options.name}", body)
            if status == 404:
                await call(options.store, "POST", "/objects/servers", body)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._left.wait(), HEARTBEAT_SECONDS)
        await call(options.store, "DELETE", f"/objects/servers/{options.name}")
        self._journal.write("left", engine=options.name)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        #: A copy of the last answer, which is to come once more.
        surplus = b""
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if surplus:
                    writer.write(surplus)
                    self._journal.write("surplus", engine=self._options.name)
                answer = await self._answer(method, path, head[1], body, writer)
                writer.write(answer)
                await writer.drain()
                if self._options.sizes:
                    self._note("sent", value_of(head[1], "attempt-id"), path)
                surplus = answer if self._is_doubled(answer) else b""
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _is_doubled(self, answer: bytes) -> bool:
        self._answered += 1
        is_refusal = b"\r\nNot-Executed: " in answer
        if not is_refusal or self._doubled + 1 > self._options.late_extra * self._answered:
            return False
        self._doubled += 1
        return True

    async def _answer(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        options = self._options
        attempt = value_of(headers, "attempt-id")
        kept: Headers = [("Keep-Alive", f"timeout={KEPT_SECONDS}")]
        if method == "GET" and path == "/healthz":
            return message("HTTP/1.1 200 OK", [*kept, ("Instance-Id", options.name)])
        echoed: Headers = [*kept, ("Attempt-Id", attempt), ("Instance-Id", options.name)]
        if value_of(headers, "expect-instance") not in ("", options.name):
            self._note("misdirected", attempt, path)
            return message("HTTP/1.1 421 Misdirected Request", echoed)
        is_full = self._held >= options.slots + options.queue
        if is_full or self._random.random() < options.shed:
            self._note("shed", attempt, path)
            shed: Headers = [*echoed, ("Not-Executed", "1")]
            return message("HTTP/1.1 503 Service Unavailable", shed)
        self._note("arrival", attempt, path)
        self._held += 1
        try:
            async with self._places:
                self._note("run", attempt, path)
                signed: Headers = [*echoed, ("Instance-Signature", f"{options.name}.{attempt}")]
                if options.events:
                    after = int(value_of(headers, "last-event-id") or 0)
                    await self._stream(signed, attempt, after, writer)
                    return b""
                await asyncio.sleep(options.work_ms / 1000)
                answered = message("HTTP/1.1 200 OK", signed, self._body(attempt, path))
        finally:
            self._held -= 1
        self._note("answer", attempt, path)
        return answered

    def _body(self, attempt: str, path: str) -> bytes:
        line = f"{attempt} {path}".encode()
        size = path.partition("?bytes=")[2]
        if not self._options.sizes or not size:
            return line
        return (line * (int(size) // len(line) + 1))[: int(size)]

    async def _stream(
        self, headers: Headers, attempt: str, after: int, writer: asyncio.StreamWriter
    ) -> None:
        options = self._options
        head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *headers]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head), "", ""]
        await asyncio.sleep(options.work_ms / 1000)
        writer.write("\r\n".join(lines).encode("latin-1"))
        for number in range(after + 1, options.events + 1):
            await self._write_chunk(writer, f"id: {number}\ndata: {number} {attempt}\n\n")
            if number == options.pause_after:
                await self._pause(writer)
            else:
                await asyncio.sleep(options.gap_ms / 1000)
        writer.write(b"0\r\n\r\n")
        self._note("answer", attempt, "")

    async def _pause(self, writer: asyncio.StreamWriter) -> None:
        options = self._options
        for _ in range(int(options.pause_ms / options.comment_ms)):
            await asyncio.sleep(options.comment_ms / 1000)
            await self._write_chunk(writer, ": keep-alive\n\n")

    async def _write_chunk(self, writer: asyncio.StreamWriter, text: str) -> None:
        raw = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(raw), raw))
        await writer.drain()

    def _note(self, event: str, attempt: str, path: str) -> None:
        self._journal.write(event, engine=self._options.name, id=attempt, path=path)


if __name__ == "__main__":
    asyncio.run(Engine(Options(**json.loads(sys.argv[1]))).serve())
