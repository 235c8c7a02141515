"""The watch of one request that may crash engines: whether it may be sent, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pondhatch.quarantine import RunClaim, Suspects
from pondhatch.requests import QUARANTINED, Refusal, Target, deadline_passed

#: Seconds for which a router waits for the evidence of others, before it runs a request again that
#: has just crashed an engine. Packets take less time than that, between regions too.
EVIDENCE_WAIT_SECONDS = 0.05
#: Seconds between two checks of whether it is a claim's turn.
TURN_CHECK_SECONDS = 0.02


class SharedEvidence(Protocol):
    """The fleet's evidence and claims, as a watch reads and changes them."""

    suspects: Suspects

    def is_quarantined(self, digest: int) -> bool:
        """Return whether a request must not be run for now."""

    def since_last_crash(self, digest: int) -> float:
        """Return the seconds since an engine last crashed while it ran a suspected request."""

    async def note_connection_lost(self, digest: int, target: Target) -> bool:
        """Record that a request lost its connection; return whether its engine crashed."""

    def note_completed(self, digest: int) -> None:
        """Record that an engine completed a request, which clears it."""

    def clear_unless_crashed(self, digest: int, target: Target) -> None:
        """Clear a request later, unless its engine turns out to have crashed by then."""

    def claim(self, digest: int) -> RunClaim:
        """Claim the next run of a suspected request."""

    def goes_first(self, claim: RunClaim) -> bool:
        """Return whether it is the claim's turn."""

    def withdraw_claim(self, claim: RunClaim) -> None:
        """Withdraw a claim."""


class CrashWatch:
    """The watch of one request that may crash engines; see RequestWatch."""

    def __init__(self, evidence: SharedEvidence, digest: int) -> None:
        self._evidence = evidence
        self._digest = digest
        self._claim: RunClaim | None = None

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now; see RequestWatch."""
        if not self.is_suspected():
            return None
        # Two copies of a request that crash an engine each at the same time both learn of the
        # other's crash here.
        await asyncio.sleep(EVIDENCE_WAIT_SECONDS - self._evidence.since_last_crash(self._digest))
        while not self.is_quarantined():
            if not self._evidence.suspects.next_crash_quarantines(self._digest):
                return None
            if await self._has_turn():
                return None
            if remaining() <= 0:
                return deadline_passed()
            await asyncio.sleep(TURN_CHECK_SECONDS)
        return QUARANTINED

    async def _has_turn(self) -> bool:
        if self._claim is None:
            self._claim = self._evidence.claim(self._digest)
            await asyncio.sleep(EVIDENCE_WAIT_SECONDS)
            if self.is_quarantined():
                return False
        return self._evidence.goes_first(self._claim)

    def is_quarantined(self) -> bool:
        """Return whether the request is quarantined; see RequestWatch."""
        return self._evidence.is_quarantined(self._digest)

    def is_suspected(self) -> bool:
        """Return whether there is evidence against the request; see RequestWatch."""
        return self._evidence.suspects.is_suspected(self._digest)

    async def note_connection_lost(self, target: Target) -> bool:
        """Record that the request lost its connection; see RequestWatch."""
        return await self._evidence.note_connection_lost(self._digest, target)

    def note_completed(self, unproven_at: Target | None = None) -> None:
        """Record that an engine completed the request; see RequestWatch."""
        if unproven_at is None or not self.is_suspected():
            self._evidence.note_completed(self._digest)
        else:
            self._evidence.clear_unless_crashed(self._digest, unproven_at)

    def close(self) -> None:
        """Withdraw the claim, if there is one; see RequestWatch."""
        claim, self._claim = self._claim, None
        if claim is not None:
            self._evidence.withdraw_claim(claim)
