"""The owner's side: grants against the ceiling of the engines that this router owns."""

from __future__ import annotations

import functools
from collections.abc import Callable, Collection
from typing import Protocol

import msgspec
from msgspec.structs import asdict, replace

from pondhatch.placement import (
    LONGEST_PAUSE,
    MANAGED_PAUSE,
    USUAL_PACE,
    ColdPaces,
    Full,
    Gate,
    Granted,
    Health,
    SpillMemory,
    TokenCounts,
    Verdict,
    context_engine,
)
from pondhatch.requests._engine_memory import EngineMemory
from pondhatch.requests._engine_queues import EngineQueues
from pondhatch.requests._grant_requests import (
    SEEN_LOAD_SECONDS,
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
from pondhatch.requests._sending import Target, grantable_target

#: Seconds that a process takes at least from its start to its first request: what a router
#: that restarted was granted longer ago belongs to its earlier process.
MIN_START_SECONDS = 0.5


#: Ends of requests that an engine ran. The others freed no slot, or say nothing of how long a
#: slot is taken.
RUN_ENDS = frozenset({EndReason.ANSWERED, EndReason.CONNECTION_FAILED, EndReason.ENGINE_ERROR})
#: Seconds between two looks for engines that are gone.
FORGET_SECONDS = 10.0


class OwnerView(Protocol):
    """What the owner's side reads of the router's state."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None where it is not known."""

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine in this router's view."""

    def elsewhere_in_flight(self, engine: str) -> int:
        """Return the in-flight total of the service's other engines."""

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined a short while ago."""

    def is_draining(self) -> bool:
        """Return whether this router is draining."""

    def is_load_managed(self) -> bool:
        """Return whether the parts of load management are in force."""


class MustWait(msgspec.Struct, frozen=True):
    """The engine is at its ceiling, and the request may wait in its line."""

    target: Target
    full: Full


class LocalOwner:
    """The engines that this router owns."""

    def __init__(
        self,
        name: str,
        view: OwnerView,
        gate: Gate,
        memory: SpillMemory,
        clock: Callable[[], float],
        health: Health,
        cold_paces: ColdPaces | None = None,
        tokens: TokenCounts | None = None,
    ) -> None:
        self._name = name
        self._view = view
        self._gate = gate
        self._memory = memory
        self._clock = clock
        self._queues = EngineQueues(self._return_slot, clock, view.is_load_managed)
        self._health = health
        self._cold_paces = cold_paces or ColdPaces()
        self._engine_memory = EngineMemory(tokens or TokenCounts(), view.is_load_managed)
        self.leases = Leases()
        self._forgot_at = float("-inf")

    async def ask(self, grant_request: GrantRequest) -> OwnerReply:
        """Return the answer to a question, after waiting in line where it may."""
        reply = self.decide(grant_request)
        return await self.wait(grant_request, reply) if isinstance(reply, MustWait) else reply

    def decide(self, grant_request: GrantRequest) -> OwnerReply | MustWait:
        """Answer a question at once, or say that its request must wait."""
        if self._view.is_draining():
            return NotOwner()
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            # Where it was granted before, and that word was lost, nobody would give it back.
            self.release(grant_request.holder, EndReason.NEUTRAL)
            return target
        if grant_request.holder in self.leases.by_holder:
            # Asked again, since the first word was lost; what speaks against the engine by
            # now may be this very request, sent to try it.
            return Granted(self._gate.in_flight(target.name, self._clock()), target.slots)
        refusal = self._placement_refusal(grant_request, target)
        if refusal is not None:
            return refusal
        self._queues.serve(target.name)
        verdict = self._ask_gate(target, grant_request)
        if isinstance(verdict, Granted):
            return self._record_grant(grant_request, verdict)
        self._note_refused(verdict)
        if grant_request.max_wait_ms > 0:
            return MustWait(target, verdict)
        return _busy(verdict)

    def decide_without_owner(self, grant_request: GrantRequest) -> OwnerReply:
        """Answer a question of this router's own whose owner cannot be asked.

        What is known here of the engine's load is held against its ceiling; the grant is
        told to the owner as soon as there is one again. Nothing goes to a cold upstream so: any
        number of routers may decide alone at once, and none knows what the others send there.
        """
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            return target
        refusal = self._health_refusal(grant_request, target)
        if refusal is not None:
            return refusal
        if target.intake.cold_pace is not None:
            return _busy(self._cold_refusal(target))
        verdict = self._ask_gate(target, grant_request)
        if isinstance(verdict, Granted):
            return self._record_grant(grant_request, verdict)
        self._note_refused(verdict)
        return _busy(verdict)

    async def wait(self, grant_request: GrantRequest, must_wait: MustWait) -> OwnerReply:
        """Wait in the engine's line until granted, or until patience ends."""
        ask = functools.partial(
            self._ask_gate_again, must_wait.target, grant_request, self._clock()
        )
        verdict: Verdict | None = None
        try:
            verdict = await self._queues.wait(grant_request, must_wait.full, ask)
        finally:
            if not isinstance(verdict, Granted):
                self._drop_reservation(grant_request)
        if isinstance(verdict, Full):
            # As it is now: the next owner that is asked counts what it is told here, and what
            # was there when the wait began may have ended since.
            held = self._gate.in_flight(grant_request.engine, self._clock())
            return _busy(replace(verdict, in_flight=held))
        target = self._target(grant_request)
        if isinstance(target, NotRun):
            # It was closed while the request waited.
            self._engine_memory.ended(grant_request.engine, grant_request.holder)
            self._return_slot(grant_request.engine)
            return target
        return self._record_grant(grant_request, verdict)

    def release(self, holder: Holder, end_reason: EndReason) -> None:
        """Take a grant back, and learn from how its request ended; safe to call twice."""
        lease = self.leases.take(holder)
        if lease is None:
            return
        # First, since whoever waits in the engine's line is granted when the place is back.
        self._learn(lease.engine, end_reason)
        self._engine_memory.ended(lease.engine, holder)
        self._return_slot(lease.engine, was_used=end_reason in RUN_ENDS)

    def _learn(self, engine: str, end_reason: EndReason) -> None:
        """Take in what the end of a request, whose grant still counts, tells of its engine."""
        now = self._clock()
        if end_reason == EndReason.ANSWERED:
            self._health.answered(engine)
        if end_reason == EndReason.CONNECTION_FAILED:
            managed = self._view.is_load_managed()
            self._health.failed(engine, now, MANAGED_PAUSE if managed else LONGEST_PAUSE)
        if end_reason == EndReason.ENGINE_ERROR:
            self._health.erred(engine, now)
        if end_reason == EndReason.LEAVING:
            self._health.leaving(engine, now)
        if end_reason == EndReason.FULL:
            self._note_engine_full(engine, now)

    def _note_engine_full(self, engine: str, now: float) -> None:
        """Hold less at an engine than the places that were counted for it.

        One that holds nothing else of ours is not full by what is counted here: once may be
        the request's size, again and again speaks against the engine, unless it is cold.
        """
        target = self._view.target(engine)
        if target is not None and target.intake.cold_pace is not None:
            return
        if self._gate.in_flight(engine, now) > 1:
            self._gate.said_full(engine, now)
        else:
            self._health.erred(engine, now)

    def hold(self, router: int, engine: str, numbers: Collection[int]) -> None:
        """Renew leases; what another owner granted is counted here from now on."""
        for number in numbers:
            holder = Holder(router, number)
            if holder not in self.leases.by_holder:
                self._gate.adopt(engine)
                self._engine_memory.adopted(self._view.target(engine), holder)
            self.leases.give(holder, engine, self._clock())

    def router_gone(self, router: int) -> None:
        """Take back the grants of an entry router that is gone: its connections are, too."""
        self._release_all(self.leases.of_router(router))

    def router_restarted(self, router: int) -> None:
        """Take back what an entry router held before it started anew.

        Its new process may have asked already; a start takes longer than that word.
        """
        self._release_all(self.leases.of_router(router, self._clock() - MIN_START_SECONDS))

    @property
    def wrongly_refused(self) -> int:
        """Requests that were refused at arrival, and that a place came free for in time."""
        return self._queues.wrongly_refused

    def holding_routers(self) -> frozenset[int]:
        """Return the short ids of the routers whose requests hold grants here."""
        return frozenset(holder.router for holder in self.leases.by_holder)

    def note_spill(self, chat: int, engine: str) -> None:
        """Note where a chat was served away from its home engine."""
        self._memory.remember(chat, engine)

    def tick(self) -> None:
        """Do what is due each round: leases end, and a ceiling may have risen."""
        now = self._clock()
        self._release_all(self.leases.ended(now))
        self._queues.serve_all()
        if now - self._forgot_at >= FORGET_SECONDS:
            self._forgot_at = now
            self._queues.forget(lambda engine: self._view.target(engine) is None)

    def _placement_refusal(self, grant_request: GrantRequest, target: Target) -> OwnerReply | None:
        """Return why a request may not run at an engine that takes work, whatever its load."""
        owner = self._view.owner_name(grant_request.engine)
        if owner != self._name and not grant_request.instead_of_owner:
            return NotOwner(owner)
        believed = self._context_engine(grant_request)
        if believed != grant_request.engine:
            return ContextElsewhere(believed)
        return self._health_refusal(grant_request, target)

    def _health_refusal(self, grant_request: GrantRequest, target: Target) -> NotRun | None:
        """Return why a request should not run at an engine, by what became of others there."""
        engine, now = grant_request.engine, self._clock()
        if self._health.is_down(engine, now):
            return NotRun("upstream-down", f"{engine} failed several times in a row")
        if self._health.is_ailing(engine, now) and not grant_request.is_forced:
            return NotRun(AILING, f"{engine} fails or refuses many requests")
        if target.intake.rest.of_some > 0 and not grant_request.is_forced:
            return NotRun(AILING, f"{engine} turns some routers away")
        return None

    def _context_engine(self, grant_request: GrantRequest) -> str:
        """Return where to send the chat: here, unless this is its home and it lies elsewhere."""
        if not (grant_request.is_home and grant_request.is_followup) or grant_request.is_forced:
            return grant_request.engine
        is_young = self._view.is_young(grant_request.engine)
        return context_engine(
            self._memory,
            grant_request.chat,
            grant_request.engine,
            grant_request.settled_engine,
            is_young,
        )

    def _target(self, grant_request: GrantRequest) -> Target | NotRun:
        """Return the upstream that is asked for, or why no router may send it the request."""
        target = self._view.target(grant_request.engine)
        return grantable_target(target, grant_request.engine, grant_request.resuming)

    def _ask_gate_again(self, target: Target, grant_request: GrantRequest, since: float) -> Verdict:
        """Ask the gate for a request that waited, since its upstream may have turned cold."""
        if grant_request.in_time > 0 and self._clock() - since > SEEN_LOAD_SECONDS:
            grant_request = replace(grant_request, seen_in_flight_elsewhere=0)
        verdict = self._ask_gate(self._view.target(target.name) or target, grant_request)
        if isinstance(verdict, Full) and verdict.short_tokens > 0:
            self._engine_memory.keep_for(target, grant_request)
        return verdict

    def _drop_reservation(self, grant_request: GrantRequest) -> None:
        """Take back what a request counts or keeps that goes without a grant."""
        if self._engine_memory.ended(grant_request.engine, grant_request.holder):
            self._queues.serve(grant_request.engine)

    def _ask_gate(self, target: Target, grant_request: GrantRequest) -> Verdict:
        """Grant a request at an upstream's ceiling and, where it is cold, at its pace."""
        pace, now = target.intake.cold_pace, self._clock()
        if pace is None:
            self._cold_paces.forget(target.name)
            return self._ask_ceiling(target, grant_request)
        if not self._cold_paces.is_due(target.name, pace, now):
            return self._cold_refusal(target)
        verdict = self._ask_ceiling(target, grant_request)
        if isinstance(verdict, Granted):
            self._cold_paces.went(target.name, pace, now)
        return verdict

    def _cold_refusal(self, target: Target) -> Full:
        """Return the answer where a cold upstream is to get nothing more for a moment."""
        held = self._gate.in_flight(target.name, self._clock())
        return Full(held, held, is_cold=True)

    def _ask_ceiling(self, target: Target, grant_request: GrantRequest) -> Verdict:
        """Grant a request where an upstream has a place and memory for it."""
        now = self._clock()
        held = self._gate.in_flight(target.name, now)
        short = self._engine_memory.shortage(target, grant_request, held, now)
        if short > 0:
            return Full(held, held, short_tokens=short)
        others = max(
            self._view.elsewhere_in_flight(target.name), grant_request.seen_in_flight_elsewhere
        )
        pace, slots = self._pace(target, grant_request), self._slots(target, grant_request)
        verdict = self._gate.ask(
            target.name,
            now,
            target.load_bound,
            others,
            target.peers,
            slots,
            target.load_slack,
            pace,
        )
        if isinstance(verdict, Granted):
            self._engine_memory.granted(grant_request, now)
        return verdict

    def _slots(self, target: Target, grant_request: GrantRequest) -> int:
        """Return how many requests an engine may hold, whatever the mean.

        One that waits in its queue may be sent ahead of the next free slot. One that does not may
        find a free slot at another engine.
        """
        if grant_request.in_time == 0 or not self._view.is_load_managed():
            return target.slots
        return target.slots + self._queues.granted_ahead(target.name, target.engine_queue)

    def _pace(self, target: Target, grant_request: GrantRequest) -> int:
        """Return the pace by which an engine's ceiling is lowered for a request.

        One that comes for its context goes by the usual ceiling: taking the context over to
        another engine costs it more than the slow engine does, and outlasts the pace.
        """
        waits_for_context = grant_request.max_wait_ms > 0 and grant_request.in_time == 0
        comes_for_context = grant_request.is_followup and (
            grant_request.is_home or waits_for_context
        )
        if comes_for_context or not self._view.is_load_managed():
            return USUAL_PACE
        return target.pace

    def _note_refused(self, full: Full) -> None:
        if full.short_tokens > 0:
            self._engine_memory.refused()

    def _record_grant(self, grant_request: GrantRequest, verdict: Granted) -> Granted:
        if grant_request.is_home:
            self._memory.forget(grant_request.chat)
        self.leases.give(grant_request.holder, grant_request.engine, self._clock())
        return verdict

    def _release_all(self, holders: Collection[Holder]) -> None:
        for holder in holders:
            self.release(holder, EndReason.NEUTRAL)

    def _return_slot(self, engine: str, was_used: bool = False) -> None:
        """Give a place at an engine back, and let whoever is next in line have it."""
        self._gate.release(engine)
        self._queues.note_released(engine, self._clock(), was_used)


def _busy(full: Full) -> Busy:
    return Busy(**asdict(full))
