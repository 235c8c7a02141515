"""Announces a change to some random peers at once, and to more of them shortly after."""

from __future__ import annotations

import asyncio

from pondhatch.kernel import Tasks
from pondhatch.router import RouterState
from pondhatch.transport import GossipPort

#: Seconds before each repetition of the announcement of a change. Each announcement reaches four
#: random peers; without repetitions about 2% of routers would only learn of it by a ping.
REPEAT_DELAYS = (0.1, 0.2)


class Announcer:
    """Announces the current state of this router to peers."""

    def __init__(self, state: RouterState, gossip_port: GossipPort, tasks: Tasks) -> None:
        self._state = state
        self._gossip_port = gossip_port
        self._tasks = tasks
        self._repeat_task: asyncio.Task[None] | None = None

    def announce(self) -> None:
        """Announce the state to some peers now, and to others after each delay."""
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
