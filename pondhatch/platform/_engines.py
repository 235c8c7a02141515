"""Engines: their entries in the store, and the headers that they send and receive."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Literal

import msgspec

from pondhatch.authority import DesiredState, NoReply, NotTaken
from pondhatch.observing import LogThrottle, log_for
from pondhatch.placement import NO_NOTICE, Notice
from pondhatch.platform import _names as names
from pondhatch.platform._engine_load import read_load, read_refusal_limit
from pondhatch.platform._entries import normalize_number
from pondhatch.platform._header_owners import OWNERS
from pondhatch.requests import AwaitedRequest, EngineRefusal, Headers, RequestHead, Target
from pondhatch.store import IN_FORCE, LEAVING, LIVE
from pondhatch.transport import NoteDropped, seconds_to_wait, utf8_value

log = log_for("engines")

#: State of an engine that takes no new work.
DRAINING = "draining"
#: Value of the leaving header of an engine that is about to shut down.
IS_LEAVING = "1"
#: Seconds between two log lines on unreadable load headers; one engine may send many a second.
UNREADABLE_LOG_SECONDS = 60.0
#: Number of characters of such a header that are logged.
LOGGED_CHARACTERS = 80

#: A string that must not be empty, such as the name of a service.
Name = Annotated[str, msgspec.Meta(min_length=1)]
#: The largest integer that every JSON decoder reads exactly. A larger one could not be sent to
#: peers, and would keep all other entries from reaching them.
MAX_INTEGER = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _EngineEntry(msgspec.Struct, rename="pascal", frozen=True):
    """The entry of an engine that takes work, written by itself; unknown fields are ignored."""

    service: Name
    #: "IP:port"; an engine with an address of another form gets no requests.
    address: Name
    zone: str
    #: Version of its software.
    version: str
    #: Maximum of requests that it runs concurrently.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    state: Literal["ready"]
    #: Milliseconds for which it is still slow after its start.
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    #: Counts the entries that the engine has written.
    sequence: Count
    #: Time of its start, in milliseconds since 1970; not every platform states it.
    born: Count | msgspec.UnsetType = msgspec.field(name="born", default=msgspec.UNSET)


def decode_engine(name: str, value: Any) -> dict[str, Any]:
    """Convert an engine's entry to the format of pondhatch's list of upstreams.

    Anyone with write access to the store may have written it, so it counts as an engine only if
    all its fields are valid. Only a draining engine may have malformed fields: it must get no new
    work in any case. Raises msgspec.ValidationError.
    """
    fields = msgspec.convert(value, dict[str, Any])
    if fields.get("State") == DRAINING:
        return _upstream(name, fields, LEAVING)
    normalized = {field: normalize_number(each) for field, each in fields.items()}
    msgspec.convert(normalized, _EngineEntry)
    return _upstream(name, fields, LIVE)


def _upstream(name: str, fields: Mapping[str, Any], state: str) -> dict[str, Any]:
    return {
        "name": name,
        "service": _text(fields, "Service"),
        "url": f"http://{_text(fields, 'Address')}",
        "hall": _text(fields, "Zone"),
        "state": state,
        "start": _whole_number(fields, "born"),
        "slots": _whole_number(fields, "Slots"),
        "cold_seconds": _whole_number(fields, "ColdRemainingMs") / 1000,
        "software_version": _text(fields, "Version"),
    }


def decode_evacuation(hall: str, value: Any) -> dict[str, Any]:
    """Return the value of a hall's evacuation, which is in force as long as its object exists."""
    return {IN_FORCE: True}


def _text(fields: Mapping[str, Any], field: str) -> str:
    """Return the value of a string field, empty if it is not a string."""
    value = fields.get(field)
    return value if isinstance(value, str) else ""


def _whole_number(fields: Mapping[str, Any], field: str) -> int:
    """Return the value of a whole-number field, 0 if it is not a whole number."""
    try:
        return msgspec.convert(normalize_number(fields.get(field)), Count)
    except msgspec.ValidationError:
        return 0


