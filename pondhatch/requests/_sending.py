"""Sending a granted request to its upstream, and giving the grant back when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec.structs import replace

from pondhatch.placement import USUAL_PACE, Closed, Intake, Notice, Regions
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

#: The least status that says that an upstream failed by itself.
FAILURE_STATUS = 500
#: Above it, but no failure of an upstream's own: the request's time was over.
TIMEOUT_STATUS = 504


class Target(msgspec.Struct, frozen=True):
    """An upstream as those who ask for it and send to it need it."""

    name: str
    url: str
    #: For which requests, and how fast, it may take work now.
    intake: Intake
    #: The service's set multiple of the mean.
    load_bound: float
    #: How many upstreams of the service take work.
    peers: int
    #: Requests that it can take at once, whatever the mean.
    slots: int
    #: Requests that it queues itself beyond those.
    engine_queue: int = 0
    #: Requests above the multiple of the mean that it may hold.
    load_slack: int = 0
    #: Whether it takes contexts over from other engines of its service.
    shares_context: bool = False
    #: The id that it answers to; empty where its name is that.
    instance: str = ""
    #: Its processing time in percent of usual, as far as it is known now.
    pace: int = USUAL_PACE
    #: Tokens that its memory holds; None where that is not known.
    memory_tokens: int | None = None
    #: Idle connections that this router may keep to it; None where nothing says how many.
    max_idle_connections: int | None = None


#: What is told of an upstream that may not be sent a request.
_TEXT_BY_CLOSED = {
    Closed.LEAVING: "takes no new work",
    Closed.EVACUATED: "stands in a data hall that is evacuated",
    Closed.OUTSIDE_REGIONS: "stands outside the regions that the request may run in",
    Closed.RESTING: "turned a request away and wants a rest",
}


def open_target(
    target: Target | None, upstream: str, resuming: bool, regions: Regions = None
) -> Target | NotRun:
    """Return an upstream that may be sent a request, or the rest of one, else why it may not."""
    if target is None:
        return NotRun(Closed.LEAVING, f"{upstream} is gone")
    closed = target.intake.closed_to(regions, resuming)
    return target if closed is None else _closed_refusal(target, closed, target.intake.rest.own)


def grantable_target(target: Target | None, upstream: str, resuming: bool) -> Target | NotRun:
    """Return an upstream that may be granted to some router, else why it may not."""
    if target is None:
        return NotRun(Closed.LEAVING, f"{upstream} is gone")
    closed = target.intake.closed_to_all(resuming)
    return target if closed is None else _closed_refusal(target, closed, target.intake.rest.of_all)


def _closed_refusal(target: Target, why: Closed, rest: float) -> NotRun:
    refusal = NotRun(why, f"{target.name} {_TEXT_BY_CLOSED[why]}")
    return replace(refusal, retry_after=rest) if why is Closed.RESTING else refusal


class Upstreams(Protocol):
    """Connections to upstreams."""

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> AnswerStarted | NotRun | Unknown:
        """Send a request once; never repeat it."""


class UpstreamView(Protocol):
    """What the connections to upstreams go by, and tell of them."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return why a request may not be sent to an upstream now, None where it may.

        Asked last of all, right before its first byte goes out.
        """

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Take in what an upstream said of itself in the head of an answer."""


class NoUpstreamView:
    """Knows nothing of upstreams; see UpstreamView."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Say that it may be sent."""
        return None

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        """Do nothing."""


def is_own_failure(status: int) -> bool:
    """Return whether an upstream's answer is a failure of its own."""
    return status >= FAILURE_STATUS and status != TIMEOUT_STATUS


def _end_reason_of(status: int) -> EndReason:
    """Return what a whole answer tells of its engine."""
    return EndReason.ENGINE_ERROR if is_own_failure(status) else EndReason.ANSWERED


class GrantedAnswer:
    """An answer that gives its grant back when it ends, once, in whatever way."""

    def __init__(self, answer: AnswerStream, release: Callable[[EndReason], None]) -> None:
        self._answer = answer
        self._release: Callable[[EndReason], None] | None = release
        self.status: int = answer.status
        self.headers: Headers = answer.headers

    async def pour(self, sink: PartSink) -> None:
        """Hand every part to a sink; see AnswerStream."""
        ended = EndReason.NEUTRAL
        try:
            await self._answer.pour(sink)
            ended = _end_reason_of(self.status)
        except AnswerLost:
            ended = EndReason.CONNECTION_FAILED
            raise
        finally:
            self._end(ended)

    def cancel(self) -> None:
        """Give the answer up and the grant back; that it is a failure its head has told."""
        self._answer.cancel()
        self._end(EndReason.ENGINE_ERROR if is_own_failure(self.status) else EndReason.NEUTRAL)

    def _end(self, end_reason: EndReason) -> None:
        release, self._release = self._release, None
        if release is not None:
            release(end_reason)
