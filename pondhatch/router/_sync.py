"""Keeping up: a few routers of each hall watch the platform, the others ask peers.

Versions only grow, so whatever comes late, twice or from a stale peer is
recognised and dropped by the state itself.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import msgspec

from pondhatch.configuration import (
    CHANGE_KIND,
    Broken,
    Change,
    Fleet,
    Gap,
    Rejected,
    Update,
    read_fleet,
)
from pondhatch.kernel import Tasks
from pondhatch.membership import Address, Member
from pondhatch.observing import log_for
from pondhatch.platform import (
    Listed,
    Platform,
    PlatformLost,
    TooOld,
    Unavailable,
    UpstreamUpdate,
    WatchEvent,
    listing,
)
from pondhatch.router._state import RouterState

log = log_for("sync")

#: Kind of the platform's objects that list upstreams.
UPSTREAM_KIND = "upstream"
#: Kind of the platform's objects that list the fleet's own VMs.
VM_KIND = "vm"
#: Seconds between checks of who watches and who lags.
CHECK_SECONDS = 0.5
#: Seconds before a lost watch is taken up again: at least, and with jitter at most.
REWATCH_SECONDS = (0.2, 1.0)


class Lacking(Protocol):
    """A peer's answer to a pull."""

    @property
    def configuration(self) -> Update:
        """What was lacking of the configuration."""

    @property
    def upstreams(self) -> UpstreamUpdate:
        """What was lacking of the list of upstreams."""


Pull = Callable[[Member, int, int], Awaitable[Lacking | None]]


class Sync:
    """Brings a router's configuration and list of upstreams up to date."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        pull: Pull,
        spread: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._platform = platform
        self._pull = pull
        #: Tells some peers at once that this router has something new.
        self._spread = spread
        self._rng = rng
        self._tasks = Tasks()
        self._watching: tuple[asyncio.Task[None], ...] = ()

    async def run(self) -> None:
        """Keep up until cancelled."""
        await self._find_peers()
        try:
            while True:
                self._watch_if_due()
                await self._pull_if_behind()
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            self._tasks.cancel_all()

    async def heard_news(self) -> None:
        """React at once to a peer's word that it holds something newer."""
        await self._pull_if_behind()

    async def _find_peers(self) -> None:
        listed = await self._platform.list(VM_KIND)
        if isinstance(listed, Unavailable):
            log.warning("Platform lists no VMs: {}.", listed.reason)
            return
        self._state.gossip.add_seeds(_vm_addresses(listed))

    # -- from the platform --------------------------------------------------

    def _watch_if_due(self) -> None:
        due = self._state.is_watcher()
        if due and not self._watching:
            log.info("Watching the platform for hall {}.", self._state.hall)
            self._watching = (
                self._tasks.start(self._keep(self._watch_changes)),
                self._tasks.start(self._keep(self._watch_upstreams)),
            )
        if not due and self._watching:
            log.info("Leaving the watch to another router of the hall.")
            for task in self._watching:
                task.cancel()
            self._watching = ()

    async def _keep(self, watch: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await watch()
            except PlatformLost as error:
                log.warning("Watch lost: {}.", error)
            except TooOld:
                log.info("Watch too old, listing anew.")
            await asyncio.sleep(self._rng.uniform(*REWATCH_SECONDS))

    async def _watch_changes(self) -> None:
        async for event in self._platform.watch(CHANGE_KIND, None):
            if event.type == "set":
                change = msgspec.convert(event.value, Change)
                self._took_change(self._state.take_change(change))
            if event.type == "bookmark" or self._behind(event):
                await self._read_changes()

    def _behind(self, event: WatchEvent) -> bool:
        return event.type == "set" and int(event.name) > self._state.fleet.version

    async def _read_changes(self) -> None:
        fleet = await read_fleet(self._platform, self._state.fleet)
        if isinstance(fleet, Broken):
            log.error("Configuration cannot be read: {}.", fleet.reason)
        if isinstance(fleet, Unavailable):
            raise PlatformLost(fleet.reason)
        if isinstance(fleet, Fleet) and self._state.take_fleet(fleet):
            self._told()

    async def _watch_upstreams(self) -> None:
        listed = await self._platform.list(UPSTREAM_KIND)
        if isinstance(listed, Unavailable):
            raise PlatformLost(listed.reason)
        values = [(each.version, each.value) for each in listed.objects]
        if self._state.take_upstreams(listing(listed.version, values)):
            self._told()
        async for event in self._platform.watch(UPSTREAM_KIND, listed.version):
            if self._state.take_upstream_event(event):
                self._told()

    # -- from peers ---------------------------------------------------------

    async def _pull_if_behind(self) -> None:
        ahead = self._ahead()
        if not ahead:
            return
        peer = self._rng.choice(ahead)
        lacking = await self._pull(peer, self._state.fleet.version, self._state.upstreams.version)
        if lacking is None:
            return
        before = (self._state.fleet.version, self._state.upstreams.version)
        self._took_change(self._state.take_update(lacking.configuration), told=False)
        self._state.take_upstreams(lacking.upstreams)
        if (self._state.fleet.version, self._state.upstreams.version) != before:
            self._told()

    def _ahead(self) -> list[Member]:
        """Return peers with something newer, those of this hall alone where there are any."""
        names = set(self._state.gossip.ahead())
        ahead = [member for member in self._state.members() if member.name in names]
        near = [member for member in ahead if member.hall == self._state.hall]
        return near or ahead

    def _took_change(self, wrong: Rejected | Gap | None, told: bool = True) -> None:
        if isinstance(wrong, Rejected):
            log.error("Change {} is void: {}.", self._state.fleet.version, wrong)
        if wrong is None and told:
            self._told()

    def _told(self) -> None:
        log.info(
            "Configuration {} in force, upstreams as of {}.",
            self._state.fleet.version,
            self._state.upstreams.version,
        )
        self._spread()


def _vm_addresses(listed: Listed) -> Iterable[Address]:
    for each in listed.objects:
        host, _, port = str(each.value.get("address", "")).rpartition(":")
        if host and port.isdigit():
            yield Address(host, int(port))
