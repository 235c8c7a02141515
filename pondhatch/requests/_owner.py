"""The owner's side: decides on grant requests for the engines that this router owns."""

from __future__ import annotations

import functools
from collections.abc import Callable, Collection

import msgspec
from msgspec.structs import asdict, replace

from pondhatch.placement import (
    ColdPacer,
    ContextLocations,
    Full,
    Gate,
    GateDecision,
    Granted,
    Health,
    TokenCounts,
    context_engine,
)
from pondhatch.requests._brittle_gate import BrittleGate
from pondhatch.requests._end_recorder import EndRecorder
from pondhatch.requests._engine_memory import EngineMemory
from pondhatch.requests._engine_queues import EngineQueues
from pondhatch.requests._grant_gate import GrantGate
from pondhatch.requests._grant_requests import (
    Busy,
    ContextElsewhere,
    EndReason,
    GrantRequest,
    Holder,
    NotOwner,
    OwnerReply,
)
from pondhatch.requests._leases import Leases
from pondhatch.requests._outcomes import AILING, NotRun
from pondhatch.requests._owner_view import OwnerView
from pondhatch.requests._sending import Target, grantable_target

#: Minimum seconds from a process's start to its first request: grants of a restarted router that
#: are older than this belong to its earlier process.
MIN_START_SECONDS = 0.5
#: End reasons of requests that an engine ran. With any other reason the request used no slot of
#: the engine, or for a time that says nothing about how long requests take.
RUN_END_REASONS = frozenset(
    {EndReason.ANSWERED, EndReason.CONNECTION_FAILED, EndReason.ENGINE_ERROR}
)
#: Seconds between two clean-ups of engines that are gone.
CLEANUP_SECONDS = 10.0


class MustWait(msgspec.Struct, frozen=True):
    """The engine is at its ceiling, and the request may wait in its queue."""

    target: Target
    full: Full


