"""Keeping a router up to date: a few of each hall watch the platform, the others ask peers.

Versions only grow, so whatever comes late, twice or from a stale peer is
recognised and dropped by the state itself.
"""

from __future__ import annotations

import asyncio
import operator
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from pondhatch.configuration import (
    Broken,
    Change,
    ConfigurationSource,
    Gap,
    News,
    Rejected,
    Update,
)
from pondhatch.kernel import Backoff, Tasks
from pondhatch.membership import Member, Versions
from pondhatch.observing import log_for
from pondhatch.router._peer_discovery import PeerDiscovery
from pondhatch.router._state import RouterState
from pondhatch.store import (
    EvacuationUpdate,
    Listed,
    Platform,
    PlatformLost,
    TooOld,
    Unavailable,
    UpstreamUpdate,
    WatchEvent,
)

log = log_for("sync")

#: Kind of the platform's objects that list upstreams.
UPSTREAM_KIND = "upstream"
#: Kind of those that ask for the evacuation of the data hall that they are named by.
EVACUATION_KIND = "evacuation"
#: Seconds between checks of who watches and who lags.
CHECK_SECONDS = 0.5
#: Seconds from a router's start in which it comes to know its peers: three calls to the
#: platform and two exchanges of packets, 0.1 s on the users' bench. Until then it reads
#: what the platform holds, and does not watch: one of each hall will, and all of a fleet
#: that starts would be told of each upstream that lists itself.
PEER_DISCOVERY_SECONDS = 0.4
#: Seconds from which a pull is told in the log: a sixth of the time in which a change is to
#: be in force everywhere.
SLOW_PULL_SECONDS = 0.5
#: Seconds after which a peer's answer to a pull is waited for beside another peer's. A peer
#: takes 0.1 s for a change and up to 0.6 s for a large configuration on a narrow link; two that
#: give no answer in a row cost 1.4 s so, of the 2 s in which small fleets have a change in force,
#: and not the 4 s of two calls' time-outs. A shorter one would have the whole fleet ask twice for
#: what is large.
PULL_HEDGE_SECONDS = 0.7
#: Milliseconds by which a peer's start lies before this router's where the peer knows more of
#: who joined: VMs that start together differ by less, their clocks included, and what joined
#: within such a time is a small part of what counts as new for minutes.
MIN_AGE_DIFFERENCE_MS = 10_000
#: Peers asked side by side at most: so many answers may wait in memory.
MAX_CONCURRENT_PULLS = 3
#: Seconds before a lost watch is tried again, first and at most: a platform that comes
#: back is not rushed.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class PulledState(Protocol):
    """A peer's answer to a pull."""

    @property
    def configuration(self) -> Update:
        """What was lacking of the configuration."""

    @property
    def upstreams(self) -> UpstreamUpdate:
        """What was lacking of the list of upstreams."""

    @property
    def evacuations(self) -> EvacuationUpdate | None:
        """What the peer knows of evacuated halls; None where it knows nothing."""


_CONFIGURATION = operator.attrgetter("configuration")
_EVACUATIONS = operator.attrgetter("evacuations")
_UPSTREAMS = operator.attrgetter("upstreams")

