"""One request's wait in the queues of several engines at once, until the first grant."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from pondhatch.placement import Granted
from pondhatch.requests._questions import Busy, Ended, Grants, NotOwner, OwnerReply, Question

#: Queues in which a request waits at once at most.
MOST_QUEUES = 4
#: Seconds between two looks at who owns the engines: an owner that dies takes its queue along,
#: and is found out by its peers within about two seconds.
OWNER_CHECK_SECONDS = 0.25
#: Seconds beyond its own wait for which a request waits for the owners' final replies.
FINAL_REPLY_SECONDS = 0.01

#: Seconds of a pause at least: a shorter one may end before the clock has moved.
SHORTEST_PAUSE = 0.001


class FirstGrant(msgspec.Struct, frozen=True):
    """The first grant of all."""

    question: Question
    granted: Granted


class NotGranted(msgspec.Struct, frozen=True):
    """No engine had a place in time; what each owner said last, by engine."""

    reply_by_engine: dict[str, OwnerReply]


class _Asked(msgspec.Struct, frozen=True):
    """A question that waits at its engine's owner."""

    question: Question
    #: The router that owned the engine when it was asked.
    owner: str | None


class Queues:
    """Asks the owners of several engines for one request, and keeps exactly one grant."""

    def __init__(
        self,
        grants: Grants,
        owner_name: Callable[[str], str | None],
        ask: Callable[[Question], Coroutine[Any, Any, OwnerReply]],
        question: Callable[[str, float], Question],
    ) -> None:
        self._grants = grants
        self._owner_name = owner_name
        self._ask = ask
        #: Returns the question about an engine whose request may wait for so many seconds.
        self._question = question
        self._asked_by_task: dict[asyncio.Task[OwnerReply], _Asked] = {}
        self._reply_by_engine: dict[str, OwnerReply] = {}

    async def first(self, engines: tuple[str, ...], seconds: float) -> FirstGrant | NotGranted:
        """Return the first grant within some seconds; the other queues drop the request."""
        clock = asyncio.get_running_loop().time
        until, look_at = clock() + seconds, clock() + OWNER_CHECK_SECONDS
        try:
            for engine in engines:
                self._start(engine, seconds)
            while (left := until - clock()) > -FINAL_REPLY_SECONDS and self._is_open(engines, left):
                await self._wait(
                    max(SHORTEST_PAUSE, min(left + FINAL_REPLY_SECONDS, look_at - clock()))
                )
                won = self._take_replies()
                if won is not None:
                    return won
                if clock() >= look_at:
                    look_at = clock() + OWNER_CHECK_SECONDS
                    self._ask_again(engines, until - clock())
        finally:
            self._withdraw()
        return NotGranted(self._reply_by_engine)

    def _start(self, engine: str, seconds: float) -> None:
        question = self._question(engine, seconds)
        task = asyncio.ensure_future(self._ask(question))
        self._asked_by_task[task] = _Asked(question, self._owner_name(engine))

    async def _wait(self, seconds: float) -> None:
        """Wait for an owner's final reply, or some seconds."""
        if self._asked_by_task:
            await asyncio.wait(
                self._asked_by_task, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(seconds)

    def _take_replies(self) -> FirstGrant | None:
        """Take in the final replies that have come; return the first grant among them."""
        for task, asked in tuple(self._asked_by_task.items()):
            if not task.done():
                continue
            del self._asked_by_task[task]
            reply = task.result()
            if isinstance(reply, Granted):
                return FirstGrant(asked.question, reply)
            self._reply_by_engine[asked.question.engine] = reply
        return None

    def _is_open(self, engines: tuple[str, ...], left: float) -> bool:
        """Return whether a grant may still come."""
        if self._asked_by_task:
            return True
        return left > 0 and any(self._is_unheard(engine) for engine in engines)

    def _is_unheard(self, engine: str) -> bool:
        """Return whether an engine's owner said nothing of the wait there.

        So it is where the owner died, and another router decided by what it knew.
        """
        reply = self._reply_by_engine.get(engine)
        if isinstance(reply, Busy):
            return not (reply.predicted_ms or reply.retry_after_ms)
        return isinstance(reply, NotOwner)

    def _ask_again(self, engines: tuple[str, ...], left: float) -> None:
        """Ask anew where the owner changed, and where none said anything of the wait."""
        if left <= 0:
            return
        for task, asked in tuple(self._asked_by_task.items()):
            engine = asked.question.engine
            owner = self._owner_name(engine)
            if not task.done() and owner is not None and owner != asked.owner:
                del self._asked_by_task[task]
                task.cancel()
                self._start(engine, left)
        waiting = {asked.question.engine for asked in self._asked_by_task.values()}
        for engine in engines:
            if engine not in waiting and self._is_unheard(engine):
                del self._reply_by_engine[engine]
                self._start(engine, left)

    def _withdraw(self) -> None:
        """Leave the queues, and give back a second grant that came in the same moment."""
        for task, asked in self._asked_by_task.items():
            if not task.done():
                task.cancel()
            elif not task.cancelled():
                self._give_back(task, asked)
        self._asked_by_task.clear()

    def _give_back(self, task: asyncio.Task[OwnerReply], asked: _Asked) -> None:
        error = task.exception()
        if error is not None:
            told = {"message": "A question to an engine's owner failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(told)
        elif isinstance(task.result(), Granted):
            self._grants.release(asked.question.number, Ended.NOTHING)
