"""Asks the platform whether anything has changed, and passes the answer on to other routers.

One small call tells the platform's position. If that is the known one, nothing has changed, or else
the changes since are read. ``Freshness`` tells when a router has to ask; while all is well, one of
the whole fleet does.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from pondhatch.configuration import ConfigurationEvent, ConfigurationSource
from pondhatch.kernel import Backoff
from pondhatch.membership import Confirmation, Datagram, TreeLevel, short_id
from pondhatch.observing import log_for
from pondhatch.router._state import RouterState
from pondhatch.store import Listed, Platform, Position, Unavailable

log = log_for("sync")

#: Kind of the platform's objects that each list one upstream.
UPSTREAM_KIND = "upstream"
#: Kind of the platform's objects that each order the evacuation of the data hall they name.
EVACUATION_KIND = "evacuation"
#: Seconds after its start in which a router relies on what it reads then, as the first
#: confirmation may take as long to reach it.
FIRST_CHECK_SECONDS = 0.8
#: Timeout in seconds of the call that tells the position, at first and at most. The call is small,
#: and a connection that has fallen silent must not use up the time within which a change has to be
#: in force. After a timeout the next call gets twice as long: the platform may be slow.
INITIAL_POSITION_TIMEOUT = 0.5
MAX_POSITION_TIMEOUT = 2.0
#: Seconds before a failed check is repeated, at first and at most. Where the platform is away, each
#: router asks at this interval, so hundreds make hundreds of small calls a second.
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
#: Seconds by which a check may begin early: a timer may fire just before its time.
TIMER_SLACK_SECONDS = 0.001
#: Maximum number of calls that read the changes of one kind, if the platform returns them in parts.
MAX_PARTS = 5


class PlatformChecks:
    """Keeps a router's knowledge of the platform fresh, whoever else reads it or not."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        source: ConfigurationSource,
        apply_configuration: Callable[[ConfigurationEvent], None],
        announce: Callable[[], None],
        send: Callable[[Iterable[Datagram]], None],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._platform = platform
        self._source = source
        self._apply_configuration = apply_configuration
        #: Announces to some peers at once that this router has something new.
        self._announce = announce
        self._send = send
        self._rng = rng
        self._position_timeout = INITIAL_POSITION_TIMEOUT
        #: Whether the last confirmation was this router's own, so that others fell silent.
        self._is_asking = False
        state.gossip.on_confirmation = self._receive

    async def run(self) -> None:
        """Ask the platform whenever no confirmation came for too long, until cancelled."""
        await asyncio.sleep(FIRST_CHECK_SECONDS)
        backoff = Backoff(INITIAL_RETRY_SECONDS, MAX_RETRY_SECONDS, self._rng)
        while True:
            seconds = self._seconds_until_due()
            if seconds > TIMER_SLACK_SECONDS:
                await asyncio.sleep(seconds)
            elif await self._check_or_log():
                backoff.reset()
            else:
                await asyncio.sleep(backoff.next())

    def tick(self) -> None:
        """Run the periodic work of one round."""
        state, now = self._state, self._state.clock()
        state.freshness.note_round(now)
        if state.freshness.use_pending(state.held_versions(), now):
            self._note_heard()
            self._pass_on(is_own=False)

    def _receive(self, confirmation: Confirmation) -> list[Datagram]:
        """Handle another router's confirmation; return the packets that pass it on."""
        state = self._state
        if not state.freshness.hear(confirmation, state.held_versions(), state.clock()):
            return []
        self._note_heard()
        return self._confirmations(is_own=False)

    def _note_heard(self) -> None:
        """Note that another router asks the platform, so that this one need not."""
        self._is_asking = False
        if not self._state.is_watcher():
            # Only who reads the platform learns that a rejected configuration was replaced.
            self._state.rejected = None

    def _seconds_until_due(self) -> float:
        now = self._state.clock()
        return self._state.freshness.seconds_until_due(self._state.gossip.tree_level(now), now)

    async def _check_or_log(self) -> bool:
        """Check like ``_check``, which has to go on whatever the platform returned."""
        try:
            return await self._check()
        except Exception:
            log.exception("A check of the platform failed with an error of this router.")
            return False

    async def _check(self) -> bool:
        """Read what has changed at the platform; return whether this router holds all of it now."""
        asked_at = self._state.clock()
        self._log_silence(asked_at)
        try:
            async with asyncio.timeout(self._position_timeout):
                listed = await self._platform.list(EVACUATION_KIND)
        except TimeoutError:
            self._position_timeout = min(MAX_POSITION_TIMEOUT, 2 * self._position_timeout)
            return False
        if isinstance(listed, Unavailable):
            return False
        self._position_timeout = INITIAL_POSITION_TIMEOUT
        if self._state.apply_listed_evacuations(listed):
            self._announce()
        if not await self._read_changes(listed.version):
            return False
        self._state.freshness.record_check(listed.version, asked_at)
        self._pass_on(is_own=True)
        return True

    def _log_silence(self, now: float) -> None:
        """Log once that no confirmation comes from other routers any more."""
        if self._is_asking:
            return
        self._is_asking = True
        if self._state.gossip.tree_level(now) != TreeLevel.FLEET_TOP:
            log.info(
                "No router has confirmed for {:.2f} s that nothing changed; asking the platform.",
                self._state.freshness.age(now),
            )

    async def _read_changes(self, until: Position) -> bool:
        """Read all upstreams' and the configuration's changes; return whether that succeeded."""
        since = self._state.freshness.position
        if since == until:
            return True
        return await self._read_upstreams(since, until) and await self._read_configuration(since)

    async def _read_upstreams(self, since: Position, until: Position) -> bool:
        state = self._state
        for _ in range(MAX_PARTS):
            read = await self._platform.changes(UPSTREAM_KIND, since)
            if isinstance(read, Unavailable):
                return False
            if isinstance(read, Listed):
                if state.apply_listed_upstreams(read):
                    self._announce()
                return True
            applied = [state.apply_upstream_event(event) for event in read.events]
            if any(applied):
                self._announce()
            if read.version >= until:
                return True
            since = read.version
        return False

    async def _read_configuration(self, since: Position) -> bool:
        read = await self._source.read_newer(self._state.configuration, since)
        if isinstance(read, Unavailable):
            return False
        if read is not None:
            self._apply_configuration(read)
        return True

    def _pass_on(self, is_own: bool) -> None:
        self._send(self._confirmations(is_own))

    def _confirmations(self, is_own: bool) -> list[Datagram]:
        """Return the packets that tell the routers below that what they hold is the newest."""
        state, now = self._state, self._state.clock()
        confirmation = Confirmation(
            short_id(state.name),
            state.held_versions(),
            state.freshness.position,
            round(1000 * state.freshness.age(now)),
        )
        return state.gossip.confirmations(confirmation, now, is_own)
