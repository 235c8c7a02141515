"""Pulls from peers what they hold and this router lacks."""

from __future__ import annotations

import asyncio
import operator
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from pondhatch.configuration import Rejected, Update, VersionGap
from pondhatch.kernel import Tasks
from pondhatch.membership import Member
from pondhatch.observing import log_for
from pondhatch.router._state import RouterState
from pondhatch.store import EvacuationUpdate, UpstreamUpdate

log = log_for("sync")

#: Seconds from which a pull is logged as slow: a sixth of the time within which a change is to be
#: in force everywhere.
SLOW_PULL_SECONDS = 0.5
#: Seconds after which a pull that is pending is hedged by a pull from another peer. A peer takes
#: 0.1 s for a change and up to 0.6 s for a large configuration on a narrow link. Two silent peers
#: in a row thus cost 1.4 s of the 2 s in which a change is to be in force in small fleets, and not
#: the 4 s of two call timeouts. With a shorter delay the whole fleet would pull large
#: configurations twice.
PULL_HEDGE_SECONDS = 0.7
#: Milliseconds by which a peer must have started earlier than this router for its join times to
#: be pulled. VMs that start together differ by less, clock skew included. An upstream counts as
#: young for minutes, so few of the young upstreams joined within this difference.
MIN_AGE_DIFFERENCE_MS = 10_000
#: Maximum number of concurrent pulls: each may keep an answer waiting in memory.
MAX_CONCURRENT_PULLS = 3

#: Number of peers that a router asks for what it missed: one may have stood still as well.
PEERS_TO_CATCH_UP = 2


class PulledState(Protocol):
    """A peer's reply to a pull: what it holds beyond the versions of the router that asked."""

    @property
    def configuration(self) -> Update:
        """The update of the configuration."""

    @property
    def upstreams(self) -> UpstreamUpdate:
        """The update of the list of upstreams."""

    @property
    def evacuations(self) -> EvacuationUpdate | None:
        """The evacuations that the peer knows; None where it knows nothing of them."""


_CONFIGURATION = operator.attrgetter("configuration")
_EVACUATIONS = operator.attrgetter("evacuations")
_UPSTREAMS = operator.attrgetter("upstreams")

#: Pulls what a peer holds beyond two versions, of the configuration and of the list of upstreams;
#: returns None if the peer is unreachable.
Pull = Callable[[Member, int, int], Awaitable[PulledState | None]]


