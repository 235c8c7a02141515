"""Stand-in for the platform's store: objects, conditional writes, watches that wait.

Run as ``store.py PORT``. It follows the page on the metadata store and has no faults of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """All objects and the log of their changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[str, int, bool, dict]] = []
        self.changed = asyncio.Event()

    def _note(self, kind: str, deleted: bool, found: dict) -> None:
        self.events.append((kind, self.revision, deleted, found))
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object; an equal one is left as it is."""
        known = self.objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        created = known["Metadata"]["Created"] if known else self.revision
        meta = {"Name": name, "Revision": self.revision, "Created": created}
        found = {"Metadata": meta, "Spec": spec, "Status": None}
        self.objects[kind, name] = found
        self._note(kind, False, found)
        return found

    def remove(self, kind: str, name: str) -> dict | None:
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found is None:
            return None
        self.revision += 1
        gone = {**found, "Metadata": {**found["Metadata"], "Revision": self.revision}}
        self._note(kind, True, gone)
        return gone

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        """Answer one call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/") if part]
        if len(parts) < 2 or parts[0] != "objects":
            return 404, {}
        kind = parts[1]
        if len(parts) == 2:
            if method == "POST":
                sent = json.loads(body)
                name = sent["Metadata"]["Name"]
                known = self.objects.get((kind, name))
                if known is not None:
                    return 409, known
                return 201, self.write(kind, name, sent.get("Spec"))
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
            entries = [each for (of, _), each in self.objects.items() if of == kind]
            return 200, {"Entries": entries, "HasMore": False, "Timestamp": self.revision}
        name = parts[2]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        if method == "DELETE":
            return 200, self.remove(kind, name)
        sent = json.loads(body)
        expected = sent.get("Metadata", {}).get("Revision")
        if expected is not None and expected != known["Metadata"]["Revision"]:
            return 409, known
        return 200, self.write(kind, name, sent.get("Spec"))

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            checked = self.revision
            found = [
                {"Deleted": deleted, "Object": each}
                for of, revision, deleted, each in self.events
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "Timestamp": checked}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


async def serve(store: Store, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = head[0].split(" ", 2)
            fields = dict(line.lower().split(":", 1) for line in head[1:] if ":" in line)
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            status, answer = await store.answer(method, target, body)
            content = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(port: int) -> None:
    """Serve until killed."""
    store = Store()
    server = await asyncio.start_server(
        lambda reader, writer: serve(store, reader, writer), "127.0.0.1", port
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
