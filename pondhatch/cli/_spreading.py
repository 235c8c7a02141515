"""Telling peers at once of something new, and others a little later."""

from __future__ import annotations

import asyncio

from pondhatch.kernel import Tasks
from pondhatch.router import RouterState
from pondhatch.transport import GossipPort

#: Seconds from one telling of something new to the next: each reaches four random peers,
#: and with one alone about two in a hundred routers would have to wait for a ping.
RETELL_PAUSES = (0.1, 0.2)


class Spreading:
    """Tells some peers of what this router holds now."""

    def __init__(self, state: RouterState, gossip_port: GossipPort, tasks: Tasks) -> None:
        self._state = state
        self._gossip_port = gossip_port
        self._tasks = tasks
        self._retelling: asyncio.Task[None] | None = None

    def spread(self) -> None:
        """Tell some peers now, and others after each pause."""
        self._state.publish()
        self._tell()
        if self._retelling is not None:
            self._retelling.cancel()
        self._retelling = self._tasks.start(self._retell())

    async def _retell(self) -> None:
        for pause in RETELL_PAUSES:
            await asyncio.sleep(pause)
            self._tell()

    def _tell(self) -> None:
        self._gossip_port.send(self._state.gossip.announcements())
