"""Whether an engine can take a request now: its ceiling, its memory, and its pace while cold."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from pondhatch.placement import USUAL_PACE, ColdPacer, Full, Gate, GateDecision, Granted
from pondhatch.requests._brittle_gate import BrittleGate
from pondhatch.requests._engine_memory import EngineMemory
from pondhatch.requests._grant_requests import SEEN_LOAD_SECONDS, GrantRequest
from pondhatch.requests._owner_view import OwnerView
from pondhatch.requests._sending import Target


class GrantGate:
    """Grants requests at the engines that this router owns, as far as they can take them."""

    def __init__(
        self,
        view: OwnerView,
        gate: Gate,
        brittle: BrittleGate,
        cold_pacer: ColdPacer,
        engine_memory: EngineMemory,
        extra_grants: Callable[[str, int], int],
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._gate = gate
        self._brittle = brittle
        self._cold_pacer = cold_pacer
        self._engine_memory = engine_memory
        #: Returns how many requests to grant beyond an engine's slots while requests wait for it,
        #: given how many it queues by itself.
        self._extra_grants = extra_grants
        self._clock = clock

    def ask(self, target: Target, grant_request: GrantRequest) -> GateDecision:
        """Grant a request up to an upstream's ceiling, and if it is brittle within its bounds."""
        now = self._clock()
        in_flight = self._gate.in_flight(target.name, now)
        refusal = self._brittle.refusal(target, grant_request, in_flight, now)
        if refusal is not None:
            return refusal
        decision = self._ask_at_pace(target, grant_request)
        if isinstance(decision, Granted):
            self._brittle.record_grant(grant_request, now)
        return decision

    def ask_again(self, target: Target, grant_request: GrantRequest, since: float) -> GateDecision:
        """Ask the gate again for a queued request; its upstream may have become cold.

        After ``SEEN_LOAD_SECONDS`` in the queue, the load that the request saw at other engines
        no longer raises the ceiling.
        """
        if grant_request.in_time > 0 and self._clock() - since > SEEN_LOAD_SECONDS:
            grant_request = replace(grant_request, seen_in_flight_elsewhere=0)
        decision = self.ask(self._view.target(target.name) or target, grant_request)
        if isinstance(decision, Full) and decision.short_tokens > 0:
            self._engine_memory.reserve_for(target, grant_request)
        return decision

    def _ask_at_pace(self, target: Target, grant_request: GrantRequest) -> GateDecision:
        """Grant a request up to an upstream's ceiling and, if it is cold, at its pace."""
        pace, now = target.intake.cold_pace, self._clock()
        if pace is None:
            self._cold_pacer.forget(target.name)
            return self._ask_ceiling(target, grant_request)
        if not self._cold_pacer.is_due(target.name, pace, now):
            return self.cold_refusal(target)
        decision = self._ask_ceiling(target, grant_request)
        if isinstance(decision, Granted):
            self._cold_pacer.record_grant(target.name, pace, now)
        return decision

    def cold_refusal(self, target: Target) -> Full:
        """Return the refusal of a cold upstream that is to get no more requests for a moment."""
        in_flight = self._gate.in_flight(target.name, self._clock())
        return Full(in_flight, in_flight, is_cold=True)

    def _ask_ceiling(self, target: Target, grant_request: GrantRequest) -> GateDecision:
        """Grant a request if an upstream has a slot and memory for it."""
        now = self._clock()
        in_flight = self._gate.in_flight(target.name, now)
        short = self._engine_memory.shortage(target, grant_request, in_flight, now)
        if short > 0:
            return Full(in_flight, in_flight, short_tokens=short)
        others = max(
            self._view.elsewhere_in_flight(target.name), grant_request.seen_in_flight_elsewhere
        )
        pace, slots = self._pace(target, grant_request), self._slots(target, grant_request)
        decision = self._gate.try_grant(
            target.name,
            now,
            target.load_bound,
            others,
            target.open_upstream_count,
            slots,
            target.load_slack,
            pace,
        )
        if isinstance(decision, Granted):
            self._engine_memory.record_grant(grant_request, now)
        return decision

    def _slots(self, target: Target, grant_request: GrantRequest) -> int:
        """Return how many requests an engine may hold, regardless of the service's mean load.

        A request that waits in the queue may be sent ahead of the next free slot. Any other
        request may find a free slot at another engine.
        """
        if grant_request.in_time == 0 or not self._view.is_load_managed():
            return target.slots
        return target.slots + self._extra_grants(target.name, target.engine_queue)

    def _pace(self, target: Target, grant_request: GrantRequest) -> int:
        """Return the pace by which an engine's ceiling is lowered for a request.

        A request whose context is at the engine gets the usual ceiling: moving the context to
        another engine costs it more than a slow engine does, and outlasts the slowness. With load
        management, requests that wait for any free slot state ``in_time``; a follow-up that may
        wait without stating it waits for this engine's context.
        """
        waits_for_context = grant_request.max_wait_ms > 0 and grant_request.in_time == 0
        comes_for_context = grant_request.is_followup and (
            grant_request.is_home or waits_for_context
        )
        if comes_for_context or not self._view.is_load_managed():
            return USUAL_PACE
        return target.pace
