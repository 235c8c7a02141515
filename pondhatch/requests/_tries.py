"""One request's tries: ask an engine's owner for a grant, then send the request."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable

from msgspec.structs import replace

from pondhatch.placement import Granted, is_region_allowed
from pondhatch.requests._checked_answer import checked
from pondhatch.requests._crash_guard import MUST_WAIT, NO_WATCH, RequestWatch
from pondhatch.requests._entry_view import Collaborators, EntryView
from pondhatch.requests._framing import Framing
from pondhatch.requests._grant_requests import (
    Busy,
    ContextElsewhere,
    EndReason,
    GrantRequest,
    NotOwner,
    OwnerReply,
)
from pondhatch.requests._messages import AnswerStarted, BodySource, ReplayableBody, RequestHead
from pondhatch.requests._outcomes import NotRun, Unknown
from pondhatch.requests._parallel_waits import NotGranted, ParallelWait
from pondhatch.requests._sending import GrantedAnswer, Target, open_target
from pondhatch.requests._try_codes import (
    END_REASON_BY_REFUSAL,
    NEUTRAL_CODES,
    NOT_SENT_CODES,
    ROOM_REFUSALS,
    version_not_written,
)

#: Result of one grant request and, if granted, of the try that followed.
TryResult = AnswerStarted | Busy | ContextElsewhere | NotOwner | NotRun | Unknown


async def _may_send(software_version: str) -> bool:
    return True


class Tries:
    """Runs one request's tries, and keeps the state that later tries need."""

    def __init__(
        self,
        view: EntryView,
        collaborators: Collaborators,
        body: BodySource,
        ranking_key: str,
        remaining: Callable[[], float],
        max_owner_wait: float,
        watch: RequestWatch = NO_WATCH,
        note_sending: Callable[[str], Awaitable[bool]] = _may_send,
    ) -> None:
        self._view = view
        self._collaborators = collaborators
        self._body = body
        #: Key by which engines are ranked for the request.
        self._ranking_key = ranking_key
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._watch = watch
        #: Called with an engine's software version before the request is sent there.
        self._note_sending = note_sending
        #: Seconds that the request can wait for one owner's reply.
        self._max_owner_wait = max_owner_wait
        #: Engine that holds the context according to the home engine's owner.
        self.context_engine: str | None = None
        #: Engine that held the context before engines ranked above it joined.
        self.settled_engine: str | None = None
        #: The latest grant: the load and the ceiling at its engine.
        self.last_grant = Granted(0, 0)
        #: Seconds that the request waited for owners' replies, time in their queues included.
        self.grant_wait_seconds = 0.0
        #: Seconds of that wait in the queues of several engines at once.
        self.queue_wait_seconds = 0.0
        #: Engines to which the request was sent.
        self.sent_to: set[str] = set()
        #: The router that relayed the latest answer; empty if it came directly.
        self.relayed_by = ""
        #: How the latest answer is delimited; None without one.
        self.framing: Framing | None = None

    async def run(self, grant_request: GrantRequest, head: RequestHead) -> TryResult:
        """Ask the engine's owner; if it grants, send the request to the engine."""
        target = self._open_target(grant_request, head)
        if isinstance(target, NotRun):
            return target
        started = asyncio.get_running_loop().time()
        reply = await self._request_grant(grant_request)
        self._collaborators.preference.note_reply(grant_request.engine, reply)
        self.grant_wait_seconds += asyncio.get_running_loop().time() - started
        if not isinstance(reply, Granted):
            return reply
        return await self._run_granted(grant_request, reply, head)

    async def run_at_first_grant(
        self,
        engines: tuple[str, ...],
        new_request: Callable[[str, float], GrantRequest],
        seconds: float,
        head: RequestHead,
    ) -> tuple[str, TryResult] | NotGranted:
        """Wait in several engines' queues; send the request to the first that is granted.

        Return that engine and the result of the try there.
        """
        queues = ParallelWait(
            self._collaborators.grants, self._view.owner_name, self._request_grant, new_request
        )
        started = asyncio.get_running_loop().time()
        try:
            first = await queues.first_grant(engines, seconds)
        finally:
            waited = asyncio.get_running_loop().time() - started
            self.queue_wait_seconds += waited
            self.grant_wait_seconds += waited
        if isinstance(first, NotGranted):
            for engine, reply in first.reply_by_engine.items():
                self._collaborators.preference.note_reply(engine, reply)
            return first
        self._collaborators.preference.note_reply(first.grant_request.engine, first.granted)
        result = await self._run_granted(first.grant_request, first.granted, head)
        return first.grant_request.engine, result

    async def _run_granted(
        self, grant_request: GrantRequest, reply: Granted, head: RequestHead
    ) -> TryResult:
        """Send a granted request to its engine, unless it may no longer be sent there."""
        self.last_grant = reply
        if self._watch.must_wait():
            # The request was suspected or quarantined while it waited in the owner's queue.
            self._collaborators.grants.release(grant_request.number, EndReason.NEUTRAL)
            return MUST_WAIT
        target = self._open_target(grant_request, head)
        if isinstance(target, NotRun):
            self._collaborators.grants.release(grant_request.number, EndReason.NEUTRAL)
            return target
        return await self._send(grant_request, target, head)

    def _open_target(self, grant_request: GrantRequest, head: RequestHead) -> Target | NotRun:
        """Return the requested engine, or why it may not be sent the request now."""
        known = self._view.target(grant_request.engine)
        return open_target(known, grant_request.engine, head)

    async def _send(
        self, grant_request: GrantRequest, target: Target, head: RequestHead
    ) -> TryResult:
        """Send a granted request; its grant is released when it ends, for any reason."""
        grants, number = self._collaborators.grants, grant_request.number
        context_address = self._context_address(target, head)
        was_sent_there = grant_request.engine in self.sent_to
        self.sent_to.add(grant_request.engine)
        clock = asyncio.get_running_loop().time
        started = clock()
        try:
            reply: AnswerStarted | NotRun | Unknown = version_not_written(target.software_version)
            if await self._note_sending(target.software_version):
                head = replace(head, deadline=self._remaining(), context_address=context_address)
                body = self._unread_body()
                reply = await self._collaborators.upstreams.send(target, head, body)
            if isinstance(reply, AnswerStarted):
                begin_seconds = clock() - started

                def release(end_reason: EndReason) -> None:
                    if end_reason is EndReason.ANSWERED:
                        self._collaborators.run_times.record(
                            head.service, begin_seconds, clock() - started
                        )
                    grants.release(number, end_reason)

                self.relayed_by = reply.relayed_by
                self.framing = reply.framing
                lives_on = functools.partial(self._collaborators.crash_guard.lives_on, target)
                reply = checked(reply, head, target.name, lives_on)
                return replace(
                    reply,
                    answer=GrantedAnswer(reply.answer, release),
                    software_version=target.software_version,
                )
        except BaseException:
            grants.release(number, EndReason.NEUTRAL)
            raise
        if reply.code in NOT_SENT_CODES and not was_sent_there:
            self.sent_to.discard(grant_request.engine)
        grants.release(number, self._end_reason(reply, grant_request.engine))
        return reply

    def _end_reason(self, reply: NotRun | Unknown, engine: str) -> EndReason:
        """Return the end reason to report for a try without an answer."""
        if reply.code in NEUTRAL_CODES:
            return EndReason.NEUTRAL
        if isinstance(reply, Unknown) or reply.refusal is None:
            return EndReason.CONNECTION_FAILED
        if self._remaining() <= 0:
            # Its deadline passed in the engine's queue, which engines report as "full".
            return EndReason.NEUTRAL
        target = self._view.target(engine)
        if (
            target is not None
            and target.refusal_limit is not None
            and reply.refusal in ROOM_REFUSALS
        ):
            return EndReason.FULL
        return END_REASON_BY_REFUSAL[reply.refusal]

    def _context_address(self, target: Target, head: RequestHead) -> str:
        """Return the address of the engine from which the target is to fetch the context, or "".

        Empty if the target itself served the chat last. Else the likeliest holder: the engine that
        the home engine's owner named, the one that served the chat last, the former home engine,
        or the next in rank, to which a chat sometimes spills from its home engine. Fetching a
        context costs a sixth of processing the prompt again, and asking an engine that does not
        hold it costs nothing.
        """
        if not (target.shares_context and head.chat and head.is_followup):
            return ""
        if self._watch.is_suspected():
            # A damaged context may have crashed the last engine instead of the request: with
            # its prompt processed again the request runs, and is cleared.
            return ""
        last = self._view.last_served(head.chat)
        if last == target.name:
            return ""
        former = self._view.former_home(head.service, self._ranking_key)
        for holder in (self.context_engine, last, former, self.settled_engine):
            known = self._view.target(holder) if holder not in (None, target.name) else None
            if known is not None and is_region_allowed(known.intake.region, head.regions):
                return known.url.removeprefix("http://")
        return ""

    async def _request_grant(self, grant_request: GrantRequest) -> OwnerReply:
        """Ask the owner, and the owner that it names; if neither replies, decide without it."""
        name = self._view.owner_name(grant_request.engine)
        reply = await self._ask_owner(name, grant_request)
        if isinstance(reply, NotOwner) and reply.owner not in (None, name):
            if self._view.is_reachable(reply.owner):
                reply = await self._ask_owner(reply.owner, grant_request)
            else:
                # The asked router has not noticed yet that the owner is unreachable. It decides
                # in the owner's place, so that one router counts the grants of all.
                reply = await self._ask_instead_of_owner(name, grant_request)
        elif _is_unreachable(reply):
            next_owner = self._view.owner_name(grant_request.engine)
            if next_owner != name:
                reply = await self._ask_instead_of_owner(next_owner, grant_request)
        if _is_unreachable(reply) or isinstance(reply, NotOwner):
            # The engine is not at fault and may hold the context, so it is not skipped.
            return self._collaborators.grants.decide_without_owner(grant_request)
        return reply

    async def _ask_instead_of_owner(
        self, name: str | None, grant_request: GrantRequest
    ) -> OwnerReply:
        """Ask a router to decide because the engine's owner is unreachable."""
        return await self._ask_owner(name, replace(grant_request, instead_of_owner=True))

    async def _ask_owner(self, name: str | None, grant_request: GrantRequest) -> OwnerReply:
        if name is None:
            return NotOwner()
        reply = await self._collaborators.grants.ask(name, grant_request, self._max_owner_wait)
        if _is_unreachable(reply):
            self._view.note_unreachable(name)
        return reply

    def _unread_body(self) -> BodySource:
        if isinstance(self._body, ReplayableBody):
            return self._body.unread_copy()
        return self._body


def _is_unreachable(reply: OwnerReply) -> bool:
    """Return whether an owner did not reply in time."""
    return isinstance(reply, NotRun) and reply.code == "router-unreachable"