Pull = Callable[[Member, int, int], Awaitable[PulledState | None]]


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
        self._pull = pull
        #: Tells some peers at once that this router has something new.
        self._announce = announce
        self._rng = rng
        #: Lists this router at the platform, and finds its peers there.
        self._peer_discovery = peer_discovery
        #: Set once this router had time to hear who else is there.
        self._peers_discovered = asyncio.Event()
        #: Whether peers are being asked for what this router lacks.
        self._is_pulling = False
        #: Names of the peers whose answer to a pull is out.
        self._pending_peers: set[str] = set()
        self._tasks = Tasks()
        #: The watches of the configuration and of the list of upstreams, where it watches.
        self._watch_tasks: tuple[asyncio.Task[None], ...] = ()

    async def run(self) -> None:
        """Keep up until cancelled."""
        try:
            self._tasks.start(self._peer_discovery.run())
            self._start_watching()
            await self._pull_if_behind()
            await asyncio.sleep(PEER_DISCOVERY_SECONDS)
            self._peers_discovered.set()
            # Beside the rest: a peer that gives no answer must not keep this router behind.
            self._tasks.start(self._pull_recent_joins())
            while True:
                self._start_or_stop_watching()
                await self._pull_if_behind()
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            self._tasks.cancel_all()

    async def on_peer_ahead(self) -> None:
        """React at once to a peer's word that it holds something newer."""
        await self._pull_if_behind()

    # -- from the platform --------------------------------------------------

    def _start_or_stop_watching(self) -> None:
        """Begin or end watching, as this router is or is not one of its hall's watchers."""
        due = self._state.is_watcher()
        if due and not self._watch_tasks:
            log.info("Watching the platform for hall {}.", self._state.hall)
            self._start_watching()
        # One that lost the platform goes on looking for it: another watches meanwhile.
        if not due and self._watch_tasks and not self._state.platform_error:
            log.info("Leaving the watch to another router of the hall.")
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = ()
            # Who does not watch cannot tell whether the platform answers, nor what it holds.
            self._state.platform_error = ""
            self._state.rejected = None

    def _start_watching(self) -> None:
        """Read what the platform holds; what follows, only once it is known who watches."""
        self._watch_tasks = (
            self._tasks.start(self._watch_with_retry(self._watch_changes)),
            self._tasks.start(self._watch_with_retry(self._watch_upstreams)),
            self._tasks.start(self._watch_with_retry(self._watch_evacuations)),
        )

    async def _watch_with_retry(self, watch: Callable[[], Awaitable[None]]) -> None:
        """Begin a watch again whenever it ends, until cancelled."""
        backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        while True:
            begun = self._state.clock()
            try:
                await watch()
            except PlatformLost as error:
                self._note_platform_lost(str(error))
                log.warning("Watch lost: {}.", error)
            except TooOld:
                log.info("Watch too old, listing anew.")
            except Exception:
                # What cannot be read now may be mended at the platform; nobody else watches.
                log.exception("A watch ended in an error of this router; it begins again.")
            if self._state.clock() - begun > MAX_BACKOFF_SECONDS:
                backoff.reset()
            await asyncio.sleep(backoff.next())

    def _note_platform_lost(self, why: str) -> None:
        """Note that the platform is out of reach, and tell peers at once: another watches then.

        They would wait for this router's word else, and miss what others of their hall can
        read: a change is to be in force everywhere within 3 s.
        """
        is_news = not self._state.platform_error
        self._state.platform_error = why
        if is_news:
            self._announce()

    async def _watch_changes(self) -> None:
        async for news in self._source.follow(lambda: self._state.fleet):
            self._apply_news(news)
            self._state.platform_error = ""
            await self._peers_discovered.wait()

    def _apply_news(self, news: News) -> None:
        if isinstance(news, Change):
            self._apply_change(news)
        elif isinstance(news, Rejected):
            self._state.rejected = news
        elif isinstance(news, Broken):
            log.error("Configuration cannot be read: {}.", news.reason)
        else:
            # Also where it is not newer: what was refused is gone then.
            self._state.rejected = None
            if self._state.apply_fleet(news):
                self._announce()

    def _apply_change(self, change: Change) -> None:
        problem = self._state.apply_change(change)
        self._log_if_rejected(problem)
        if problem is None:
            self._announce()

    async def _watch_upstreams(self) -> None:
        state = self._state
        await self._watch(UPSTREAM_KIND, state.apply_listed_upstreams, state.apply_upstream_event)

    async def _watch_evacuations(self) -> None:
        state = self._state
        # What a router that starts alone misses of the last seconds, its peers tell it; where all
        # start, those that watch go on from where this listing ends.
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
        take_listed: Callable[[Listed], bool],
        take_event: Callable[[WatchEvent], bool],
        may_be_old: bool = False,
    ) -> None:
        """Read the objects of a kind, then their changes; tell peers of what is news."""
        listed = await self._platform.list(kind, may_be_old)
        if isinstance(listed, Unavailable):
            raise PlatformLost(listed.reason)
        self._state.platform_error = ""
        if take_listed(listed):
            self._announce()
        await self._peers_discovered.wait()
        async for event in self._platform.watch(kind, listed.version):
            if take_event(event):
                self._announce()

    # -- from peers ---------------------------------------------------------

    async def _pull_if_behind(self) -> None:
        """Pull what peers hold beyond this router, until none is known to hold more.

        Each packet of a peer that is ahead leads here. A pull for each would ask many peers for
        the same, and keep whole configurations waiting in memory.
        """
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            while ahead := self._peers_to_pull_from():
                if not await self._pull_hedged(ahead):
                    return
        finally:
            self._is_pulling = False

    async def _pull_recent_joins(self) -> None:
        """Ask one peer for the whole list: only those that run know who joined when.

        Where all start at once, as after a power cut, nobody knows, and nobody is asked.
        """
        others = [member for member in self._state.members() if member.name != self._state.name]
        own_start = self._state.gossip.membership.own.incarnation
        older_peers = [
            each for each in others if own_start - each.incarnation > MIN_AGE_DIFFERENCE_MS
        ]
        if not older_peers:
            return
        near = [member for member in older_peers if member.hall == self._state.hall]
        pulled = await self._pull(
            self._rng.choice(near or older_peers), self._state.fleet.version, 0
        )
        if pulled is not None:
            self._state.apply_evacuations(pulled.evacuations)
            self._state.apply_upstreams(pulled.upstreams)

    async def _pull_hedged(self, ahead: list[Member]) -> bool:
        """Ask some of the peers, another one each time that the last is slow or lost.

        Return whether that brought anything new. Whoever is slow goes on being waited for, and
        is not asked again meanwhile.
        """
        free = [peer for peer in ahead if peer.name not in self._pending_peers]
        most = min(MAX_CONCURRENT_PULLS - len(self._pending_peers), len(free))
        pulls: set[asyncio.Task[bool]] = set()
        for peer in self._rng.sample(free, most):
            pulls.add(self._tasks.start(self._pull_from_peer(peer)))
            done, pulls = await asyncio.wait(
                pulls, timeout=PULL_HEDGE_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
            if any(pull.result() for pull in done):
                return True
        # What is still out is taken in when it comes; others may be ahead by now.
        return False

    async def _pull_from_peer(self, peer: Member) -> bool:
        """Ask a peer for what this router lacks; return whether that brought anything new."""
        begun = self._state.clock()
        self._pending_peers.add(peer.name)
        try:
            state = self._state
            pulled = await self._pull(peer, state.fleet.version, state.upstreams.version)
        finally:
            self._pending_peers.discard(peer.name)
        waited = self._state.clock() - begun
        if pulled is None:
            log.warning("Router {}, which is ahead, gave nothing in {:.2f} s.", peer.name, waited)
            return False
        if waited > SLOW_PULL_SECONDS:
            log.info("Router {}, which is ahead, took {:.2f} s to answer.", peer.name, waited)
        return self._apply_pulled(peer, pulled)

    def _apply_pulled(self, peer: Member, pulled: PulledState) -> bool:
        # Read after the pull: a watch or another peer may have brought something meanwhile.
        before = self._own_versions()
        asked_for_snapshot = self._state.needs_snapshot
        self._log_if_rejected(self._state.apply_update(pulled.configuration, peer.name))
        # Before the upstreams, since it says which of them may get nothing.
        self._state.apply_evacuations(pulled.evacuations)
        self._state.apply_upstreams(pulled.upstreams)
        if self._own_versions() != before:
            self._announce()
            return True
        if asked_for_snapshot or not self._state.needs_snapshot:
            return False
        log.warning("What router {} says has changed does not fit; the whole is asked.", peer.name)
        return True

    def _own_versions(self) -> Versions:
        """Return the versions held here."""
        state = self._state
        return Versions(
            state.fleet.version, state.upstreams.version, state.halls.evacuations.version
        )

    def _peers_to_pull_from(self) -> list[Member]:
        """Return the peers that hold the newest, those of this hall alone where there are any.

        A peer that was cut off since holds an older version, and costs a call's time-out (2 s)
        to find out; where three in ten are cut off, a router that asked whoever is ahead at all
        was behind by that long again and again.
        """
        names = set(self._state.gossip.ahead())
        if not names:
            return []
        ahead = [member for member in self._state.members() if member.name in names]
        newest = self._with_newest_version(ahead)
        near = [member for member in newest if member.hall == self._state.hall]
        return near or newest

    def _with_newest_version(self, ahead: list[Member]) -> list[Member]:
        """Return those with the newest of what matters most of what is newer than here.

        A router that sends to an evacuated hall does harm; one that lacks an upstream does not.
        """
        held = self._state.gossip.versions()
        own = self._own_versions()
        for version_of in (_CONFIGURATION, _EVACUATIONS, _UPSTREAMS):
            best = max((version_of(held[member.name]) for member in ahead), default=0)
            if best > version_of(own):
                return [each for each in ahead if version_of(held[each.name]) == best]
        return []

    def _log_if_rejected(self, problem: Rejected | Gap | None) -> None:
        if isinstance(problem, Rejected):
            log.error("Change {} is void: {}.", self._state.fleet.version, problem)
