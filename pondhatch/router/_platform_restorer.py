"""Writing again what this router holds at the platform, once the platform came back without it.

A router learns of it by the list of upstreams, whose positions rise an era, from the platform or
from any peer. All learn of it within a second, so each waits for a while of its own: a platform
that is back just now is not rushed.
"""

from __future__ import annotations

import asyncio
import random

from pondhatch.observing import log_for
from pondhatch.router._fleet_key import restore_fleet_key
from pondhatch.router._peer_discovery import PeerDiscovery
from pondhatch.router._state import RouterState
from pondhatch.store import Platform, era_of

log = log_for("sync")

#: Seconds between looks for a new era.
CHECK_SECONDS = 0.5
#: Seconds over which the routers of a fleet spread their calls: one cheap call each where
#: nothing was lost, 235 a second for 470 routers, of which the platform takes 2,000.
SPREAD_SECONDS = 2.0


class PlatformRestorer:
    """Has the platform hold this router's entry and the fleet's key again."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        peer_discovery: PeerDiscovery,
        rng: random.Random,
        fleet_key: bytes | None,
    ) -> None:
        self._state = state
        self._platform = platform
        self._peer_discovery = peer_discovery
        self._rng = rng
        #: The fleet's key, where it lies at the platform and nowhere else.
        self._fleet_key = fleet_key
        #: The newest era that was seen; 0 before the first.
        self._era = 0

    async def run(self) -> None:
        """Look for new eras until cancelled."""
        while True:
            await self.check_era()
            await asyncio.sleep(CHECK_SECONDS)

    async def check_era(self) -> None:
        """Write again what may have been lost, where an era has begun since the last look."""
        era = era_of(self._state.upstreams.version)
        began, self._era = era > self._era > 0, max(era, self._era)
        if not began:
            return
        await asyncio.sleep(self._rng.random() * SPREAD_SECONDS)
        log.info("The platform came back from an older copy; what this router wrote is looked for.")
        await self._peer_discovery.run()
        # One of each hall will do: whoever starts meanwhile would make a key of its own.
        if self._fleet_key is not None and self._state.is_watcher():
            await restore_fleet_key(self._platform, self._fleet_key)
