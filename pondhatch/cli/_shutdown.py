"""The stop of a router: it drains, gives its leases up and hands its keys over."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from pondhatch.cli._announcer import Announcer
from pondhatch.configuration import Settings
from pondhatch.membership import Phase
from pondhatch.requests import HOLDERS_PER_KEY
from pondhatch.router import Authority, GrantExchange, RouterState, StateRecorder
from pondhatch.transport import Callers

#: Seconds between looks at what still runs while draining.
POLL_SECONDS = 0.05
#: Seconds that a stopping router tries to give its leases up; a platform that is out
#: makes the next router wait for them to lapse.
STEP_DOWN_SECONDS = 3.0
#: Seconds for which a draining router goes on being reachable, so that all hear of it.
MIN_ACCEPT_SECONDS = 1.0


class Shutdown(msgspec.Struct, frozen=True):
    """Takes a router out of its fleet, so that nothing it holds is lost."""

    state: RouterState
    callers: Callers
    authority: Authority
    grant_exchange: GrantExchange
    announcer: Announcer
    state_recorder: StateRecorder
    #: The settings now in force.
    settings: Callable[[], Settings]

    async def run(self) -> None:
        """Leave the fleet; the caller then ends the router's tasks and closes its ports."""
        await self._drain()
        await self._step_down()
        self._record_phase("stopping")
        await self._hand_over_keys()
        self.state.phase = Phase.LEFT
        self._announce_phase()

    async def _drain(self) -> None:
        """Have callers go elsewhere and wait, for a time, until no request is in flight."""
        self._record_phase("draining")
        self.state.phase = Phase.DRAINING
        self._announce_phase()
        started_at = time.monotonic()
        drain = self.settings().drain
        await asyncio.sleep(max(MIN_ACCEPT_SECONDS, drain.accept_seconds))
        self.callers.takes_work = False
        whole = drain.whole_seconds
        seconds = self.settings().drain_seconds if whole is None else whole
        deadline = started_at + seconds
        while self.callers.in_flight > 0 and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)

    async def _step_down(self) -> None:
        """Give the leases of services up, so that the next router need not wait for them."""
        deadline = time.monotonic() + STEP_DOWN_SECONDS
        while self.authority.holds_any_lease() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)

    async def _hand_over_keys(self) -> None:
        """Give the keys held here to those who hold them from now on."""
        for key, record in tuple(self.state.key_table.record_by_key.items()):
            for name in self.state.key_holders(key)[:HOLDERS_PER_KEY]:
                holder = self.state.key_holder(name)
                if holder is not None:
                    await holder.settle(key, record)

    def _record_phase(self, now: str) -> None:
        self.state_recorder.record_process(now, f"{self.callers.in_flight} requests in flight")

    def _announce_phase(self) -> None:
        """Tell peers of this router's phase."""
        self.state.refresh_members()
        self.grant_exchange.follow_members()
        self.announcer.announce()
