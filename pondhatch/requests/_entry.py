"""The entry router's side: walk the plan until an engine answers, or refuse."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from pondhatch.limits import RetryBudget
from pondhatch.placement import Ask, ClosedReason, Exhausted, Granted, Plan, TokenNeed
from pondhatch.requests._crash_guard import QUARANTINED
from pondhatch.requests._entry_view import EntryView, Ways
from pondhatch.requests._messages import BodySource, Opened, ReplayableBody, RequestHead
from pondhatch.requests._outcomes import (
    AILING,
    CROSSED,
    SOON_RETRY_AFTER,
    Broken,
    EngineRefusal,
    NotRun,
    Refusal,
    Unknown,
    out_of_time,
)
from pondhatch.requests._questions import (
    MILLISECONDS,
    SEEN_SECONDS,
    THOUSANDTHS,
    Busy,
    Elsewhere,
    NotOwner,
    OwnerReply,
    Question,
)
from pondhatch.requests._queues import MOST_QUEUES, NotGranted
from pondhatch.requests._rests import Rests
from pondhatch.requests._sending import FAILURE_STATUS, is_own_failure
from pondhatch.requests._slot_wait import SlotWait
from pondhatch.requests._token_needs import stated_need
from pondhatch.requests._tries import Tried, Tries
from pondhatch.requests._walk_results import (
    NO_PATIENCE,
    Patience,
    Placed,
    Position,
    Queued,
    QueueEnd,
    Refused,
    Unready,
    queued_in_vain,
)

#: Seconds after which to come back when every engine asked was at its ceiling.
FULL_RETRY_AFTER = 1.0
#: Header that names the request whose stream is to go on.
RESUME_HEADER = "X-Resume"
#: Header that says after how many events it is to go on.
RESUME_FROM_HEADER = "X-Resume-From"
OK = 200
#: Refusals for which nothing was sent anywhere: going on is no retry.
NOTHING_SENT = frozenset(
    {*ClosedReason, "upstream-down", AILING, "upstream-unreachable", "router-unreachable"}
)
#: Refusals of engines that may take the same request a moment later.
MAY_TAKE_IT_AGAIN = frozenset({EngineRefusal.FULL, EngineRefusal.DECLINED})
#: Said where an engine's memory is not known, or load is not managed.
NOTHING_NEEDED = TokenNeed()
#: Engines that refuse a request without a reason before its caller is told: where a second
#: one does, it is likelier the request than the engines.
MOST_UNKNOWN_REFUSALS = 2


class Walk:
    """One request's walk; kept apart so that the plan can be read afterwards."""

    def __init__(
        self,
        view: EntryView,
        ways: Ways,
        budget: RetryBudget,
        head: RequestHead,
        body: BodySource,
        remaining: Callable[[], float],
        patience: Patience = NO_PATIENCE,
    ) -> None:
        self._chat = str(head.chat) if head.chat else head.request_id
        self.plan = Plan(self._chat, view.live_upstreams(head.service, head.regions))
        if not head.chat:
            self.plan.prefer(ways.preference.first_of(head.service, self.plan.order))
        #: The engine that would be the chat's home were it not closed to it, and why it is.
        self.turned_from = view.closed_home(head.service, self._chat, head.regions)
        self._view = view
        self._ways = ways
        self._budget = budget
        self._head = head
        self._need = stated_need(head)
        self._body = body
        self._remaining = remaining
        self._most_patience = patience
        self._slot_wait = SlotWait(head, patience, remaining, ways.run_times)
        # What a request may wait in the last line, it may wait for an owner's word.
        self._watch = ways.crashes.watch(head.digest)
        self._tries = Tries(view, ways, body, self._chat, remaining, patience.last, self._watch)
        self._tries.settled = self.plan.settled_engine(view.is_young)
        #: What remained as the walk over the engines began.
        self._remaining_at_start = 0.0
        self._asks = 0
        #: Engines' refusals of this request so far, the newest last.
        self._refusals: list[NotRun] = []
        self._rests = Rests(view)
        self._has_waited_for_rest = False
        #: Engines that refused it, and may take it a moment later.
        self._may_take_it: set[str] = set()
        #: The last try after which the request may have run; no later refusal undoes it.
        self._may_have_run: Unknown | None = None
        #: Id under which the engine that answers knows the request.
        self._granted_id = ""
        #: The engine that answered last.
        self.engine: str | None = None
        #: What came of its latest wait at several full engines.
        self.queued = Queued()
        #: Times that a broken stream went on.
        self.resumes = 0
        #: Engines at which its run was cut, each with whether the engine had ended.
        self.cut_at: list[tuple[str, bool]] = []

    @property
    def granted(self) -> Granted:
        """What was granted last: the load and the ceiling at its engine."""
        return self._tries.granted

    @property
    def asking_seconds(self) -> float:
        """Seconds that the request waited for owners' words, and in their lines."""
        return self._tries.asking_seconds

    @property
    def queued_seconds(self) -> float:
        """Seconds of them in the queues of several engines at once."""
        return self._tries.queued_seconds

    async def run(self) -> Placed | Refused:
        """Return the opened answer or the refusal that the caller is to be told."""
        self._budget.record_first_try()
        ended = await self._walk()
        if isinstance(ended, Placed) and self._failed(ended):
            ended = await self._instead_of(ended)
        if isinstance(ended, Refused) and self._may_have_run is not None:
            return Refused(self.final_word(self._may_have_run))
        return ended

    def _failed(self, placed: Placed) -> bool:
        """Return whether an engine answered with a failure of its own, which another may not."""
        return is_own_failure(placed.reply.answer.status) and self.may_run_again()

    async def _instead_of(self, failed: Placed) -> Placed:
        """Return another engine's answer instead of a failure, which stands where there is none.

        Its caller would repeat it later than a short objective allows. It costs a retry, so that
        a service that fails as a whole is not asked twice as much for nothing.
        """
        if self._tries_are_spent() or not self._budget.spend_retry():
            return failed
        self.plan.record_refusal(f"answered {failed.reply.answer.status}")
        before, may_have_run = self.engine, self._may_have_run
        try:
            ended = await self._walk()
        except BaseException:
            failed.reply.answer.cancel()
            raise
        if isinstance(ended, Placed):
            failed.reply.answer.cancel()
            return ended
        self.engine, self._may_have_run = before, may_have_run
        return failed

    async def _walk(self) -> Placed | Refused:
        self._rests.clear()
        self._remaining_at_start = self._remaining()
        while self._remaining() > 0:
            step = self.plan.next_step()
            if isinstance(step, Exhausted):
                if await self._rest_is_over():
                    continue
                return Refused(self._exhausted(step))
            refusal = await self._watch.wait_for_turn(self._remaining)
            if refusal is not None:
                return Refused(refusal)
            outcome = await self._ask(step)
            if outcome is not None:
                return outcome
        return Refused(out_of_time())

    async def _rest_is_over(self) -> bool:
        """Wait for the nearest end of a rest, once, where no engine is full beside it.

        No longer than it would wait for a place, or its caller may as well come back then.
        """
        rest = self._rests.nearest()
        bearable = min(self._most_patience.last, self._remaining())
        if rest is None or rest > bearable or self._has_waited_for_rest:
            return False
        if self.plan.in_flight_by_engine:
            return False
        self._has_waited_for_rest = True
        await asyncio.sleep(rest)
        self._rests.clear()
        self.plan = Plan(self._chat, self._live_upstreams())
        return True

    async def note_cut(self, engine: str, lost: Unknown | Broken) -> None:
        """Find out whether a run that was cut ended with its engine.

        A garbled or reset connection looks alike; an engine that leaves ends as planned.
        """
        if not lost.was_cut:
            return
        target = self._view.target(engine)
        if target is None or not target.intake.is_live:
            return
        self.cut_at.append((engine, await self._watch.run_was_cut(target)))

    def note_whole(self, status: int) -> None:
        """Note that an engine answered the request in whole.

        A failure of the engine's own may be told before it begins to run the request, as at a
        deadline in its queue, and says nothing of whether it would bear it.
        """
        if status < FAILURE_STATUS:
            self._watch.run_was_whole()

    def close(self) -> None:
        """Note that the request has ended, in whatever way."""
        self._watch.close()

    def final_word(self, lost: Unknown) -> Unknown:
        """Return what is told of a run that was lost: that no other will be tried, if so."""
        return QUARANTINED if self._watch.is_quarantined() else lost

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine's broken stream may be taken up again."""
        can = self._head.resumes_anywhere or self._view.resumes(engine)
        return can and isinstance(self._body, ReplayableBody)

    async def resume(self, engine: str, position: Position) -> Placed | Unready | None:
        """Have a stream that broke go on where its caller's copy ends.

        None means that it cannot, Unready that a later try may work.
        """
        if self._remaining() <= 0:
            return None
        if self._head.resumes_anywhere:
            resumed: Placed | Unready | None = await self._resume_elsewhere(engine, position)
        else:
            resumed = await self._resume_there(engine, position)
        if isinstance(resumed, Placed):
            self.resumes += 1
        return resumed

    async def _resume_elsewhere(self, engine: str, position: Position) -> Placed | None:
        """Run the rest at another engine."""
        if position.last_id:
            self._head = msgspec.structs.replace(self._head, after_event=position.last_id)
        placed = await self.run_again(engine)
        if placed is None or placed.reply.answer.status == OK:
            return placed
        placed.reply.answer.cancel()
        return None

    def may_run_again(self) -> bool:
        """Return whether an answer of which nothing was passed on may be asked for again."""
        return self._head.repeatable and isinstance(self._body, ReplayableBody)

    async def run_again(self, engine: str) -> Placed | None:
        """Run the request once more; the engine that broke off is the last resort."""
        if self._tries_are_spent() or not self._budget.spend_retry():
            return None
        engines = self._live_upstreams()
        others = tuple(name for name in engines if name != engine)
        self.plan = Plan(self._chat, others or engines)
        ended = await self._walk()
        return ended if isinstance(ended, Placed) else None

    async def _resume_there(self, engine: str, position: Position) -> Placed | Unready | None:
        """Ask the engine that ran the request to go on."""
        resuming = (
            (RESUME_HEADER, self._granted_id),
            (RESUME_FROM_HEADER, str(position.events)),
        )
        question = self._question(engine, insist=True, resuming=True, last=True)
        headers = (*self._head.headers, *resuming)
        head = self._next_head(headers=headers, resuming=True)
        reply = await self._tries.run(question, head)
        if isinstance(reply, Opened):
            if reply.answer.status == OK:
                self.engine = engine
                return Placed(reply, engine)
            reply.answer.cancel()
            return None
        # Whatever the reason: asking again is another arrival, which no budget allows for here.
        was_refused = isinstance(reply, NotRun) and reply.refusal is not None
        return None if was_refused else Unready()

    async def _ask(self, ask: Ask) -> Placed | Refused | None:
        """Ask one engine's owner and, if granted, try it; None means that the walk goes on."""
        if ask.is_last and self._view.load_managed():
            return await self._wait_at_several(ask)
        question = self._question(
            ask.engine, insist=ask.is_forced, context=ask.has_context, last=ask.is_last
        )
        head = self._next_head(fresh=ask.needs_new_connection)
        reply = await self._tries.run(question, head)
        return await self._after_try(ask, head, reply)

    async def _wait_at_several(self, ask: Ask) -> Placed | Refused | None:
        """Wait at the least loaded engines at once, and try the first that grants."""
        engines = self.plan.queue_engines(MOST_QUEUES) or (ask.engine,)

        def question(engine: str, seconds: float) -> Question:
            return self._waiting_question(engine, seconds, len(engines))

        head = self._next_head(fresh=ask.needs_new_connection)
        tried = await self._tries.run_at_first(engines, question, self._slot_wait.limit(), head)
        if isinstance(tried, NotGranted):
            self._note_no_place(tried.reply_by_engine)
            return None
        engine, reply = tried
        self.queued = Queued(QueueEnd.GRANTED)
        self.plan.record_grant(engine)
        return await self._after_try(msgspec.structs.replace(ask, engine=engine), head, reply)

    def _note_no_place(self, reply_by_engine: dict[str, OwnerReply]) -> None:
        """Note what the owners said of a wait that came to nothing."""
        self.queued = queued_in_vain(reply_by_engine.values())
        self.plan.cancel_rechecks()
        for engine, reply in reply_by_engine.items():
            self.plan.record_wait(engine)
            if isinstance(reply, Busy):
                self.plan.record_owner_full(
                    reply.in_flight, reply.ceiling, reply.is_cold, reply.short_tokens
                )
            elif isinstance(reply, NotRun):
                self._rests.note(engine, reply)
                self.plan.record_refusal(f"{reply.code}: {reply.reason}")
            else:
                self.plan.record_refusal("its owner is in doubt")

    def _waiting_question(self, engine: str, seconds: float, queues: int) -> Question:
        """Return a question about an engine in whose queue the request waits beside others."""
        question = self._question(engine, insist=True)
        target, patience = self._view.target(engine), max(1, round(seconds * MILLISECONDS))
        seen = 0
        if target is not None and self._remaining_at_start - self._remaining() <= SEEN_SECONDS:
            seen = max(question.seen_elsewhere, self.plan.estimate_elsewhere(engine, target.peers))
        return msgspec.structs.replace(
            question,
            patience=patience,
            seen_elsewhere=seen,
            in_time=self._slot_wait.in_time_ms(patience),
            queues=queues,
        )

    async def _after_try(
        self, ask: Ask, head: RequestHead, reply: Tried
    ) -> Placed | Refused | None:
        """Take in what became of one try; None means that the walk goes on."""
        if isinstance(reply, Opened):
            self._granted_id = head.request_id
            self.engine = ask.engine
            self._note_served(ask.engine)
            return Placed(reply, ask.engine)
        if isinstance(reply, Elsewhere):
            self._tries.context_at = reply.engine
            self.plan.record_context_elsewhere(reply.engine)
            return None
        if isinstance(reply, Busy):
            self.plan.record_owner_full(
                reply.in_flight, reply.ceiling, reply.is_cold, reply.short_tokens
            )
            return None
        if isinstance(reply, NotOwner):
            self.plan.record_refusal("its owner is in doubt")
            return None
        if reply is QUARANTINED:
            return Refused(QUARANTINED)
        if reply.code == AILING:
            self.plan.record_ailing()
        if isinstance(reply, Unknown):
            await self.note_cut(ask.engine, reply)
        if isinstance(reply, NotRun):
            self._rests.note(ask.engine, reply)
        self._note_refused(ask, reply)
        return self._after_failure(ask, reply)

    def _note_refused(self, ask: Ask, reply: Refusal) -> None:
        """Note who did not take the request, and what that says of where else it may go."""
        why = f"{reply.code}: {reply.reason}"
        refusal = reply.refusal if isinstance(reply, NotRun) else None
        if isinstance(reply, NotRun) and refusal is not None:
            self._refusals.append(reply)
        if refusal in MAY_TAKE_IT_AGAIN:
            self._may_take_it.add(ask.engine)
            self.plan.record_engine_full(max(0, self.granted.in_flight - 1), why)
            return
        self.plan.record_refusal(why)
        if refusal is EngineRefusal.NOT_THE_ONE:
            self.plan.update_engines(self._live_upstreams())

    def _live_upstreams(self) -> tuple[str, ...]:
        """Return the engines that may take the request as they are listed by now."""
        return self._view.live_upstreams(self._head.service, self._head.regions)

    def _question(
        self,
        engine: str,
        insist: bool,
        resuming: bool = False,
        context: bool = False,
        last: bool = False,
    ) -> Question:
        at_home = engine == self.plan.home
        patience = self._most_patience.context if context else 0.0
        patience = min(self._remaining(), self._most_patience.last if last else patience)
        need = self._need_at(engine)
        return Question(
            number=self._ways.grants.next_number(),
            router=self._ways.grants.router,
            engine=engine,
            account=self._head.account,
            chat=self._head.chat if at_home else 0,
            priority=self._head.priority,
            patience=round(max(0.0, patience) * MILLISECONDS),
            weight=round(self._head.weight * THOUSANDTHS),
            # What the walk saw is old by the time a stream breaks, and would raise the ceiling
            # of its engine above what is running then.
            seen_elsewhere=0 if resuming else self.plan.seen_in_flight_elsewhere(engine),
            returning=self._head.returning,
            home=at_home,
            settled=self._settled_before(engine) if at_home else None,
            insist=insist,
            resuming=resuming,
            tokens=need.tokens,
            parts=need.parts,
        )

    def _need_at(self, engine: str) -> TokenNeed:
        """Return what the request takes of an engine's memory, where its owner goes by that."""
        if not (self._need.is_stated and self._view.load_managed()):
            return NOTHING_NEEDED
        target = self._view.target(engine)
        is_known = target is not None and target.memory_tokens is not None
        return self._need if is_known else NOTHING_NEEDED

    def _settled_before(self, home: str) -> str | None:
        """Return where a newcomer's chat was at home before, and is to stay for now.

        Not where engines take contexts over: there a newcomer has its chats' contexts for a
        sixth of reading them, and left without chats it has the others take its share, up to
        their ceilings and beyond to engines that hold nothing.
        """
        target = self._view.target(home)
        takes_over = target is not None and target.shares_context
        if takes_over or not self._view.is_young(home):
            return None
        return self.plan.settled_engine(self._view.is_young)

    def _next_head(self, **changes: Any) -> RequestHead:
        """Return the head of the next try, under an id of its own."""
        self._asks += 1
        return msgspec.structs.replace(
            self._head, request_id=f"{self._head.request_id}.{self._asks}", **changes
        )

    def _after_failure(self, ask: Ask, reply: Refusal) -> Refused | None:
        body_is_whole = isinstance(self._body, ReplayableBody)
        if isinstance(reply, Unknown):
            self._may_have_run = reply
        if isinstance(reply, Unknown) and not (self._head.repeatable and body_is_whole):
            return Refused(self.final_word(reply))
        if reply.code in NOTHING_SENT:
            return None
        if isinstance(reply, NotRun) and self._is_about_the_request(reply):
            return Refused(reply)
        if self._tries_are_spent() and not self.plan.restrict_to(self._may_take_it):
            return Refused(self._told(reply))
        if not body_is_whole or not self._budget.spend_retry():
            return Refused(self._told(reply))
        if reply.code == CROSSED and not ask.needs_new_connection:
            # The connection was at fault, which is closed now; the engine may be the only one.
            self.plan.retry_last()
        return None

    def _told(self, reply: Refusal) -> Refusal:
        """Return a refusal as its caller is told of it.

        Where all engines want nothing, it is not to come back before the first rest ends.
        """
        if not isinstance(reply, NotRun) or reply.refusal is not EngineRefusal.OVERLOADED:
            return reply
        nearest = self._rests.known_nearest(self._live_upstreams())
        return msgspec.structs.replace(reply, retry_after=max(nearest, reply.retry_after))

    def _is_about_the_request(self, reply: NotRun) -> bool:
        """Return whether other engines would refuse the request as well."""
        if reply.refusal is EngineRefusal.BAD_REQUEST:
            return True
        unknown = [each for each in self._refusals if each.refusal is EngineRefusal.UNKNOWN]
        return len(unknown) >= MOST_UNKNOWN_REFUSALS

    def _tries_are_spent(self) -> bool:
        """Return whether the request was sent to as many engines as it may."""
        return 0 < self._head.most_tries <= len(self._tries.sent_to)

    def _note_served(self, engine: str) -> None:
        """Remember who holds the chat's context now, and tell its home's owner."""
        if self._head.chat:
            self._view.note_served(self._head.chat, engine)
        home = self.plan.home
        if home is None or engine == home or not self._head.chat:
            return
        name = self._view.owner_name(home)
        if name is not None:
            self._ways.grants.remember(name, self._head.chat, engine)

    def _exhausted(self, step: Exhausted) -> NotRun:
        if not step.asked:
            wrong = f"service {self._head.service} has no upstream that may take the request"
            return NotRun("no-upstream", wrong)
        asked = ", ".join(f"{engine} ({why})" for engine, why in self.plan.refusals)
        rest = self._rests.nearest()
        if rest is not None and not self.plan.in_flight_by_engine:
            # What keeps it from the others, if any, may be over before.
            after = rest if self._rests.are_all(step.asked) else min(rest, FULL_RETRY_AFTER)
            return NotRun("engines-resting", f"asked {asked}", max(after, SOON_RETRY_AFTER))
        if self._refusals and not self.plan.in_flight_by_engine:
            # Nobody is full, so that is not what the caller is told.
            return self._refusals[-1]
        come_back = self.queued.retry_after_ms / MILLISECONDS
        return NotRun("engines-full", f"asked {asked}", come_back or FULL_RETRY_AFTER)
