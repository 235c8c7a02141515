"""Writes the records of streams to the platform, where they outlive all routers at once.

Routers write only while several software versions may have begun streams of a service, in batches:
the platform bears some hundreds of writes a second from the whole fleet. What began right before
its router is killed may therefore be missing. Such a stream is refused, never taken for another.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from pondhatch.kernel import Backoff, Tasks
from pondhatch.observing import log_for
from pondhatch.requests import KEY_BYTES
from pondhatch.router._state import RouterState
from pondhatch.store import (
    MAX_SEGMENT_RECORDS,
    MAX_SEGMENTS,
    SEGMENT_KIND,
    Accepted,
    Conflict,
    Found,
    OutcomeUnknown,
    Platform,
    Segment,
    SegmentRing,
    Unavailable,
    read_segment,
)

log = log_for("streams")

#: Writes a second by the whole fleet: a quarter of what the platform accepts.
FLEET_WRITES_PER_SECOND = 100.0
#: Least seconds from a record to its write, and between two writes of a router: what began within
#: them is lost when it is killed.
MIN_WRITE_SECONDS = 0.05
#: Seconds between retries at the platform, at first and at most.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
#: Records that wait to be written while the platform is away, the oldest of which are dropped.
MAX_UNWRITTEN = MAX_SEGMENTS * MAX_SEGMENT_RECORDS
#: Seconds for which what was read last is taken for new enough. One read serves every stream that
#: is taken up meanwhile.
READ_AGAIN_SECONDS = 1.0

#: Records that one router holds of those that it read, some forty megabytes. The rest is refused as
#: unknown.
MAX_READ_RECORDS = 400_000
#: Segments that are taken over before others get their turn: some milliseconds.
SEGMENTS_PER_TURN = 32


class OriginArchive:
    """One router's part of the records that the platform holds."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        rng: random.Random,
        lasts: Callable[[], float],
    ) -> None:
        self._state = state
        self._platform = platform
        #: Returns the longest time in seconds for which a record may be needed.
        self._lasts = lasts
        #: What was read last.
        self._version_by_read_key: dict[bytes, str] = {}
        self._ring = SegmentRing(state.name)
        self._version_by_unwritten_key: dict[bytes, str] = {}
        self._backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
        self._tasks = Tasks()
        self._is_writing = False
        self._next_write_at = float("-inf")
        #: Starts the next write between two rounds.
        self._timer = asyncio.get_running_loop().call_later(0.0, self.write_if_due)
        #: When what was read last was asked for, in the clock's seconds.
        self._read_at = float("-inf")
        self._reading: asyncio.Task[None] | None = None

    @property
    def has_read(self) -> bool:
        """Whether this router knows what the routers before it wrote."""
        return self._read_at > float("-inf")

    def has_read_since(self, time: float) -> bool:
        """Return whether this router knows what routers had written at a time."""
        return self._read_at >= time

    def version(self, key: bytes) -> str | None:
        """Return the version in a record that was read, None without one."""
        return self._version_by_read_key.get(key)

    def drop_expired(self) -> None:
        """Drop what was read once nobody needs it any more."""
        if self._state.clock() - self._read_at > self._lasts():
            self._version_by_read_key = {}

    def add(self, keys: Iterable[bytes], software_version: str) -> None:
        """Have records written soon."""
        if not self._version_by_unwritten_key:
            self._schedule_write(MIN_WRITE_SECONDS)
        unwritten = self._version_by_unwritten_key
        unwritten.update(dict.fromkeys(keys, software_version))
        while len(unwritten) > MAX_UNWRITTEN:
            del unwritten[next(iter(unwritten))]

    def write_if_due(self) -> None:
        """Start the write that is due, if one is; called each round, and soon after a record."""
        now = self._state.clock()
        if self._version_by_unwritten_key and not self._is_writing and now >= self._next_write_at:
            self._is_writing = True
            self._tasks.start(self._write())

    def stop(self) -> None:
        """Cancel the calls that are under way or due."""
        self._timer.cancel()
        self._tasks.cancel_all()

    def _schedule_write(self, seconds: float) -> None:
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.write_if_due)

    async def read(self, max_wait: float | None = None) -> bool:
        """Read what all routers wrote, unless it was read just now; return whether that is known.

        Whoever calls meanwhile waits for the same answer, for ``max_wait`` seconds at most.
        """
        if self._state.clock() - self._read_at < READ_AGAIN_SECONDS:
            return True
        if self._reading is None or self._reading.done():
            self._reading = self._tasks.start(self._read())
        await asyncio.wait([self._reading], timeout=max_wait)
        return self._state.clock() - self._read_at < READ_AGAIN_SECONDS

    async def _read(self) -> None:
        asked_at = self._state.clock()
        listed = await self._platform.list(SEGMENT_KIND)
        if isinstance(listed, Unavailable):
            log.warning("Reading the records of streams failed: {}.", listed.reason)
            return
        is_first = not self.has_read
        expires_at = self._state.clock() + self._lasts()
        version_by_key: dict[bytes, str] = {}
        for index, each in enumerate(listed.objects, 1):
            if is_first:
                self._ring.add_written(each.name, each.version, expires_at)
            if len(version_by_key) < MAX_READ_RECORDS:
                version_by_key.update(read_segment(each.value, KEY_BYTES))
            if index % SEGMENTS_PER_TURN == 0:
                await asyncio.sleep(0)
        self._version_by_read_key = version_by_key
        self._read_at = asked_at

    async def _write(self) -> None:
        """Write what waits, one segment after the other."""
        pause = 0.0
        try:
            # Segments of this router's earlier process must not be overwritten.
            is_read = self.has_read or await self.read()
            if is_read and await self._write_segment():
                self._backoff.reset()
            else:
                pause = self._backoff.next()
        finally:
            self._is_writing = False
            self._next_write_at = self._state.clock() + max(pause, self._write_interval())
            if self._version_by_unwritten_key and pause == 0.0:
                self._schedule_write(self._write_interval())

    def _write_interval(self) -> float:
        return max(MIN_WRITE_SECONDS, len(self._state.members()) / FLEET_WRITES_PER_SECOND)

    async def _write_segment(self) -> bool:
        """Write as many records as fit into segments; return whether all went well."""
        while self._version_by_unwritten_key:
            segment = self._ring.segment_for_writing(self._state.clock())
            unwritten = list(self._version_by_unwritten_key.items())
            added = dict(unwritten[: segment.room])
            segment.version_by_key |= added
            segment.expires_at = self._state.clock() + self._lasts()
            if not await self._put(segment):
                for key in added:
                    del segment.version_by_key[key]
                return False
            for key in added:
                self._version_by_unwritten_key.pop(key, None)
        return True

    async def _put(self, segment: Segment) -> bool:
        """Write a segment; return whether the platform has accepted it."""
        value = segment.as_value()
        if segment.position is None:
            written = await self._platform.create(SEGMENT_KIND, segment.name, value)
        else:
            written = await self._platform.update(
                SEGMENT_KIND, segment.name, value, segment.position
            )
        if isinstance(written, Accepted):
            segment.position = written.version
            return True
        if isinstance(written, Conflict | OutcomeUnknown):
            # The answer to an earlier write was lost, or the platform came back from an older copy.
            found = await self._platform.get(SEGMENT_KIND, segment.name)
            if not isinstance(found, Unavailable):
                segment.position = found.object.version if isinstance(found, Found) else None
        log.info("Writing records of streams failed: {}.", written)
        return False
