"""Shares which software version began each stream, so that every router can go on with it there.

The router that delivers a stream's first event holds the record. Only while several versions may
have begun streams of the service, it also sends the record to two other routers in different data
halls, which follow from the stream's key, before the caller gets the event, and has it written to
the platform soon. A caller that resumes its stream may come to any router: one without the record
asks the routers that rank first for the key, all of them in a small fleet, and reads what the
platform holds if those that had the record may have ended. Records are sent again to routers that
take the place of others, such as those that stop or fail, and expire once no caller needs them. No
router has to agree: a record never changes, so any copy of it is right.

With one version there are no packets, and the platform is told once which version that is. A stream
that is taken up elsewhere is then of that version if the platform says that there is no other. A
stream that began before there was a second one is sent to its holders once there is; so are all
while the platform is away.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from pondhatch.kernel import Tasks
from pondhatch.membership import Address, Datagram
from pondhatch.requests import (
    OriginTable,
    OriginUnknown,
    StreamOrigin,
)
from pondhatch.router._state import RouterState
from pondhatch.router.streams._archive import OriginArchive
from pondhatch.router.streams._packets import (
    OriginPacket,
    OriginQuery,
    OriginReply,
    RecordsPacket,
    decode_origin_packet,
    encode_origin_packet,
)
from pondhatch.router.streams._queries import OriginQueries
from pondhatch.router.streams._record_holders import RecordHolders
from pondhatch.router.streams._search import MAX_READ_SECONDS, OriginSearch
from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.router.streams._shared_records import SharedRecords
from pondhatch.router.streams._unrecorded_streams import UnrecordedStreams
from pondhatch.router.streams._version_notes import VersionNotes
from pondhatch.router.streams._version_store import VersionStore
from pondhatch.store import Platform

#: Rounds between two searches for expired records.
EXPIRY_ROUNDS = 10
#: Seconds for which another router waits at most that asked this one.
MAX_REPLY_SECONDS = 0.1
#: Seconds for which a stream waits at most to begin where the platform knows no engine's version.
MAX_TELL_SECONDS = 1.0

SendAll = Callable[[Iterable[Datagram]], None]


class StreamOriginExchange:
    """One router's implementation of StreamOrigins, which shares its records with the others."""

    def __init__(
        self,
        state: RouterState,
        send: SendAll,
        platform: Platform,
        rng: random.Random,
        is_first_start: bool = False,
    ) -> None:
        self.versions = ServiceVersions(state)
        if is_first_start:
            self.versions.assume_first_start()
        self._state = state
        self._send = send
        self._tasks = Tasks()
        self._holders = RecordHolders(state)
        self._unrecorded = UnrecordedStreams(state, self.versions, self._holders)
        self._queries = OriginQueries(self._send_packet)
        self._version_store = VersionStore(state, self.versions, platform, rng)
        self._archive = OriginArchive(state, platform, rng, self.versions.longest_seconds)
        self._shared_records = SharedRecords(
            state,
            self.versions,
            self._holders,
            self._archive,
            self._unrecorded,
            lambda: self._version_store.is_platform_away,
            self._send_packet,
        )
        self._version_notes = VersionNotes(state, self.versions, self._archive, self._unrecorded)
        self._search = OriginSearch(
            state,
            self.versions,
            self._shared_records,
            self._holders,
            self._queries,
            self._archive,
            self._version_store,
            self._unrecorded,
            self._tasks,
        )
        self._rounds = 0

    @property
    def records(self) -> OriginTable:
        """The records that this router holds."""
        return self._shared_records.table

    def versions_age_ms(self) -> int:
        """Return the milliseconds since the platform told which versions there are."""
        age = self._state.clock() - self.versions.adopted_at
        return round(1000 * min(age, self._unrecorded.uptime))

    async def read_versions(self) -> None:
        """Read which versions the platform knows before anything begins here, if it replies."""
        await self._version_store.confirmed(MAX_READ_SECONDS)

    def record(self, service: str, keys: tuple[bytes, ...], version: str, seconds: float) -> None:
        """Hold the record of a stream, and send it to its holders; see StreamOrigins."""
        self._shared_records.add(service, keys, version, seconds)

    async def note_sending(self, service: str, key: bytes, version: str) -> bool:
        """Note that a request that may begin a stream is about to be sent; see StreamOrigins."""
        if not self.versions.needs_records(service):
            return True
        return await self._archive.add_sent(key, version)

    def unregistered_versions(self, service: str) -> frozenset[str]:
        """Return the versions at which no stream is to begin yet; see StreamOrigins."""
        unnoted = self._version_notes.unnoted(service) & self._version_store.registered(service)
        return self._version_store.unregistered(service) | unnoted

    def may_begin_unregistered(self, service: str) -> bool:
        """Return whether streams begin there if no other version has engines; see StreamOrigins."""
        return self._version_store.may_begin_unregistered(service)

    async def await_registered(
        self, service: str, live_versions: Callable[[], frozenset[str]]
    ) -> bool:
        """Wait until the platform knows a live version, for a moment at most; see StreamOrigins."""
        is_registered_late = await self._version_store.await_registered(
            service, live_versions, MAX_TELL_SECONDS
        )
        is_noted_late = await self._version_notes.await_noted(
            service,
            lambda: live_versions() & self._version_store.registered(service),
            MAX_TELL_SECONDS,
        )
        return is_registered_late or is_noted_late

    async def find(self, service: str, key: bytes) -> StreamOrigin | OriginUnknown:
        """Return what began a stream, after asking others if needed; see StreamOrigins."""
        return await self._search.find(service, key)

    def receive(self, payload: bytes, source: Address) -> None:
        """Handle a packet without its prefix; a packet that does not parse is dropped."""
        packet = decode_origin_packet(payload)
        if isinstance(packet, RecordsPacket):
            self._shared_records.receive(packet.records)
        elif isinstance(packet, OriginQuery):
            self._tasks.start(self._reply(packet, source))
        elif isinstance(packet, OriginReply):
            self._queries.receive(packet)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        now = self._state.clock()
        self._unrecorded.tick()
        self._rounds += 1
        if self._rounds % EXPIRY_ROUNDS == 0:
            self.records.drop_expired(now)
            self.versions.drop_old()
            self._archive.drop_expired()
        self._shared_records.tick()
        self._version_store.tick()
        self._version_notes.tick()
        self._archive.write_if_due()

    def stop(self) -> None:
        """Cancel the calls to the platform that are under way."""
        self._tasks.cancel_all()
        self._version_store.stop()
        self._archive.stop()

    async def _reply(self, query: OriginQuery, source: Address) -> None:
        record = self.records.get(query.key, self._state.clock())
        version = record.software_version if record else self._archive.begun_version(query.key)
        is_confirmed = version is None and await self._search.is_sole_confirmed(
            query.service, MAX_REPLY_SECONDS
        )
        self._shared_records.follow_members()
        reply = self._unrecorded.reply(query.service, is_confirmed)
        if version is not None:
            reply = replace(reply, software_version=version, unrecorded_version=None)
        self._send_packet(source, replace(reply, number=query.number))

    def _send_packet(self, to: Address, packet: OriginPacket) -> None:
        self._send([Datagram(to, encode_origin_packet(packet))])
