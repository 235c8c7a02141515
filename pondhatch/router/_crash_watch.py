"""One request under which engines may end: whether it may be sent, and when its turn is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pondhatch.quarantine import Suspects, Trial
from pondhatch.requests import QUARANTINED, Refusal, Target, deadline_passed

#: Seconds for which a router listens for what others see in the same moment, before it runs a
#: request anew under which an engine has just ended: packets take less, between regions too.
LISTEN_SECONDS = 0.05
#: Seconds between two checks of whether a claim's turn has come.
TURN_CHECK_SECONDS = 0.02


class Guard(Protocol):
    """What a watch asks and tells of all requests."""

    suspects: Suspects

    def is_quarantined(self, digest: int) -> bool:
        """Return whether a request is not to be run for now."""

    def since_last_end(self, digest: int) -> float:
        """Return the seconds since an engine last ended under a suspected request."""

    async def run_was_cut(self, digest: int, target: Target) -> bool:
        """Note that a run lost its connection; return whether its engine has ended."""

    def run_was_whole(self, digest: int) -> None:
        """Note that an engine bore a request."""

    def claim(self, digest: int) -> Trial:
        """Claim to be the one that runs a request next."""

    def goes_first(self, trial: Trial) -> bool:
        """Return whether a claim's turn has come."""

    def end(self, trial: Trial) -> None:
        """Give a claim up."""


class CrashWatch:
    """One request of which engines may end; see RequestWatch."""

    def __init__(self, guard: Guard, digest: int) -> None:
        self._guard = guard
        self._digest = digest
        self._trial: Trial | None = None

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now; see RequestWatch."""
        if not self.is_suspected():
            return None
        # Two copies that ended an engine each in the same moment learn here that they are two.
        await asyncio.sleep(LISTEN_SECONDS - self._guard.since_last_end(self._digest))
        while not self.is_quarantined():
            if not self._guard.suspects.may_end_another(self._digest):
                return None
            if await self._has_turn():
                return None
            if remaining() <= 0:
                return deadline_passed()
            await asyncio.sleep(TURN_CHECK_SECONDS)
        return QUARANTINED

    async def _has_turn(self) -> bool:
        if self._trial is None:
            self._trial = self._guard.claim(self._digest)
            await asyncio.sleep(LISTEN_SECONDS)
            if self.is_quarantined():
                return False
        return self._guard.goes_first(self._trial)

    def is_quarantined(self) -> bool:
        """Return whether it is known to end engines; see RequestWatch."""
        return self._guard.is_quarantined(self._digest)

    def is_suspected(self) -> bool:
        """Return whether an engine's end is held against it; see RequestWatch."""
        return self._guard.suspects.is_suspected(self._digest)

    async def note_connection_lost(self, target: Target) -> bool:
        """Note that a run lost its connection; see RequestWatch."""
        return await self._guard.run_was_cut(self._digest, target)

    def note_completed(self) -> None:
        """Note that an engine bore it; see RequestWatch."""
        self._guard.run_was_whole(self._digest)

    def close(self) -> None:
        """Give the claim up; see RequestWatch."""
        trial, self._trial = self._trial, None
        if trial is not None:
            self._guard.end(trial)
