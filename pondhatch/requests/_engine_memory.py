"""Admission by engine memory: compares the tokens of requests with their engine's capacity."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.placement import Reservation, TokenCounts, usable_tokens
from pondhatch.requests._grant_requests import GrantRequest, Holder
from pondhatch.requests._sending import Target
from pondhatch.requests._token_needs import requested_need


class EngineMemory:
    """Counts the tokens of granted requests; see TokenCounts."""

    def __init__(self, counts: TokenCounts, is_load_managed: Callable[[], bool]) -> None:
        self._counts = counts
        #: Returns whether load management is on; without it memory is not checked.
        self._is_load_managed = is_load_managed

    def shortage(
        self, target: Target, grant_request: GrantRequest, in_flight: int, now: float
    ) -> int:
        """Return the tokens that an engine lacks for a request; 0 if memory is not checked.

        ``in_flight`` is the number of requests in flight at the engine. An idle engine takes any
        request, which would fit no better elsewhere. A resumed stream uses memory that the engine
        has already allocated.
        """
        if target.memory_tokens is None or grant_request.resuming or in_flight == 0:
            return 0
        if not self._is_load_managed():
            return 0
        limit, need = usable_tokens(target.memory_tokens), requested_need(grant_request)
        return self._counts.shortage(
            target.name, grant_request.holder, need, limit, now, grant_request.priority
        )

    def record_grant(self, grant_request: GrantRequest, now: float) -> None:
        """Count a request that was granted."""
        need = requested_need(grant_request)
        if need.is_stated:
            self._counts.add(grant_request.engine, grant_request.holder, need, now)

    def record_adopted(self, target: Target | None, holder: Holder) -> None:
        """Count a request that another owner granted, whose need is unknown."""
        if target is not None and target.memory_tokens is not None and self._is_load_managed():
            self._counts.adopt(target.name, holder)

    def record_refusal(self) -> None:
        """Count a refusal for lack of memory."""
        self._counts.refusals += 1

    def reserve_for(self, target: Target, grant_request: GrantRequest) -> None:
        """Reserve memory for a request that waits for it.

        Otherwise smaller requests that arrive later would take all memory that comes free. A
        request larger than the memory can only run alone: a reservation would block all others.
        """
        memory, need = target.memory_tokens, requested_need(grant_request)
        if memory is not None and need.total <= usable_tokens(memory):
            reservation = Reservation(grant_request.holder, need, grant_request.priority)
            self._counts.reserve(target.name, reservation)

    def remove(self, engine: str, holder: Holder) -> bool:
        """Free what a request uses or has reserved; return whether there was anything."""
        return self._counts.remove(engine, holder)
