"""Asks the engines of a request's plan, one after the other, until one answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from pondhatch.placement import Ask, Exhausted
from pondhatch.requests._crash_guard import RequestWatch
from pondhatch.requests._dispatch_refusals import DispatchRefusals
from pondhatch.requests._dispatch_results import (
    Placed,
    QueueOutcome,
    QueueResult,
    Refused,
    result_without_grant,
)
from pondhatch.requests._eligible_engines import EligibleEngines
from pondhatch.requests._entry_view import EntryView
from pondhatch.requests._grant_requests import GrantRequest, OwnerReply
from pondhatch.requests._messages import Headers
from pondhatch.requests._outcomes import NotRun, deadline_passed
from pondhatch.requests._parallel_waits import MAX_QUEUES, NotGranted
from pondhatch.requests._resting_engines import RestingEngines
from pondhatch.requests._tries import Tries, TryResult
from pondhatch.requests._try_requests import GrantRequestBuilder, TryHeads
from pondhatch.requests._try_results import TryResults


class NewGrantRequest(Protocol):
    """Builds a grant request for an engine of the current plan."""

    def __call__(
        self,
        engine: str,
        is_forced: bool,
        resuming: bool = False,
        has_context: bool = False,
        is_last: bool = False,
    ) -> GrantRequest:
        """Return the grant request for an engine."""


class EngineSelection:
    """Asks engines on behalf of one request; its plan can be read at any time."""

    def __init__(
        self,
        view: EntryView,
        engines: EligibleEngines,
        tries: Tries,
        results: TryResults,
        refusals: DispatchRefusals,
        resting: RestingEngines,
        watch: RequestWatch,
        remaining: Callable[[], float],
        heads: TryHeads,
        grant_requests: GrantRequestBuilder,
    ) -> None:
        self._view = view
        self._engines = engines
        self._tries = tries
        self._results = results
        self._refusals = refusals
        self._resting = resting
        self._watch = watch
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._heads = heads
        self._grant_requests = grant_requests
        self.plan = engines.preferred_plan()
        #: Result of the request's latest wait in the queues of full engines.
        self.queue_result = QueueResult()
        #: Seconds to the deadline when the current pass over the engines began.
        self._remaining_at_start = 0.0
        self._has_waited_for_rest = False

    async def await_registered(self) -> bool:
        """Wait until the request's stream may begin somewhere; return whether that took time."""
        return await self._engines.await_registered()

    def unregistered_refusal(self) -> NotRun | None:
        """Return the refusal of a stream that may begin nowhere yet, though engines are live."""
        return self._engines.unregistered_refusal()

    def renew_plan(self) -> None:
        """Make a new plan, as other engines may take the request now."""
        self.plan = self._engines.preferred_plan()

    async def run_elsewhere(
        self, engine: str, new_grant_request: NewGrantRequest
    ) -> Placed | Refused:
        """Run the request once more, at the failed engine only if no other one takes it."""
        self.plan = self._engines.plan_without(engine)
        sent_to = frozenset(self._tries.sent_to)
        result = await self.run(new_grant_request)
        if isinstance(result, Refused) and sent_to == self._tries.sent_to:
            # Nothing was sent: all others are down, full or at rest. It may have lost one run only.
            self.plan.update_engines(self._engines.names())
            result = await self.run(new_grant_request)
        return result

    async def resume_at(
        self, engine: str, headers: Headers, new_grant_request: NewGrantRequest
    ) -> TryResult:
        """Ask an engine to resume a stream as these headers state."""
        grant_request = new_grant_request(engine, is_forced=True, resuming=True, is_last=True)
        return await self._tries.run(grant_request, self._heads.next_resuming(headers))

    async def run(self, new_grant_request: NewGrantRequest) -> Placed | Refused:
        """Ask the engines that the plan still has; return the answer or the refusal."""
        self._resting.clear()
        self._remaining_at_start = self._remaining()
        while self._remaining() > 0:
            step = self.plan.next_step()
            if isinstance(step, Exhausted):
                if await self._wait_for_rest():
                    continue
                return Refused(self._refusals.exhausted(self.plan, step, self.queue_result))
            refusal = await self._watch.wait_for_turn(self._remaining)
            if refusal is not None:
                return Refused(refusal)
            outcome = await self._ask(step, new_grant_request)
            if outcome is not None:
                return outcome
        return Refused(deadline_passed())

    async def _wait_for_rest(self) -> bool:
        """Wait once for the first resting engine, if no engine is full; return whether it did.

        It waits no longer than for a slot: the caller can retry after a longer rest itself.
        """
        rest = self._resting.shortest_rest()
        max_wait = min(self._grant_requests.last_engine_wait(), self._remaining())
        if rest is None or rest > max_wait or self._has_waited_for_rest:
            return False
        if self.plan.in_flight_by_engine:
            return False
        self._has_waited_for_rest = True
        await asyncio.sleep(rest)
        self._resting.clear()
        self.plan = self._engines.plan()
        return True

    async def _ask(self, ask: Ask, new_grant_request: NewGrantRequest) -> Placed | Refused | None:
        """Ask one engine's owner and, if granted, try the engine; None means try the next."""
        if ask.is_last and self._view.is_load_managed():
            return await self._wait_in_queues(ask, new_grant_request)
        grant_request = new_grant_request(
            ask.engine, is_forced=ask.is_forced, has_context=ask.has_context, is_last=ask.is_last
        )
        head = self._heads.next(ask.needs_new_connection)
        reply = await self._tries.run(grant_request, head)
        return await self._results.handle(self.plan, ask, head, reply)

    async def _wait_in_queues(
        self, ask: Ask, new_grant_request: NewGrantRequest
    ) -> Placed | Refused | None:
        """Wait in the queues of the least loaded engines, and try the first that grants."""
        engines = self.plan.queue_engines(MAX_QUEUES) or (ask.engine,)

        def new_request(engine: str, seconds: float) -> GrantRequest:
            grant_request = new_grant_request(engine, is_forced=True)
            elapsed = self._remaining_at_start - self._remaining()
            return self._grant_requests.in_queue(
                grant_request, self.plan, seconds, len(engines), elapsed
            )

        head = self._heads.next(ask.needs_new_connection)
        result = await self._tries.run_at_first_grant(
            engines, new_request, self._grant_requests.queue_wait(), head
        )
        if isinstance(result, NotGranted):
            self._note_no_grant(result.reply_by_engine)
            return None
        engine, reply = result
        self.queue_result = QueueResult(QueueOutcome.GRANTED)
        self.plan.record_grant(engine)
        ask = msgspec.structs.replace(ask, engine=engine)
        return await self._results.handle(self.plan, ask, head, reply)

    def _note_no_grant(self, reply_by_engine: dict[str, OwnerReply]) -> None:
        """Record the owners' replies to a wait that ended without a grant."""
        self.queue_result = result_without_grant(reply_by_engine.values())
        self.plan.cancel_rechecks()
        for engine, reply in reply_by_engine.items():
            self.plan.record_wait(engine)
            self._refusals.note_no_grant(self.plan, engine, reply)
