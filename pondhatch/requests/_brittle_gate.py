"""The owner's gate for brittle engines, and the service of their queues as it opens again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pondhatch.kernel import Standstill
from pondhatch.placement import BrittleAllowances, Full
from pondhatch.requests._grant_requests import EndReason, GrantRequest, Holder
from pondhatch.requests._sending import Target


class BrittleGate:
    """Bounds what brittle engines may have to refuse; see BrittleAllowances."""

    def __init__(self, serve: Callable[[str], None]) -> None:
        self._allowances = BrittleAllowances()
        #: Grants the requests that wait in an engine's queue.
        self._serve = serve
        #: Engines whose queues are to be served once the allowance permits.
        self._served_later: set[str] = set()
        self._standstill = Standstill()
        #: When the latest standstill was taken into account, in the clock's seconds.
        self._standstill_noted_at = float("-inf")

    def note_round(self, now: float) -> None:
        """Note one of the owner's rounds."""
        self._standstill.note_round(now)

    def refusal(
        self, target: Target, grant_request: GrantRequest, in_flight: int, now: float
    ) -> Full | None:
        """Return why a brittle engine gets no request now, or None if it may get one."""
        engine = target.name
        if self._standstill.has_been_since(self._standstill_noted_at, now):
            # Another router may have been the owner meanwhile.
            self._standstill_noted_at = now
            self._allowances.begin_as_new_owner(now)
        for refusal_limit in (grant_request.refusal_limit, target.refusal_limit):
            self._allowances.note_limit(engine, refusal_limit, now)
        if self._allowances.may_grant(engine, in_flight, now):
            return None
        self._serve_later(engine, now)
        return Full(in_flight, in_flight)

    def record_grant(self, grant_request: GrantRequest, now: float) -> None:
        """Record a grant, which the engine may still refuse."""
        self._allowances.record_grant(grant_request.engine, grant_request.holder, now)

    def record_end(self, engine: str, holder: Holder, end_reason: EndReason) -> None:
        """Record how a grant ended; one that was withdrawn may still be refused."""
        if end_reason not in (EndReason.FULL, EndReason.NEUTRAL):
            self._allowances.record_end(engine, holder)

    def record_refusal(self, engine: str, holder: Holder, others: int, now: float) -> bool:
        """Record that an engine refused a request beside others; return whether it is brittle."""
        return self._allowances.record_refusal(engine, holder, others, now)

    def drop_sound(self, now: float) -> None:
        """Forget engines that no longer state a limit."""
        self._allowances.drop_sound(now)

    def _serve_later(self, engine: str, now: float) -> None:
        seconds = self._allowances.seconds_to_next(engine, now)
        if seconds is None or engine in self._served_later:
            return
        self._served_later.add(engine)

        def serve() -> None:
            self._served_later.discard(engine)
            self._serve(engine)

        asyncio.get_running_loop().call_later(seconds, serve)
