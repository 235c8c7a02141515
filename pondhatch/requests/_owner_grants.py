"""The owner's side of grants: other routers' questions, as their packets come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pondhatch.kernel import Tasks
from pondhatch.requests._grant_packets import (
    GrantPacket,
    Hold,
    Release,
    Telling,
    Waiting,
    ended_of,
    word_of,
)
from pondhatch.requests._owner import LocalOwner, MustWait
from pondhatch.requests._questions import Ended, Holder, Question

Answer = Callable[[GrantPacket], None]


class OwnerGrants(msgspec.Struct):
    """Answers questions; one that must wait is answered when its turn has come."""

    local: LocalOwner
    tasks: Tasks
    _waiting_by_holder: dict[Holder, asyncio.Task[None]] = msgspec.field(default_factory=dict)

    def asked(self, question: Question, answer: Answer) -> None:
        """Take in a question, also one that was asked before; ``answer`` sends back."""
        if question.holder in self._waiting_by_holder:
            answer(Waiting(question.number))
            return
        reply = self.local.decide(question)
        if not isinstance(reply, MustWait):
            answer(word_of(question.number, reply))
            return
        answer(Waiting(question.number))
        task = self.tasks.start(self._wait(question, reply, answer))
        self._waiting_by_holder[question.holder] = task
        # Not within the task, which may be cancelled before its first step.
        task.add_done_callback(lambda _: self._waiting_by_holder.pop(question.holder))

    def told(self, telling: Telling) -> None:
        """Take in what an entry router says of its requests."""
        if isinstance(telling, Release):
            self._released(Holder(telling.router, telling.number), ended_of(telling))
        elif isinstance(telling, Hold):
            self.local.hold(telling.router, telling.engine, telling.numbers)
        else:
            self.local.remember(telling.chat, telling.engine)

    def _released(self, holder: Holder, ended: Ended) -> None:
        waiting = self._waiting_by_holder.get(holder)
        if waiting is not None:
            waiting.cancel()
        self.local.release(holder, ended)

    async def _wait(self, question: Question, must: MustWait, answer: Answer) -> None:
        reply = await self.local.wait(question, must)
        answer(word_of(question.number, reply))