class LocalOwner:
    """Decides on grant requests for the engines that this router owns."""

    def __init__(
        self,
        name: str,
        view: OwnerView,
        gate: Gate,
        spill_locations: ContextLocations,
        clock: Callable[[], float],
        health: Health,
        cold_pacer: ColdPacer | None = None,
        token_counts: TokenCounts | None = None,
    ) -> None:
        self._name = name
        self._view = view
        self._gate = gate
        self._spill_locations = spill_locations
        self._clock = clock
        self._queues = EngineQueues(self._return_slot, clock, view.is_load_managed)
        self._health = health
        self._brittle = BrittleGate(self._queues.serve)
        self._end_recorder = EndRecorder(view, gate, health, self._brittle, clock)
        self._engine_memory = EngineMemory(token_counts or TokenCounts(), view.is_load_managed)
        self._grant_gate = GrantGate(
            view,
            gate,
            self._brittle,
            cold_pacer or ColdPacer(),
            self._engine_memory,
            self._queues.extra_grants,
            clock,
        )
        self.leases = Leases()
        self._cleaned_up_at = float("-inf")

    async def ask(self, grant_request: GrantRequest) -> OwnerReply:
        """Return the reply to a grant request, after waiting in the queue if it may."""
        reply = self.decide(grant_request)
        return await self.wait(grant_request, reply) if isinstance(reply, MustWait) else reply

    def decide(self, grant_request: GrantRequest) -> OwnerReply | MustWait:
        """Reply to a grant request at once, or return that it must wait."""
        if self._view.is_draining():
            return NotOwner()
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            # If it was granted before and that reply was lost, no one else would release it.
            self.release(grant_request.holder, EndReason.NEUTRAL)
            return target
        if grant_request.holder in self.leases.by_holder:
            # Asked again because the first reply was lost. The engine's state is not checked a
            # second time: this very request may be the one probing it.
            return Granted(self._gate.in_flight(target.name, self._clock()), target.slots)
        refusal = self._placement_refusal(grant_request, target)
        if refusal is not None:
            return refusal
        self._queues.serve(target.name)
        decision = self._grant_gate.ask(target, grant_request)
        if isinstance(decision, Granted):
            return self._record_grant(grant_request, decision)
        self._count_memory_refusal(decision)
        if grant_request.max_wait_ms > 0:
            return MustWait(target, decision)
        return _busy(decision)

    def decide_without_owner(self, grant_request: GrantRequest) -> OwnerReply:
        """Reply to a grant request of this router whose owner cannot be asked.

        The load known here is compared with the engine's ceiling; the grant is reported to the
        owner once there is one again. Cold upstreams get nothing this way: any number of routers
        may decide without an owner at once, and none knows what the others send there.
        """
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            return target
        refusal = self._health_refusal(grant_request, target)
        if refusal is not None:
            return refusal
        if target.intake.cold_pace is not None:
            return _busy(self._grant_gate.cold_refusal(target))
        if target.refusal_limit is not None:
            # As for cold ones: any number of routers may decide without the owner.
            in_flight = self._gate.in_flight(target.name, self._clock())
            return Busy(in_flight, in_flight)
        decision = self._grant_gate.ask(target, grant_request)
        if isinstance(decision, Granted):
            return self._record_grant(grant_request, decision)
        self._count_memory_refusal(decision)
        return _busy(decision)

    async def wait(self, grant_request: GrantRequest, must_wait: MustWait) -> OwnerReply:
        """Wait in the engine's queue until granted or until the maximum wait has passed."""
        ask = functools.partial(
            self._grant_gate.ask_again, must_wait.target, grant_request, self._clock()
        )
        decision: GateDecision | None = None
        try:
            decision = await self._queues.wait(grant_request, must_wait.full, ask)
        finally:
            if not isinstance(decision, Granted):
                self._drop_reservation(grant_request)
        if isinstance(decision, Full):
            # Reports the present load: the next owner asked counts it as load elsewhere, and
            # requests that ran when the wait began may have ended since.
            in_flight = self._gate.in_flight(grant_request.engine, self._clock())
            return _busy(replace(decision, in_flight=in_flight))
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            # The upstream was closed while the request waited.
            self._engine_memory.remove(grant_request.engine, grant_request.holder)
            self._return_slot(grant_request.engine)
            return target
        return self._record_grant(grant_request, decision)

    def release(self, holder: Holder, end_reason: EndReason) -> None:
        """End a grant and record how its request ended; safe to call twice."""
        lease = self.leases.remove(holder)
        if lease is None:
            return
        # Recorded first, since freeing the slot grants the next request in the queue.
        self._end_recorder.record(lease.engine, holder, end_reason)
        self._engine_memory.remove(lease.engine, holder)
        self._return_slot(lease.engine, was_used=end_reason in RUN_END_REASONS)

    def hold(self, router: int, engine: str, numbers: Collection[int]) -> None:
        """Renew leases; grants of an earlier owner are counted here from now on."""
        for number in numbers:
            holder = Holder(router, number)
            if holder not in self.leases.by_holder:
                self._gate.adopt(engine)
                self._engine_memory.record_adopted(self._view.target(engine), holder)
            self.leases.start_or_renew(holder, engine, self._clock())

    def router_gone(self, router: int) -> None:
        """End the grants of an entry router that is gone, as its connections are gone too."""
        self._release_all(self.leases.of_router(router))

    def router_restarted(self, router: int) -> None:
        """End the grants that an entry router held before it restarted.

        Its new process may hold grants already, which are kept: starting a process takes longer
        than learning of the restart, so the newest grants can only be those of the new process.
        """
        self._release_all(self.leases.of_router(router, self._clock() - MIN_START_SECONDS))

    @property
    def wrongly_refused(self) -> int:
        """Number of requests refused at arrival for which a slot came free in time after all."""
        return self._queues.wrongly_refused

    def holding_routers(self) -> frozenset[int]:
        """Return the short ids of the routers whose requests hold grants here."""
        return frozenset(holder.router for holder in self.leases.by_holder)

    def note_spill(self, chat: int, engine: str) -> None:
        """Record the engine that served a chat instead of its home engine."""
        self._spill_locations.remember(chat, engine)

    def tick(self) -> None:
        """Do the periodic work: end expired leases, and serve queues if ceilings have risen."""
        now = self._clock()
        self._brittle.note_round(now)
        self._release_all(self.leases.expired(now))
        self._queues.serve_all()
        if now - self._cleaned_up_at >= CLEANUP_SECONDS:
            self._cleaned_up_at = now
            self._end_recorder.drop_old(now)
            self._brittle.drop_sound(now)
            self._queues.drop_gone(lambda engine: self._view.target(engine) is None)

    def _placement_refusal(self, grant_request: GrantRequest, target: Target) -> OwnerReply | None:
        """Return why a request may not run at an open engine, regardless of its load."""
        owner = self._view.owner_name(grant_request.engine)
        if owner != self._name and not grant_request.instead_of_owner:
            return NotOwner(owner)
        context_holder = self._context_engine(grant_request)
        if context_holder != grant_request.engine:
            return ContextElsewhere(context_holder)
        return self._health_refusal(grant_request, target)

    def _health_refusal(self, grant_request: GrantRequest, target: Target) -> NotRun | None:
        """Return why a request should not run at an engine given its recent failures."""
        engine, now = grant_request.engine, self._clock()
        if self._health.is_down(engine, now):
            return NotRun("upstream-down", f"{engine} failed several times in a row")
        if self._health.is_ailing(engine, now) and not grant_request.is_forced:
            return NotRun(AILING, f"{engine} fails or refuses many requests")
        if target.intake.rest.for_some_routers > 0 and not grant_request.is_forced:
            return NotRun(AILING, f"{engine} turns some routers away")
        return None

    def _context_engine(self, grant_request: GrantRequest) -> str:
        """Return the likely holder of the chat's context, else the requested engine."""
        if not (grant_request.is_home and grant_request.is_followup) or grant_request.is_forced:
            return grant_request.engine
        is_young = self._view.is_young(grant_request.engine)
        return context_engine(
            self._spill_locations,
            grant_request.chat,
            grant_request.engine,
            grant_request.settled_engine,
            is_young,
        )

    def _target(self, grant_request: GrantRequest) -> Target | NotRun:
        """Return the requested upstream, or why no router may send it the request."""
        target = self._view.target(grant_request.engine)
        return grantable_target(target, grant_request.engine, grant_request.resuming)

    def _drop_reservation(self, grant_request: GrantRequest) -> None:
        """Drop the memory reservation of a request that leaves without a grant."""
        if self._engine_memory.remove(grant_request.engine, grant_request.holder):
            self._queues.serve(grant_request.engine)

    def _count_memory_refusal(self, full: Full) -> None:
        """Count a refusal whose reason is lack of engine memory."""
        if full.short_tokens > 0:
            self._engine_memory.record_refusal()

    def _record_grant(self, grant_request: GrantRequest, granted: Granted) -> Granted:
        if grant_request.is_home:
            self._spill_locations.forget(grant_request.chat)
        self.leases.start_or_renew(grant_request.holder, grant_request.engine, self._clock())
        return granted

    def _release_all(self, holders: Collection[Holder]) -> None:
        for holder in holders:
            self.release(holder, EndReason.NEUTRAL)

    def _return_slot(self, engine: str, was_used: bool = False) -> None:
        """Free a slot of an engine, and grant it to the next request in the queue."""
        self._gate.release(engine)
        self._queues.note_released(engine, self._clock(), was_used)


def _busy(full: Full) -> Busy:
    return Busy(**asdict(full))
