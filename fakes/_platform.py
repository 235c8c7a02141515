"""Stand-in for the platform's object API: versions, conditional writes, watches, call counts.

Faults: ``outage`` (503 for ``seconds``), ``slow`` (a call waits for ``seconds``),
``lost-answer`` (a write takes effect, but its answer is lost), ``compact`` (discard the
log of changes so far).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from fakes._faults import Faults
from pondhatch.kernel import as_deferred

#: Seconds between bookmarks on a watch without changes.
BOOKMARK_SECONDS = 2.0
#: Largest value accepted, in bytes.
MAX_VALUE_BYTES = 1024 * 1024


@dataclass
class PlatformObject:
    """One stored object."""

    kind: str
    name: str
    version: int
    value: Any
    #: When it was last written, in seconds since 1970.
    at: float = field(default_factory=time.time)


@dataclass
class ObjectStore:
    """Objects and the log of their changes."""

    version: int = 0
    object_by_key: dict[tuple[str, str], PlatformObject] = field(default_factory=dict)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    #: Changes up to this version are discarded.
    compacted: int = 0

    def put(
        self, kind: str, name: str, value: Any, expected: int | None, must_be_new: bool
    ) -> PlatformObject | None:
        """Write an object and return it, or None if the condition does not hold.

        ``expected`` is the version that must be current; ``must_be_new`` demands that no
        object of this name exists.
        """
        current = self.object_by_key.get((kind, name))
        if must_be_new and current is not None:
            return None
        if expected is not None and (current is None or current.version != expected):
            return None
        self.version += 1
        stored = PlatformObject(kind, name, self.version, value)
        self.object_by_key[kind, name] = stored
        event = {"type": "set", "version": self.version, "name": name, "value": value}
        self.events.append((kind, event))
        return stored

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        if self.object_by_key.pop((kind, name), None) is None:
            return False
        self.version += 1
        self.events.append((kind, {"type": "removed", "version": self.version, "name": name}))
        return True

    def compact(self) -> None:
        """Discard the log of changes so far."""
        self.compacted = self.version
        self.events.clear()


class PlatformFake:
    """The platform's HTTP interface."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.app = Klein()
        self._outage_until = 0.0
        self._route()

    def _route(self) -> None:
        @self.app.route("/v1/objects/<kind>", methods=["GET"])
        def collection(request: Any, kind: str) -> Deferred[bytes | None]:
            watching = b"watch" in request.args
            work = self._watch(request, kind) if watching else self._list(request, kind)
            return as_deferred(work)

        @self.app.route("/v1/objects/<kind>/<name>", methods=["GET", "PUT", "DELETE"])
        def item(request: Any, kind: str, name: str) -> Deferred[bytes | None]:
            return as_deferred(self._handle_object(request, kind, name))

        @self.app.route("/calls")
        def calls(request: Any) -> bytes:
            return json.dumps(self.calls).encode()

        self.faults.add_route(self.app)

    async def _is_call_accepted(self, request: Any, call: str) -> bool:
        """Count a call and apply the armed faults; return False if the call is refused."""
        self.calls[call] += 1
        if fault := self.faults.consume("outage"):
            self._outage_until = time.monotonic() + fault.seconds
        if fault := self.faults.consume("slow"):
            await asyncio.sleep(fault.seconds)
        if self.faults.consume("compact"):
            self.store.compact()
        if time.monotonic() < self._outage_until:
            request.setResponseCode(503)
            return False
        return True

    async def _list(self, request: Any, kind: str) -> bytes:
        if not await self._is_call_accepted(request, "read"):
            return b""
        objects = [
            vars(each)
            for (stored_kind, _), each in self.store.object_by_key.items()
            if stored_kind == kind
        ]
        return json.dumps({"version": self.store.version, "objects": objects}).encode()

    async def _handle_object(self, request: Any, kind: str, name: str) -> bytes:
        method = request.method.decode()
        if not await self._is_call_accepted(request, "read" if method == "GET" else "write"):
            return b""
        if method == "GET":
            found = self.store.object_by_key.get((kind, name))
            if found is None:
                request.setResponseCode(404)
                return b""
            return json.dumps(vars(found)).encode()
        if method == "DELETE":
            request.setResponseCode(200 if self.store.remove(kind, name) else 404)
            return b""
        return await self._put(request, kind, name)

    async def _put(self, request: Any, kind: str, name: str) -> bytes:
        content = request.content.read()
        if len(content) > MAX_VALUE_BYTES:
            request.setResponseCode(413)
            return b""
        expected = request.getHeader("if-match")
        must_be_new = request.getHeader("if-none-match") == "*"
        expected_version = int(expected) if expected is not None else None
        stored = self.store.put(kind, name, json.loads(content), expected_version, must_be_new)
        if self.faults.consume("lost-answer"):
            request.channel.forceAbortClient()
            return b""
        if stored is None:
            request.setResponseCode(409)
            return b""
        return json.dumps(vars(stored)).encode()

    async def _watch(self, request: Any, kind: str) -> bytes:
        if not await self._is_call_accepted(request, "watch"):
            return b""
        since_arguments = request.args.get(b"since")
        since = int(since_arguments[0]) if since_arguments else self.store.version
        if since < self.store.compacted:
            request.setResponseCode(410)
            return b""
        disconnected = asyncio.Event()
        request.notifyFinish().addErrback(lambda _: disconnected.set())
        _write_event(request, {"type": "bookmark", "version": since})
        quiet_since = time.monotonic()
        while not disconnected.is_set() and time.monotonic() >= self._outage_until:
            new_events = [
                e
                for event_kind, e in self.store.events
                if event_kind == kind and e["version"] > since
            ]
            for event in new_events:
                _write_event(request, event)
                since = event["version"]
            if new_events:
                quiet_since = time.monotonic()
            if time.monotonic() - quiet_since > BOOKMARK_SECONDS:
                since = max(since, self.store.version)
                _write_event(request, {"type": "bookmark", "version": since})
                quiet_since = time.monotonic()
            await asyncio.sleep(0.01)
        return b""


def _write_event(request: Any, event: dict[str, Any]) -> None:
    request.write(json.dumps(event).encode() + b"\n")
