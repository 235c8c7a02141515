"""The platform's object API over HTTP and JSON.

Objects are at ``/v1/objects/KIND/NAME``. A write states the version it expects in
``If-Match`` (or ``If-None-Match: *`` for a new object) and gets 409 if the object
has another. ``?watch=true&since=V`` streams one line for each change.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import treq
from treq.response import _Response as TreqResponse
from twisted.internet.error import ConnectError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.web._newclient import RequestNotSent
from twisted.web.http_headers import Headers as WireHeaders

from pondhatch.kernel import as_future
from pondhatch.observing import LogOnce, log_for
from pondhatch.standard._limited_agent import limited_agent
from pondhatch.standard._limited_content import read_content
from pondhatch.standard._objects import decode_listing, key_of, name_of
from pondhatch.standard._watch_stream import WatchProtocol, watch_lines
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
    StoredObject,
    TooOld,
    Unavailable,
    WatchEvent,
    member,
)
from pondhatch.transport import MAX_CONTENT_BYTES

log = log_for("store")

#: Errors of treq that guarantee that nothing was sent.
NOT_SENT = (ConnectError, ConnectTimeout, RequestNotSent)
#: Timeout of one call, in seconds; a healthy platform answers within milliseconds.
CALL_SECONDS = 2.0
NOT_FOUND = 404
CONFLICT = 409
GONE = 410

_Shape = TypeVar("_Shape")


class _CallFailed(Exception):
    """A call got no usable answer."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        #: Whether the platform may have executed the call, or may still do so.
        self.sent = sent


class HttpPlatform:
    """A client of the platform's object API over HTTP; see Platform."""

    def __init__(self, url: str) -> None:
        #: Calls made, which count against the platform's budget of calls.
        self.calls = 0
        self._url = f"{url.rstrip('/')}/v1/objects"
        self._logged = LogOnce()

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        """Read one object."""
        try:
            status, content = await self._call("GET", _path(kind, name))
        except _CallFailed as error:
            return Unavailable(str(error))
        if status == NOT_FOUND:
            return Missing()
        if status != 200:
            return Unavailable(f"answered {status}")
        found = self._decode_or_log(content, StoredObject)
        if found is not None:
            return Found(found)
        key = key_of(content)
        if key is None:
            return Unavailable("answered what is no object")
        # The object exists, so its owner may replace what another writer stored.
        return Found(StoredObject(kind, key.name, key.version, None))

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        """Read all objects of a kind."""
        try:
            status, content = await self._call("GET", kind)
        except _CallFailed as error:
            return Unavailable(str(error))
        if status != 200:
            return Unavailable(f"answered {status}")
        try:
            listing = decode_listing(content)
        except JSON_ERRORS as error:
            return Unavailable(f"the answer is not a listing: {error}")
        decoded = [self._decode_or_log(each, StoredObject) for each in listing.objects]
        objects = tuple(each for each in decoded if each is not None)
        names = {name_of(each) for each in listing.objects} - {each.name for each in objects}
        return Listed(listing.version, objects, frozenset(names))

    async def changes(self, kind: str, since: int) -> Changes | Listed | Unavailable:
        """Read all objects of a kind: a watch does not tell when it has reported all changes."""
        return await self.list(kind)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Create an object that must not exist yet."""
        return await self._write(kind, name, value, {"If-None-Match": "*"})

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Replace an object that must still have the given version."""
        return await self._write(kind, name, value, {"If-Match": str(version)})

    async def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        """Yield changes after a version, or from now on; see Platform."""
        self.calls += 1
        since_query = "" if since is None else f"&since={since}"
        protocol = WatchProtocol()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                response = await self._request("GET", f"{kind}?watch=true{since_query}")
        except Exception as error:
            raise PlatformLost(str(error)) from error
        if response.code == GONE:
            raise TooOld(kind)
        if response.code != 200:
            raise PlatformLost(f"answered {response.code}")
        response.deliverBody(protocol)
        try:
            async for line in watch_lines(protocol.pipe):
                event = self._decode_event(line)
                if event is not None:
                    yield event
        finally:
            protocol.stop()

    def _decode_event(self, line: bytes) -> WatchEvent | None:
        """Return a line's event; None if it is one that names no object. Raises PlatformLost."""
        try:
            return msgspec.json.decode(line, type=WatchEvent)
        except JSON_ERRORS as error:
            self._log_left_out(line, error)
            key = key_of(line)
            if key is not None:
                is_removed = member(line, "type").strip() == b'"removed"'
                return WatchEvent("removed" if is_removed else "unreadable", key.version, key.name)
            if isinstance(error, msgspec.ValidationError):
                return None
            raise PlatformLost(f"the watch sent invalid JSON: {error}") from error

    def _decode_or_log(self, content: bytes | msgspec.Raw, shape: type[_Shape]) -> _Shape | None:
        """Return an object or event, None if it is malformed; each malformed one is logged once."""
        try:
            return msgspec.json.decode(content, type=shape)
        except JSON_ERRORS as error:
            self._log_left_out(content, error)
            return None

    def _log_left_out(self, content: bytes | msgspec.Raw, error: Exception) -> None:
        if self._logged.is_first(hash(bytes(content))):
            log.error("Object {} is left out: {}.", name_of(content) or "without name", error)

    async def _write(
        self, kind: str, name: str, value: Any, condition: dict[str, str]
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        body = msgspec.json.encode(value)
        try:
            status, content = await self._call("PUT", _path(kind, name), body, condition)
        except _CallFailed as error:
            return OutcomeUnknown(str(error)) if error.sent else Unavailable(str(error))
        if status in (200, 201):
            written = self._decode_or_log(content, StoredObject)
            if written is None:
                return OutcomeUnknown("answered what is no object")
            return Accepted(written.version)
        if status == CONFLICT:
            return Conflict()
        if status == 503:
            return Unavailable("the platform refused the call")
        return OutcomeUnknown(f"answered {status}")

    async def _call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> tuple[int, bytes]:
        self.calls += 1
        try:
            async with asyncio.timeout(CALL_SECONDS):
                response = await self._request(method, path, body, headers)
                content = await read_content(response, MAX_CONTENT_BYTES)
        except NOT_SENT as error:
            raise _CallFailed(f"cannot reach the platform: {error}", sent=False) from error
        except TimeoutError as error:
            raise _CallFailed(f"no answer in {CALL_SECONDS} s", sent=True) from error
        except Exception as error:
            raise _CallFailed(f"{type(error).__name__}: {error}", sent=True) from error
        return response.code, content

    async def _request(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> TreqResponse:
        deferred = treq.request(
            method,
            f"{self._url}/{path}",
            data=body or None,
            headers=WireHeaders({name: [value] for name, value in (headers or {}).items()}),
            agent=limited_agent(),
            unbuffered=True,
        )
        return await as_future(deferred)


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"
