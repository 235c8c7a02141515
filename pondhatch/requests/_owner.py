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
from pondhatch.requests._engine_memory import EngineMemory
from pondhatch.requests._leases import Leases
from pondhatch.requests._lines import Lines
from pondhatch.requests._outcomes import AILING, NotRun
from pondhatch.requests._questions import (
    SEEN_SECONDS,
    Busy,
    Elsewhere,
    Ended,
    Holder,
    NotOwner,
    OwnerReply,
    Question,
)
from pondhatch.requests._sending import Target, grantable_target

#: Seconds that a process takes at least from its start to its first request: what a router
#: that restarted was granted longer ago belongs to its earlier process.
START_SECONDS = 0.5


#: Ends of requests that an engine ran. The others freed no slot, or say nothing of how long a
#: slot is taken.
RUN_ENDS = frozenset({Ended.ANSWERED, Ended.FAILED, Ended.ERRED})
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

    def stopping(self) -> bool:
        """Return whether this router is draining."""

    def load_managed(self) -> bool:
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
        memory: ContextLocations,
        clock: Callable[[], float],
        health: Health,
        cold_paces: ColdPacer | None = None,
        tokens: TokenCounts | None = None,
    ) -> None:
        self._name = name
        self._view = view
        self._gate = gate
        self._memory = memory
        self._clock = clock
        self._lines = Lines(self._give_back, clock, view.load_managed)
        self._health = health
        self._cold_paces = cold_paces or ColdPacer()
        self._engine_memory = EngineMemory(tokens or TokenCounts(), view.load_managed)
        self.leases = Leases()
        self._forgot_at = float("-inf")

    async def ask(self, question: Question) -> OwnerReply:
        """Return the answer to a question, after waiting in line where it may."""
        reply = self.decide(question)
        return await self.wait(question, reply) if isinstance(reply, MustWait) else reply

    def decide(self, question: Question) -> OwnerReply | MustWait:
        """Answer a question at once, or say that its request must wait."""
        if self._view.stopping():
            return NotOwner()
        target = self._target(question)
        if isinstance(target, NotRun):
            # Where it was granted before, and that word was lost, nobody would give it back.
            self.release(question.holder, Ended.NOTHING)
            return target
        if question.holder in self.leases.by_holder:
            # Asked again, since the first word was lost; what speaks against the engine by
            # now may be this very request, sent to try it.
            return Granted(self._gate.in_flight(target.name, self._clock()), target.slots)
        declined = self._declined(question, target)
        if declined is not None:
            return declined
        self._lines.serve(target.name)
        verdict = self._ask_gate(target, question)
        if isinstance(verdict, Granted):
            return self._granted(question, verdict)
        self._note_refused(verdict)
        if question.patience > 0:
            return MustWait(target, verdict)
        return _busy(verdict)

    def decide_alone(self, question: Question) -> OwnerReply:
        """Answer a question of this router's own whose owner cannot be asked.

        What is known here of the engine's load is held against its ceiling; the grant is
        told to the owner as soon as there is one again. Nothing goes to a cold upstream so: any
        number of routers may decide alone at once, and none knows what the others send there.
        """
        target = self._target(question)
        if isinstance(target, NotRun):
            return target
        unwell = self._unwell(question, target)
        if unwell is not None:
            return unwell
        if target.intake.cold_pace is not None:
            return _busy(self._held_back(target))
        verdict = self._ask_gate(target, question)
        if isinstance(verdict, Granted):
            return self._granted(question, verdict)
        self._note_refused(verdict)
        return _busy(verdict)

    async def wait(self, question: Question, must: MustWait) -> OwnerReply:
        """Wait in the engine's line until granted, or until patience ends."""
        ask = functools.partial(self._ask_gate_anew, must.target, question, self._clock())
        verdict: GateDecision | None = None
        try:
            verdict = await self._lines.wait(question, must.full, ask)
        finally:
            if not isinstance(verdict, Granted):
                self._stopped_waiting(question)
        if isinstance(verdict, Full):
            # As it is now: the next owner that is asked counts what it is told here, and what
            # was there when the wait began may have ended since.
            held = self._gate.in_flight(question.engine, self._clock())
            return _busy(replace(verdict, in_flight=held))
        target = self._target(question)
        if isinstance(target, NotRun):
            # It was closed while the request waited.
            self._engine_memory.ended(question.engine, question.holder)
            self._give_back(question.engine)
            return target
        return self._granted(question, verdict)

    def release(self, holder: Holder, ended: Ended) -> None:
        """Take a grant back, and learn from how its request ended; safe to call twice."""
        lease = self.leases.take(holder)
        if lease is None:
            return
        # First, since whoever waits in the engine's line is granted when the place is back.
        self._learn(lease.engine, ended)
        self._engine_memory.ended(lease.engine, holder)
        self._give_back(lease.engine, was_used=ended in RUN_ENDS)

    def _learn(self, engine: str, ended: Ended) -> None:
        """Take in what the end of a request, whose grant still counts, tells of its engine."""
        now = self._clock()
        if ended == Ended.ANSWERED:
            self._health.record_answer(engine)
        if ended == Ended.FAILED:
            managed = self._view.load_managed()
            self._health.record_failure(engine, now, MANAGED_PAUSE if managed else LONGEST_PAUSE)
        if ended == Ended.ERRED:
            self._health.record_error(engine, now)
        if ended == Ended.LEAVING:
            self._health.record_leaving(engine, now)
        if ended == Ended.FULL:
            self._said_full(engine, now)

    def _said_full(self, engine: str, now: float) -> None:
        """Hold less at an engine than the places that were counted for it.

        One that holds nothing else of ours is not full by what is counted here: once may be
        the request's size, again and again speaks against the engine, unless it is cold.
        """
        target = self._view.target(engine)
        if target is not None and target.intake.cold_pace is not None:
            return
        if self._gate.in_flight(engine, now) > 1:
            self._gate.record_engine_full(engine, now)
        else:
            self._health.record_error(engine, now)

    def hold(self, router: int, engine: str, numbers: Collection[int]) -> None:
        """Renew leases; what another owner granted is counted here from now on."""
        for number in numbers:
            holder = Holder(router, number)
            if holder not in self.leases.by_holder:
                self._gate.adopt(engine)
                self._engine_memory.adopted(self._view.target(engine), holder)
            self.leases.give(holder, engine, self._clock())

    def lost_router(self, router: int) -> None:
        """Take back the grants of an entry router that is gone: its connections are, too."""
        self._end(self.leases.of_router(router))

    def restarted_router(self, router: int) -> None:
        """Take back what an entry router held before it started anew.

        Its new process may have asked already; a start takes longer than that word.
        """
        self._end(self.leases.of_router(router, self._clock() - START_SECONDS))

    @property
    def refused_in_vain(self) -> int:
        """Requests that were refused at arrival, and that a place came free for in time."""
        return self._lines.refused_in_vain

    def holding_routers(self) -> frozenset[int]:
        """Return the short ids of the routers whose requests hold grants here."""
        return frozenset(holder.router for holder in self.leases.by_holder)

    def remember(self, chat: int, engine: str) -> None:
        """Note where a chat was served away from its home engine."""
        self._memory.remember(chat, engine)

    def tick(self) -> None:
        """Do what is due each round: leases end, and a ceiling may have risen."""
        now = self._clock()
        self._end(self.leases.ended(now))
        self._lines.serve_all()
        if now - self._forgot_at >= FORGET_SECONDS:
            self._forgot_at = now
            self._lines.forget(lambda engine: self._view.target(engine) is None)

    def _declined(self, question: Question, target: Target) -> OwnerReply | None:
        """Return why a request may not run at an engine that takes work, whatever its load."""
        owner = self._view.owner_name(question.engine)
        if owner != self._name and not question.instead_of_owner:
            return NotOwner(owner)
        believed = self._context_engine(question)
        if believed != question.engine:
            return Elsewhere(believed)
        return self._unwell(question, target)

    def _unwell(self, question: Question, target: Target) -> NotRun | None:
        """Return why a request should not run at an engine, by what became of others there."""
        engine, now = question.engine, self._clock()
        if self._health.is_down(engine, now):
            return NotRun("upstream-down", f"{engine} failed several times in a row")
        if self._health.is_ailing(engine, now) and not question.insist:
            return NotRun(AILING, f"{engine} fails or refuses many requests")
        if target.intake.rest.for_some_routers > 0 and not question.insist:
            return NotRun(AILING, f"{engine} turns some routers away")
        return None

    def _context_engine(self, question: Question) -> str:
        """Return where to send the chat: here, unless this is its home and it lies elsewhere."""
        if not (question.home and question.returning) or question.insist:
            return question.engine
        young = self._view.is_young(question.engine)
        return context_engine(self._memory, question.chat, question.engine, question.settled, young)

    def _target(self, question: Question) -> Target | NotRun:
        """Return the upstream that is asked for, or why no router may send it the request."""
        target = self._view.target(question.engine)
        return grantable_target(target, question.engine, question.resuming)

    def _ask_gate_anew(self, target: Target, question: Question, since: float) -> GateDecision:
        """Ask the gate for a request that waited, since its upstream may have turned cold."""
        if question.in_time > 0 and self._clock() - since > SEEN_SECONDS:
            question = replace(question, seen_elsewhere=0)
        verdict = self._ask_gate(self._view.target(target.name) or target, question)
        if isinstance(verdict, Full) and verdict.short_tokens > 0:
            self._engine_memory.keep_for(target, question)
        return verdict

    def _stopped_waiting(self, question: Question) -> None:
        """Take back what a request counts or keeps that goes without a grant."""
        if self._engine_memory.ended(question.engine, question.holder):
            self._lines.serve(question.engine)

    def _ask_gate(self, target: Target, question: Question) -> GateDecision:
        """Grant a request at an upstream's ceiling and, where it is cold, at its pace."""
        pace, now = target.intake.cold_pace, self._clock()
        if pace is None:
            self._cold_paces.forget(target.name)
            return self._ask_ceiling(target, question)
        if not self._cold_paces.is_due(target.name, pace, now):
            return self._held_back(target)
        verdict = self._ask_ceiling(target, question)
        if isinstance(verdict, Granted):
            self._cold_paces.record_grant(target.name, pace, now)
        return verdict

    def _held_back(self, target: Target) -> Full:
        """Return the answer where a cold upstream is to get nothing more for a moment."""
        held = self._gate.in_flight(target.name, self._clock())
        return Full(held, held, is_cold=True)

    def _ask_ceiling(self, target: Target, question: Question) -> GateDecision:
        """Grant a request where an upstream has a place and memory for it."""
        now = self._clock()
        held = self._gate.in_flight(target.name, now)
        short = self._engine_memory.shortage(target, question, held, now)
        if short > 0:
            return Full(held, held, short_tokens=short)
        others = max(self._view.elsewhere_in_flight(target.name), question.seen_elsewhere)
        pace, slots = self._pace(target, question), self._slots(target, question)
        verdict = self._gate.try_grant(
            target.name, now, target.bound, others, target.peers, slots, target.slack, pace
        )
        if isinstance(verdict, Granted):
            self._engine_memory.granted(question, now)
        return verdict

    def _slots(self, target: Target, question: Question) -> int:
        """Return how many requests an engine may hold, whatever the mean.

        One that waits in its queue may be sent ahead of the next free slot. One that does not may
        find a free slot at another engine.
        """
        if question.in_time == 0 or not self._view.load_managed():
            return target.slots
        return target.slots + self._lines.granted_ahead(target.name, target.engine_queue)

    def _pace(self, target: Target, question: Question) -> int:
        """Return the pace by which an engine's ceiling is lowered for a request.

        One that comes for its context goes by the usual ceiling: taking the context over to
        another engine costs it more than the slow engine does, and outlasts the pace.
        """
        waits_for_context = question.patience > 0 and question.in_time == 0
        comes_for_context = question.returning and (question.home or waits_for_context)
        if comes_for_context or not self._view.load_managed():
            return USUAL_PACE
        return target.pace

    def _note_refused(self, full: Full) -> None:
        if full.short_tokens > 0:
            self._engine_memory.refused()

    def _granted(self, question: Question, verdict: Granted) -> Granted:
        if question.home:
            self._memory.forget(question.chat)
        self.leases.give(question.holder, question.engine, self._clock())
        return verdict

    def _end(self, holders: Collection[Holder]) -> None:
        for holder in holders:
            self.release(holder, Ended.NOTHING)

    def _give_back(self, engine: str, was_used: bool = False) -> None:
        """Give a place at an engine back, and let whoever is next in line have it."""
        self._gate.release(engine)
        self._lines.gave_back(engine, self._clock(), was_used)


def _busy(full: Full) -> Busy:
    return Busy(**asdict(full))
