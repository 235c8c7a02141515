"""Writes the records of streams to the platform, where they outlive all routers at once.

Routers write only while several software versions may have begun streams of a service, in batches:
the platform bears some hundreds of writes a second from the whole fleet. What began right before
its router is killed may therefore be missing. Such a stream is refused, never taken for another.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Set
from typing import Any

from pondhatch.kernel import Backoff, Tasks
from pondhatch.observing import log_for
from pondhatch.requests import KEY_BYTES
from pondhatch.router._state import RouterState
from pondhatch.router.streams._fresh_reads import FreshReads
from pondhatch.router.streams._sent_requests import SentRequests
from pondhatch.store import (
    MAX_SEGMENT_RECORDS,
    MAX_SEGMENTS,
    SEGMENT_KIND,
    Accepted,
    ArchivedRecord,
    Conflict,
    Found,
    OutcomeUnknown,
    Platform,
    ReadRecords,
    Segment,
    SegmentRing,
    Unavailable,
    read_segment,
)

log = log_for("streams")

#: What the platform replies to a write.
Written = Accepted | Conflict | OutcomeUnknown | Unavailable

#: Writes a second by the whole fleet: half of what the platform accepts.
FLEET_WRITES_PER_SECOND = 200.0
#: The least and the most of the mean interval between two writes.
INTERVAL_RANGE = (0.7, 1.3)
#: Seconds for which a request waits until it is written down that it goes to another version.
MAX_HOLD_SECONDS = 0.2
#: Seconds between two looks at whether that is written.
POLL_SECONDS = 0.005
#: Seconds between retries at the platform, at first and at most.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
#: Records that wait to be written while the platform is away, the oldest of which are dropped.
MAX_UNWRITTEN = MAX_SEGMENTS * MAX_SEGMENT_RECORDS
#: Seconds between the begins of two reads, each of which serves all streams that were taken up
#: before it began.
READ_INTERVAL = 0.02
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
        self._read = ReadRecords()
        self._ring = SegmentRing(state.name)
        #: Records that are not written yet, the oldest first.
        self._unwritten: dict[ArchivedRecord, None] = {}
        #: Those of them that the platform may hold already: they are being written, or the outcome
        #: of an earlier write is unknown.
        self._perhaps_written: frozenset[ArchivedRecord] = frozenset()
        #: Where the requests that wait or run here were sent.
        self._sent = SentRequests()
        #: Streams of which a second version may yet be written.
        self._doubtful_keys: dict[bytes, None] = {}
        self._rng = rng
        self._backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
        self._tasks = Tasks()
        self._is_writing = False
        self._next_write_at = float("-inf")
        #: Starts the next write between two rounds.
        self._timer = asyncio.get_running_loop().call_later(0.0, self.write_if_due)
        #: When what was read last was asked for, in the clock's seconds.
        self._read_at = float("-inf")
        self._reads: FreshReads[bool] = FreshReads(
            state.clock, self._tasks, self._read_all, READ_INTERVAL
        )

    def has_written_since(self, software_version: str, time: float) -> bool:
        """Return whether this process has written a record of a version since a time."""
        return self._ring.written_at(software_version) >= time

    def routers_at(self, versions: Set[str]) -> frozenset[str]:
        """Return the routers whose records, as read last, name one of some versions."""
        return self._read.routers_at(versions)

    @property
    def has_read(self) -> bool:
        """Whether this router knows what the routers before it wrote."""
        return self._read_at > float("-inf")

    def has_read_since(self, time: float) -> bool:
        """Return whether this router knows what routers had written at a time."""
        return self._read_at >= time

    def begun_version(self, key: bytes) -> str | None:
        """Return the version at which a stream began by a record that was read; None without one.

        Such a record never becomes wrong.
        """
        return self._read.begun_version(key)

    def version(self, key: bytes, taken_up_at: float) -> str | None:
        """Return the version of a stream that was taken up at a time, None if that is not known.

        Where its request was sent tells only if it was read after the stream broke off: what was
        read before may lack that it was sent to another version later.
        """
        if self.has_read_since(taken_up_at):
            return self._read.version(key)
        return self._read.begun_version(key)

    def drop_expired(self) -> None:
        """Drop what was read once nobody needs it any more."""
        if self._state.clock() - self._read_at > self._lasts():
            self._read = ReadRecords()

    def add(self, keys: Iterable[bytes], software_version: str) -> None:
        """Have it written soon that streams began, where that does not follow from their sends."""
        for key in keys:
            is_doubtful = key in self._doubtful_keys
            if is_doubtful or self._sent.version(key) != software_version:
                self._add(ArchivedRecord(key, software_version, is_begun=True))

    async def add_sent(self, key: bytes, software_version: str) -> bool:
        """Have it written that a request is about to be sent; return whether it may be sent.

        If the platform may hold that it was sent to another version, it has to hold this one too
        before the request is sent: until then, others would take the stream for one of the other.
        """
        sent = self._sent
        record = ArchivedRecord(key, software_version, is_begun=False)
        if key not in sent:
            sent.add(key, software_version, self._state.clock(), self._lasts())
            self._add(record)
            return True
        first_version = sent.version(key)
        if first_version is None or first_version == software_version:
            return True
        first = ArchivedRecord(key, first_version, is_begun=False)
        if first in self._unwritten and first not in self._perhaps_written:
            # The platform holds nothing yet; only the record of the begin will tell.
            del self._unwritten[first]
            sent.note_several(key)
            return True
        self._doubtful_keys[key] = None
        _keep_newest(self._doubtful_keys)
        self._add(record)
        if not await self._is_written_soon(record):
            return False
        sent.note_several(key)
        return True

    async def _is_written_soon(self, record: ArchivedRecord) -> bool:
        until = self._state.clock() + MAX_HOLD_SECONDS
        while record in self._unwritten and self._state.clock() < until:
            await asyncio.sleep(POLL_SECONDS)
        # Where too many wait, those that are dropped are not written.
        return record not in self._unwritten and len(self._unwritten) < MAX_UNWRITTEN

    def _add(self, record: ArchivedRecord) -> None:
        self._unwritten[record] = None
        _keep_newest(self._unwritten)
        if not self._is_writing:
            self._schedule_write(max(0.0, self._next_write_at - self._state.clock()))

    def write_if_due(self) -> None:
        """Start the write that is due, if one is; called each round, and soon after a record."""
        now = self._state.clock()
        if self._unwritten and not self._is_writing and now >= self._next_write_at:
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
        """Read what all routers wrote, from now on; return whether that is known.

        Who calls at about the same time shares the answer, and waits ``max_wait`` seconds at most.
        """
        return bool(await self._reads.read(max_wait))

    async def _read_all(self) -> bool:
        asked_at = self._state.clock()
        listed = await self._platform.list(SEGMENT_KIND)
        if isinstance(listed, Unavailable):
            log.warning("Reading the records of streams failed: {}.", listed.reason)
            return False
        is_first = not self.has_read
        expires_at = self._state.clock() + self._lasts()
        read = ReadRecords()
        for index, each in enumerate(listed.objects, 1):
            if is_first:
                self._ring.add_written(each.name, each.version, expires_at)
            read.add(read_segment(each.value, KEY_BYTES), each.name)
            if index % SEGMENTS_PER_TURN == 0:
                await asyncio.sleep(0)
        if asked_at >= self._read_at:
            self._read, self._read_at = read, asked_at
        return True

    async def _write(self) -> None:
        """Write some of what waits, and have the rest written after a pause."""
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
            if self._unwritten and pause == 0.0:
                self._schedule_write(self._write_interval())

    def _write_interval(self) -> float:
        """Return the seconds to the next write, drawn so that routers do not write in phase."""
        mean = len(self._state.members()) / FLEET_WRITES_PER_SECOND
        return mean * self._rng.uniform(*INTERVAL_RANGE)

    async def _write_segment(self) -> bool:
        """Write the oldest records that fit into one segment; return whether that went well."""
        segment = self._ring.segment_for_writing(self._state.clock())
        began_at = self._state.clock()
        added = frozenset(itertools.islice(self._unwritten, segment.room))
        segment.records |= added
        segment.expires_at = self._state.clock() + self._lasts()
        before = self._perhaps_written
        self._perhaps_written |= added
        written = await self._put(segment)
        if isinstance(written, Accepted):
            for record in added:
                self._unwritten.pop(record, None)
            self._perhaps_written -= added
            self._ring.note_written(added, began_at)
            return True
        segment.records -= added
        if not isinstance(written, OutcomeUnknown):
            self._perhaps_written = before
        return False

    async def _put(self, segment: Segment) -> Written:
        """Write a segment; return what the platform replied."""
        value = segment.as_value()
        if segment.position is None:
            written = await self._platform.create(SEGMENT_KIND, segment.name, value)
        else:
            written = await self._platform.update(
                SEGMENT_KIND, segment.name, value, segment.position
            )
        if isinstance(written, Accepted):
            segment.position = written.version
            return written
        if isinstance(written, Conflict | OutcomeUnknown):
            # The answer to an earlier write was lost, or the platform came back from an older copy.
            found = await self._platform.get(SEGMENT_KIND, segment.name)
            if not isinstance(found, Unavailable):
                segment.position = found.object.version if isinstance(found, Found) else None
        log.info("Writing records of streams failed: {}.", written)
        return written


def _keep_newest(by_key: dict[Any, Any]) -> None:
    """Drop the oldest items beyond the bound."""
    while len(by_key) > MAX_UNWRITTEN:
        del by_key[next(iter(by_key))]
