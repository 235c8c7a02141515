"""The shutdown of a router: it drains, releases its leases and hands over its key records."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from pondhatch.cli._announcer import Announcer
from pondhatch.configuration import Settings
from pondhatch.membership import Phase
from pondhatch.requests import HOLDERS_PER_KEY, RelaySide
from pondhatch.router import Authority, Grace, GrantExchange, RouterState, StateRecorder
from pondhatch.transport import Callers

#: Seconds between checks whether a step of the shutdown is done.
POLL_SECONDS = 0.05
#: Maximum number of seconds to release the leases. If the platform is unreachable for that long,
#: the next holder has to wait until they expire.
STEP_DOWN_SECONDS = 3.0
#: Minimum number of seconds for which a draining router still accepts requests, so that all
#: others learn that it is draining before it refuses any.
MIN_ACCEPT_SECONDS = 1.0


class Shutdown(msgspec.Struct, frozen=True):
    """Removes a router from its fleet without losing its requests, leases or key records."""

    state: RouterState
    callers: Callers
    authority: Authority
    grant_exchange: GrantExchange
    announcer: Announcer
    state_recorder: StateRecorder
    relay_side: RelaySide
    #: Returns the current settings.
    settings: Callable[[], Settings]

    async def run(self, stopped_at: float) -> None:
        """Leave the fleet; the caller then cancels the router's tasks and closes its ports.

        ``stopped_at`` is the earliest time of the stop signal, in the clock's seconds.
        """
        await self._drain(stopped_at)
        await self._step_down()
        self._record_phase("stopping")
        await self._hand_over_keys()
        self.state.phase = Phase.LEFT
        self._announce_phase()

    async def _drain(self, began_at: float) -> None:
        """Announce the drain, stop accepting requests, and wait for those in flight."""
        self._record_phase("draining")
        self.state.phase = Phase.DRAINING
        self.state.grace = grace = self._grace(began_at)
        self._announce_phase()
        await asyncio.sleep(grace.accepts_until - time.monotonic())
        self.callers.accepts_requests = False
        self.relay_side.accepts_requests = False
        while self._in_flight() > 0 and time.monotonic() < grace.ends_at:
            await asyncio.sleep(POLL_SECONDS)

    def _grace(self, began_at: float) -> Grace:
        drain = self.settings().drain
        # drain.whole_seconds takes precedence over drain_seconds.
        whole = drain.whole_seconds
        seconds = self.settings().drain_seconds if whole is None else whole
        accept_seconds = max(MIN_ACCEPT_SECONDS, drain.accept_seconds)
        return Grace(began_at + accept_seconds, began_at + seconds)

    def _in_flight(self) -> int:
        """Return the unfinished requests of callers and of other routers."""
        return self.callers.in_flight + self.relay_side.in_flight

    async def _step_down(self) -> None:
        """Wait until the leases of services are released, which spares the next holder a wait."""
        deadline = time.monotonic() + STEP_DOWN_SECONDS
        while self.authority.holds_any_lease() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)

    async def _hand_over_keys(self) -> None:
        """Send the key records stored here to the routers that hold the keys from now on."""
        for key, record in tuple(self.state.key_table.record_by_key.items()):
            for name in self.state.key_holders(key)[:HOLDERS_PER_KEY]:
                holder = self.state.key_holder(name)
                if holder is not None:
                    await holder.settle(key, record)

    def _record_phase(self, phase: str) -> None:
        self.state_recorder.record_process(phase, f"{self._in_flight()} requests in flight")

    def _announce_phase(self) -> None:
        """Announce this router's phase to peers."""
        self.state.refresh_members()
        self.grant_exchange.follow_members()
        self.announcer.announce()
