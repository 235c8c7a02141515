"""One request's tries: ask an engine's owner and, where it grants, send the request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from pondhatch.placement import ClosedReason, Granted, is_region_allowed
from pondhatch.requests._crash_guard import NO_WATCH, QUARANTINED, RequestWatch
from pondhatch.requests._entry_view import EntryView, Ways
from pondhatch.requests._messages import BodySource, Opened, ReplayableBody, RequestHead
from pondhatch.requests._outcomes import EngineRefusal, NotRun, Unknown
from pondhatch.requests._questions import Busy, Elsewhere, Ended, NotOwner, OwnerReply, Question
from pondhatch.requests._queues import NotGranted, Queues
from pondhatch.requests._sending import GrantedAnswer, Target, open_target

#: What an engine's refusal tells its owner. A bad request says nothing of the engine; one
#: that is not the one meant is out of reach at its address, like one that is gone.
ENDED_BY_REFUSAL = {
    EngineRefusal.FULL: Ended.FULL,
    # Held to less, it would be so again and again, down to nothing.
    EngineRefusal.DECLINED: Ended.ERRED,
    # What it asked for is told apart, and is no sign of illness.
    EngineRefusal.OVERLOADED: Ended.NOTHING,
    EngineRefusal.LEAVING: Ended.LEAVING,
    EngineRefusal.NOT_THE_ONE: Ended.FAILED,
    EngineRefusal.BAD_REQUEST: Ended.NOTHING,
    EngineRefusal.UNKNOWN: Ended.ERRED,
}

#: Codes of tries that were given up right before their first byte went out.
CLOSED = frozenset(ClosedReason)
#: Codes of tries of which no byte went out.
NOT_SENT = frozenset({*CLOSED, "upstream-unreachable"})

#: What became of one question and, where it was granted, of the try that followed.
Tried = Opened | Busy | Elsewhere | NotOwner | NotRun | Unknown


class Tries:
    """Runs one request's tries, and keeps what the next one needs to know of them."""

    def __init__(
        self,
        view: EntryView,
        ways: Ways,
        body: BodySource,
        chat: str,
        remaining: Callable[[], float],
        bearable: float,
        watch: RequestWatch = NO_WATCH,
    ) -> None:
        self._view = view
        self._ways = ways
        self._body = body
        #: By which engines are ranked for the request.
        self._chat = chat
        self._remaining = remaining
        self._watch = watch
        #: Seconds that the request can wait for one owner's word.
        self._bearable = bearable
        #: Engine at which the context lies, as its home engine's owner said.
        self.context_at: str | None = None
        #: Engine at which the context was before those ranked above it joined.
        self.settled: str | None = None
        #: What was granted last: the load and the ceiling at its engine.
        self.granted = Granted(0, 0)
        #: Seconds that it waited for owners' words, and in their lines.
        self.asking_seconds = 0.0
        #: Seconds of them in the queues of several engines at once.
        self.queued_seconds = 0.0
        #: Engines that were sent the request.
        self.sent_to: set[str] = set()

    async def run(self, question: Question, head: RequestHead) -> Tried:
        """Ask the engine's owner; where it grants, send the request to the engine."""
        closed = self._open_target(question, head)
        if isinstance(closed, NotRun):
            return closed
        began = asyncio.get_running_loop().time()
        reply = await self._grant(question)
        self._ways.preference.note_reply(question.engine, reply)
        self.asking_seconds += asyncio.get_running_loop().time() - began
        if not isinstance(reply, Granted):
            return reply
        return await self._run_granted(question, reply, head)

    async def run_at_first(
        self,
        engines: tuple[str, ...],
        question: Callable[[str, float], Question],
        seconds: float,
        head: RequestHead,
    ) -> tuple[str, Tried] | NotGranted:
        """Wait at several engines' owners at once; send the request to the first that grants.

        Return that engine and what became of the request there.
        """
        queues = Queues(self._ways.grants, self._view.owner_name, self._grant, question)
        began = asyncio.get_running_loop().time()
        try:
            first = await queues.first(engines, seconds)
        finally:
            waited = asyncio.get_running_loop().time() - began
            self.queued_seconds += waited
            self.asking_seconds += waited
        if isinstance(first, NotGranted):
            for engine, reply in first.reply_by_engine.items():
                self._ways.preference.note_reply(engine, reply)
            return first
        self._ways.preference.note_reply(first.question.engine, first.granted)
        tried = await self._run_granted(first.question, first.granted, head)
        return first.question.engine, tried

    async def _run_granted(self, question: Question, reply: Granted, head: RequestHead) -> Tried:
        """Send a granted request to its engine, unless that must not be any more."""
        self.granted = reply
        if self._watch.is_quarantined():
            # Known only since the request began to wait in the engine's line.
            self._ways.grants.release(question.number, Ended.NOTHING)
            return QUARANTINED
        target = self._open_target(question, head)
        if isinstance(target, NotRun):
            self._ways.grants.release(question.number, Ended.NOTHING)
            return target
        return await self._send(question, target, head)

    def _open_target(self, question: Question, head: RequestHead) -> Target | NotRun:
        """Return the engine that is asked for, or why it may not be sent the request now."""
        known = self._view.target(question.engine)
        return open_target(known, question.engine, head.resuming, head.regions)

    async def _send(self, question: Question, target: Target, head: RequestHead) -> Tried:
        """Send a granted request; its grant is given back when it ends in whatever way."""
        grants, number = self._ways.grants, question.number
        source = self._context_source(target, head)
        head = replace(head, deadline=self._remaining(), context_from=source)
        was_sent_there = question.engine in self.sent_to
        self.sent_to.add(question.engine)
        clock = asyncio.get_running_loop().time
        began = clock()
        try:
            reply = await self._ways.upstreams.send(target, head, self._fresh_body())
            if isinstance(reply, Opened):
                begun = clock() - began

                def release(ended: Ended) -> None:
                    if ended is Ended.ANSWERED:
                        self._ways.run_times.answered(head.service, begun, clock() - began)
                    grants.release(number, ended)

                return Opened(GrantedAnswer(reply.answer, release))
        except BaseException:
            grants.release(number, Ended.NOTHING)
            raise
        if reply.code in NOT_SENT and not was_sent_there:
            self.sent_to.discard(question.engine)
        grants.release(number, self._ended(reply))
        return reply

    def _ended(self, reply: NotRun | Unknown) -> Ended:
        """Return what a try without an answer tells of its engine."""
        if reply.code in CLOSED:
            return Ended.NOTHING
        if isinstance(reply, Unknown) or reply.refusal is None:
            return Ended.FAILED
        if self._remaining() <= 0:
            # Its time ran out in the engine's queue, which engines tell as they tell "full".
            return Ended.NOTHING
        return ENDED_BY_REFUSAL[reply.refusal]

    def _context_source(self, target: Target, head: RequestHead) -> str:
        """Return the address of the engine from which another is to take a context over.

        The likeliest holder is named unless this engine served the chat last; where it is sent
        to its home, that is the next of its order, to which it spilled now and then. Taking a
        context over costs a sixth of reading it again, and asking one that holds nothing costs
        nothing.
        """
        if not (target.shares_context and head.chat and head.returning):
            return ""
        if self._watch.is_suspected():
            # The context taken over may be what the last engine ended of, not the request:
            # read anew, it runs, and is cleared.
            return ""
        last = self._view.last_served(head.chat)
        if last == target.name:
            return ""
        former = self._view.former_home(head.service, self._chat)
        for holder in (self.context_at, last, former, self.settled):
            known = self._view.target(holder) if holder not in (None, target.name) else None
            if known is not None and is_region_allowed(known.intake.region, head.regions):
                return known.url.removeprefix("http://")
        return ""

    async def _grant(self, question: Question) -> OwnerReply:
        """Ask the owner, and whom it names instead of itself; without it, another decides."""
        name = self._view.owner_name(question.engine)
        reply = await self._ask_owner(name, question)
        if isinstance(reply, NotOwner) and reply.owner not in (None, name):
            if self._view.is_reachable(reply.owner):
                reply = await self._ask_owner(reply.owner, question)
            else:
                # The one asked has not noticed yet; what it counts, it counts for all.
                reply = await self._ask_instead(name, question)
        elif _is_silent(reply):
            following = self._view.owner_name(question.engine)
            if following != name:
                reply = await self._ask_instead(following, question)
        if _is_silent(reply) or isinstance(reply, NotOwner):
            # The engine is not at fault, and may hold the context.
            return self._ways.grants.ask_nobody(question)
        return reply

    async def _ask_instead(self, name: str | None, question: Question) -> OwnerReply:
        """Ask the router that owns an engine while its owner is out of reach."""
        return await self._ask_owner(name, replace(question, instead_of_owner=True))

    async def _ask_owner(self, name: str | None, question: Question) -> OwnerReply:
        if name is None:
            return NotOwner()
        reply = await self._ways.grants.ask(name, question, self._bearable)
        if _is_silent(reply):
            self._view.unreachable(name)
        return reply

    def _fresh_body(self) -> BodySource:
        if isinstance(self._body, ReplayableBody):
            return self._body.again()
        return self._body


def _is_silent(reply: OwnerReply) -> bool:
    """Return whether an owner gave no word in time."""
    return isinstance(reply, NotRun) and reply.code == "router-unreachable"
