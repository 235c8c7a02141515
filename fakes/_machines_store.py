"""Stand-in for the prepared machines' store: objects, conditional writes, long-polling watches.

Faults:

- ``outage``: 503 for ``seconds``
- ``lost-answer``: a write takes effect, but its answer is lost
- ``compact``: discard the log of changes so far
- ``copy``: save a copy of all objects
- ``restore``: 503 for ``seconds``, then continue from that copy: later writes are lost, their
  revisions are assigned again, and the era in each answer is one higher
"""

from __future__ import annotations

import asyncio
import copy
import json
import time
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from fakes._faults import Faults
from pondhatch.kernel import as_deferred

#: Header of every answer: the store's era, which rises with each restore from a copy.
ERA_HEADER = "Store-Era"
#: Seconds between two polls of the log by a waiting watch.
WATCH_POLL_SECONDS = 0.01

Object = dict[str, Any]


@dataclass
class MachinesStore:
    """Objects and the log of their changes."""

    revision: int = 0
    object_by_key: dict[tuple[str, str], Object] = field(default_factory=dict)
    #: (kind, revision, whether it was a removal, the object).
    events: list[tuple[str, int, bool, Object]] = field(default_factory=list)
    #: Changes up to this revision are discarded.
    compacted: int = 0
    era: int = 1

    def restored(self, era: int) -> MachinesStore:
        """Return the store as restored from this copy, with an empty log."""
        objects = copy.deepcopy(self.object_by_key)
        return MachinesStore(self.revision, objects, [], self.revision, era)

    def write(self, kind: str, name: str, spec: Any, created: int | None = None) -> Object:
        """Create or replace an object."""
        self.revision += 1
        metadata = {"Name": name, "Revision": self.revision, "Created": created or self.revision}
        written: Object = {"Metadata": metadata, "Spec": spec, "Status": None}
        self.object_by_key[kind, name] = written
        self.events.append((kind, self.revision, False, written))
        return written

    def remove(self, kind: str, name: str) -> Object | None:
        """Remove an object and return it with the revision of its removal, or None."""
        found = self.object_by_key.pop((kind, name), None)
        if found is None:
            return None
        self.revision += 1
        metadata = {**found["Metadata"], "Revision": self.revision}
        removed = {**found, "Metadata": metadata}
        self.events.append((kind, self.revision, True, removed))
        return removed


class MachinesStoreFake:
    """The store's HTTP interface."""

    def __init__(self) -> None:
        self.store = MachinesStore()
        self.faults = Faults()
        self.app = Klein()
        self.calls = 0
        self._outage_until = 0.0
        self._copy: MachinesStore | None = None
        #: The store as it will be once the outage of a restore is over.
        self._restored: MachinesStore | None = None
        self._route()

    def _route(self) -> None:
        @self.app.route("/objects/<kind>", methods=["GET", "POST"])
        def collection(request: Any, kind: str) -> Deferred[bytes | None]:
            return as_deferred(self._handle_collection(request, kind))

        @self.app.route("/objects/<kind>/<name>", methods=["GET", "PUT", "DELETE"])
        def item(request: Any, kind: str, name: str) -> Deferred[bytes | None]:
            return as_deferred(self._handle_object(request, kind, name))

        @self.app.route("/calls")
        def calls(request: Any) -> bytes:
            return json.dumps(self.calls).encode()

        self.faults.add_route(self.app)

    def _is_call_refused(self, request: Any) -> bool:
        """Count a call and apply the armed faults; return True if the call is refused."""
        self.calls += 1
        if fault := self.faults.consume("outage"):
            self._outage_until = time.monotonic() + fault.seconds
        if self.faults.consume("compact"):
            self.store.compacted = self.store.revision
            self.store.events.clear()
        self._copy_or_restore()
        request.setHeader(ERA_HEADER, str(self.store.era))
        if time.monotonic() < self._outage_until:
            request.setResponseCode(503)
            return True
        return False

    def _copy_or_restore(self) -> None:
        """Apply the faults ``copy`` and ``restore``."""
        if self.faults.consume("copy"):
            self._copy = copy.deepcopy(self.store)
        fault = self.faults.consume("restore")
        if fault is not None and self._copy is not None:
            self._outage_until = time.monotonic() + fault.seconds
            self._restored = self._copy.restored(self.store.era + 1)
        if self._restored is not None and time.monotonic() >= self._outage_until:
            self.store, self._restored = self._restored, None

    async def _handle_collection(self, request: Any, kind: str) -> bytes:
        if self._is_call_refused(request):
            return b""
        if request.method == b"POST":
            return self._create(request, kind)
        if b"Watch" in request.args:
            return await self._watch(request, kind)
        found = [
            each
            for (stored_kind, _), each in self.store.object_by_key.items()
            if stored_kind == kind
        ]
        page = {"Entries": found, "HasMore": False, "Timestamp": self.store.revision}
        return json.dumps(page).encode()

    async def _watch(self, request: Any, kind: str) -> bytes:
        since = int(request.args[b"Watch"][0])
        watched = self.store
        until = time.monotonic() + int(request.args[b"WaitMs"][0]) / 1000
        if since < self.store.compacted or since > self.store.revision:
            request.setResponseCode(410)
            return b""
        #: All changes up to this revision have been looked at.
        checked = since
        while time.monotonic() < until and watched is self.store:
            checked = watched.revision
            events = [
                {"Deleted": removal, "Object": found}
                for event_kind, revision, removal, found in watched.events
                if event_kind == kind and revision > since
            ]
            if events:
                return json.dumps({"events": events, "Timestamp": checked}).encode()
            await asyncio.sleep(WATCH_POLL_SECONDS)
        return json.dumps({"events": [], "Timestamp": checked}).encode()

    def _create(self, request: Any, kind: str) -> bytes:
        body = json.loads(request.content.read())
        name = body["Metadata"]["Name"]
        current = self.store.object_by_key.get((kind, name))
        if current is not None:
            request.setResponseCode(409)
            return json.dumps(current).encode()
        return self._reply(request, self.store.write(kind, name, body.get("Spec")))

    async def _handle_object(self, request: Any, kind: str, name: str) -> bytes:
        if self._is_call_refused(request):
            return b""
        current = self.store.object_by_key.get((kind, name))
        if current is None:
            request.setResponseCode(404)
            return b""
        if request.method == b"GET":
            return json.dumps(current).encode()
        if request.method == b"DELETE":
            return self._reply(request, self.store.remove(kind, name) or current)
        body = json.loads(request.content.read())
        expected = body["Metadata"].get("Revision")
        if expected is not None and expected != current["Metadata"]["Revision"]:
            request.setResponseCode(409)
            return json.dumps(current).encode()
        created = current["Metadata"]["Created"]
        return self._reply(request, self.store.write(kind, name, body.get("Spec"), created))

    def _reply(self, request: Any, found: Object) -> bytes:
        if self.faults.consume("lost-answer"):
            request.channel.forceAbortClient()
            return b""
        return json.dumps(found).encode()
