"""Keeps a router up to date: a few routers of each hall watch the platform, others pull from peers.

Versions only grow, so the state recognises and drops whatever arrives late, twice or from a
stale peer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from pondhatch.configuration import (
    Change,
    ConfigurationEvent,
    ConfigurationSource,
    Inconsistent,
    Rejected,
)
from pondhatch.kernel import Backoff, Tasks
from pondhatch.membership import Member
from pondhatch.observing import log_for
from pondhatch.router._peer_discovery import PeerDiscovery
from pondhatch.router._peer_pulls import PeerPulls, Pull, log_if_rejected, newest_peers
from pondhatch.router._platform_checks import EVACUATION_KIND, UPSTREAM_KIND
from pondhatch.router._state import RouterState
from pondhatch.store import (
    Listed,
    Platform,
    PlatformLost,
    TooOld,
    Unavailable,
    WatchEvent,
)

__all__ = ("EVACUATION_KIND", "PEER_DISCOVERY_SECONDS", "UPSTREAM_KIND", "Pull", "Sync")

log = log_for("sync")

#: Seconds between checks of whether this router should watch and whether it is behind.
CHECK_SECONDS = 0.5
#: Seconds after its start in which a router discovers its peers: three calls to the platform and
#: two exchanges of packets take about 0.1 s. Until then it reads what the platform holds but does
#: not watch it: one router of each hall is enough, and where a whole fleet starts, all routers
#: would otherwise get an event for each upstream that lists itself.
PEER_DISCOVERY_SECONDS = 0.4
#: Seconds before a lost watch is retried, at first and at most: a platform that recovers must
#: not be overloaded.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class Sync:
    """Brings a router's configuration and list of upstreams up to date."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        source: ConfigurationSource,
        pull: Pull,
        announce: Callable[[], None],
        rng: random.Random,
        peer_discovery: PeerDiscovery,
    ) -> None:
        self._state = state
        self._platform = platform
        self._source = source
        #: Announces to some peers at once that this router has something new.
        self._announce = announce
        self._rng = rng
        #: Lists this router at the platform and finds its peers there.
        self._peer_discovery = peer_discovery
        #: Set once this router has had time to discover its peers.
        self._peers_discovered = asyncio.Event()
        #: Whether ``_pull_if_behind`` is running.
        self._is_pulling = False
        self._tasks = Tasks()
        self._pulls = PeerPulls(state, pull, announce, rng, self._tasks)
        #: The tasks that watch the configuration, upstreams and evacuations; empty where this
        #: router does not watch.
        self._watch_tasks: tuple[asyncio.Task[None], ...] = ()

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        try:
            self._tasks.start(self._peer_discovery.run())
            self._start_watching()
            await self._pull_if_behind()
            await asyncio.sleep(PEER_DISCOVERY_SECONDS)
            self._peers_discovered.set()
            # In a task of its own: a peer that does not reply must not keep this router behind.
            self._tasks.start(self._pulls.pull_recent_joins())
            while True:
                self._start_or_stop_watching()
                await self._pull_if_behind()
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            self._tasks.cancel_all()

    async def on_peer_ahead(self) -> None:
        """Pull at once, as a peer's heartbeat says that it holds something newer."""
        await self._pull_if_behind()

    async def catch_up(self) -> None:
        """Pull from some peers, whatever they are known to hold, until one has replied."""
        await self._pulls.run_from_any()

    def apply_configuration_event(self, configuration_event: ConfigurationEvent) -> None:
        """Apply what was read of the configuration, and announce it to peers if it is newer."""
        if isinstance(configuration_event, Change):
            self._apply_change(configuration_event)
        elif isinstance(configuration_event, Rejected):
            self._state.rejected = configuration_event
        elif isinstance(configuration_event, Inconsistent):
            log.error("Configuration cannot be read: {}.", configuration_event.reason)
        else:
            # Cleared also where this configuration is not newer: the rejected one was replaced.
            self._state.rejected = None
            if self._state.apply_configuration(configuration_event):
                self._announce()

    # -- from the platform --------------------------------------------------

    def _start_or_stop_watching(self) -> None:
        """Start or stop watching, as this router is or is not one of its hall's watchers."""
        should_watch = self._state.is_watcher()
        if should_watch and not self._watch_tasks:
            log.info("Watching the platform for hall {}.", self._state.hall)
            self._start_watching()
        # A watcher that lost the platform keeps retrying, while another router watches.
        if not should_watch and self._watch_tasks and not self._state.platform_error:
            log.info("Another router of the hall watches the platform; stopping the watch.")
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = ()
            # A router that does not watch knows neither whether the platform answers nor what
            # it holds.
            self._state.platform_error = ""
            self._state.rejected = None

    def _start_watching(self) -> None:
        """Start tasks that read what the platform holds, and watch it once peers are known."""
        self._watch_tasks = (
            self._tasks.start(self._watch_with_retry(self._watch_changes)),
            self._tasks.start(self._watch_with_retry(self._watch_upstreams)),
            self._tasks.start(self._watch_with_retry(self._watch_evacuations)),
        )

    async def _watch_with_retry(self, watch: Callable[[], Awaitable[None]]) -> None:
        """Restart a watch with backoff whenever it ends, until cancelled."""
        backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        while True:
            started_at = self._state.clock()
            try:
                await watch()
            except PlatformLost as error:
                self._note_platform_lost(str(error))
                log.warning("Watch lost: {}.", error)
            except TooOld:
                log.info("The watch's version is too old; listing again.")
            except Exception:
                # An object that cannot be read may be corrected at the platform, and no other
                # router may be watching, so the watch has to go on.
                log.exception("A watch failed with an error of this router; restarting it.")
            if self._state.clock() - started_at > MAX_BACKOFF_SECONDS:
                backoff.reset()
            await asyncio.sleep(backoff.next())

    def _note_platform_lost(self, why: str) -> None:
        """Record that the platform is unreachable, and announce it, so that another router watches.

        Otherwise the peers would rely on this router and miss changes that others of their hall
        can read: a change is to be in force everywhere within 3 s.
        """
        was_reachable = not self._state.platform_error
        self._state.platform_error = why
        if was_reachable:
            self._announce()

    async def _watch_changes(self) -> None:
        async for configuration_event in self._source.follow(lambda: self._state.configuration):
            self.apply_configuration_event(configuration_event)
            self._state.platform_error = ""
            await self._peers_discovered.wait()

    def _apply_change(self, change: Change) -> None:
        problem = self._state.apply_change(change)
        log_if_rejected(problem, self._state.configuration.version)
        if problem is None:
            self._announce()

    async def _watch_upstreams(self) -> None:
        state = self._state
        await self._watch(UPSTREAM_KIND, state.apply_listed_upstreams, state.apply_upstream_event)

    async def _watch_evacuations(self) -> None:
        state = self._state
        # A stale list is enough: a router that starts alone gets the changes of the last seconds
        # from its peers, and where all routers start, the watchers go on from this list's version.
        may_be_old = not state.halls.evacuations.is_known
        await self._watch(
            EVACUATION_KIND,
            state.apply_listed_evacuations,
            state.apply_evacuation_event,
            may_be_old,
        )

    async def _watch(
        self,
        kind: str,
        apply_listed: Callable[[Listed], bool],
        apply_event: Callable[[WatchEvent], bool],
        may_be_old: bool = False,
    ) -> None:
        """List the objects of a kind, then watch them; announce each change to peers."""
        listed = await self._platform.list(kind, may_be_old)
        if isinstance(listed, Unavailable):
            raise PlatformLost(listed.reason)
        self._state.platform_error = ""
        if apply_listed(listed):
            self._announce()
        await self._peers_discovered.wait()
        async for event in self._platform.watch(kind, listed.version):
            if apply_event(event):
                self._announce()

    # -- from peers ---------------------------------------------------------

    async def _pull_if_behind(self) -> None:
        """Pull from peers until none is known to hold anything newer.

        Each packet of a peer that is ahead calls this. With a pull for each, many peers would be
        asked for the same content, and whole configurations would wait in memory.
        """
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            while ahead := self._peers_to_pull_from():
                if not await self._pulls.run(ahead):
                    return
        finally:
            self._is_pulling = False

    def _peers_to_pull_from(self) -> list[Member]:
        """Return the peers that hold the newest version, of this hall alone where there are any."""
        return newest_peers(self._state)
