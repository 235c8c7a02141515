"""Queues of requests that wait at an engine's owner until the engine has a free slot."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from msgspec.structs import replace

from pondhatch.placement import (
    STEADY_GAP_WEIGHT,
    FairQueue,
    Full,
    GateDecision,
    Granted,
    ReleaseInterval,
    RetrySchedule,
    Ticket,
    extra_grants,
)
from pondhatch.requests._engine_queue import EngineQueue, Waiter, evict_last
from pondhatch.requests._grant_requests import MS_PER_SECOND, WEIGHT_SCALE, GrantRequest
from pondhatch.requests._remembered_refusals import RememberedRefusals

#: Maximum number of requests that wait for one engine.
QUEUE_LIMIT = 64
#: The same with load management, where a request waits for as long as its caller can: an engine
#: that frees a slot every 3 ms serves some 300 requests in the second that a caller waits.
MANAGED_QUEUE_LIMIT = 512
#: Maximum number of requests short of memory that are skipped each time a queue is served, so
#: that smaller requests behind them are granted: each costs a call to the gate.
MAX_PASSED_OVER = 4


def _now() -> float:
    return asyncio.get_running_loop().time()


def _never() -> bool:
    return False


class EngineQueues:
    """The wait queues of the engines that this router owns."""

    def __init__(
        self,
        return_slot: Callable[[str], None],
        clock: Callable[[], float] = _now,
        is_managed: Callable[[], bool] = _never,
    ) -> None:
        self._interval_by_engine: dict[str, ReleaseInterval] = {}
        self._queue_by_engine: dict[str, EngineQueue] = {}
        #: Frees the slot of a grant that was made too late for its request.
        self._return_slot = return_slot
        self._clock = clock
        #: Returns whether load management is on.
        self._is_managed = is_managed
        self._schedule_by_engine: dict[str, RetrySchedule] = {}
        self._refusals = RememberedRefusals()

    @property
    def wrongly_refused(self) -> int:
        """Number of requests refused at arrival for which a slot came free in time after all."""
        return self._refusals.wrongly_refused

    def waiting_count(self, engine: str) -> int:
        """Return how many requests wait for an engine."""
        queue = self._queue_by_engine.get(engine)
        return len(queue.fair_queue) if queue is not None else 0

    async def wait(
        self, grant_request: GrantRequest, full: Full, ask: Callable[[], GateDecision]
    ) -> GateDecision:
        """Wait until granted; return ``full`` if the wait ends first or the queue is full.

        A request whose predicted wait is longer than it may wait is refused at once.
        """
        is_predicted = self._is_managed() and grant_request.in_time > 0
        if not is_predicted and self._exceeds_max_wait(grant_request):
            return full
        predicted = self._predicted_wait(grant_request) if is_predicted else 0.0
        if predicted > grant_request.max_wait_ms / MS_PER_SECOND:
            return self._refuse(grant_request, full, predicted)
        engine = grant_request.engine
        queue = self._queue(engine)
        ticket = self._join(queue, grant_request)
        if ticket is None:
            return self._with_retry_time(grant_request, full) if is_predicted else full
        decision_future: asyncio.Future[GateDecision] = asyncio.get_running_loop().create_future()
        queue.waiter_by_number[ticket.number] = Waiter(ticket, ask, decision_future)
        evict_last(queue, full)
        decision: GateDecision | None = None
        try:
            async with asyncio.timeout(grant_request.max_wait_ms / MS_PER_SECOND):
                decision = await decision_future
        except TimeoutError:
            decision = full
        finally:
            self._leave(engine, queue, ticket)
            if decision is None or decision is full:
                self._return_late_grant(engine, decision_future)
        if is_predicted and isinstance(decision, Full):
            return self._with_retry_time(grant_request, decision)
        return decision

    def drop_gone(self, is_gone: Callable[[str], bool]) -> None:
        """Drop the state of engines that are gone and have no waiting requests."""
        for state_by_engine in (
            self._interval_by_engine,
            self._schedule_by_engine,
            self._refusals.refused_until_by_engine,
        ):
            gone = [
                engine
                for engine in state_by_engine
                if is_gone(engine) and not self.waiting_count(engine)
            ]
            for engine in gone:
                del state_by_engine[engine]

    def note_released(self, engine: str, now: float, was_used: bool = True) -> None:
        """Note that a grant was released, and serve the queue.

        An unused grant, such as one whose request got another one, is no measure of how fast
        the engine frees slots.
        """
        known = self._interval_by_engine.get(engine, ReleaseInterval(now))
        has_waiting = self.waiting_count(engine) > 0
        if not self._is_managed():
            # Only while requests wait do the gaps between releases show how fast slots come free.
            self._interval_by_engine[engine] = (
                known.with_release(now) if has_waiting else replace(known, last_release_at=now)
            )
        elif was_used:
            steady = known.with_release(now, STEADY_GAP_WEIGHT)
            self._interval_by_engine[engine] = (
                steady if has_waiting else replace(known, last_release_at=now)
            )
        if not has_waiting:
            self._refusals.note_unused_slot(engine, now)
        self.serve(engine)

    def _queue(self, engine: str) -> EngineQueue:
        """Return an engine's queue, creating it if no request waits."""
        queue = self._queue_by_engine.get(engine)
        if queue is not None:
            return queue
        limit = QUEUE_LIMIT
        if self._is_managed():
            limit = MANAGED_QUEUE_LIMIT
            now = self._clock()
            known = self._interval_by_engine.get(engine, ReleaseInterval(now))
            # The idle time before this, when no request waited, does not count as a gap.
            self._interval_by_engine[engine] = replace(known, last_release_at=now)
        queue = self._queue_by_engine[engine] = EngineQueue(FairQueue(limit))
        return queue

    def _join(self, queue: EngineQueue, grant_request: GrantRequest) -> Ticket | None:
        in_time_until = math.inf
        if self._is_managed() and grant_request.in_time > 0:
            in_time_until = self._clock() + grant_request.in_time / MS_PER_SECOND
        weight = grant_request.weight / WEIGHT_SCALE
        return queue.fair_queue.join(
            grant_request.account,
            grant_request.priority,
            weight,
            in_time_until,
            grant_request.queue_count,
        )

    def _exceeds_max_wait(self, grant_request: GrantRequest) -> bool:
        """Return whether the requests ahead of a request take longer than it may wait.

        Such a request is refused at once: waiting would end in the same refusal.
        """
        queue = self._queue_by_engine.get(grant_request.engine)
        if queue is None:
            return False
        gap = self._release_gap(grant_request.engine)
        wait = queue.fair_queue.count_before(grant_request.account, grant_request.priority) * gap
        return wait > grant_request.max_wait_ms / MS_PER_SECOND

    def _predicted_wait(self, grant_request: GrantRequest) -> float:
        """Return the predicted wait of a request in seconds; 0 if unknown.

        A request that will miss its objective before its turn comes is queued behind those that
        are already late.
        """
        queue, gap = (
            self._queue_by_engine.get(grant_request.engine),
            self._release_gap(grant_request.engine),
        )
        if queue is None:
            return 0.0
        queue.fair_queue.advance_time(self._clock())
        share = queue.fair_queue.share_before(grant_request.account, grant_request.priority)
        wait = share * gap
        if wait <= grant_request.in_time / MS_PER_SECOND:
            return wait
        late = (
            queue.fair_queue.share_before(
                grant_request.account, grant_request.priority, is_late=True
            )
            - share
        )
        # While requests that are in time take all slots, none is left for the late ones. So each
        # late one counts with at least the time since the last of them was served.
        return wait + late * max(gap, queue.fair_queue.late_wait())

    def _refuse(self, grant_request: GrantRequest, full: Full, predicted: float) -> Full:
        """Refuse a request at arrival: return the reply, and remember the refusal."""
        now = self._clock()
        refused_until = now + grant_request.max_wait_ms / MS_PER_SECOND
        self._refusals.remember(grant_request.engine, refused_until, now)
        predicted_ms = max(1, round(predicted * MS_PER_SECOND))
        return self._with_retry_time(grant_request, replace(full, predicted_ms=predicted_ms))

    def _with_retry_time(self, grant_request: GrantRequest, full: Full) -> Full:
        return replace(full, retry_after_ms=self._retry_after_ms(grant_request))

    def _retry_after_ms(self, grant_request: GrantRequest) -> int:
        """Return the retry delay in milliseconds for a refused caller; 0 if unknown."""
        queue, gap = (
            self._queue_by_engine.get(grant_request.engine),
            self._release_gap(grant_request.engine),
        )
        if gap == 0:
            return 0
        share = queue.fair_queue.total_share() if queue is not None else 0.0
        schedule = self._schedule_by_engine.setdefault(grant_request.engine, RetrySchedule())
        seconds = schedule.next_delay(self._clock(), share, gap, grant_request.queue_count)
        return max(1, round(seconds * MS_PER_SECOND))

    def extra_grants(self, engine: str, limit: int) -> int:
        """Return how many requests to grant beyond an engine's slots while requests wait."""
        return extra_grants(self._release_gap(engine), limit)

    def _release_gap(self, engine: str) -> float:
        """Return the mean seconds between two slots that come free; 0 if unknown."""
        interval = self._interval_by_engine.get(engine)
        return interval.mean_gap if interval is not None and interval.mean_gap is not None else 0.0

    def serve(self, engine: str) -> None:
        """Grant the requests that wait for an engine, in order, as far as the gate allows."""
        queue = self._queue_by_engine.get(engine)
        if queue is None:
            return
        if self._is_managed():
            queue.fair_queue.advance_time(self._clock())
        passed_over = 0
        while (ticket := queue.fair_queue.at_position(passed_over)) is not None:
            waiter = queue.waiter_by_number[ticket.number]
            if waiter.decision.done():
                queue.fair_queue.leave(ticket)
                continue
            decision = waiter.ask()
            if isinstance(decision, Full):
                if decision.short_tokens == 0 or passed_over == MAX_PASSED_OVER:
                    return
                passed_over += 1
                continue
            queue.fair_queue.mark_served(ticket)
            waiter.decision.set_result(decision)

    def serve_all(self) -> None:
        """Serve every queue; called when a ceiling may have risen."""
        for engine in tuple(self._queue_by_engine):
            self.serve(engine)

    def _leave(self, engine: str, queue: EngineQueue, ticket: Ticket) -> None:
        queue.fair_queue.leave(ticket)
        del queue.waiter_by_number[ticket.number]
        if not queue.waiter_by_number:
            del self._queue_by_engine[engine]

    def _return_late_grant(
        self, engine: str, decision_future: asyncio.Future[GateDecision]
    ) -> None:
        """Release a grant that was made just as its request stopped waiting."""
        granted = (
            decision_future.done()
            and not decision_future.cancelled()
            and isinstance(decision_future.result(), Granted)
        )
        if granted:
            self._return_slot(engine)
