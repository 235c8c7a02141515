"""Keeps the platform's object of software versions, which outlives all routers at once.

A router reads the object at its start, whenever it has to know that no version has appeared that
it has not heard of, and every few seconds while several versions are listed. It writes only when a
version appears that the object lacks, or when nobody resumes the streams of one any more. The
router that ranks first for the object writes at once, the others only if the object still lacks
something a moment later. When the fleet runs for the first time of all, one router knows that: it
also writes at once.

A list may be an old one, so a version is left out in two steps: a router that needs it no more
marks it, after the platform listed no engine of it, and one that has it listed takes the mark away.
What is still marked some seconds later is left out. No stream begins at a version that is marked.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from pondhatch.kernel import Backoff, Tasks
from pondhatch.observing import log_for
from pondhatch.placement import UNREGISTERED_SECONDS, winner
from pondhatch.router._state import RouterState
from pondhatch.router.streams._fresh_reads import FreshReads
from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.router.streams._version_object import VersionObject
from pondhatch.store import (
    VERSIONS_NAME,
    Accepted,
    Conflict,
    Platform,
    Position,
    StoredVersions,
)

log = log_for("streams")

#: Seconds between retries at the platform, at first and at most.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
#: Least and most seconds after which a router that does not rank first writes what the object
#: still lacks.
SECOND_WRITER_SECONDS = (0.4, 1.2)
#: Seconds between two looks for versions that nobody needs any more.
EXPIRY_CHECK_SECONDS = 1.0
#: Seconds between two reads while several versions are listed.
READ_AGAIN_SECONDS = 4.0
#: Seconds between the begins of two reads that confirm what this router knows.
CONFIRM_INTERVAL = 0.02
#: Times that this router tries again at once because others write too.
MAX_CONFLICTS = 4
#: Seconds between two looks at whether the platform knows of a version.
POLL_SECONDS = 0.01


class VersionStore:
    """Reads and writes the platform's object of software versions for one router."""

    def __init__(
        self,
        state: RouterState,
        versions: ServiceVersions,
        platform: Platform,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._versions = versions
        self._rng = rng
        self._backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
        self._tasks = Tasks()
        self._object = VersionObject(state, versions, platform)
        self._confirmations = FreshReads(
            state.clock, self._tasks, self._object.confirm, CONFIRM_INTERVAL
        )
        #: The latest read, and write if one was due.
        self._call: asyncio.Task[None] | None = None
        #: When that began, in the clock's seconds.
        self._called_at = float("-inf")
        #: When the platform may be called next, in the clock's seconds.
        self._next_call_at = float("-inf")
        #: When this router writes what the object lacks, in the clock's seconds; None if it lacks
        #: nothing.
        self._writes_at: float | None = None
        self._checked_upstreams: Position = -1
        self._next_check_at = float("-inf")

    @property
    def is_read(self) -> bool:
        """Whether this router knows what the object holds."""
        return self._object.stored is not None

    @property
    def is_incomplete(self) -> bool:
        """Whether the object, as last read, may lack versions that began streams."""
        stored = self._object.stored
        return stored is not None and not stored.is_complete

    @property
    def is_platform_away(self) -> bool:
        """Whether the platform failed to reply to the latest read."""
        return self._object.is_platform_away

    @property
    def has_tried(self) -> bool:
        """Whether the platform has replied to this router's first read, or failed to."""
        return self.is_read or self._next_call_at > float("-inf")

    @property
    def _is_calling(self) -> bool:
        return self._call is not None and not self._call.done()

    def registered(self, service: str) -> frozenset[str]:
        """Return the versions of a service, listed now or lately, that the object is known to name.

        One that came to be listed since the object was read may have been left out of it.
        """
        if self._object.stored is None:
            return frozenset()
        named = set(self._object.stored.versions_by_service.get(service, ()))
        marked = self._object.stored.retiring_by_service.get(service, ())
        return frozenset(
            each
            for each in self._versions.seen(service) & named.difference(marked)
            if self._versions.listed_at(service, each) <= self._object.read_at
        )

    def unregistered(self, service: str) -> frozenset[str]:
        """Return the versions at which no stream is to begin yet.

        Engines whose entries have vanished may take requests for a moment.
        """
        registered = self.registered(service)
        is_open = bool(registered & self._versions.listed(service))
        if not is_open and self.may_begin_unregistered(service):
            return frozenset()
        return self._versions.seen(service) - registered

    def may_begin_unregistered(self, service: str) -> bool:
        """Return whether streams begin at unregistered versions where no other one has engines.

        That is so if the platform has been away for as long as that takes, and was told by others
        meanwhile, if anybody reaches it.
        """
        if self._object.away_since is None:
            return False
        listed = self._versions.listed(service)
        listed_at = (self._versions.listed_at(service, each) for each in listed)
        since = max(listed_at, default=self._object.away_since)
        return self._state.clock() - max(since, self._object.away_since) > UNREGISTERED_SECONDS

    def tick(self) -> None:
        """Start the call to the platform that is due, if one is."""
        now = self._state.clock()
        if self._is_calling or not self._may_call():
            return
        self._object.follow_era()
        if self._must_read(now) or self._must_write(now):
            self._start_call()

    async def confirmed(self, max_wait: float) -> StoredVersions | None:
        """Return what the platform replies to a question that begins now, if it does in time.

        Whatever streams began before this call, they began at a version that the reply names. None
        if it may lack one.
        """
        return await self._confirmations.read(max_wait)

    async def await_registered(
        self, service: str, live_versions: Callable[[], frozenset[str]], max_wait: float
    ) -> bool:
        """Have the platform told of the live versions, and wait until it knows one of them.

        Return whether that took time.
        """
        if self._versions.listed(service) <= self.registered(service):
            return False
        live = live_versions()
        if not live or live & self.registered(service) or self.may_begin_unregistered(service):
            return False
        until = self._state.clock() + max_wait
        while not live & self.registered(service) and self._state.clock() < until:
            if not self._is_calling:
                if not self._may_call():
                    return True  # The latest call failed; the next one has to wait.
                self._writes_at = self._state.clock()
                self._start_call()
            await asyncio.sleep(POLL_SECONDS)
        return True

    def stop(self) -> None:
        """Cancel the calls that are under way."""
        self._tasks.cancel_all()

    def _may_call(self) -> bool:
        """Return whether no pause is due after a call that failed.

        None is once a version came to be listed since: then the platform has replied to somebody.
        """
        return self._state.clock() >= self._next_call_at or any(
            self._versions.listed_at(service, each) > self._called_at
            for service in self._versions.services()
            for each in self._versions.listed(service)
        )

    def _start_call(self) -> None:
        self._called_at = self._state.clock()
        self._call = self._tasks.start(self._read_and_write())

    def _must_read(self, now: float) -> bool:
        """Return whether this router may lack something that the object holds."""
        if self._object.stored is None or self._object.is_platform_away:
            return True
        for service in self._versions.services():
            listed = self._versions.listed(service)
            if any(
                self._versions.listed_at(service, each) > self._object.read_at for each in listed
            ):
                return True
            if len(listed) > 1 and now - self._object.read_at > READ_AGAIN_SECONDS:
                return True
        return False

    def _must_write(self, now: float) -> bool:
        """Return whether this router is to write what the object lacks now."""
        upstreams = self._state.upstreams.version
        if upstreams != self._checked_upstreams or now >= self._next_check_at:
            self._checked_upstreams = upstreams
            self._next_check_at = now + EXPIRY_CHECK_SECONDS
            self._plan_write(now)
        return self._writes_at is not None and now >= self._writes_at

    def _plan_write(self, now: float) -> None:
        stored = self._object.stored
        if stored is None or self._object.wanted(stored) == stored:
            self._writes_at = None
        elif self._writes_at is None:
            self._writes_at = now + self._write_delay()

    def _write_delay(self) -> float:
        names = [each.name for each in self._state.members()]
        if winner(VERSIONS_NAME, names) == self._state.name or self._completes_object():
            return 0.0
        return self._rng.uniform(*SECOND_WRITER_SECONDS)

    def _completes_object(self) -> bool:
        """Return whether this router alone knows that nothing served before the object's versions.

        It writes that at once: until then, streams that are taken up without a record are refused.
        """
        return self.is_incomplete and self._versions.is_first_start

    async def _read_and_write(self) -> None:
        """Read the object, and write what it lacks if that is due.

        Where another router has written it meanwhile, do so again at once.
        """
        for _ in range(MAX_CONFLICTS):
            if await self._object.read() is None:
                break
            is_due = self._writes_at is not None or self._completes_object()
            self._writes_at = None
            written = await self._object.write() if is_due else None
            if written is None or isinstance(written, Accepted):
                self._backoff.reset()
                return
            self._writes_at = self._state.clock()
            if not isinstance(written, Conflict):
                break
        self._next_call_at = self._state.clock() + self._backoff.next()
