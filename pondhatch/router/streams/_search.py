"""Finds which software version began a stream that is taken up."""

from __future__ import annotations

import asyncio

from pondhatch.kernel import Tasks
from pondhatch.requests import OriginSource, OriginUnknown, StreamOrigin
from pondhatch.router._state import RouterState
from pondhatch.router.streams._archive import OriginArchive
from pondhatch.router.streams._queries import OriginQueries, PendingQuery
from pondhatch.router.streams._record_holders import RecordHolders
from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.router.streams._shared_records import SharedRecords
from pondhatch.router.streams._unrecorded_streams import UnrecordedStreams
from pondhatch.router.streams._version_store import VersionStore

#: Seconds for which a stream that is taken up waits at most for what the platform holds.
MAX_READ_SECONDS = 0.3
#: Seconds within which routers and the platform reply unless something is wrong.
PROMPT_REPLY_SECONDS = 0.05
#: Seconds for which it waits at most until the platform says that there is one version only.
MAX_CONFIRM_SECONDS = 0.4
#: Seconds between two looks at whether the platform has replied.
POLL_SECONDS = 0.01


class OriginSearch:
    """Searches the records of this router, of others and of the platform, in that order."""

    def __init__(
        self,
        state: RouterState,
        versions: ServiceVersions,
        records: SharedRecords,
        holders: RecordHolders,
        queries: OriginQueries,
        archive: OriginArchive,
        version_store: VersionStore,
        unrecorded: UnrecordedStreams,
        tasks: Tasks,
    ) -> None:
        self._state = state
        self._versions = versions
        self._records = records
        self._holders = holders
        self._queries = queries
        self._archive = archive
        self._version_store = version_store
        self._unrecorded = unrecorded
        self._tasks = tasks

    async def find(self, service: str, key: bytes) -> StreamOrigin | OriginUnknown:
        """Return what began a stream, after asking others if needed."""
        taken_up_at = self._state.clock()
        found = self._find_here(key, taken_up_at)
        if found is not None:
            return found
        confirming = self._tasks.start(self._find_sole(service))
        await asyncio.wait([confirming], timeout=PROMPT_REPLY_SECONDS)
        found = confirming.result() if confirming.done() else None
        if found is None and await self._read_platform_once():
            found = self._find_here(key, taken_up_at) or await self._find_sole(service)
        if found is not None:
            return found
        query, has_read = await self._ask_all(service, key)
        found = self._found_by(query)
        if found is None and has_read:
            found = self._find_here(key, taken_up_at)
        to_join = self._unrecorded.seconds_to_join(service, query)
        if found is None and to_join > 0:
            await asyncio.sleep(to_join)
            query = await self._queries.ask(service, key, self._holders.asked(key))
            found = self._found_by(query)
        found = found or await confirming
        self._records.follow_members()
        return found or self._without_record(service, key, query, taken_up_at)

    async def _ask_all(self, service: str, key: bytes) -> tuple[PendingQuery, bool]:
        """Ask the other routers, and the platform unless one of them has the record.

        The platform is asked at the same time once routers take long to reply. Return also whether
        it told what it holds.
        """
        asking = asyncio.ensure_future(self._queries.ask(service, key, self._holders.asked(key)))
        try:
            await asyncio.wait([asking], timeout=PROMPT_REPLY_SECONDS)
            if asking.done() and self._found_by(asking.result()) is not None:
                return asking.result(), False
            reading = self._tasks.start(self._archive.read(MAX_READ_SECONDS))
            query = await asking
            if self._found_by(query) is not None:
                return query, False
            return query, await reading
        finally:
            asking.cancel()

    def _find_here(self, key: bytes, taken_up_at: float) -> StreamOrigin | None:
        """Return what records that this router has tell of a stream that was taken up at a time."""
        own = self._records.table.get(key, self._state.clock())
        if own is not None:
            return StreamOrigin(own.software_version, OriginSource.RECORDED, self._state.name)
        archived = self._archive.version(key, taken_up_at)
        return StreamOrigin(archived, OriginSource.ARCHIVED) if archived is not None else None

    async def _find_sole(self, service: str) -> StreamOrigin | None:
        """Return the only version, if the platform says that there is no other one now."""
        if not await self.is_sole_confirmed(service, MAX_CONFIRM_SECONDS):
            return None
        sole = self._unrecorded.sole_version(service)
        return StreamOrigin(sole[0], OriginSource.SOLE_VERSION) if sole is not None else None

    async def is_sole_confirmed(self, service: str, max_wait: float) -> bool:
        """Return whether the platform names no other version than the only one known here.

        It is asked now, and replies in ``max_wait`` seconds.
        """
        is_unknown = self._unrecorded.sole_version(service) is None
        if is_unknown and not self._may_become_sole(service):
            return False
        stored = await self._version_store.confirmed(max_wait)
        sole = self._unrecorded.sole_version(service)
        if stored is None or sole is None:
            return False
        return set(stored.versions_by_service.get(service, ())) <= {sole[0]}

    def _may_become_sole(self, service: str) -> bool:
        """Return whether the platform may say by now that there is one version only.

        When it was last asked here, it did not know what served before.
        """
        has_several = self._versions.has_several_versions(service)
        return self._version_store.is_incomplete and not has_several

    async def _read_platform_once(self) -> bool:
        """Wait for what the platform holds from before this router's start; return whether it did.

        A router that has read it already, or has been there for as long as any stream, does not.
        """
        if self._archive.has_read or self._unrecorded.uptime > self._versions.longest_seconds():
            return False
        until = self._state.clock() + MAX_READ_SECONDS
        while not self._version_store.has_tried and self._state.clock() < until:
            await asyncio.sleep(POLL_SECONDS)
        if self._version_store.is_read:
            await self._archive.read(until - self._state.clock())
        return True

    @staticmethod
    def _found_by(query: PendingQuery) -> StreamOrigin | None:
        found = query.found.result() if query.found.done() else None
        return (
            StreamOrigin(found[0], OriginSource.RECORDED, found[1]) if found is not None else None
        )

    def _without_record(
        self, service: str, key: bytes, query: PendingQuery, taken_up_at: float
    ) -> StreamOrigin | OriginUnknown:
        """Return what began a stream of which nobody that was asked since then has a record."""
        has_read = self._archive.has_read_since(taken_up_at)
        version = self._unrecorded.version_after(service, key, query, has_read)
        if version is None:
            return OriginUnknown(not has_read or self._unrecorded.may_be_known_soon(query))
        several = query.has_several_versions or self._versions.has_several_versions(service)
        if several and self._may_have_begun_unheard(service, version, query):
            return OriginUnknown(may_be_known_soon=True)
        source = OriginSource.BEFORE_RECORDS if several else OriginSource.SOLE_VERSION
        return StreamOrigin(version, source)

    def _may_have_begun_unheard(self, service: str, version: str, query: PendingQuery) -> bool:
        """Return whether a router that is missing may have begun the stream at another version.

        It notes at the platform which versions it begins streams at; see VersionNotes.
        """
        if self._unrecorded.is_nobody_missing(query):
            return False
        if not self._versions.has_several_versions(service):
            return True  # This router has yet to learn of the other versions.
        others = frozenset(self._versions.possible_versions(service)) - {version}
        heard = query.reply_by_name.keys() | {each.name for each in self._state.members()}
        return bool(self._archive.routers_at(others) - heard)
