"""Telling peers at once of something new, and others a little later."""

from __future__ import annotations

import asyncio

from pondhatch.kernel import Tasks
from pondhatch.router import RouterState
from pondhatch.transport import GossipPort

#: Seconds from one telling of something new to the next: each reaches four random peers,
#: and with one alone about two in a hundred routers would have to wait for a ping.
REPEAT_DELAYS = (0.1, 0.2)


class Announcer:
    """Tells some peers of what this router holds now."""

    def __init__(self, state: RouterState, gossip_port: GossipPort, tasks: Tasks) -> None:
        self._state = state
        self._gossip_port = gossip_port
        self._tasks = tasks
        self._repeat_task: asyncio.Task[None] | None = None

    def announce(self) -> None:
        """Tell some peers now, and others after each pause."""
        self._state.publish()
        self._send()
        if self._repeat_task is not None:
            self._repeat_task.cancel()
        self._repeat_task = self._tasks.start(self._repeat())

    async def _repeat(self) -> None:
        for delay in REPEAT_DELAYS:
            await asyncio.sleep(delay)
            self._send()

    def _send(self) -> None:
        self._gossip_port.send(self._state.gossip.announcements())
