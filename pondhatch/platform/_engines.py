"""Engines: their entries in the store, and the headers that they speak."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pondhatch.authority import NotTaken, Silent, Wanted
from pondhatch.platform import _names as names
from pondhatch.requests import EngineRefusal, Headers, Judged, RequestHead, Target
from pondhatch.store import LEAVING, LIVE
from pondhatch.transport import HOP_HEADERS, utf8_value

#: What an engine that takes no new work says of itself.
DRAINING = "draining"
#: Headers of a client's request that the router replaces or keeps to itself.
REPLACED_HEADERS = HOP_HEADERS | {
    "content-length",
    "expect",
    names.AUTHORIZATION.lower(),
    names.ACCOUNT.lower(),
    names.DEADLINE_MS.lower(),
    names.EXPECTED_ENGINE.lower(),
    names.PRIORITY.lower(),
    names.CONTEXT_FROM.lower(),
}


class _Entry(msgspec.Struct, rename="pascal", frozen=True):
    """An engine's entry, as it keeps it itself."""

    service: str
    #: "IP:port".
    address: str
    #: The data hall.
    zone: str = ""
    #: Requests that it runs at once; it queues a few more.
    slots: int = 0
    #: "ready" or "draining".
    state: str = ""


def decode_engine(name: str, value: Any) -> dict[str, Any]:
    """Return an engine's entry as the product's list of upstreams holds it."""
    entry = msgspec.convert(value, _Entry)
    return {
        "name": name,
        "service": entry.service,
        "url": f"http://{entry.address}",
        "hall": entry.zone,
        "state": LEAVING if entry.state == DRAINING else LIVE,
        "slots": entry.slots,
    }


def _refusal(status: int, value_by_name: Mapping[str, str]) -> EngineRefusal:
    """Return why an engine did not run a request."""
    if status == names.BAD_REQUEST_STATUS:
        return EngineRefusal.BAD_REQUEST
    if status not in names.FULL_STATUSES:
        return EngineRefusal.UNKNOWN
    # An engine that is leaving closes its connections, and now and then another one does,
    # so this is a hint: it is passed over only where another can take the request.
    if value_by_name.get("connection", "").lower() == "close":
        return EngineRefusal.LEAVING
    return EngineRefusal.FULL


class EngineDialect:
    """See UpstreamDialect."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return the client's headers with those that the router owns put in."""
        own: list[tuple[str, str]] = [
            (names.DEADLINE_MS, str(max(1, int(head.deadline * 1000)))),
            (names.EXPECTED_ENGINE, utf8_value(target.name)),
            (names.PRIORITY, str(head.priority)),
        ]
        if head.account:
            own.append((names.ACCOUNT, utf8_value(head.account)))
        if head.context_from:
            own.append((names.CONTEXT_FROM, head.context_from))
        replaced = REPLACED_HEADERS
        if head.after_event:
            own.append((names.LAST_EVENT_ID, head.after_event))
            replaced = REPLACED_HEADERS | {names.LAST_EVENT_ID.lower()}
        passed_on = [pair for pair in head.headers if pair[0].lower() not in replaced]
        return (*passed_on, *own)

    def judge(
        self, head: RequestHead, status: int, value_by_name: Mapping[str, str]
    ) -> Judged | EngineRefusal:
        """Say what an answer's head means."""
        if status == names.OTHER_ENGINE_STATUS:
            return EngineRefusal.NOT_THE_ONE
        if names.NOT_RUN.lower() in value_by_name:
            return _refusal(status, value_by_name)
        if value_by_name.get(names.ATTEMPT_ID.lower(), "") != head.caller_id:
            return Judged.CROSSED
        return Judged.ANSWERED

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that are the client's business."""
        return tuple(pair for pair in headers if pair[0].lower() not in HOP_HEADERS)

    def last_event(self, head: RequestHead) -> bytes | None:
        """Streams end as answers do; no event marks the end."""
        return None


class NoOrders:
    """Engines here are told what to hold by others; see EngineOrders."""

    async def state(self, url: str) -> Silent:
        """Say that nothing can be asked."""
        return Silent("this platform's engines take no orders from routers")

    async def order(self, url: str, wanted: Wanted, fencing: int, seconds: float) -> NotTaken:
        """Say that nothing was done."""
        return NotTaken("this platform's engines take no orders from routers")
