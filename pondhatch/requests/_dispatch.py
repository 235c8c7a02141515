"""Dispatch at the entry router: tries engines in a plan's order until one answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from pondhatch.limits import RetryBudget
from pondhatch.placement import Ask, ClosedReason, Exhausted, Granted, Plan, TokenNeed
from pondhatch.requests._crash_guard import MUST_WAIT, QUARANTINE_CODES, QUARANTINED, watch_of
from pondhatch.requests._dispatch_results import (
    NO_WAIT,
    Placed,
    QueueOutcome,
    QueueResult,
    Refused,
    RetryLater,
    StreamPosition,
    WaitLimits,
    result_without_grant,
)
from pondhatch.requests._entry_view import Collaborators, EntryView
from pondhatch.requests._framing import Framing
from pondhatch.requests._grant_requests import (
    MS_PER_SECOND,
    SEEN_LOAD_SECONDS,
    WEIGHT_SCALE,
    Busy,
    ContextElsewhere,
    GrantRequest,
    NotOwner,
    OwnerReply,
)
from pondhatch.requests._messages import AnswerStarted, BodySource, ReplayableBody, RequestHead
from pondhatch.requests._outcomes import (
    AILING,
    BAD_REQUEST_STATUS,
    CROSSED,
    DEADLINE,
    SOON_RETRY_AFTER,
    Broken,
    EngineRefusal,
    NotRun,
    Refusal,
    Unknown,
    deadline_passed,
)
from pondhatch.requests._parallel_waits import MAX_QUEUES, NotGranted
from pondhatch.requests._relaying import UNREACHED_CODES
from pondhatch.requests._resting_engines import RestingEngines
from pondhatch.requests._sending import FAILURE_STATUS, is_upstream_failure
from pondhatch.requests._slot_wait import SlotWait
from pondhatch.requests._stream_binding import NO_RETRY_LEFT, TRIES_SPENT, StreamBinding
from pondhatch.requests._token_needs import stated_need
from pondhatch.requests._tries import Tries, TryResult

#: Retry delay in seconds if every engine asked was at its ceiling.
FULL_RETRY_AFTER = 1.0
#: Header with the id of the request whose stream is to resume.
RESUME_HEADER = "X-Resume"
#: Header with the number of events after which the stream is to resume.
RESUME_FROM_HEADER = "X-Resume-From"
OK = 200
#: The lowest status of an answer that is neither a success nor informational.
REDIRECT_STATUS = 300
#: Codes of refusals before anything was sent: asking the next engine costs no retry budget.
NOTHING_SENT = frozenset(
    {*ClosedReason, "upstream-down", AILING, DEADLINE, *UNREACHED_CODES, "router-unreachable"}
)
#: Refusals after which the same engine may accept the request a moment later.
RETRYABLE_REFUSALS = frozenset({EngineRefusal.FULL, EngineRefusal.DECLINED})
#: The need stated if the engine's memory size is unknown or load management is off.
UNSTATED_NEED = TokenNeed()
#: Refusals without a reason after which the caller is refused: if two engines refuse the same
#: request, the request is more likely at fault than the engines.
MAX_UNKNOWN_REFUSALS = 2


class Dispatch:
    """Dispatches one request; its plan and results can be read afterwards."""

    def __init__(
        self,
        view: EntryView,
        collaborators: Collaborators,
        budget: RetryBudget,
        head: RequestHead,
        body: BodySource,
        remaining: Callable[[], float],
        wait_limits: WaitLimits = NO_WAIT,
    ) -> None:
        #: Key by which engines are ranked: the chat's, or the request's id without a chat.
        self._ranking_key = str(head.chat) if head.chat else head.request_id
        #: The software version to which the request's stream is bound.
        self.binding = StreamBinding(head, collaborators.stream_origins)
        #: The chat's home engine and the reason, if that engine's hall is closed to the chat.
        self.closed_home = view.closed_home(head.service, self._ranking_key, head.regions)
        self._view = view
        self._collaborators = collaborators
        self._budget = budget
        self._head = head
        self.plan = self._new_plan()
        self._need = stated_need(head)
        self._body = body
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._wait_limits = wait_limits
        self._slot_wait = SlotWait(head, wait_limits, remaining, collaborators.run_times)
        self._watch = watch_of(collaborators.crash_guard, head)
        # A request may wait as long for an owner's reply as in the last engine's queue.
        self._tries = Tries(
            view,
            collaborators,
            body,
            self._ranking_key,
            remaining,
            wait_limits.last_engine,
            self._watch,
        )
        self._tries.settled_engine = self.plan.settled_engine(view.is_young)
        #: Seconds to the deadline when the current pass over the engines began.
        self._remaining_at_start = 0.0
        self._try_count = 0
        #: Refusals of this request by engines so far, the newest last.
        self._refusals: list[NotRun] = []
        self._resting = RestingEngines(view)
        #: Whether neither this router nor another reached some engine.
        self._had_unreachable_engine = False
        self._has_waited_for_rest = False
        #: Engines that refused the request and may accept it a moment later.
        self._retryable_engines: set[str] = set()
        #: Outcome of the last try in which the request may have run; it outranks later refusals.
        self._may_have_run: Unknown | None = None
        #: Id under which the answering engine received the request.
        self._answering_id = ""
        #: The engine that answered last.
        self.engine: str | None = None
        #: Result of the request's latest wait in the queues of full engines.
        self.queue_result = QueueResult()
        #: How often a broken stream was resumed.
        self.resumes = 0
        #: Engines whose connection was lost during a run, each with whether the engine crashed.
        self.cut_at: list[tuple[str, bool]] = []

    @property
    def last_grant(self) -> Granted:
        """The latest grant: the load and the ceiling at its engine."""
        return self._tries.last_grant

    @property
    def relayed_by(self) -> str:
        """The router that relayed the answer; empty if it came directly."""
        return self._tries.relayed_by

    @property
    def framing(self) -> Framing | None:
        """How the latest answer is delimited; None without one."""
        return self._tries.framing

    @property
    def grant_wait_seconds(self) -> float:
        """Seconds that the request waited for owners' replies, time in their queues included."""
        return self._tries.grant_wait_seconds

    @property
    def queue_wait_seconds(self) -> float:
        """Seconds of the grant wait spent in the queues of several engines at once."""
        return self._tries.queue_wait_seconds

    async def run(self) -> Placed | Refused:
        """Return the answer that has begun, or the refusal to send to the caller."""
        self._budget.record_first_try()
        refusal = await self.binding.find_origin(self._remaining)
        if refusal is not None:
            return Refused(refusal)
        if self.binding.software_version is not None:
            self.plan = self._new_plan()
        result = await self._try_engines()
        if isinstance(result, Placed) and self._is_replaceable_failure(result):
            result = await self._replace_failure(result)
        if isinstance(result, Refused) and self._may_have_run is not None:
            return Refused(self.final_outcome(self._may_have_run))
        return result

    def _new_plan(self) -> Plan:
        """Return a plan over the engines that may take the request, as currently listed."""
        plan = Plan(self._ranking_key, self._live_upstreams())
        if not self._head.chat:
            preference = self._collaborators.preference
            plan.prefer(preference.preferred(self._head.service, plan.order))
        return plan

    def _is_replaceable_failure(self, placed: Placed) -> bool:
        """Return whether an answer is a server error after which another engine may be asked."""
        return is_upstream_failure(placed.reply.answer.status) and self.can_rerun()

    async def _replace_failure(self, failed: Placed) -> Placed:
        """Return another engine's answer, or the failed one if no other engine answers.

        The caller's own retry would come too late for a short objective. This takes from the
        retry budget, so that a service that fails as a whole does not get twice the requests.
        """
        if self._tries_are_spent() or not self._budget.spend_retry():
            return failed
        self.plan.record_refusal(f"answered {failed.reply.answer.status}")
        engine_before, may_have_run = self.engine, self._may_have_run
        try:
            result = await self._try_engines()
        except BaseException:
            failed.reply.answer.cancel()
            raise
        if isinstance(result, Placed):
            failed.reply.answer.cancel()
            return result
        self.engine, self._may_have_run = engine_before, may_have_run
        return failed

    async def _try_engines(self) -> Placed | Refused:
        self._resting.clear()
        self._remaining_at_start = self._remaining()
        while self._remaining() > 0:
            step = self.plan.next_step()
            if isinstance(step, Exhausted):
                if await self._wait_for_rest():
                    continue
                return Refused(self._exhausted_refusal(step))
            refusal = await self._watch.wait_for_turn(self._remaining)
            if refusal is not None:
                return Refused(refusal)
            outcome = await self._ask(step)
            if outcome is not None:
                return outcome
        return Refused(deadline_passed())

    async def _wait_for_rest(self) -> bool:
        """Wait once for the first resting engine, if no engine is full; return whether it did.

        It waits no longer than for a slot: the caller can retry after a longer rest itself.
        """
        rest = self._resting.shortest_rest()
        max_wait = min(self._last_engine_wait(), self._remaining())
        if rest is None or rest > max_wait or self._has_waited_for_rest:
            return False
        if self.plan.in_flight_by_engine:
            return False
        self._has_waited_for_rest = True
        await asyncio.sleep(rest)
        self._resting.clear()
        self.plan = Plan(self._ranking_key, self._live_upstreams())
        return True

    async def note_connection_lost(self, engine: str, lost: Unknown | Broken) -> None:
        """Find out whether the engine crashed during a run that lost its connection.

        A crash looks the same as a reset or corrupted connection. A leaving engine is not
        checked, since it shuts down as planned.
        """
        if not lost.connection_lost:
            return
        target = self._view.target(engine)
        if target is None or not target.intake.is_live:
            return
        self.cut_at.append((engine, await self._watch.note_connection_lost(target)))

    def note_completed(self, status: int) -> None:
        """Note that an engine answered the request completely.

        A server error may come before the engine began to run the request, such as at a deadline
        in its queue, and does not show that the request is harmless.
        """
        if status < FAILURE_STATUS:
            engine = self.engine if self.framing is Framing.CLOSE else None
            unproven_at = self._view.target(engine) if engine is not None else None
            self._watch.note_completed(unproven_at, ran_prompt=status < REDIRECT_STATUS)

    def close(self) -> None:
        """Note that the request has ended."""
        self._watch.close()

    def final_outcome(self, lost: Unknown) -> Unknown:
        """Return the outcome of a lost run: that of a quarantined request if it is now one."""
        refusal = self._watch.refusal()
        is_at_fault = refusal is not None and refusal.status == BAD_REQUEST_STATUS
        return QUARANTINED if is_at_fault else lost

    def note_stream_begun(self, software_version: str) -> None:
        """Bind the rest of the stream to the version whose first event is about to be delivered."""
        self.binding.bind(software_version, self._remaining())

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine's broken stream may be resumed."""
        is_resumable = self._head.resumes_anywhere or self._view.can_resume(engine)
        return is_resumable and isinstance(self._body, ReplayableBody)

    async def resume(self, engine: str, position: StreamPosition) -> Placed | RetryLater | None:
        """Resume a broken stream after the last event that its caller has.

        None means that it cannot be resumed, RetryLater that a later try may succeed.
        """
        if self._remaining() <= 0:
            return None
        refusal = await self._watch.wait_for_turn(self._remaining)
        if refusal is not None:
            self.binding.not_resumed = refusal.code
            return None
        if self._head.resumes_anywhere:
            resumed: Placed | RetryLater | None = await self._resume_elsewhere(engine, position)
        else:
            resumed = await self._resume_at(engine, position)
        if isinstance(resumed, Placed):
            self.resumes += 1
        return resumed

    async def _resume_elsewhere(self, engine: str, position: StreamPosition) -> Placed | None:
        """Run the rest of a stream at another engine."""
        if position.last_id:
            self._head = msgspec.structs.replace(self._head, last_event_id=position.last_id)
        placed = await self.rerun(engine)
        if placed is None or placed.reply.answer.status == OK:
            return placed
        placed.reply.answer.cancel()
        return None

    def can_rerun(self) -> bool:
        """Return whether the request may run again if nothing of its answer was delivered."""
        return self._head.repeatable and isinstance(self._body, ReplayableBody)

    async def rerun(self, engine: str) -> Placed | None:
        """Run the request once more, at the failed engine only if no other one takes it."""
        if self._tries_are_spent():
            self.binding.not_resumed = TRIES_SPENT
            return None
        if not self._budget.spend_retry():
            self.binding.not_resumed = NO_RETRY_LEFT
            return None
        engines = self._live_upstreams()
        others = tuple(name for name in engines if name != engine)
        self.plan = Plan(self._ranking_key, others or engines)
        sent_to = frozenset(self._tries.sent_to)
        result = await self._try_engines()
        if isinstance(result, Refused) and sent_to == self._tries.sent_to:
            # Nothing was sent: all others are down, full or at rest. It may have lost one run only.
            self.plan.update_engines(engines)
            result = await self._try_engines()
        if isinstance(result, Placed):
            return result
        self.binding.not_resumed = result.refusal.code
        return None

    async def _resume_at(self, engine: str, position: StreamPosition) -> Placed | RetryLater | None:
        """Ask the engine that ran the request to resume its stream."""
        resuming = ((RESUME_HEADER, self._answering_id), (RESUME_FROM_HEADER, str(position.events)))
        grant_request = self._new_grant_request(engine, is_forced=True, resuming=True, is_last=True)
        headers = (*self._head.headers, *resuming)
        head = self._next_head(headers=headers, resuming=True)
        reply = await self._tries.run(grant_request, head)
        if isinstance(reply, AnswerStarted):
            if reply.answer.status == OK:
                self.engine = engine
                self.binding.note_answer(reply.software_version)
                return Placed(reply, engine)
            reply.answer.cancel()
            return None
        # The engine's reason does not matter: another try would add load that no retry budget
        # covers.
        was_refused = isinstance(reply, NotRun) and (
            reply.refusal is not None or reply.code == ClosedReason.OTHER_SOFTWARE_VERSION
        )
        return None if was_refused else RetryLater()

    async def _ask(self, ask: Ask) -> Placed | Refused | None:
        """Ask one engine's owner and, if granted, try the engine; None means try the next."""
        if ask.is_last and self._view.is_load_managed():
            return await self._wait_in_queues(ask)
        grant_request = self._new_grant_request(
            ask.engine, is_forced=ask.is_forced, has_context=ask.has_context, is_last=ask.is_last
        )
        head = self._next_head(needs_new_connection=ask.needs_new_connection)
        reply = await self._tries.run(grant_request, head)
        return await self._after_try(ask, head, reply)

    async def _wait_in_queues(self, ask: Ask) -> Placed | Refused | None:
        """Wait in the queues of the least loaded engines, and try the first that grants."""
        engines = self.plan.queue_engines(MAX_QUEUES) or (ask.engine,)

        def new_request(engine: str, seconds: float) -> GrantRequest:
            return self._new_queue_request(engine, seconds, len(engines))

        head = self._next_head(needs_new_connection=ask.needs_new_connection)
        result = await self._tries.run_at_first_grant(
            engines, new_request, max(self._slot_wait.limit(), self._bound_wait()), head
        )
        if isinstance(result, NotGranted):
            self._note_no_grant(result.reply_by_engine)
            return None
        engine, reply = result
        self.queue_result = QueueResult(QueueOutcome.GRANTED)
        self.plan.record_grant(engine)
        return await self._after_try(msgspec.structs.replace(ask, engine=engine), head, reply)

    def _note_no_grant(self, reply_by_engine: dict[str, OwnerReply]) -> None:
        """Record the owners' replies to a wait that ended without a grant."""
        self.queue_result = result_without_grant(reply_by_engine.values())
        self.plan.cancel_rechecks()
        for engine, reply in reply_by_engine.items():
            self.plan.record_wait(engine)
            if isinstance(reply, Busy):
                self.plan.record_owner_full(
                    reply.in_flight, reply.ceiling, reply.is_cold, reply.short_tokens
                )
            elif isinstance(reply, NotRun):
                self._resting.note(engine, reply)
                self.plan.record_refusal(f"{reply.code}: {reply.reason}")
            else:
                self.plan.record_refusal("its owner is in doubt")

    def _new_queue_request(self, engine: str, seconds: float, queues: int) -> GrantRequest:
        """Return the grant request for an engine among several in whose queues it waits."""
        grant_request = self._new_grant_request(engine, is_forced=True)
        target, max_wait_ms = self._view.target(engine), max(1, round(seconds * MS_PER_SECOND))
        seen = 0
        if target is not None and self._remaining_at_start - self._remaining() <= SEEN_LOAD_SECONDS:
            seen = max(
                grant_request.seen_in_flight_elsewhere,
                self.plan.estimate_in_flight_elsewhere(engine, target.open_upstream_count),
            )
        return msgspec.structs.replace(
            grant_request,
            max_wait_ms=max_wait_ms,
            seen_in_flight_elsewhere=seen,
            in_time=self._slot_wait.in_time_ms(max_wait_ms),
            queue_count=queues,
        )

    async def _after_try(
        self, ask: Ask, head: RequestHead, reply: TryResult
    ) -> Placed | Refused | None:
        """Handle the result of one try; None means that the next engine is tried."""
        if isinstance(reply, AnswerStarted):
            self._answering_id = head.request_id
            self.engine = ask.engine
            self.binding.note_answer(reply.software_version)
            self._note_served(ask.engine)
            return Placed(reply, ask.engine)
        if isinstance(reply, ContextElsewhere):
            self._tries.context_engine = reply.engine
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
        if reply is MUST_WAIT:
            # The loop over the engines waits for its turn, or refuses it if it is quarantined.
            self.plan.retry_last()
            return None
        if reply.code in QUARANTINE_CODES:
            return Refused(reply)
        if reply.code == AILING:
            self.plan.record_ailing()
        if isinstance(reply, Unknown):
            await self.note_connection_lost(ask.engine, reply)
        if isinstance(reply, NotRun):
            self._resting.note(ask.engine, reply)
        self._note_refused(ask, reply)
        return self._after_failure(ask, reply)

    def _note_refused(self, ask: Ask, reply: Refusal) -> None:
        """Record an engine's refusal in the plan, and which engines may still accept it."""
        why = f"{reply.code}: {reply.reason}"
        refusal = reply.refusal if isinstance(reply, NotRun) else None
        if isinstance(reply, NotRun) and refusal is not None:
            self._refusals.append(reply)
        if refusal in RETRYABLE_REFUSALS:
            self._retryable_engines.add(ask.engine)
            self.plan.record_engine_full(max(0, self.last_grant.in_flight - 1), why)
            return
        self.plan.record_refusal(why)
        self._had_unreachable_engine |= reply.code in UNREACHED_CODES
        if refusal is EngineRefusal.WRONG_INSTANCE:
            self.plan.update_engines(self._live_upstreams())

    def _live_upstreams(self) -> tuple[str, ...]:
        """Return the engines that may take the request, as currently listed."""
        head = self._head
        bound = self.binding.software_version
        engines = self._view.live_upstreams(head.service, head.regions, bound)
        untold = self.binding.untold_versions()
        if not untold:
            return engines
        return tuple(each for each in engines if self._software_version(each) not in untold)

    def _software_version(self, engine: str) -> str | None:
        target = self._view.target(engine)
        return target.software_version if target is not None else None

    def _new_grant_request(
        self,
        engine: str,
        is_forced: bool,
        resuming: bool = False,
        has_context: bool = False,
        is_last: bool = False,
    ) -> GrantRequest:
        is_home = engine == self.plan.home
        max_wait = self._wait_limits.context_engine if has_context else 0.0
        max_wait = min(self._remaining(), self._last_engine_wait() if is_last else max_wait)
        need, target = self._need_at(engine), self._view.target(engine)
        return GrantRequest(
            number=self._collaborators.grants.next_number(),
            router=self._collaborators.grants.router,
            engine=engine,
            account=self._head.account,
            chat=self._head.chat if is_home else 0,
            priority=self._head.priority,
            max_wait_ms=round(max(0.0, max_wait) * MS_PER_SECOND),
            weight=round(self._head.weight * WEIGHT_SCALE),
            # The load seen is out of date by the time a stream breaks, and would raise the
            # engine's ceiling above the load of that time.
            seen_in_flight_elsewhere=0 if resuming else self.plan.seen_in_flight_elsewhere(engine),
            is_followup=self._head.is_followup,
            is_home=is_home,
            settled_engine=self._settled_engine(engine) if is_home else None,
            is_forced=is_forced,
            resuming=resuming,
            tokens=need.tokens,
            parts=need.parts,
            refusal_limit=target.refusal_limit if target is not None else None,
        )

    def _last_engine_wait(self) -> float:
        return max(self._wait_limits.last_engine, self._bound_wait())

    def _bound_wait(self) -> float:
        """Return the least wait in seconds that a stream bound to one of several versions bears."""
        every = self._view.live_upstreams(self._head.service, self._head.regions)
        return self.binding.least_queue_seconds(self._live_upstreams(), every)

    def _need_at(self, engine: str) -> TokenNeed:
        """Return the engine memory that the request needs, if the engine's owner counts memory."""
        if not (self._need.is_stated and self._view.is_load_managed()):
            return UNSTATED_NEED
        target = self._view.target(engine)
        is_known = target is not None and target.memory_tokens is not None
        return self._need if is_known else UNSTATED_NEED

    def _settled_engine(self, home: str) -> str | None:
        """Return where a chat stays for now if its home engine joined recently, or None.

        None if engines fetch contexts from each other: a transfer costs a sixth of processing the
        prompt again, so the new engine gets its chats at once. Otherwise its share of the load
        would go to the other engines up to their ceilings, and then to engines that hold no
        context either.
        """
        target = self._view.target(home)
        shares_context = target is not None and target.shares_context
        if shares_context or not self._view.is_young(home):
            return None
        return self.plan.settled_engine(self._view.is_young)

    def _next_head(self, **changes: Any) -> RequestHead:
        """Return the head of the next try, with an id of its own."""
        self._try_count += 1
        return msgspec.structs.replace(
            self._head,
            request_id=f"{self._head.request_id}.{self._try_count}",
            software_version=self.binding.software_version,
            **changes,
        )

    def _after_failure(self, ask: Ask, reply: Refusal) -> Refused | None:
        """Return the refusal to send to the caller; None means that the next engine is tried."""
        body_is_replayable = isinstance(self._body, ReplayableBody)
        if isinstance(reply, Unknown):
            self._may_have_run = reply
        if isinstance(reply, Unknown) and not (self._head.repeatable and body_is_replayable):
            return Refused(self.final_outcome(reply))
        if reply.code in NOTHING_SENT:
            return None
        if isinstance(reply, NotRun) and self._is_request_at_fault(reply):
            return Refused(reply)
        if self._tries_are_spent() and not self.plan.restrict_to(self._retryable_engines):
            return Refused(self._with_retry_time(reply))
        if not body_is_replayable or not self._budget.spend_retry():
            return Refused(self._with_retry_time(reply))
        if reply.code == CROSSED and not ask.needs_new_connection:
            # The connection was at fault and is closed now; there may be no other engine.
            self.plan.retry_last()
        return None

    def _with_retry_time(self, reply: Refusal) -> Refusal:
        """Return a refusal with the retry delay to send to the caller.

        If all engines rest, the caller is to retry only when the first rest ends.
        """
        if not isinstance(reply, NotRun) or reply.refusal is not EngineRefusal.OVERLOADED:
            return reply
        shortest_rest = self._resting.shortest_known_rest(self._live_upstreams())
        return msgspec.structs.replace(reply, retry_after=max(shortest_rest, reply.retry_after))

    def _is_request_at_fault(self, reply: NotRun) -> bool:
        """Return whether other engines would refuse the request too."""
        if reply.refusal is EngineRefusal.BAD_REQUEST:
            return True
        unknown = [each for each in self._refusals if each.refusal is EngineRefusal.UNKNOWN]
        return len(unknown) >= MAX_UNKNOWN_REFUSALS

    def _tries_are_spent(self) -> bool:
        """Return whether the request was sent to the maximum number of engines."""
        return 0 < self._head.most_tries <= len(self._tries.sent_to)

    def _note_served(self, engine: str) -> None:
        """Record the engine that holds the chat's context, and tell the home engine's owner."""
        if self._head.chat:
            self._view.note_served(self._head.chat, engine)
        home = self.plan.home
        if home is None or engine == home or not self._head.chat:
            return
        name = self._view.owner_name(home)
        if name is not None:
            self._collaborators.grants.report_spill(name, self._head.chat, engine)

    def _exhausted_refusal(self, step: Exhausted) -> NotRun:
        """Return the refusal to send to the caller if no engine is left to ask."""
        if not step.asked and self.binding.software_version is not None:
            return self.binding.no_engine_left()
        if not step.asked:
            reason = f"service {self._head.service} has no upstream that may take the request"
            return NotRun("no-upstream", reason)
        asked = ", ".join(f"{engine} ({why})" for engine, why in self.plan.refusals)
        rest = self._resting.shortest_rest()
        if rest is not None and not self.plan.in_flight_by_engine:
            # Engines that were skipped for other reasons may be available before the rest ends.
            after = rest if self._resting.includes_all(step.asked) else min(rest, FULL_RETRY_AFTER)
            return NotRun("engines-resting", f"asked {asked}", max(after, SOON_RETRY_AFTER))
        if self._refusals and not self.plan.in_flight_by_engine:
            # No engine is full, so the caller gets the engine's refusal instead.
            return self._refusals[-1]
        if self._had_unreachable_engine and not self.plan.in_flight_by_engine:
            # Another router may reach them, and the caller's next try goes to another one.
            return NotRun("engines-unreachable", f"asked {asked}", SOON_RETRY_AFTER)
        retry_after = self.queue_result.retry_after_ms / MS_PER_SECOND
        return NotRun("engines-full", f"asked {asked}", retry_after or FULL_RETRY_AFTER)
