"""Stand-in for the platform's store: objects, conditional writes, watches, entries that lapse.

Usage: store.py IP:PORT HEARTBEAT_MS
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins.wire import message, read_body, read_head

#: The kind of the engines' entries, which go after three heartbeats without a write.
ENGINES = "servers"
#: Entries in one page of a listing.
PAGE = 500

Object = dict[str, Any]


class Store:
    """The objects and their changes."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self._revision = 100
        self._objects: dict[tuple[str, str], Object] = {}
        #: Kind, revision, whether it is a removal, and the object.
        self._changes: list[tuple[str, int, bool, Object]] = []
        self._changed = asyncio.Event()
        self._written_at: dict[str, float] = {}
        self._lapse_seconds = 3 * heartbeat_seconds

    async def drop_lapsed(self) -> None:
        """Remove the entries of engines that no longer write them."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, at in list(self._written_at.items()):
                if now - at > self._lapse_seconds:
                    self._remove(ENGINES, name)

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Return the status and the body of the answer to a call."""
        parts = urlsplit(target)
        kind, _, rest = parts.path.removeprefix("/objects/").partition("/")
        name, _, sub = rest.partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        content = json.loads(body) if body else {}
        if not name:
            if method == "POST":
                return self._create(kind, content)
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]))
            return 200, self._list(kind, query.get("SinceRev", ""))
        return self._one(method, kind, unquote(name), sub, content, query)

    def _list(self, kind: str, after: str) -> Any:
        names = sorted(name for each, name in self._objects if each == kind and name > after)
        found = [self._objects[kind, name] for name in names[:PAGE]]
        return {"Entries": found, "HasMore": len(names) > PAGE, "Timestamp": self._revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"Object": found, "Deleted": removed}
                for each, revision, removed, found in self._changes
                if each == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "Timestamp": max(since, self._revision)}
            self._changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _one(
        self, method: str, kind: str, name: str, sub: str, content: Any, query: dict[str, str]
    ) -> tuple[int, Any]:
        found = self._objects.get((kind, name))
        if found is None:
            return 404, None
        stated = content.get("Metadata", {}).get("Revision") or query.get("Revision")
        is_stale = stated is not None and int(stated) != found["Metadata"]["Revision"]
        if method != "GET" and is_stale:
            return 409, found
        if method == "DELETE":
            return 200, self._remove(kind, name)
        if method == "PUT":
            part = "Status" if sub == "status" else "Spec"
            return 200, self._replace(kind, name, part, content.get(part))
        return 200, found

    def _create(self, kind: str, content: Any) -> tuple[int, Any]:
        name = content["Metadata"]["Name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self._revision += 1
        metadata = {
            "Name": name,
            "Revision": self._revision,
            "Created": self._revision,
            "Finalizers": [],
            "DeletionPending": False,
        }
        created = {"Metadata": metadata, "Spec": content.get("Spec"), "Status": None}
        self._note(kind, name, created)
        return 201, created

    def _replace(self, kind: str, name: str, part: str, value: Any) -> Object:
        before = self._objects[kind, name]
        if kind == ENGINES:
            self._written_at[name] = time.monotonic()
        old, new = before[part], value
        if kind == ENGINES and isinstance(old, dict) and isinstance(new, dict):
            # The entry changes when something besides Sequence changes.
            old, new = {**old, "Sequence": 0}, {**new, "Sequence": 0}
        if old == new:
            return before
        self._revision += 1
        metadata = {**before["Metadata"], "Revision": self._revision}
        after = {**before, "Metadata": metadata, part: value}
        self._note(kind, name, after)
        return after

    def _note(self, kind: str, name: str, written: Object) -> None:
        if kind == ENGINES:
            self._written_at[name] = time.monotonic()
        self._objects[kind, name] = written
        self._changes.append((kind, self._revision, False, written))
        self._changed.set()

    def _remove(self, kind: str, name: str) -> Object:
        self._written_at.pop(name, None)
        found = self._objects.pop((kind, name))
        self._revision += 1
        removed = {**found, "Metadata": {**found["Metadata"], "Revision": self._revision}}
        self._changes.append((kind, self._revision, True, removed))
        self._changed.set()
        return removed


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


async def serve(address: str, heartbeat_ms: float) -> None:
    """Serve until the process is ended."""
    store = Store(heartbeat_ms / 1000)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, content = await store.answer(method, target, body)
                raw = b"" if content is None else json.dumps(content).encode()
                first = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(message(first, [("Content-Type", "application/json")], raw))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(handle, host, int(port))
    async with server:
        await store.drop_lapsed()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], float(sys.argv[2])))