class PeerPulls:
    """Pulls from peers, one after the other or side by side, and applies what they reply."""

    def __init__(
        self,
        state: RouterState,
        pull: Pull,
        announce: Callable[[], None],
        rng: random.Random,
        tasks: Tasks,
    ) -> None:
        self._state = state
        self._pull = pull
        #: Announces to some peers at once that this router has something new.
        self._announce = announce
        self._rng = rng
        self._tasks = tasks
        #: Names of the peers whose reply to a pull is pending.
        self._pending_peers: set[str] = set()

    async def pull_recent_joins(self) -> None:
        """Pull the whole list of upstreams from a peer that has run longer, for its join times.

        Where all routers start at the same time, as after a power cut, none knows join times and
        none is asked.
        """
        others = self._state.other_members()
        own_start = self._state.gossip.membership.own_record.incarnation
        older_peers = [
            each for each in others if own_start - each.incarnation > MIN_AGE_DIFFERENCE_MS
        ]
        if not older_peers:
            return
        same_hall = [member for member in older_peers if member.hall == self._state.hall]
        pulled = await self._pull(
            self._rng.choice(same_hall or older_peers), self._state.configuration.version, 0
        )
        if pulled is not None:
            self._state.apply_evacuations(pulled.evacuations)
            self._state.apply_upstreams(pulled.upstreams)

    async def run(self, ahead: list[Member]) -> bool:
        """Pull from one of the peers, and from another each time that the last is slow or fails.

        Return whether that brought anything new. Slow pulls stay pending, and their peers are not
        asked again meanwhile.
        """
        not_pending = [peer for peer in ahead if peer.name not in self._pending_peers]
        limit = min(MAX_CONCURRENT_PULLS - len(self._pending_peers), len(not_pending))
        pulls: set[asyncio.Task[bool]] = set()
        for peer in self._rng.sample(not_pending, limit):
            pulls.add(self._tasks.start(self._pull_from_peer(peer)))
            done, pulls = await asyncio.wait(
                pulls, timeout=PULL_HEDGE_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
            if any(pull.result() for pull in done):
                return True
        # Replies that are still pending are applied when they arrive; other peers may be ahead
        # by now.
        return False

    async def run_from_any(self) -> None:
        """Pull from two peers side by side until one has replied; from none if there is none.

        What is known of the peers' versions may be old.
        """
        others = [member for member in self._state.members() if member.name != self._state.name]
        pulls = [
            self._tasks.start(self._pull_whatever(peer))
            for peer in self._rng.sample(others, min(PEERS_TO_CATCH_UP, len(others)))
        ]
        while pulls:
            done, rest = await asyncio.wait(pulls, return_when=asyncio.FIRST_COMPLETED)
            if any(pull.result() for pull in done):
                return
            pulls = list(rest)

    async def _pull_whatever(self, peer: Member) -> bool:
        """Pull from a peer and apply its reply; return whether it replied."""
        state = self._state
        pulled = await self._pull(peer, state.configuration.version, state.upstreams.version)
        if pulled is not None:
            self._apply_pulled(peer, pulled)
        return pulled is not None

    async def _pull_from_peer(self, peer: Member) -> bool:
        """Pull from one peer and apply its reply; return whether that brought anything new."""
        started_at = self._state.clock()
        self._pending_peers.add(peer.name)
        try:
            state = self._state
            pulled = await self._pull(peer, state.configuration.version, state.upstreams.version)
        finally:
            self._pending_peers.discard(peer.name)
        seconds = self._state.clock() - started_at
        if pulled is None:
            log.warning(
                "The pull from router {}, which is ahead, failed after {:.2f} s.",
                peer.name,
                seconds,
            )
            return False
        if seconds > SLOW_PULL_SECONDS:
            log.info("Router {}, which is ahead, took {:.2f} s to answer.", peer.name, seconds)
        return self._apply_pulled(peer, pulled)

    def _apply_pulled(self, peer: Member, pulled: PulledState) -> bool:
        # Read after the reply: a watch or another peer may have brought something meanwhile.
        before = self._state.held_versions()
        asked_for_snapshot = self._state.needs_snapshot
        problem = self._state.apply_update(pulled.configuration, peer.name)
        log_if_rejected(problem, self._state.configuration.version)
        # Applied before the upstreams, since evacuations say which of them get no requests.
        self._state.apply_evacuations(pulled.evacuations)
        self._state.apply_upstreams(pulled.upstreams)
        if self._state.held_versions() != before:
            self._announce()
            return True
        if asked_for_snapshot or not self._state.needs_snapshot:
            return False
        log.warning("The difference of router {} does not apply; pulling a snapshot.", peer.name)
        return True


def newest_peers(state: RouterState) -> list[Member]:
    """Return the peers that hold the newest version, of this hall alone where there are any.

    A peer that was cut off may hold a version that is newer than this router's but not the
    newest, and a pull from it costs a call's timeout (2 s). Where 30% of the routers are cut
    off, a router that pulled from any peer that is ahead would fall behind by that long
    repeatedly.
    """
    names = set(state.gossip.routers_ahead())
    if not names:
        return []
    ahead = [member for member in state.members() if member.name in names]
    newest = _with_newest_version(state, ahead)
    same_hall = [member for member in newest if member.hall == state.hall]
    return same_hall or newest


def _with_newest_version(state: RouterState, ahead: list[Member]) -> list[Member]:
    """Return the peers with the newest configuration, else evacuations, else upstreams.

    The first of these in which any peer is ahead of this router decides. Evacuations come
    before upstreams, as requests sent to an evacuated hall do harm, while a missing upstream
    does not.
    """
    held = state.gossip.versions()
    own = state.held_versions()
    for version_of in (_CONFIGURATION, _EVACUATIONS, _UPSTREAMS):
        best = max((version_of(held[member.name]) for member in ahead), default=0)
        if best > version_of(own):
            return [each for each in ahead if version_of(held[each.name]) == best]
    return []


def log_if_rejected(problem: Rejected | VersionGap | None, version: int) -> None:
    """Log a rejected change, given the version in force now."""
    if isinstance(problem, Rejected):
        log.error("Change {} was rejected and has no effect: {}.", version, problem)
