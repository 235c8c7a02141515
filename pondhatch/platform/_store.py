"""The platform's object store, adapted to pondhatch's Platform interface."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any
from urllib.parse import quote

import msgspec

from pondhatch.observing import LogOnce, log_for
from pondhatch.platform._era import EraAnswer, EraCalls
from pondhatch.platform._object_reader import Decode, ObjectReader
from pondhatch.platform._objects import (
    Page,
    StoreObject,
    WatchAnswer,
    decode_answer,
    metadata_of,
)
from pondhatch.store import (
    JSON_ERRORS,
    Accepted,
    Changes,
    Conflict,
    Found,
    Listed,
    Missing,
    OutcomeUnknown,
    PlatformLost,
    Position,
    StoredObject,
    TooOld,
    Unavailable,
    WatchEvent,
    era_of,
    position_of,
    revision_of,
)
from pondhatch.transport import CallFailed, StoreCalls

log = log_for("store")

#: Milliseconds for which the store may hold one call of a watch. A silent store is detected by
#: a call that times out, so this bounds how long a router stays behind once the store is back.
#: The store would allow 30 s.
WATCH_MS = 2000
#: The same for a call that is to tell at once what has changed.
CHANGES_MS = 1
#: Seconds beyond these within which the answer must arrive.
WATCH_MARGIN = 0.5
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
#: Statuses of calls that the store did not execute.
REFUSED_STATUSES = (429, 503)


class _Listing(msgspec.Struct):
    """The pages of a listing that were read so far."""

    objects: list[StoredObject] = msgspec.field(default_factory=list)
    #: Names of all objects, including malformed ones.
    names: set[str] = msgspec.field(default_factory=set)

    def add_page(self, names: Iterable[str], objects: Iterable[StoredObject]) -> bool:
        """Add a page's objects; return whether it names any that no earlier page named."""
        new = set(names) - self.names
        self.names |= new
        self.objects += objects
        return bool(new)

    def to_listed(self, version: int, is_whole: bool) -> Listed:
        """Return the listing that all pages make up."""
        left_out = self.names - {each.name for each in self.objects}
        return Listed(version, tuple(self.objects), frozenset(left_out), is_whole)


