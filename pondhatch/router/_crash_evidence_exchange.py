"""Shares evidence of what crashes engines, so that it is kept from the other engines.

A router that sees an engine crash while it runs a request sends the evidence against the request
A router that sees an engine crash while it runs a request sends the evidence against the request
and the parts of its prompt to all others; see CrashEvidenceSender. It leaves out those of which it
saw a run complete lately, and routers clear what others suspect; see Clearing. Three routers also
tell what they know of a quarantined request that ended one more engine: some router has missed it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec
from msgspec.structs import replace

from pondhatch.kernel import Tasks
from pondhatch.membership import short_id
from pondhatch.observing import Records, StateChange
from pondhatch.quarantine import (
    CompletedParts,
    CompletedRequests,
    Evidence,
    EvidencePacket,
    RunClaim,
    RunClaimPacket,
    RunClaims,
    WorkingServices,
)
from pondhatch.requests import NO_WATCH, RequestWatch, Target
from pondhatch.router._clearing import Clearing
from pondhatch.router._crash_evidence_sender import CrashEvidenceSender, SendAll
from pondhatch.router._crash_watch import CrashWatch, LostRun
from pondhatch.router._new_members import is_informer
from pondhatch.router._state import RouterState

#: Seconds before each probe of whether an engine still listens, after a request lost its connection
#: to it. A process that ends closes its connections before its port, and on a busy VM other
#: processes may run between the two for tens of milliseconds. So one probe that finds the port open
#: proves little.
FIRST_PROBE_DELAYS = (0.0, 0.02)
LATER_PROBE_DELAYS = (0.1, 0.4)
#: Maximum seconds for which a request waits for the first probes.
FIRST_PROBES_TIMEOUT_SECONDS = 0.1

#: Returns whether nothing listens at an engine any more, or whether it accepts connections.
Probe = Callable[[Target], Coroutine[Any, Any, bool]]


async def _assume_accepted(_: Target) -> bool:
    return True


class CrashEvidenceExchange:
    """One router's implementation of CrashGuard, which shares its evidence with the others."""

    def __init__(
        self,
        state: RouterState,
        send: SendAll,
        tasks: Tasks,
        rng: random.Random,
        records: Records,
        has_crashed: Probe,
        accepts: Probe = _assume_accepted,
    ) -> None:
        self.suspects = state.suspects
        self._claims = RunClaims(short_id(state.name))
        self._state = state
        self._send = send
        self._tasks = tasks
        self._records = records
        self._has_crashed = has_crashed
        self._accepts = accepts
        self._sender = CrashEvidenceSender(state, lambda datagrams: self._send(datagrams), rng)
        self._completed_parts = CompletedParts()
        self._completed_requests = CompletedRequests()
        self._working_services = WorkingServices()
        self._clearing = Clearing(
            state.suspects,
            self._was_completed_lately,
            tasks,
            rng,
            lambda: len(state.members()),
            self._sender.send_evidence,
        )
        self._decoder = msgspec.msgpack.Decoder(EvidencePacket | RunClaimPacket)

    def watch(self, digest: int, parts: tuple[int, ...] = (), service: str = "") -> RequestWatch:
        """Return the watch of one request; see CrashGuard."""
        return CrashWatch(self, digest, parts, service) if digest or parts else NO_WATCH

    async def lives_on(self, target: Target) -> bool:
        """Return whether an engine still accepts connections; see CrashGuard.

        One that leaves is asked too: it may end before its last answers do.
        """
        return await self._accepts(target)

    def is_quarantined(self, digest: int) -> bool:
        """Return whether a request, or a part of prompts, is quarantined now."""
        return self.suspects.is_quarantined(digest, self._state.clock())

    def quarantining_part(self, parts: tuple[int, ...]) -> int | None:
        """Return the part for which a request must not be run for now; see SharedEvidence."""
        return self.suspects.quarantining_part(parts, self._state.clock())

    def quarantine_ends_in(self, digest: int) -> float:
        """Return the seconds after which a quarantined request may be tried; see SharedEvidence."""
        return self.suspects.quarantine_ends_in(digest, self._state.clock())

    def now(self) -> float:
        """Return the time in the clock's seconds."""
        return self._state.clock()

    async def note_connection_lost(self, run: LostRun) -> bool:
        """Probe whether the engine crashed, and share the evidence if so; see RequestWatch.

        The probes continue if the caller leaves meanwhile: otherwise a caller that gives up after
        each crash would leave no evidence. The request waits for the first probes only.
        """
        probing = self._tasks.start(self._probe(run, FIRST_PROBE_DELAYS))
        try:
            has_crashed = await asyncio.wait_for(
                asyncio.shield(probing), FIRST_PROBES_TIMEOUT_SECONDS
            )
        except TimeoutError:
            has_crashed = False
        if not has_crashed:
            self._tasks.start(self._probe(run, LATER_PROBE_DELAYS))
        return has_crashed

    async def _probe(self, run: LostRun, delays: tuple[float, ...]) -> bool:
        for delay in delays:
            await asyncio.sleep(delay)
            if await self._has_crashed(run.target):
                self._record_crash(run)
                return True
        return False

    def _record_crash(self, run: LostRun) -> None:
        """Record and share the evidence against a request and the parts of its prompt."""
        now = self._state.clock()
        name = self.suspects.crashes.new_name(run.target.name, now)
        of_run = Evidence(
            run.digest,
            name,
            age_ms=round((now - run.lost_at) * 1000),
            run_ms=run.run_ms,
            is_cold=not self._working_services.worked_before(run.service, run.lost_at),
        )
        of_request = [of_run] if run.digest else []
        of_parts = [replace(of_run, digest=part, is_part=True) for part in run.parts]
        suspected = [
            each
            for each in (*of_request, *of_parts)
            if not self._was_completed_lately(each, run.lost_at)
        ]
        new = [each for each in suspected if self._apply_evidence(each)]
        for each in new:
            self._record(each.digest, "suspected", f"{name} ended while it ran it")
        if not suspected and name not in self.suspects.crashes:
            # The engine's end tells what ended others at the same time.
            new = [replace(each, cleared=True) for each in (*of_request, *of_parts)[:1]]
            for each in new:
                self._apply_evidence(each)
        if new:
            self._sender.broadcast(tuple(new))

    def _was_completed_lately(self, evidence: Evidence, crashed_at: float) -> bool:
        completed = self._completed_parts if evidence.is_part else self._completed_requests
        return completed.clears(evidence.digest, crashed_at)

    def note_service_works(self, service: str) -> None:
        """Record that an engine of a service completed some request; see SharedEvidence."""
        self._working_services.note(service, self._state.clock())

    def note_completed(
        self, digest: int, parts: tuple[int, ...], shows_request: bool = False
    ) -> None:
        """Clear a request and the parts of its prompt; see SharedEvidence."""
        now = self._state.clock()
        self._completed_parts.note(parts, now)
        if digest and shows_request:
            self._completed_requests.note((digest,), now)
        for each in (digest, *parts):
            self._clear(each, "it came through whole")

    def clear_unless_crashed(self, digest: int, parts: tuple[int, ...], target: Target) -> None:
        """Clear a request after the late probes, unless they find a crash; see SharedEvidence."""
        self._tasks.start(self._clear_after_probes(digest, parts, target))

    async def _clear_after_probes(
        self, digest: int, parts: tuple[int, ...], target: Target
    ) -> None:
        run = LostRun(digest, parts, target, self._state.clock())
        if not await self._probe(run, LATER_PROBE_DELAYS):
            self.note_completed(digest, parts)

    def lift_quarantine(self, digest: int) -> bool:
        """Clear a request at all routers; return whether there was evidence against it."""
        return self._clear(digest, "an operator lifted its quarantine")

    def _clear(self, digest: int, why: str) -> bool:
        """Clear a request or part at all routers; return whether there was evidence against it."""
        found = self.suspects.clear_request(digest, self._state.clock())
        if found:
            self._record(digest, "cleared", why)
            self._sender.broadcast(found)
        return bool(found)

    def since_last_evidence(self, digest: int) -> float:
        """Return the seconds since this router learned of the last crash of a suspected request."""
        return self._state.clock() - self.suspects.suspect_by_digest[digest].learned_at

    def claim(self, digest: int) -> RunClaim:
        """Claim the next run of a suspected request, and send the claim to all routers."""
        claim = self._claims.claim(digest, self._state.clock())
        self._sender.send_claim(claim)
        return claim

    def goes_first(self, claim: RunClaim) -> bool:
        """Return whether it is the claim's turn."""
        now = self._state.clock()
        return self._claims.goes_first(claim, now, self.suspects.share_crash)

    def withdraw_claim(self, claim: RunClaim) -> None:
        """Withdraw a claim at all routers."""
        self._claims.remove(claim)
        self._sender.send_ended(claim)

    def receive(self, payload: bytes) -> None:
        """Handle a packet without its prefix; a packet that does not parse is dropped."""
        try:
            packet = self._decoder.decode(payload)
        except (msgspec.DecodeError, ValueError):
            return
        if isinstance(packet, EvidencePacket):
            self._receive_evidence(packet.evidence)
        elif packet.has_ended:
            self._claims.remove(packet.claim)
        else:
            self._claims.add(packet.claim, self._state.clock())

    def _receive_evidence(self, received: Sequence[Evidence]) -> None:
        """Apply evidence; inform a router that let a quarantined request run."""
        unaware: set[int] = set()
        for evidence in self._clearing.apply(received, self._state.clock()):
            was_quarantined = self.is_quarantined(evidence.digest)
            is_new = self._apply_evidence(evidence)
            if is_new and was_quarantined and not evidence.cleared:
                unaware.add(evidence.digest)
        for digest in unaware:
            if is_informer(self._state, f"{digest:x}"):
                evidence_about = self.suspects.evidence_about(digest, self._state.clock())
                self._sender.send_evidence(evidence_about)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        self._sender.tick()

    def _apply_evidence(self, evidence: Evidence) -> bool:
        """Apply evidence, and record a quarantine that follows; return whether it was new."""
        was_quarantined = self.is_quarantined(evidence.digest)
        is_new = self.suspects.add(evidence, self._state.clock())
        if is_new and not was_quarantined and self.is_quarantined(evidence.digest):
            crash_names = self.suspects.suspect_by_digest[evidence.digest].uncleared_crashes()
            self._record(evidence.digest, "quarantined", f"ended {', '.join(crash_names)}")
        return is_new

    def _record(self, digest: int, new_state: str, why: str) -> None:
        suspect = self.suspects.suspect_by_digest.get(digest)
        about = "prompt part" if suspect is not None and suspect.is_part else "request"
        self._records.write(StateChange(about, f"{digest:x}", new_state, why=why))
