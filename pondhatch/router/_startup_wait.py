"""Holds requests that reach a router while it starts.

Callers whose router was down are back within milliseconds of its start, before it has read the
configuration. Reading it takes some 50 ms from a healthy platform, so the requests wait for it
instead of being refused.
"""

from __future__ import annotations

import asyncio

from pondhatch.requests import NotRun
from pondhatch.router._catch_up import CatchUp
from pondhatch.router._state import RouterState

#: Seconds after a router's start in which requests wait for its initial state. A healthy platform
#: delivers it within 0.1 s of the start; one with an outage may take minutes, and callers are then
#: refused at once.
STARTUP_SECONDS = 0.5
#: Maximum seconds for which one request waits: half of the shortest objective of a route (0.2 s),
#: so that the request can still be answered in time.
MAX_WAIT_SECONDS = 0.1
#: Seconds between checks of whether the initial state is known.
POLL_SECONDS = 0.01
#: Seconds after which to retry at a router that knows no configuration yet: it reads one within a
#: second of its start.
NOT_READY_RETRY_AFTER = 0.5


def not_ready_refusal(state: RouterState) -> NotRun | None:
    """Return the refusal of a router that lacks its initial state, or None if it is ready."""
    if state.configuration.version > 0 and state.halls.evacuations.is_known:
        return None
    lacks = (
        "which data halls are evacuated" if state.configuration.version > 0 else "a configuration"
    )
    return NotRun("not-ready", f"this router does not know {lacks} yet", NOT_READY_RETRY_AFTER)


class StartupWait:
    """Holds requests for a moment while a router starts, or goes on after a standstill."""

    def __init__(self, state: RouterState, catch_up: CatchUp | None = None) -> None:
        self._state = state
        self._catch_up = catch_up
        self._deadline = state.clock() + STARTUP_SECONDS
        #: Ends once the initial state is known or the startup is over; all waiting requests share
        #: it.
        self._ready_task: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait until the router has its initial state, for ``MAX_WAIT_SECONDS`` at most.

        Also wait until it has caught up after a standstill; see CatchUp.
        """
        if self._catch_up is not None:
            await self._catch_up.wait()
        if self._state.has_initial_state() or self._state.clock() >= self._deadline:
            return
        if self._ready_task is None:
            self._ready_task = asyncio.ensure_future(self._wait_until_ready())
        left = self._deadline - self._state.clock()
        await asyncio.wait([self._ready_task], timeout=min(MAX_WAIT_SECONDS, left))

    async def _wait_until_ready(self) -> None:
        while not self._state.has_initial_state() and self._state.clock() < self._deadline:
            await asyncio.sleep(POLL_SECONDS)