class PlatformStore:
    """See Platform."""

    def __init__(self, calls: StoreCalls, decode_by_kind: Mapping[str, tuple[str, Decode]]) -> None:
        self._calls = EraCalls(calls)
        self._reader = ObjectReader(decode_by_kind)
        self._logged = LogOnce()

    @property
    def calls(self) -> int:
        """Number of calls made; the store limits their rate."""
        return self._calls.made

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        """Read one object."""
        try:
            answer = await self._calls.call("GET", self._path(kind, name) + _query(may_be_old))
        except CallFailed as error:
            return Unavailable(str(error))
        if answer.status == NOT_FOUND:
            return Missing(position_of(answer.era, 0))
        if answer.status != OK:
            return Unavailable(f"answered {answer.status}")
        try:
            return Found(
                self._reader.convert(kind, msgspec.json.decode(answer.content), answer.era)
            )
        except JSON_ERRORS as error:
            metadata = metadata_of(answer.content)
            if metadata is None:
                return Unavailable(f"answered what cannot be read: {error}")
            # The object exists, so its owner may replace what another writer stored.
            self._reader.log_unreadable(kind, answer.content, error)
            version = position_of(answer.era, metadata.revision)
            return Found(StoredObject(kind, metadata.name, version, None))

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        """Read all objects of a kind, page by page."""
        listing = _Listing()
        #: The store's position at the first page. A watch from there reports what changes while
        #: the other pages are read, at worst a second time.
        version: Position | None = None
        query = _query(may_be_old)
        while True:
            result = await self._read_page(kind, query)
            if isinstance(result, Unavailable):
                return result
            page, era = result
            version = position_of(era, page.timestamp) if version is None else version
            if era_of(version) != era:
                return Unavailable("came back from an older copy while it was listed")
            read = [self._reader.read_object(kind, each, era) for each in page.entries]
            names = [name for name, _ in read if name]
            has_new_names = listing.add_page(
                names, [found for _, found in read if found is not None]
            )
            if page.has_more and has_new_names:
                query = _query(may_be_old, f"SinceRev={quote(names[-1], safe='')}")
                continue
            if page.has_more and self._logged.is_first((kind, "goes on")):
                # Another call would return the same page. The objects listed so far do exist.
                log.error("The listing of {} states that it has more pages, but has none.", kind)
            return listing.to_listed(version, is_whole=not page.has_more)

    async def _read_page(self, kind: str, query: str) -> tuple[Page, int] | Unavailable:
        """Return a page and its era."""
        try:
            answer = await self._calls.call("GET", self._path(kind) + query)
        except CallFailed as error:
            return Unavailable(str(error))
        if answer.status != OK:
            return Unavailable(f"answered {answer.status}")
        try:
            return decode_answer(answer.content, Page, "Entries"), answer.era
        except JSON_ERRORS as error:
            return Unavailable(f"answered what is no page of a listing: {error}")

    async def changes(self, kind: str, since: Position) -> Changes | Listed | Unavailable:
        """Read the changes of a kind after a version; see Platform."""
        if since == 0:
            return await self.list(kind)
        try:
            answer = await self._watch_once(kind, since, CHANGES_MS)
        except TooOld:
            return await self.list(kind)
        except PlatformLost as error:
            return Unavailable(str(error))
        era = era_of(since)
        events = [self._reader.read_event(kind, each, era) for each in answer.events]
        version = max(since, position_of(era, answer.timestamp))
        return Changes(version, tuple(each for each in events if each is not None))

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Create an object that must not exist yet."""
        body = {"Metadata": {"Name": name}, "Spec": value}
        return await self._write("POST", self._path(kind), body)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Replace an object that must still have the given version."""
        if era_of(version) != self._calls.era:
            # Since the store was restored, this revision may denote another change.
            return Conflict()
        body = {"Metadata": {"Name": name, "Revision": revision_of(version)}, "Spec": value}
        written = await self._write("PUT", self._path(kind, name), body)
        if isinstance(written, Accepted) and era_of(written.version) != era_of(version):
            return OutcomeUnknown("the store came back from an older copy meanwhile")
        return written

    async def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        """Yield a bookmark, then changes after a version; see Platform."""
        if since is None:
            listed = await self.list(kind)
            if isinstance(listed, Unavailable):
                raise PlatformLost(listed.reason)
            since = listed.version
        yield WatchEvent("bookmark", since)
        while True:
            answer = await self._watch_once(kind, since, WATCH_MS)
            for each in answer.events:
                event = self._reader.read_event(kind, each, era_of(since))
                if event is not None:
                    yield event
            since = max(since, position_of(era_of(since), answer.timestamp))

    async def _watch_once(self, kind: str, since: Position, wait_ms: int) -> WatchAnswer:
        path = f"{self._path(kind)}?Watch={revision_of(since)}&WaitMs={wait_ms}"
        try:
            answer = await self._calls.call("GET", path, seconds=wait_ms / 1000 + WATCH_MARGIN)
        except CallFailed as error:
            raise PlatformLost(str(error)) from error
        if answer.status == GONE or (answer.status == OK and answer.era != era_of(since)):
            # The store reuses revisions in a new era, so the answer may lack changes.
            raise TooOld(kind)
        if answer.status != OK:
            raise PlatformLost(f"answered {answer.status}")
        try:
            return decode_answer(answer.content, WatchAnswer, "events")
        except JSON_ERRORS as error:
            raise PlatformLost(f"answered what is no watch: {error}") from error

    async def _write(
        self, method: str, path: str, body: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        try:
            answer = await self._calls.call(method, path, msgspec.json.encode(body))
        except CallFailed as error:
            return OutcomeUnknown(str(error)) if error.sent else Unavailable(str(error))
        if answer.status in (OK, CREATED):
            return _read_accepted(answer)
        if answer.status in (CONFLICT, NOT_FOUND):
            return Conflict()
        if answer.status in REFUSED_STATUSES:
            return Unavailable(f"answered {answer.status}")
        return OutcomeUnknown(f"answered {answer.status}")

    def _path(self, kind: str, name: str = "") -> str:
        store_kind = self._reader.store_kind(kind)
        return f"/objects/{store_kind}/{quote(name, safe='')}" if name else f"/objects/{store_kind}"


def _query(may_be_old: bool, *parts: str) -> str:
    """Return the query string of a read."""
    parameters = (*parts, "StaleOk=1") if may_be_old else parts
    return "?" + "&".join(parameters) if parameters else ""


def _read_accepted(answer: EraAnswer) -> Accepted | OutcomeUnknown:
    """Return the outcome of a successful write.

    It is unknown if the answer states no revision: the writer must know the object's position.
    """
    try:
        revision = msgspec.json.decode(answer.content, type=StoreObject).metadata.revision
        return Accepted(position_of(answer.era, revision))
    except JSON_ERRORS as error:
        return OutcomeUnknown(f"answered what cannot be read: {error}")
