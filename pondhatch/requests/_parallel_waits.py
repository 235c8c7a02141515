"""Waiting in the queues of several engines at once until the first of them grants."""

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

#: Maximum number of queues in which a request waits at once.
MAX_QUEUES = 4
#: Seconds between two checks of who owns the engines: an owner that dies loses its queue, and
#: its peers detect that within about two seconds.
OWNER_CHECK_SECONDS = 0.25
#: Seconds after the end of its wait for which a request waits for the owners' final replies.
FINAL_REPLY_GRACE = 0.01

#: Minimum pause in seconds: a shorter one may end before the clock has advanced.
MIN_PAUSE = 0.001


class FirstGrant(msgspec.Struct, frozen=True):
    """The first grant among several engines."""

    grant_request: GrantRequest
    granted: Granted


class NotGranted(msgspec.Struct, frozen=True):
    """No engine had a free slot in time; each owner's last reply, by engine."""

    reply_by_engine: dict[str, OwnerReply]


class _PendingRequest(msgspec.Struct, frozen=True):
    """A grant request that waits at its engine's owner."""

    grant_request: GrantRequest
    #: The router that owned the engine when it was asked.
    owner: str | None


class ParallelWait:
    """Asks the owners of several engines on behalf of one request; keeps at most one grant."""

    def __init__(
        self,
        grants: Grants,
        owner_name: Callable[[str], str | None],
        ask: Callable[[GrantRequest], Coroutine[Any, Any, OwnerReply]],
        new_request: Callable[[str, float], GrantRequest],
    ) -> None:
        self._grants = grants
        self._owner_name = owner_name
        self._ask = ask
        #: Returns the grant request for an engine, given the seconds that it may wait there.
        self._new_request = new_request
        self._pending_by_task: dict[asyncio.Task[OwnerReply], _PendingRequest] = {}
        self._reply_by_engine: dict[str, OwnerReply] = {}

    async def first_grant(
        self, engines: tuple[str, ...], seconds: float
    ) -> FirstGrant | NotGranted:
        """Return the first grant within ``seconds``, and leave the other queues."""
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
        grant_request = self._new_request(engine, seconds)
        task = asyncio.ensure_future(self._ask(grant_request))
        self._pending_by_task[task] = _PendingRequest(grant_request, self._owner_name(engine))

    async def _wait(self, seconds: float) -> None:
        """Wait for an owner's final reply, for at most ``seconds``."""
        if self._pending_by_task:
            await asyncio.wait(
                self._pending_by_task, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(seconds)

    def _take_replies(self) -> FirstGrant | None:
        """Record the final replies that have arrived; return the first grant among them."""
        for task, pending in tuple(self._pending_by_task.items()):
            if not task.done():
                continue
            del self._pending_by_task[task]
            reply = task.result()
            if isinstance(reply, Granted):
                return FirstGrant(pending.grant_request, reply)
            self._reply_by_engine[pending.grant_request.engine] = reply
        return None

    def _may_be_granted(self, engines: tuple[str, ...], left: float) -> bool:
        """Return whether a grant may still come."""
        if self._pending_by_task:
            return True
        return left > 0 and any(self._lacks_queue_reply(engine) for engine in engines)

    def _lacks_queue_reply(self, engine: str) -> bool:
        """Return whether an engine's final reply did not come from its owner's queue.

        This happens if the owner died and another router decided in its place.
        """
        reply = self._reply_by_engine.get(engine)
        if isinstance(reply, Busy):
            return not (reply.predicted_ms or reply.retry_after_ms)
        return isinstance(reply, NotOwner)

    def _ask_new_owners(self, engines: tuple[str, ...], left: float) -> None:
        """Ask again where the owner changed or the last reply did not come from a queue."""
        if left <= 0:
            return
        for task, pending in tuple(self._pending_by_task.items()):
            engine = pending.grant_request.engine
            owner = self._owner_name(engine)
            if not task.done() and owner is not None and owner != pending.owner:
                del self._pending_by_task[task]
                task.cancel()
                self._start(engine, left)
        queued_engines = {
            pending.grant_request.engine for pending in self._pending_by_task.values()
        }
        for engine in engines:
            if engine not in queued_engines and self._lacks_queue_reply(engine):
                del self._reply_by_engine[engine]
                self._start(engine, left)

    def _withdraw(self) -> None:
        """Leave the queues, and release any second grant that arrived at the same time."""
        for task, pending in self._pending_by_task.items():
            if not task.done():
                task.cancel()
            elif not task.cancelled():
                self._release_if_granted(task, pending)
        self._pending_by_task.clear()

    def _release_if_granted(self, task: asyncio.Task[OwnerReply], pending: _PendingRequest) -> None:
        error = task.exception()
        if error is not None:
            context = {"message": "A grant request to an engine's owner failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
        elif isinstance(task.result(), Granted):
            self._grants.release(pending.grant_request.number, EndReason.NEUTRAL)
