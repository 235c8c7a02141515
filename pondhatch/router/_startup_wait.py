"""Requests that reach a router in the moment of its start.

Callers whose router was down are back within milliseconds of its start, before it has
read the configuration. That takes some 50 ms from a platform that is well, so they wait
for it instead of being sent away.
"""

from __future__ import annotations

import asyncio

from pondhatch.requests import NotRun
from pondhatch.router._state import RouterState

#: Seconds after a router's start in which requests wait for what it serves by. A platform
#: that is well told it within 0.1 s of the start on the users' bench; one that is not may
#: take minutes, and callers are then refused at once.
STARTUP_SECONDS = 0.5
#: Seconds that one request waits at most: half of the shortest objective of today's
#: sites (0.2 s), so that it can still be answered in time.
MAX_WAIT_SECONDS = 0.1
#: Seconds between looks at what is known.
POLL_SECONDS = 0.01
#: Seconds after which to come back to a router that knows no configuration yet: it is
#: read within a second of its start.
NOT_READY_RETRY_AFTER = 0.5


def not_ready_refusal(state: RouterState) -> NotRun | None:
    """Return the refusal of a router that does not know yet what it may send where."""
    if state.fleet.version > 0 and state.halls.evacuations.is_known:
        return None
    lacks = "which data halls are evacuated" if state.fleet.version > 0 else "a configuration"
    return NotRun("not-ready", f"this router does not know {lacks} yet", NOT_READY_RETRY_AFTER)


class StartupWait:
    """Holds requests for a moment while a router starts."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._deadline = state.clock() + STARTUP_SECONDS
        #: Ends once the router is informed or its start is over; one for all that wait.
        self._ready_task: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait until the router knows what it serves by, for a moment at most."""
        if self._state.has_initial_state() or self._state.clock() >= self._deadline:
            return
        if self._ready_task is None:
            self._ready_task = asyncio.ensure_future(self._wait_until_ready())
        left = self._deadline - self._state.clock()
        await asyncio.wait([self._ready_task], timeout=min(MAX_WAIT_SECONDS, left))

    async def _wait_until_ready(self) -> None:
        while not self._state.has_initial_state() and self._state.clock() < self._deadline:
            await asyncio.sleep(POLL_SECONDS)
