"""Sending a granted request to its upstream, and giving the grant back when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec.structs import replace

from pondhatch.placement import USUAL_PACE, ClosedReason, Intake, Notice, Regions
from pondhatch.requests._messages import (
    AnswerStream,
    BodySource,
    Headers,
    Lost,
    Opened,
    PartSink,
    RequestHead,
)
from pondhatch.requests._outcomes import NotRun, Unknown
from pondhatch.requests._questions import Ended

#: The least status that says that an upstream failed by itself.
FAILURE_STATUS = 500
#: Above it, but no failure of an upstream's own: the request's time was over.
OUT_OF_TIME_STATUS = 504


class Target(msgspec.Struct, frozen=True):
    """An upstream as those who ask for it and send to it need it."""

    name: str
    url: str
    #: For which requests, and how fast, it may take work now.
    intake: Intake
    #: The service's set multiple of the mean.
    bound: float
    #: How many upstreams of the service take work.
    peers: int
    #: Requests that it can take at once, whatever the mean.
    slots: int
    #: Requests that it queues itself beyond those.
    engine_queue: int = 0
    #: Requests above the multiple of the mean that it may hold.
    slack: int = 0
    #: Whether it takes contexts over from other engines of its service.
    shares_context: bool = False
    #: The id that it answers to; empty where its name is that.
    instance: str = ""
    #: Its processing time in percent of usual, as far as it is known now.
    pace: int = USUAL_PACE
    #: Tokens that its memory holds; None where that is not known.
    memory_tokens: int | None = None
    #: Idle connections that this router may keep to it; None where nothing says how many.
    most_idle: int | None = None


#: What is told of an upstream that may not be sent a request.
_TOLD = {
    ClosedReason.LEAVING: "takes no new work",
    ClosedReason.EVACUATED: "stands in a data hall that is evacuated",
    ClosedReason.OUTSIDE_REGIONS: "stands outside the regions that the request may run in",
    ClosedReason.RESTING: "turned a request away and wants a rest",
}


def open_target(
    target: Target | None, upstream: str, resuming: bool, regions: Regions = None
) -> Target | NotRun:
    """Return an upstream that may be sent a request, or the rest of one, else why it may not."""
    if target is None:
        return NotRun(ClosedReason.LEAVING, f"{upstream} is gone")
    closed = target.intake.closed_reason(regions, resuming)
    return target if closed is None else _closed(target, closed, target.intake.rest.for_this_router)


def grantable_target(target: Target | None, upstream: str, resuming: bool) -> Target | NotRun:
    """Return an upstream that may be granted to some router, else why it may not."""
    if target is None:
        return NotRun(ClosedReason.LEAVING, f"{upstream} is gone")
    closed = target.intake.closed_reason_for_all(resuming)
    return target if closed is None else _closed(target, closed, target.intake.rest.for_all_routers)


def _closed(target: Target, why: ClosedReason, rest: float) -> NotRun:
    told = NotRun(why, f"{target.name} {_TOLD[why]}")
    return replace(told, retry_after=rest) if why is ClosedReason.RESTING else told


class Upstreams(Protocol):
    """Connections to upstreams."""

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> Opened | NotRun | Unknown:
        """Send a request once; never repeat it."""


class UpstreamView(Protocol):
    """What the connections to upstreams go by, and tell of them."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Return why a request may not be sent to an upstream now, None where it may.

        Asked last of all, right before its first byte goes out.
        """

    def heard(self, upstream: str, notice: Notice) -> None:
        """Take in what an upstream said of itself in the head of an answer."""


class NoUpstreamView:
    """Knows nothing of upstreams; see UpstreamView."""

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        """Say that it may be sent."""
        return None

    def heard(self, upstream: str, notice: Notice) -> None:
        """Do nothing."""


def is_own_failure(status: int) -> bool:
    """Return whether an upstream's answer is a failure of its own."""
    return status >= FAILURE_STATUS and status != OUT_OF_TIME_STATUS


def _ended_with(status: int) -> Ended:
    """Return what a whole answer tells of its engine."""
    return Ended.ERRED if is_own_failure(status) else Ended.ANSWERED


class GrantedAnswer:
    """An answer that gives its grant back when it ends, once, in whatever way."""

    def __init__(self, answer: AnswerStream, release: Callable[[Ended], None]) -> None:
        self._answer = answer
        self._release: Callable[[Ended], None] | None = release
        self.status: int = answer.status
        self.headers: Headers = answer.headers

    async def pour(self, sink: PartSink) -> None:
        """Hand every part to a sink; see AnswerStream."""
        ended = Ended.NOTHING
        try:
            await self._answer.pour(sink)
            ended = _ended_with(self.status)
        except Lost:
            ended = Ended.FAILED
            raise
        finally:
            self._end(ended)

    def cancel(self) -> None:
        """Give the answer up and the grant back; that it is a failure its head has told."""
        self._answer.cancel()
        self._end(Ended.ERRED if is_own_failure(self.status) else Ended.NOTHING)

    def _end(self, ended: Ended) -> None:
        release, self._release = self._release, None
        if release is not None:
            release(ended)
