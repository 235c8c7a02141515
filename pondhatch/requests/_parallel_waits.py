"""One request's wait in the queues of several engines at once, until the first grant."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from pondhatch.placement import Granted
from pondhatch.requests._grant_requests import (
    Busy,
    EndReason,
    GrantRequest,
    Grants,
    NotOwner,
    OwnerReply,
)

#: Queues in which a request waits at once at most.
MAX_QUEUES = 4
#: Seconds between two looks at who owns the engines: an owner that dies takes its queue along,
#: and is found out by its peers within about two seconds.
OWNER_CHECK_SECONDS = 0.25
#: Seconds beyond its own wait for which a request waits for the owners' final replies.
FINAL_REPLY_GRACE = 0.01

#: Seconds of a pause at least: a shorter one may end before the clock has moved.
MIN_PAUSE = 0.001


class FirstGrant(msgspec.Struct, frozen=True):
    """The first grant of all."""

    question: GrantRequest
    granted: Granted


class NotGranted(msgspec.Struct, frozen=True):
    """No engine had a place in time; what each owner said last, by engine."""

    reply_by_engine: dict[str, OwnerReply]


class _PendingRequest(msgspec.Struct, frozen=True):
    """A question that waits at its engine's owner."""

    question: GrantRequest
    #: The router that owned the engine when it was asked.
    owner: str | None


class ParallelWait:
    """Asks the owners of several engines for one request, and keeps exactly one grant."""

    def __init__(
        self,
        grants: Grants,
        owner_name: Callable[[str], str | None],
        ask: Callable[[GrantRequest], Coroutine[Any, Any, OwnerReply]],
        question: Callable[[str, float], GrantRequest],
    ) -> None:
        self._grants = grants
        self._owner_name = owner_name
        self._ask = ask
        #: Returns the question about an engine whose request may wait for so many seconds.
        self._grant_request = question
        self._pending_by_task: dict[asyncio.Task[OwnerReply], _PendingRequest] = {}
        self._reply_by_engine: dict[str, OwnerReply] = {}

    async def first_grant(
        self, engines: tuple[str, ...], seconds: float
    ) -> FirstGrant | NotGranted:
        """Return the first grant within some seconds; the other queues drop the request."""
        clock = asyncio.get_running_loop().time
        until, check_at = clock() + seconds, clock() + OWNER_CHECK_SECONDS
        try:
            for engine in engines:
                self._start(engine, seconds)
            while (left := until - clock()) > -FINAL_REPLY_GRACE and self._may_be_granted(
                engines, left
            ):
                await self._wait(max(MIN_PAUSE, min(left + FINAL_REPLY_GRACE, check_at - clock())))
                grant = self._take_replies()
                if grant is not None:
                    return grant
                if clock() >= check_at:
                    check_at = clock() + OWNER_CHECK_SECONDS
                    self._ask_new_owners(engines, until - clock())
        finally:
            self._withdraw()
        return NotGranted(self._reply_by_engine)

    def _start(self, engine: str, seconds: float) -> None:
        grant_request = self._grant_request(engine, seconds)
        task = asyncio.ensure_future(self._ask(grant_request))
        self._pending_by_task[task] = _PendingRequest(grant_request, self._owner_name(engine))

    async def _wait(self, seconds: float) -> None:
        """Wait for an owner's final reply, or some seconds."""
        if self._pending_by_task:
            await asyncio.wait(
                self._pending_by_task, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(seconds)

    def _take_replies(self) -> FirstGrant | None:
        """Take in the final replies that have come; return the first grant among them."""
        for task, pending in tuple(self._pending_by_task.items()):
            if not task.done():
                continue
            del self._pending_by_task[task]
            reply = task.result()
            if isinstance(reply, Granted):
                return FirstGrant(pending.question, reply)
            self._reply_by_engine[pending.question.engine] = reply
        return None

    def _may_be_granted(self, engines: tuple[str, ...], left: float) -> bool:
        """Return whether a grant may still come."""
        if self._pending_by_task:
            return True
        return left > 0 and any(self._lacks_queue_reply(engine) for engine in engines)

    def _lacks_queue_reply(self, engine: str) -> bool:
        """Return whether an engine's owner said nothing of the wait there.

        So it is where the owner died, and another router decided by what it knew.
        """
        reply = self._reply_by_engine.get(engine)
        if isinstance(reply, Busy):
            return not (reply.predicted_ms or reply.retry_after_ms)
        return isinstance(reply, NotOwner)

    def _ask_new_owners(self, engines: tuple[str, ...], left: float) -> None:
        """Ask anew where the owner changed, and where none said anything of the wait."""
        if left <= 0:
            return
        for task, pending in tuple(self._pending_by_task.items()):
            engine = pending.question.engine
            owner = self._owner_name(engine)
            if not task.done() and owner is not None and owner != pending.owner:
                del self._pending_by_task[task]
                task.cancel()
                self._start(engine, left)
        waiting = {asked.question.engine for asked in self._pending_by_task.values()}
        for engine in engines:
            if engine not in waiting and self._lacks_queue_reply(engine):
                del self._reply_by_engine[engine]
                self._start(engine, left)

    def _withdraw(self) -> None:
        """Leave the queues, and give back a second grant that came in the same moment."""
        for task, pending in self._pending_by_task.items():
            if not task.done():
                task.cancel()
            elif not task.cancelled():
                self._release_if_granted(task, pending)
        self._pending_by_task.clear()

    def _release_if_granted(self, task: asyncio.Task[OwnerReply], pending: _PendingRequest) -> None:
        error = task.exception()
        if error is not None:
            context = {"message": "A question to an engine's owner failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
        elif isinstance(task.result(), Granted):
            self._grants.release(pending.question.number, EndReason.NEUTRAL)
