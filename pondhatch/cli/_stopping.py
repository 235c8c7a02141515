"""The stop of a router: it drains, gives its leases up and hands its keys over."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from pondhatch.cli._spreading import Spreading
from pondhatch.configuration import Settings
from pondhatch.membership import Phase
from pondhatch.requests import HOLDERS_PER_KEY
from pondhatch.router import Authority, GrantExchange, RouterState, StateRecorder
from pondhatch.transport import Callers

#: Seconds between looks at what still runs while draining.
DRAIN_STEP = 0.05
#: Seconds that a stopping router tries to give its leases up; a platform that is out
#: makes the next router wait for them to lapse.
STEP_DOWN_SECONDS = 3.0
#: Seconds for which a draining router goes on being reachable, so that all hear of it.
DRAIN_NOTICE = 1.0


class Stopping(msgspec.Struct, frozen=True):
    """Takes a router out of its fleet, so that nothing it holds is lost."""

    state: RouterState
    callers: Callers
    authority: Authority
    granting: GrantExchange
    spreading: Spreading
    beliefs: StateRecorder
    #: The settings now in force.
    settings: Callable[[], Settings]

    async def run(self) -> None:
        """Leave the fleet; the caller then ends the router's tasks and closes its ports."""
        await self._drain()
        await self._step_down()
        self._note("stopping")
        await self._hand_over_keys()
        self.state.phase = Phase.LEFT
        self._announce()

    async def _drain(self) -> None:
        """Have callers go elsewhere and wait, for a time, until no request is in flight."""
        self._note("draining")
        self.state.phase = Phase.DRAINING
        self._announce()
        begun = time.monotonic()
        drain = self.settings().drain
        await asyncio.sleep(max(DRAIN_NOTICE, drain.accept_seconds))
        self.callers.accepts_requests = False
        whole = drain.whole_seconds
        seconds = self.settings().drain_seconds if whole is None else whole
        deadline = begun + seconds
        while self.callers.in_flight > 0 and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_STEP)

    async def _step_down(self) -> None:
        """Give the leases of services up, so that the next router need not wait for them."""
        deadline = time.monotonic() + STEP_DOWN_SECONDS
        while self.authority.holds_any_lease() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_STEP)

    async def _hand_over_keys(self) -> None:
        """Give the keys held here to those who hold them from now on."""
        for key, record in tuple(self.state.key_table.record_by_key.items()):
            for name in self.state.key_holders(key)[:HOLDERS_PER_KEY]:
                holder = self.state.key_holder(name)
                if holder is not None:
                    await holder.settle(key, record)

    def _note(self, now: str) -> None:
        self.beliefs.record_process(now, f"{self.callers.in_flight} requests in flight")

    def _announce(self) -> None:
        """Tell peers of this router's phase."""
        self.state.refresh_members()
        self.granting.follow_members()
        self.spreading.spread()
