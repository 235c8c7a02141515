"""The relaying router's side: sends other routers' requests to engines that it reaches itself."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Protocol

import msgspec

from pondhatch.limits import HeldBytes, HeldCounter
from pondhatch.requests._checked_answer import checked
from pondhatch.requests._crash_guard import PART_QUARANTINED, CrashGuard, watch_of
from pondhatch.requests._messages import AnswerLost, AnswerStarted, PartSink, ReplayableBody
from pondhatch.requests._outcomes import Broken, NotRun, Unknown
from pondhatch.requests._relaying import (
    CONNECT_PATIENCE_SECONDS,
    PATH_LOST,
    RELAY_BUSY,
    UPSTREAM_UNREACHABLE,
    DirectUpstreams,
    RelayedRequest,
    SendResult,
)
from pondhatch.requests._sending import Target, open_target

#: Requests that one router relays at a time: a stream of events of each takes about a percent of
#: the processor of a small VM.
MAX_RELAYED = 64
#: Bytes of request bodies that one router holds for others at a time.
MAX_RELAYED_BYTES = 8 * 1024 * 1024


class RelayView(Protocol):
    """The parts of the router's state that the relaying side reads."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None if it is unknown."""

    def is_reachable(self, engine: str) -> bool:
        """Return whether connections to an engine open from here, as far as known."""

    def is_doubtful(self) -> bool:
        """Return whether this router's paths may be at fault rather than an engine."""

    def start_recheck(self, engine: str) -> bool:
        """Return whether to try to open a connection to an unreachable engine now."""


class RelayEnded(msgspec.Struct, frozen=True):
    """How a relayed request ended."""

    request: RelayedRequest
    #: "whole", "cancelled", or the code of the refusal, of the loss or of the break.
    outcome: str
    seconds: float


class RelaySide:
    """Sends relayed requests directly to their engines, within bounds; it never relays on."""

    def __init__(
        self,
        view: RelayView,
        direct: DirectUpstreams,
        crash_guard: CrashGuard,
        held_bytes: HeldBytes,
        on_ended: Callable[[RelayEnded], None],
    ) -> None:
        #: False once a stopping router refuses new requests.
        self.accepts_requests = True
        #: Requests being relayed, which a stopping router waits for.
        self.in_flight = 0
        self._bytes = 0
        self._view = view
        self._direct = direct
        self._crash_guard = crash_guard
        self._held_bytes = held_bytes
        self._on_ended = on_ended

    def start(self, request: RelayedRequest) -> RelayedRun | NotRun:
        """Admit a request, or return why this router relays no more."""
        size = len(request.body)
        if not self.accepts_requests:
            return NotRun(RELAY_BUSY, "this router is stopping")
        if self.in_flight >= MAX_RELAYED or self._bytes + size > MAX_RELAYED_BYTES:
            return NotRun(RELAY_BUSY, f"this router relays {self.in_flight} requests")
        if not self._held_bytes.may_hold(request.head.account, size):
            return NotRun(RELAY_BUSY, "this router holds as many bytes as it may")
        self.in_flight += 1
        self._bytes += size
        counter = self._held_bytes.counter(request.head.account)
        counter.set(size)
        return RelayedRun(self, request, counter)

    async def send(self, request: RelayedRequest) -> SendResult:
        """Send an admitted request to its engine, over a connection of this router."""
        engine = request.engine
        known = self._view.target(engine)
        if known is None:
            return NotRun(PATH_LOST, f"{engine} is unknown here")
        head = request.head
        target = open_target(known, engine, head)
        if isinstance(target, NotRun):
            return target
        if not (self._view.is_reachable(engine) or self._direct.has_connection(target, head)):
            if self._view.start_recheck(engine):
                self._direct.reconnect(target)
            return self._unreached(engine)
        refusal = watch_of(self._crash_guard, head).refusal()
        if refusal is not None:
            # Not run here, whatever became of it elsewhere.
            return refusal if isinstance(refusal, NotRun) else PART_QUARANTINED
        body = ReplayableBody(request.body)
        reply = await self._direct.send(target, head, body, CONNECT_PATIENCE_SECONDS)
        if isinstance(reply, NotRun) and reply.code == UPSTREAM_UNREACHABLE:
            return self._unreached(engine)
        if isinstance(reply, Unknown):
            await self._note_loss(request, target, reply)
        if isinstance(reply, AnswerStarted):
            return checked(
                reply, head, engine, functools.partial(self._crash_guard.lives_on, target)
            )
        return reply

    async def note_break(self, request: RelayedRequest, outcome: Broken) -> None:
        """Find out whether the engine crashed when its answer broke off."""
        target = self._view.target(request.engine)
        if target is not None:
            await self._note_loss(request, target, outcome)

    def end(self, request: RelayedRequest, outcome: str, seconds: float) -> None:
        """End an admitted request."""
        self.in_flight -= 1
        self._bytes -= len(request.body)
        self._on_ended(RelayEnded(request, outcome, seconds))

    async def _note_loss(
        self, request: RelayedRequest, target: Target, lost: Unknown | Broken
    ) -> None:
        """Look for a crash from here: the entry router may not reach the engine."""
        if lost.connection_lost and target.intake.is_live:
            await watch_of(self._crash_guard, request.head).note_connection_lost(target)

    def _unreached(self, engine: str) -> NotRun:
        """Return that this router does not reach an engine, and whether others may."""
        code = PATH_LOST if self._view.is_doubtful() else UPSTREAM_UNREACHABLE
        return NotRun(code, f"{engine} is unreachable from here")


class RelayedRun:
    """One admitted request at the relaying router, from its start to its end."""

    def __init__(self, side: RelaySide, request: RelayedRequest, counter: HeldCounter) -> None:
        self._side = side
        self._request = request
        self._counter = counter
        self._outcome = "cancelled"
        self._started_at = asyncio.get_running_loop().time()

    async def send(self) -> SendResult:
        """Send the request to its engine once."""
        reply = await self._side.send(self._request)
        if not isinstance(reply, AnswerStarted):
            self._outcome = reply.code
        return reply

    async def stream(self, started: AnswerStarted, sink: PartSink) -> Broken | None:
        """Write the answer to a sink; return how it broke off, or None once it is complete."""
        try:
            await started.answer.stream_to(sink)
        except AnswerLost as lost:
            self._outcome = lost.outcome.code
            await self._side.note_break(self._request, lost.outcome)
            return lost.outcome
        finally:
            started.answer.cancel()
        self._outcome = "whole"
        return None

    def close(self) -> None:
        """End the request, whether or not its answer is complete."""
        self._counter.close()
        seconds = asyncio.get_running_loop().time() - self._started_at
        self._side.end(self._request, self._outcome, seconds)
