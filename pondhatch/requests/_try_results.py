"""Handles the result of each try of one request: answer, ask the next engine, or refuse."""

from __future__ import annotations

from pondhatch.placement import Ask, ClosedReason, Plan
from pondhatch.requests._crash_guard import MUST_WAIT, QUARANTINE_CODES, QUARANTINED, RequestWatch
from pondhatch.requests._dispatch_refusals import DispatchRefusals
from pondhatch.requests._dispatch_results import Placed, Refused
from pondhatch.requests._entry_view import Collaborators, EntryView
from pondhatch.requests._grant_requests import Busy, ContextElsewhere, NotOwner
from pondhatch.requests._messages import AnswerStarted, RequestHead
from pondhatch.requests._outcomes import (
    AILING,
    BAD_REQUEST_STATUS,
    CROSSED,
    DEADLINE,
    Broken,
    NotRun,
    Refusal,
    Unknown,
)
from pondhatch.requests._relaying import UNREACHED_CODES
from pondhatch.requests._retry_limits import RetryLimits
from pondhatch.requests._stream_binding import StreamBinding
from pondhatch.requests._tries import Tries, TryResult
from pondhatch.requests._try_codes import VERSION_NOT_WRITTEN

#: Codes of refusals before anything was sent: asking the next engine costs no retry budget.
NOTHING_SENT = frozenset(
    {
        *ClosedReason,
        "upstream-down",
        AILING,
        DEADLINE,
        *UNREACHED_CODES,
        "router-unreachable",
        VERSION_NOT_WRITTEN,
    }
)


class TryResults:
    """Handles the results of one request's tries, and keeps what they showed."""

    def __init__(
        self,
        view: EntryView,
        collaborators: Collaborators,
        head: RequestHead,
        binding: StreamBinding,
        tries: Tries,
        watch: RequestWatch,
        refusals: DispatchRefusals,
        retries: RetryLimits,
    ) -> None:
        self._view = view
        self._grants = collaborators.grants
        self._head = head
        self._binding = binding
        self._tries = tries
        self._watch = watch
        self._refusals = refusals
        self._retries = retries
        #: The engine that answered last.
        self.engine: str | None = None
        #: Id under which the answering engine received the request.
        self.answering_id = ""
        #: Outcome of the last try in which the request may have run; it outranks later refusals.
        self.may_have_run: Unknown | None = None
        #: Engines whose connection was lost during a run, each with whether the engine crashed.
        self.cut_at: list[tuple[str, bool]] = []

    async def handle(
        self, plan: Plan, ask: Ask, head: RequestHead, reply: TryResult
    ) -> Placed | Refused | None:
        """Handle the result of one try; None means that the next engine is tried."""
        if isinstance(reply, AnswerStarted):
            self.answering_id = head.request_id
            self._note_served(plan, ask.engine)
            return self.note_answer(ask.engine, reply)
        if isinstance(reply, ContextElsewhere):
            self._tries.context_engine = reply.engine
            plan.record_context_elsewhere(reply.engine)
            return None
        if isinstance(reply, Busy | NotOwner):
            self._refusals.note_no_grant(plan, ask.engine, reply)
            return None
        if reply is MUST_WAIT:
            # The loop over the engines waits for its turn, or refuses it if it is quarantined.
            plan.retry_last()
            return None
        if reply.code in QUARANTINE_CODES:
            return Refused(reply)
        return await self._handle_failure(plan, ask, reply)

    def note_answer(self, engine: str, reply: AnswerStarted) -> Placed:
        """Note that an engine began to answer."""
        self.engine = engine
        self._binding.note_answer(reply.software_version)
        return Placed(reply, engine)

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

    def final_outcome(self, lost: Unknown) -> Unknown:
        """Return the outcome of a lost run: that of a quarantined request if it is now one."""
        refusal = self._watch.refusal()
        is_at_fault = refusal is not None and refusal.status == BAD_REQUEST_STATUS
        return QUARANTINED if is_at_fault else lost

    async def _handle_failure(self, plan: Plan, ask: Ask, reply: Refusal) -> Refused | None:
        """Record a failed try; None means that the next engine is tried."""
        if reply.code == AILING:
            plan.record_ailing()
        if isinstance(reply, Unknown):
            await self.note_connection_lost(ask.engine, reply)
        in_flight = max(0, self._tries.last_grant.in_flight - 1)
        self._refusals.note(plan, ask.engine, reply, in_flight)
        return self._after_failure(plan, ask, reply)

    def _after_failure(self, plan: Plan, ask: Ask, reply: Refusal) -> Refused | None:
        """Return the refusal to send to the caller; None means that the next engine is tried."""
        if isinstance(reply, Unknown):
            self.may_have_run = reply
        if isinstance(reply, Unknown) and not self._retries.can_rerun():
            return Refused(self.final_outcome(reply))
        if reply.code in NOTHING_SENT:
            return None
        if isinstance(reply, NotRun) and self._refusals.is_request_at_fault(reply):
            return Refused(reply)
        if not self._may_retry(plan):
            return Refused(self._refusals.with_retry_time(reply))
        if reply.code == CROSSED and not ask.needs_new_connection:
            # The connection was at fault and is closed now; there may be no other engine.
            plan.retry_last()
        return None

    def _may_retry(self, plan: Plan) -> bool:
        """Return whether the request may be sent once more; if so, take from the retry budget."""
        if self._retries.tries_are_spent() and not plan.restrict_to(
            self._refusals.retryable_engines
        ):
            return False
        return self._retries.has_replayable_body() and self._retries.spend_retry()

    def _note_served(self, plan: Plan, engine: str) -> None:
        """Record the engine that holds the chat's context, and tell the home engine's owner."""
        if self._head.chat:
            self._view.note_served(self._head.chat, engine)
        home = plan.home
        if home is None or engine == home or not self._head.chat:
            return
        name = self._view.owner_name(home)
        if name is not None:
            self._grants.report_spill(name, self._head.chat, engine)
