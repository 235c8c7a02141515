"""Writes this router's objects again after the platform was restored from an older copy.

A router learns of the restore from the list of upstreams, as read from the platform or pulled from
a peer: the list's position moves to a new era. All routers learn of it within a second, so each
first waits for a random time, in order not to overload a platform that has just been restored.
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

#: Seconds between checks for a new era.
CHECK_SECONDS = 0.5
#: Seconds over which the routers of a fleet spread their calls. Where nothing was lost, each makes
#: one read that may be stale: 235 a second for 470 routers, of the 2,000 that the platform accepts.
SPREAD_SECONDS = 2.0


class PlatformRestorer:
    """Restores this router's entry and the fleet's key at the platform."""

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
        #: The fleet's key, where it is stored at the platform and nowhere else.
        self._fleet_key = fleet_key
        #: The newest known era; 0 before the first.
        self._era = 0

    async def run(self) -> None:
        """Check for new eras until cancelled."""
        while True:
            await self.check_era()
            await asyncio.sleep(CHECK_SECONDS)

    async def check_era(self) -> None:
        """Write what may have been lost again, if an era has begun since the last check."""
        era = era_of(self._state.upstreams.version)
        is_new_era, self._era = era > self._era > 0, max(era, self._era)
        if not is_new_era:
            return
        await asyncio.sleep(self._rng.random() * SPREAD_SECONDS)
        log.info("The platform was restored from an older copy; checking this router's objects.")
        await self._peer_discovery.run()
        # One router of each hall is enough. Without the key, a router that starts would create one
        # of its own.
        if self._fleet_key is not None and self._state.is_watcher():
            await restore_fleet_key(self._platform, self._fleet_key)
