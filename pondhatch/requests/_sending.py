"""Sending a granted request to its upstream, and releasing the grant when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec.structs import replace

from pondhatch.placement import USUAL_PACE, ClosedReason, Intake, Notice
from pondhatch.requests._grant_requests import EndReason
from pondhatch.requests._messages import (
    AnswerLost,
    AnswerStarted,
    AnswerStream,
    BodySource,
    Headers,
    PartSink,
    RequestHead,
)
from pondhatch.requests._outcomes import NotRun, Unknown

#: The lowest status of a server error.
FAILURE_STATUS = 500
#: A status above it that is no failure of the upstream: the request's deadline passed.
TIMEOUT_STATUS = 504


class Target(msgspec.Struct, frozen=True):
    """An upstream's data for granting and sending requests."""

    name: str
    url: str
    #: Which requests it may take now, and how fast.
    intake: Intake
    #: The service's configured bound on its load, as a multiple of the mean load.
    load_bound: float
    #: Number of the service's upstreams that take requests.
    open_upstream_count: int
    #: Requests that it can run at once, regardless of the mean load.
    slots: int
    #: Requests that it queues itself beyond its slots.
    engine_queue: int = 0
    #: Requests that it may hold beyond the load bound.
    load_slack: int = 0
    #: Whether it can fetch contexts from other engines of its service.
    shares_context: bool = False
    #: Its instance id in requests and answers; empty if that is its name.
    instance: str = ""
    #: Its current processing time in percent of usual, as far as known.
    pace: int = USUAL_PACE
    #: Capacity of its memory in tokens; None if unknown.
    memory_tokens: int | None = None
    #: Idle connections that this router may keep to it; None if no limit is known.
    max_idle_connections: int | None = None
    #: How many requests it may refuse within a second without failing; None if any number.
    refusal_limit: int | None = None
    #: Version of its software; empty if it states none.
    software_version: str = ""


#: Explanation for each reason why an upstream may not be sent a request.
_TEXT_BY_CLOSED = {
    ClosedReason.LEAVING: "takes no new work",
    ClosedReason.EVACUATED: "stands in a data hall that is evacuated",
    ClosedReason.OUTSIDE_REGIONS: "stands outside the regions that the request may run in",
    ClosedReason.RESTING: "turned a request away and wants a rest",
    ClosedReason.OTHER_SOFTWARE_VERSION: "is not of the software version that began the stream",
}


def open_target(target: Target | None, upstream: str, head: RequestHead) -> Target | NotRun:
    """Return the upstream if it may be sent a request or a resumption, else why not."""
    if target is None:
        return NotRun(ClosedReason.LEAVING, f"{upstream} is gone")
    if head.software_version not in (None, target.software_version):
        return _closed_refusal(target, ClosedReason.OTHER_SOFTWARE_VERSION, 0.0)
    closed = target.intake.closed_reason(head.regions, head.resuming)
    return (
        target
        if closed is None
        else _closed_refusal(target, closed, target.intake.rest.for_this_router)
    )


def grantable_target(target: Target | None, upstream: str, resuming: bool) -> Target | NotRun:
    """Return the upstream if some router may send it the request, else why not."""
    if target is None:
        return NotRun(ClosedReason.LEAVING, f"{upstream} is gone")
    closed = target.intake.closed_reason_for_all(resuming)
    return (
        target
        if closed is None
        else _closed_refusal(target, closed, target.intake.rest.for_all_routers)
    )


def _closed_refusal(target: Target, why: ClosedReason, rest: float) -> NotRun:
    refusal = NotRun(why, f"{target.name} {_TEXT_BY_CLOSED[why]}")
    return replace(refusal, retry_after=rest) if why is ClosedReason.RESTING else refusal


class Upstreams(Protocol):
    """Connections to upstreams."""

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> AnswerStarted | NotRun | Unknown:
        """Send a request once; never repeat it."""


class UpstreamView(Protocol):
    """What connections to upstreams need to know, and where they report notices."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return why a request may not be sent to an upstream now, or None if it may.

        The last check, right before the first byte is sent.
        """

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Handle the notice that an upstream gave in the head of an answer."""

    def record_refusal_limit(self, upstream: str, refusal_limit: int | None) -> None:
        """Record the limit that an upstream stated in the head of an answer, None for none."""


class NoUpstreamView:
    """Knows nothing of upstreams; see UpstreamView."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return None: any request may be sent."""
        return None

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Do nothing."""

    def record_refusal_limit(self, upstream: str, refusal_limit: int | None) -> None:
        """Do nothing."""


def is_upstream_failure(status: int) -> bool:
    """Return whether a status means that the upstream itself failed."""
    return status >= FAILURE_STATUS and status != TIMEOUT_STATUS


def _end_reason_of(status: int) -> EndReason:
    """Return the end reason of a complete answer with this status."""
    return EndReason.ENGINE_ERROR if is_upstream_failure(status) else EndReason.ANSWERED


class GrantedAnswer:
    """An answer that releases its grant exactly once when it ends, for any reason."""

    def __init__(self, answer: AnswerStream, release: Callable[[EndReason], None]) -> None:
        self._answer = answer
        self._release: Callable[[EndReason], None] | None = release
        self.status: int = answer.status
        self.headers: Headers = answer.headers

    async def stream_to(self, sink: PartSink) -> None:
        """Write every part to a sink; see AnswerStream."""
        ended = EndReason.NEUTRAL
        try:
            await self._answer.stream_to(sink)
            ended = _end_reason_of(self.status)
        except AnswerLost:
            ended = EndReason.CONNECTION_FAILED
            raise
        finally:
            self._end(ended)

    def cancel(self) -> None:
        """Abandon the answer and release the grant; a server error is known from the head."""
        self._answer.cancel()
        self._end(EndReason.ENGINE_ERROR if is_upstream_failure(self.status) else EndReason.NEUTRAL)

    def _end(self, end_reason: EndReason) -> None:
        release, self._release = self._release, None
        if release is not None:
            release(end_reason)