def _refusal(status: int, value_by_name: Mapping[str, str], notice: Notice) -> EngineRefusal:
    """Return why an engine did not run a request."""
    if status == names.BAD_REQUEST_STATUS:
        return EngineRefusal.BAD_REQUEST
    if status not in names.FULL_STATUSES:
        return EngineRefusal.UNKNOWN
    if notice.is_leaving:
        return EngineRefusal.LEAVING
    if notice.rest > 0:
        return EngineRefusal.OVERLOADED
    # An engine that is leaving closes its connections, but sometimes another one does so too.
    # So this is only a hint: the engine is skipped only if another one can take the request.
    if value_by_name.get("connection", "").lower() == "close":
        return EngineRefusal.LEAVING
    return EngineRefusal.DECLINED if read_load(value_by_name).has_free_slots else EngineRefusal.FULL


class EngineDialect:
    """See UpstreamDialect."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._unreadable_throttle = LogThrottle(UNREADABLE_LOG_SECONDS)

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return the caller's headers, and those that only routers may set.

        Headers that the caller may not set were dropped on arrival; see PlatformCallerDialect.
        """
        router_headers: list[tuple[str, str]] = [
            (names.DEADLINE_MS, str(max(1, int(head.deadline * 1000)))),
            (names.EXPECTED_ENGINE, utf8_value(target.instance or target.name)),
            (names.PRIORITY, str(head.priority)),
        ]
        if head.account:
            router_headers.append((names.ACCOUNT, utf8_value(head.account)))
        if head.context_address:
            router_headers.append((names.CONTEXT_FROM, head.context_address))
        forwarded = head.headers
        if head.last_event_id:
            router_headers.append((names.LAST_EVENT_ID, head.last_event_id))
            forwarded = _without_last_event_id(forwarded)
        return (*forwarded, *router_headers)

    def awaited(self, head: RequestHead) -> AwaitedRequest:
        """Return that engines echo the id that the caller gave its request."""
        return AwaitedRequest(head.caller_id, head.repeatable, must_be_named=True)

    def answered_id(self, value_by_name: Mapping[str, str]) -> str | None:
        """Return the id that an answer echoes, or None."""
        return value_by_name.get(names.ATTEMPT_ID.lower()) or None

    def refusal(self, status: int, value_by_name: Mapping[str, str]) -> EngineRefusal | None:
        """Return why an engine says it did not run a request, or None."""
        if status == names.WRONG_INSTANCE_STATUS:
            return EngineRefusal.WRONG_INSTANCE
        if names.NOT_RUN.lower() not in value_by_name:
            return None
        return _refusal(status, value_by_name, self.notice(status, value_by_name))

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return what an answer's head states about the engine itself."""
        if status == names.WRONG_INSTANCE_STATUS:
            # An engine other than the intended one may have answered.
            return NO_NOTICE
        is_leaving = value_by_name.get(names.LEAVING.lower(), "").strip() == IS_LEAVING
        load = read_load(value_by_name)
        if not load.is_readable and self._unreadable_throttle.allows(self._clock()):
            value = value_by_name[names.LOAD.lower()][:LOGGED_CHARACTERS]
            log.warning("An engine's {} header cannot be read: {!r}.", names.LOAD, value)
        refusal_limit = read_refusal_limit(value_by_name)
        retry_after = value_by_name.get(names.RETRY_AFTER.lower())
        if retry_after is None or status not in names.FULL_STATUSES:
            return Notice(is_leaving, pace=load.pace, refusal_limit=refusal_limit)
        rest = seconds_to_wait(retry_after, time.time())
        has_free_slots = rest > 0 and load.has_free_slots
        return Notice(is_leaving, rest, has_free_slots, load.pace, refusal_limit)

    def answer_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return the headers of an answer that an engine may send to a caller."""
        return OWNERS.from_upstream(headers, note)

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return None: a stream ends with its answer, and no event marks the end."""
        return None


def _without_last_event_id(headers: Headers) -> Headers:
    """Return headers without the caller's position in a stream, as the router has read further."""
    name = names.LAST_EVENT_ID.lower()
    return tuple(pair for pair in headers if pair[0].lower() != name)


class NoOrders:
    """Sends no orders, as others control this platform's engines; see EngineOrders."""

    async def state(self, url: str) -> NoReply:
        """Return that engines cannot be queried."""
        return NoReply("this platform's engines take no orders from routers")

    async def order(
        self, url: str, desired: DesiredState, fencing: int, seconds: float
    ) -> NotTaken:
        """Return that the order was not executed."""
        return NotTaken("this platform's engines take no orders from routers")
