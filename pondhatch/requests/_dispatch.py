"""Dispatch at the entry router: tries engines in a plan's order until one answers."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.limits import RetryBudget
from pondhatch.placement import Granted, Plan
from pondhatch.requests._crash_guard import watch_of
from pondhatch.requests._dispatch_refusals import FULL_RETRY_AFTER, DispatchRefusals
from pondhatch.requests._dispatch_results import (
    NO_WAIT,
    Placed,
    QueueResult,
    Refused,
    RetryLater,
    StreamPosition,
    WaitLimits,
)
from pondhatch.requests._eligible_engines import EligibleEngines
from pondhatch.requests._engine_selection import EngineSelection
from pondhatch.requests._entry_view import Collaborators, EntryView
from pondhatch.requests._framing import Framing
from pondhatch.requests._grant_requests import GrantRequest
from pondhatch.requests._messages import BodySource, RequestHead
from pondhatch.requests._outcomes import Broken, Unknown
from pondhatch.requests._resting_engines import RestingEngines
from pondhatch.requests._resumption import Resumption
from pondhatch.requests._retry_limits import RetryLimits
from pondhatch.requests._sending import FAILURE_STATUS, is_upstream_failure
from pondhatch.requests._stream_binding import StreamBinding
from pondhatch.requests._tries import Tries
from pondhatch.requests._try_requests import GrantRequestBuilder, TryHeads
from pondhatch.requests._try_results import TryResults

__all__ = ("FULL_RETRY_AFTER", "Dispatch")

#: The lowest status of an answer that is neither a success nor informational.
REDIRECT_STATUS = 300


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
        #: The software version to which the request's stream is bound.
        self.binding = binding = StreamBinding(head, collaborators.stream_origins)
        engines = EligibleEngines(view, head, binding, collaborators.preference)
        #: The chat's home engine and the reason, if that engine's hall is closed to the chat.
        self.closed_home = view.closed_home(head.service, engines.ranking_key, head.regions)
        self._view = view
        self._budget = budget
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._watch = watch_of(collaborators.crash_guard, head)
        # A request may wait as long for an owner's reply as in the last engine's queue.
        max_owner_wait = wait_limits.last_engine
        self._tries = Tries(
            view,
            collaborators,
            body,
            engines.ranking_key,
            remaining,
            max_owner_wait,
            self._watch,
            self.binding.note_sending,
        )
        resting = RestingEngines(view)
        refusals = DispatchRefusals(head, binding, engines, resting)
        self._retries = RetryLimits(head, body, budget, self._tries.sent_to)
        self._results = TryResults(
            view, collaborators, head, binding, self._tries, self._watch, refusals, self._retries
        )
        heads = TryHeads(head, binding)
        self._grant_requests = GrantRequestBuilder(
            view, collaborators, head, engines, remaining, wait_limits
        )
        self._selection = EngineSelection(
            view,
            engines,
            self._tries,
            self._results,
            refusals,
            resting,
            self._watch,
            remaining,
            heads,
            self._grant_requests,
        )
        self._tries.settled_engine = self.plan.settled_engine(view.is_young)
        self._resumption = Resumption(
            view,
            head,
            binding,
            self._retries,
            self._watch,
            remaining,
            heads,
            self._results,
            self._selection,
        )

    @property
    def plan(self) -> Plan:
        """The plan of the latest pass over the engines."""
        return self._selection.plan

    @property
    def engine(self) -> str | None:
        """The engine that answered last."""
        return self._results.engine

    @property
    def cut_at(self) -> list[tuple[str, bool]]:
        """Engines whose connection was lost during a run, each with whether it crashed."""
        return self._results.cut_at

    @property
    def resumes(self) -> int:
        """How often a broken stream was resumed."""
        return self._resumption.count

    @property
    def queue_result(self) -> QueueResult:
        """Result of the request's latest wait in the queues of full engines."""
        return self._selection.queue_result

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
        if await self._selection.await_registered() or self.binding.software_version is not None:
            self._selection.renew_plan()
        refusal = self._selection.unregistered_refusal()
        if refusal is not None:
            return Refused(refusal)
        result = await self._selection.run(self._new_grant_request)
        if isinstance(result, Placed) and self._is_replaceable_failure(result):
            result = await self._replace_failure(result)
        if isinstance(result, Refused) and self._results.may_have_run is not None:
            return Refused(self.final_outcome(self._results.may_have_run))
        return result

    async def note_connection_lost(self, engine: str, lost: Unknown | Broken) -> None:
        """Find out whether the engine crashed during a run that lost its connection."""
        await self._results.note_connection_lost(engine, lost)

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
        return self._results.final_outcome(lost)

    def note_stream_begun(self, software_version: str) -> None:
        """Bind the rest of the stream to the version whose first event is about to be delivered."""
        self.binding.bind(software_version, self._remaining())

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine's broken stream may be resumed."""
        return self._resumption.can_resume(engine)

    async def resume(self, engine: str, position: StreamPosition) -> Placed | RetryLater | None:
        """Resume a broken stream after the last event that its caller has.

        None means that it cannot be resumed, RetryLater that a later try may succeed.
        """
        return await self._resumption.resume(engine, position, self._new_grant_request)

    def can_rerun(self) -> bool:
        """Return whether the request may run again if nothing of its answer was delivered."""
        return self._retries.can_rerun()

    async def rerun(self, engine: str) -> Placed | None:
        """Run the request once more, at the failed engine only if no other one takes it."""
        return await self._resumption.rerun(engine, self._new_grant_request)

    def _is_replaceable_failure(self, placed: Placed) -> bool:
        """Return whether an answer is a server error after which another engine may be asked."""
        return is_upstream_failure(placed.reply.answer.status) and self.can_rerun()

    async def _replace_failure(self, failed: Placed) -> Placed:
        """Return another engine's answer, or the failed one if no other engine answers.

        The caller's own retry would come too late for a short objective. This takes from the
        retry budget, so that a service that fails as a whole does not get twice the requests.
        """
        if self._retries.tries_are_spent() or not self._retries.spend_retry():
            return failed
        self.plan.record_refusal(f"answered {failed.reply.answer.status}")
        engine_before, may_have_run = self._results.engine, self._results.may_have_run
        try:
            result = await self._selection.run(self._new_grant_request)
        except BaseException:
            failed.reply.answer.cancel()
            raise
        if isinstance(result, Placed):
            failed.reply.answer.cancel()
            return result
        self._results.engine, self._results.may_have_run = engine_before, may_have_run
        return failed

    def _new_grant_request(
        self,
        engine: str,
        is_forced: bool,
        resuming: bool = False,
        has_context: bool = False,
        is_last: bool = False,
    ) -> GrantRequest:
        """Return a grant request for an engine of the current plan."""
        return self._grant_requests.new(
            self.plan, engine, is_forced, resuming, has_context, is_last
        )
