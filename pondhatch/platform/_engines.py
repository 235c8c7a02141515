"""Engines: their entries in the store, and the headers that they speak."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Literal

import msgspec

from pondhatch.authority import DesiredState, NoReply, NotTaken
from pondhatch.observing import LogThrottle, log_for
from pondhatch.placement import NO_NOTICE, Notice
from pondhatch.platform import _names as names
from pondhatch.platform._engine_load import read_load
from pondhatch.platform._entries import normalize_number
from pondhatch.platform._header_owners import OWNERS
from pondhatch.requests import AnswerKind, EngineRefusal, Headers, RequestHead, Target
from pondhatch.store import IN_FORCE, LEAVING, LIVE
from pondhatch.transport import NoteDropped, seconds_to_wait, utf8_value

log = log_for("engines")

#: What an engine that takes no new work says of itself.
DRAINING = "draining"
#: Value of the header of one that is about to end.
IS_LEAVING = "1"
#: Seconds between two log lines on load headers that cannot be read; one engine may send many
#: a second.
UNREADABLE_LOG_SECONDS = 60.0
#: Characters of such a header that are logged.
LOGGED_CHARACTERS = 80

#: A name of a service, or of anything that must not be empty.
Name = Annotated[str, msgspec.Meta(min_length=1)]
#: The largest whole number that every reader of JSON takes as it is written. A larger one could
#: not be passed on to peers, and would keep all other entries from them.
MAX_INTEGER = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _EngineEntry(msgspec.Struct, rename="pascal", frozen=True):
    """What an engine that takes work writes of itself; what nobody knows may stand beside."""

    service: Name
    #: "IP:port"; where it is none, the list of upstreams sends no requests there.
    address: Name
    zone: str
    #: Of its software.
    version: str
    #: Requests that it runs at once.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    state: Literal["ready"]
    #: For how much longer it is slow after its start.
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    #: Counts its own entries.
    sequence: Count
    #: When it started, in milliseconds since 1970; not every platform says so.
    born: Count | msgspec.UnsetType = msgspec.field(name="born", default=msgspec.UNSET)


def decode_engine(name: str, value: Any) -> dict[str, Any]:
    """Return an engine's entry as the product's list of upstreams holds it.

    Whoever may write to the store may have written it, so it names an engine only where all of
    it is as engines write it; but for one that leaves, which must get no new work whatever else
    it says. Raises msgspec.ValidationError.
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
    }


def decode_evacuation(hall: str, value: Any) -> dict[str, Any]:
    """Return what an object that asks for a hall's evacuation says: all by being there."""
    return {IN_FORCE: True}


def _text(fields: Mapping[str, Any], field: str) -> str:
    """Return a field that is a text, empty where it is none."""
    value = fields.get(field)
    return value if isinstance(value, str) else ""


def _whole_number(fields: Mapping[str, Any], field: str) -> int:
    """Return a field that is a whole number, 0 where it is none."""
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
    # An engine that is leaving closes its connections, and now and then another one does,
    # so this is a hint: it is passed over only where another can take the request.
    if value_by_name.get("connection", "").lower() == "close":
        return EngineRefusal.LEAVING
    return EngineRefusal.DECLINED if read_load(value_by_name).has_free_slots else EngineRefusal.FULL


class EngineDialect:
    """See UpstreamDialect."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._unreadable_throttle = LogThrottle(UNREADABLE_LOG_SECONDS)

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return what the client may say, and what only routers may.

        What the client may not say was dropped as it came; see ClientDialect.
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

    def judge(
        self, head: RequestHead, status: int, value_by_name: Mapping[str, str]
    ) -> AnswerKind | EngineRefusal:
        """Say what an answer's head means."""
        if status == names.WRONG_INSTANCE_STATUS:
            return EngineRefusal.WRONG_INSTANCE
        if names.NOT_RUN.lower() in value_by_name:
            return _refusal(status, value_by_name, self.notice(status, value_by_name))
        if value_by_name.get(names.ATTEMPT_ID.lower(), "") != head.caller_id:
            return AnswerKind.CROSSED
        return AnswerKind.ANSWERED

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return what an answer's head says of the engine itself."""
        if status == names.WRONG_INSTANCE_STATUS:
            # Another engine than the one meant may have answered.
            return NO_NOTICE
        is_leaving = value_by_name.get(names.LEAVING.lower(), "").strip() == IS_LEAVING
        load = read_load(value_by_name)
        if not load.is_readable and self._unreadable_throttle.allows(self._clock()):
            value = value_by_name[names.LOAD.lower()][:LOGGED_CHARACTERS]
            log.warning("an engine's {} cannot be read: {!r}", names.LOAD, value)
        retry_after = value_by_name.get(names.RETRY_AFTER.lower())
        if retry_after is None or status not in names.FULL_STATUSES:
            return Notice(is_leaving, pace=load.pace)
        rest = seconds_to_wait(retry_after, time.time())
        return Notice(is_leaving, rest, rest > 0 and load.has_free_slots, load.pace)

    def answer_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return the headers of an answer that an engine may say to a client."""
        return OWNERS.from_upstream(headers, note)

    def last_event(self, head: RequestHead) -> bytes | None:
        """Streams end as answers do; no event marks the end."""
        return None


def _without_last_event_id(headers: Headers) -> Headers:
    """Return headers without the client's place in a stream: the router has got beyond it."""
    name = names.LAST_EVENT_ID.lower()
    return tuple(pair for pair in headers if pair[0].lower() != name)


class NoOrders:
    """Engines here are told what to hold by others; see EngineOrders."""

    async def state(self, url: str) -> NoReply:
        """Say that nothing can be asked."""
        return NoReply("this platform's engines take no orders from routers")

    async def order(self, url: str, wanted: DesiredState, fencing: int, seconds: float) -> NotTaken:
        """Say that nothing was done."""
        return NotTaken("this platform's engines take no orders from routers")
