"""The watch of one request that may crash engines: whether it may be sent, and when.

The request is suspected itself, or by a part of its prompt that it shares with others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pondhatch.quarantine import RunClaim, Suspects
from pondhatch.requests import (
    PART_QUARANTINED,
    PART_SUSPECTED,
    QUARANTINED,
    REQUEST_SUSPECTED,
    Refusal,
    Target,
    deadline_passed,
    held_on_suspicion,
)

#: Seconds for which a router waits for the evidence of others, before it runs a request again that
#: has just crashed an engine. Packets take less time than that, between regions too.
EVIDENCE_WAIT_SECONDS = 0.05
#: Seconds between two checks of whether it is a claim's turn.
TURN_CHECK_SECONDS = 0.02


@dataclass(frozen=True)
class LostRun:
    """A run of a request whose connection was lost."""

    #: Digest of the request; 0 if it cannot be identified.
    digest: int
    #: Digests of the parts of its prompt.
    parts: tuple[int, ...]
    target: Target
    #: When the connection was lost, in the clock's seconds.
    lost_at: float
    #: When the run began, or None if that is unknown.
    began_at: float | None = None
    #: Name of the service.
    service: str = ""

    @property
    def run_ms(self) -> int:
        """How long the run lasted, in milliseconds; 0 if that is unknown."""
        if self.began_at is None:
            return 0
        return max(1, round((self.lost_at - self.began_at) * 1000))


class SharedEvidence(Protocol):
    """The fleet's evidence and claims, as a watch reads and changes them."""

    suspects: Suspects

    def is_quarantined(self, digest: int) -> bool:
        """Return whether a request must not be run for now."""

    def quarantining_part(self, parts: tuple[int, ...]) -> int | None:
        """Return the part for which a request with these parts must not be run for now."""

    def since_last_evidence(self, digest: int) -> float:
        """Return the seconds since this router learned of the last crash of a suspected request."""

    def now(self) -> float:
        """Return the time in the clock's seconds."""

    def quarantine_ends_in(self, digest: int) -> float:
        """Return the seconds after which a quarantined request or part may be tried again."""

    async def note_connection_lost(self, run: LostRun) -> bool:
        """Record that a request lost its connection; return whether its engine crashed."""

    def note_service_works(self, service: str) -> None:
        """Record that an engine of a service completed some request."""

    def note_completed(
        self, digest: int, parts: tuple[int, ...], shows_request: bool = False
    ) -> None:
        """Record that an engine completed a request, which clears it and parts of its prompt.

        ``shows_request`` says whether it also shows for some time that the request is harmless.
        """

    def clear_unless_crashed(self, digest: int, parts: tuple[int, ...], target: Target) -> None:
        """Do the same later, unless the engine turns out to have crashed by then."""

    def claim(self, digest: int) -> RunClaim:
        """Claim the next run of a suspected request."""

    def goes_first(self, claim: RunClaim) -> bool:
        """Return whether it is the claim's turn."""

    def withdraw_claim(self, claim: RunClaim) -> None:
        """Withdraw a claim."""


class CrashWatch:
    """The watch of one request that may crash engines; see RequestWatch."""

    def __init__(
        self,
        evidence: SharedEvidence,
        digest: int,
        parts: tuple[int, ...] = (),
        service: str = "",
    ) -> None:
        self._evidence = evidence
        self._service = service
        #: 0 if the request cannot be identified.
        self._digest = digest
        self._parts = parts
        #: All that may be suspected.
        self._digests = (digest, *parts) if digest else parts
        self._claim: RunClaim | None = None
        #: When it was last allowed to run, in the clock's seconds.
        self._began_at = evidence.now()

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now; see RequestWatch."""
        refusal = await self._refusal_after_turn(remaining)
        self._began_at = self._evidence.now()
        return refusal

    async def _refusal_after_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        if not self.is_suspected():
            return None
        # Two copies of a request that crash an engine each at the same time both learn of the
        # other's crash here, and what clears a part of its prompt arrives.
        await asyncio.sleep(EVIDENCE_WAIT_SECONDS - self._since_last_evidence())
        while not self.is_quarantined():
            if not self._next_crash_quarantines():
                return None
            if await self._has_turn():
                return None
            if remaining() <= 0:
                return deadline_passed()
            await asyncio.sleep(TURN_CHECK_SECONDS)
        return self.refusal()

    async def _has_turn(self) -> bool:
        if self._claim is None:
            self._claim = self._evidence.claim(self._most_suspected())
            await asyncio.sleep(EVIDENCE_WAIT_SECONDS)
            if self.is_quarantined():
                return False
        return self._evidence.goes_first(self._claim)

    def must_wait(self) -> bool:
        """Return whether the request may not be sent yet; see RequestWatch."""
        if self.is_quarantined():
            return True
        if not self._next_crash_quarantines():
            return False
        return self._claim is None or not self._evidence.goes_first(self._claim)

    def is_quarantined(self) -> bool:
        """Return whether the request or a part of its prompt is quarantined."""
        return self._quarantined_digest() is not None

    def refusal(self) -> Refusal | None:
        """Return why the request must not be run for now; see RequestWatch."""
        digest = self._quarantined_digest()
        if digest is None:
            return None
        is_request = digest == self._digest
        if self._evidence.suspects.is_proven(digest):
            return QUARANTINED if is_request else PART_QUARANTINED
        code = REQUEST_SUSPECTED if is_request else PART_SUSPECTED
        return held_on_suspicion(code, self._evidence.quarantine_ends_in(digest))

    def _quarantined_digest(self) -> int | None:
        """Return the digest of the request, or else of the part, that is quarantined."""
        if self._digest and self._evidence.is_quarantined(self._digest):
            return self._digest
        return self._evidence.quarantining_part(self._parts)

    def is_suspected(self) -> bool:
        """Return whether there is evidence against the request or a part; see RequestWatch."""
        return any(self._evidence.suspects.is_suspected(digest) for digest in self._digests)

    def _next_crash_quarantines(self) -> bool:
        suspects = self._evidence.suspects
        return any(suspects.next_crash_quarantines(digest) for digest in self._digests)

    def _most_suspected(self) -> int:
        suspects = self._evidence.suspects
        return max(self._digests, key=lambda digest: (suspects.crash_count(digest), digest))

    def _since_last_evidence(self) -> float:
        """Return the seconds since this router learned of the last crash."""
        suspects = self._evidence.suspects
        return min(
            self._evidence.since_last_evidence(digest)
            for digest in self._digests
            if suspects.is_suspected(digest)
        )

    async def note_connection_lost(self, target: Target) -> bool:
        """Record that the request lost its connection; see RequestWatch."""
        run = LostRun(
            self._digest,
            self._parts,
            target,
            self._evidence.now(),
            self._began_at,
            self._service,
        )
        return await self._evidence.note_connection_lost(run)

    def note_completed(self, unproven_at: Target | None = None, ran_prompt: bool = True) -> None:
        """Record that an engine completed the request; see RequestWatch."""
        parts = self._parts if ran_prompt else ()
        self._evidence.note_service_works(self._service)
        if unproven_at is None or not self.is_suspected():
            shows_request = ran_prompt and unproven_at is None
            self._evidence.note_completed(self._digest, parts, shows_request)
        else:
            self._evidence.clear_unless_crashed(self._digest, parts, unproven_at)

    def close(self) -> None:
        """Withdraw the claim, if there is one; see RequestWatch."""
        claim, self._claim = self._claim, None
        if claim is not None:
            self._evidence.withdraw_claim(claim)
