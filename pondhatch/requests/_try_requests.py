"""Builds what one request's tries send: grant requests to owners, and heads to engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from pondhatch.placement import Plan, TokenNeed
from pondhatch.requests._dispatch_results import WaitLimits
from pondhatch.requests._eligible_engines import EligibleEngines
from pondhatch.requests._entry_view import Collaborators, EntryView
from pondhatch.requests._grant_requests import (
    MS_PER_SECOND,
    SEEN_LOAD_SECONDS,
    WEIGHT_SCALE,
    GrantRequest,
)
from pondhatch.requests._messages import Headers, RequestHead
from pondhatch.requests._slot_wait import SlotWait
from pondhatch.requests._stream_binding import StreamBinding
from pondhatch.requests._token_needs import stated_need

#: The need stated if the engine's memory size is unknown or load management is off.
UNSTATED_NEED = TokenNeed()


class TryHeads:
    """The heads of one request's tries, each with an id of its own."""

    def __init__(self, head: RequestHead, binding: StreamBinding) -> None:
        self._head = head
        self._binding = binding
        self._try_count = 0

    def continue_after(self, event_id: str) -> None:
        """Ask for the rest of the stream after an event in all later tries."""
        self._head = msgspec.structs.replace(self._head, last_event_id=event_id)

    def next(self, needs_new_connection: bool) -> RequestHead:
        """Return the head of the next try."""
        return self._next(needs_new_connection=needs_new_connection)

    def next_resuming(self, headers: Headers) -> RequestHead:
        """Return the head of a try that resumes a stream as these headers state."""
        return self._next(headers=(*self._head.headers, *headers), resuming=True)

    def _next(self, **changes: Any) -> RequestHead:
        self._try_count += 1
        return msgspec.structs.replace(
            self._head,
            request_id=f"{self._head.request_id}.{self._try_count}",
            software_version=self._binding.software_version,
            **changes,
        )


class GrantRequestBuilder:
    """Builds one request's grant requests."""

    def __init__(
        self,
        view: EntryView,
        collaborators: Collaborators,
        head: RequestHead,
        engines: EligibleEngines,
        remaining: Callable[[], float],
        wait_limits: WaitLimits,
    ) -> None:
        self._view = view
        self._grants = collaborators.grants
        self._head = head
        self._engines = engines
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._wait_limits = wait_limits
        self._slot_wait = SlotWait(head, wait_limits, remaining, collaborators.run_times)
        self._need = stated_need(head)

    def new(
        self,
        plan: Plan,
        engine: str,
        is_forced: bool,
        resuming: bool = False,
        has_context: bool = False,
        is_last: bool = False,
    ) -> GrantRequest:
        """Return the grant request for an engine."""
        is_home = engine == plan.home
        max_wait = self._wait_limits.context_engine if has_context else 0.0
        max_wait = min(self._remaining(), self.last_engine_wait() if is_last else max_wait)
        need, target = self._need_at(engine), self._view.target(engine)
        return GrantRequest(
            number=self._grants.next_number(),
            router=self._grants.router,
            engine=engine,
            account=self._head.account,
            chat=self._head.chat if is_home else 0,
            priority=self._head.priority,
            max_wait_ms=round(max(0.0, max_wait) * MS_PER_SECOND),
            weight=round(self._head.weight * WEIGHT_SCALE),
            # The load seen is out of date by the time a stream breaks, and would raise the
            # engine's ceiling above the load of that time.
            seen_in_flight_elsewhere=0 if resuming else plan.seen_in_flight_elsewhere(engine),
            is_followup=self._head.is_followup,
            is_home=is_home,
            settled_engine=self._settled_engine(plan, engine) if is_home else None,
            is_forced=is_forced,
            resuming=resuming,
            tokens=need.tokens,
            parts=need.parts,
            refusal_limit=target.refusal_limit if target is not None else None,
        )

    def in_queue(
        self, grant_request: GrantRequest, plan: Plan, seconds: float, queues: int, elapsed: float
    ) -> GrantRequest:
        """Return a grant request as sent to one of several engines in whose queues it waits.

        ``elapsed`` is the number of seconds since the current pass over the engines began.
        """
        target = self._view.target(grant_request.engine)
        max_wait_ms = max(1, round(seconds * MS_PER_SECOND))
        seen = 0
        if target is not None and elapsed <= SEEN_LOAD_SECONDS:
            seen = max(
                grant_request.seen_in_flight_elsewhere,
                plan.estimate_in_flight_elsewhere(grant_request.engine, target.open_upstream_count),
            )
        return msgspec.structs.replace(
            grant_request,
            max_wait_ms=max_wait_ms,
            seen_in_flight_elsewhere=seen,
            in_time=self._slot_wait.in_time_ms(max_wait_ms),
            queue_count=queues,
        )

    def queue_wait(self) -> float:
        """Return the seconds that the request may wait in the queues of several engines."""
        return max(self._slot_wait.limit(), self._engines.bound_wait())

    def last_engine_wait(self) -> float:
        """Return the seconds that the request may wait at the last engine left to ask."""
        return max(self._wait_limits.last_engine, self._engines.bound_wait())

    def _need_at(self, engine: str) -> TokenNeed:
        """Return the engine memory that the request needs, if the engine's owner counts memory."""
        if not (self._need.is_stated and self._view.is_load_managed()):
            return UNSTATED_NEED
        target = self._view.target(engine)
        is_known = target is not None and target.memory_tokens is not None
        return self._need if is_known else UNSTATED_NEED

    def _settled_engine(self, plan: Plan, home: str) -> str | None:
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
        return plan.settled_engine(self._view.is_young)
