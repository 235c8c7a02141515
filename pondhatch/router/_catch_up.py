"""Holds requests that waited while this router stood still, until it has asked what it missed.

Callers wait in the backlog and on open connections meanwhile, and are read in the first moment
after, before anything that a peer or the platform has to say: keys that were taken away, halls that
were evacuated, a configuration. One reply to a pull brings all of it. What runs at the engines that
this router owns, it hears from the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pondhatch.router._state import RouterState

#: Maximum seconds for which one request waits. It has waited longer than that already; a peer
#: replies within milliseconds, and a second one is asked at the same time.
MAX_CATCH_UP_SECONDS = 0.5
#: Seconds for which requests wait at least: two rounds, in which this router hears that others
#: found it dead, denies that, and learns what was granted at its engines meanwhile.
MIN_CATCH_UP_SECONDS = 0.2


class CatchUp:
    """Has a router ask others what it missed, once after each standstill."""

    def __init__(self, state: RouterState, ask_peers: Callable[[], Awaitable[None]]) -> None:
        self._state = state
        #: Pulls from peers; returns once one has replied, or none can.
        self._ask_peers = ask_peers
        self._begun_at = state.clock()
        #: The latest catching up; all requests that wait share it.
        self._task: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait until this router has caught up, for ``MAX_CATCH_UP_SECONDS`` at most."""
        now = self._state.clock()
        if self._state.standstill.has_been_since(self._begun_at, now):
            self._begun_at = now
            self._task = asyncio.ensure_future(self._catch_up())
        if self._task is not None:
            await asyncio.wait([self._task])

    async def _catch_up(self) -> None:
        try:
            async with asyncio.timeout(MAX_CATCH_UP_SECONDS):
                await asyncio.gather(self._ask_peers(), asyncio.sleep(MIN_CATCH_UP_SECONDS))
        except TimeoutError:
            return
        finally:
            self._task = None
