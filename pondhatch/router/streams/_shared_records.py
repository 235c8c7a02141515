"""The records that one router holds, and sends to those that hold them as well."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from pondhatch.membership import Address, Member, Phase
from pondhatch.requests import MAX_RECORD_SECONDS, OriginRecord, OriginTable
from pondhatch.router._grant_exchange import RESTART_INCARNATION_STEP
from pondhatch.router._state import RouterState
from pondhatch.router.streams._archive import OriginArchive
from pondhatch.router.streams._packets import (
    RECORDS_PER_PACKET,
    OriginPacket,
    RecordsPacket,
    WireRecord,
)
from pondhatch.router.streams._record_holders import RecordHolders
from pondhatch.router.streams._service_versions import RETURN_SECONDS, ServiceVersions
from pondhatch.router.streams._unrecorded_streams import UnrecordedStreams

#: Records whose holders are determined anew in one round after the routers changed.
RECORDS_PER_ROUND = 64

SendPacket = Callable[[Address, OriginPacket], None]


class SharedRecords:
    """Holds the records of streams, and has others hold them as long as that is needed."""

    def __init__(
        self,
        state: RouterState,
        versions: ServiceVersions,
        holders: RecordHolders,
        archive: OriginArchive,
        unrecorded: UnrecordedStreams,
        is_platform_away: Callable[[], bool],
        send: SendPacket,
    ) -> None:
        self.table = OriginTable()
        self._state = state
        self._versions = versions
        self._holders = holders
        self._archive = archive
        self._unrecorded = unrecorded
        #: Returns whether the platform did not reply to this router's latest question.
        self._is_platform_away = is_platform_away
        self._send = send
        #: Services whose records others hold too, as of the last round, and those of them of which
        #: several versions may have begun streams.
        self._shared_services: frozenset[str] = frozenset()
        self._mixed_services: frozenset[str] = frozenset()
        #: Services of the streams that began here.
        self._services_begun_here: set[str] = set()
        #: The members as of the last round, and the incarnations of the live ones, by name.
        self._members: tuple[Member, ...] = ()
        self._incarnation_by_name: dict[str, int] = {}
        #: Keys of records whose holders may have changed.
        self._to_share: deque[bytes] = deque()

    def add(self, service: str, keys: tuple[bytes, ...], version: str, seconds: float) -> None:
        """Hold the record of a stream that begins here, and send it to its holders."""
        lasts = min(MAX_RECORD_SECONDS, max(0.0, seconds) + RETURN_SECONDS)
        record = OriginRecord(version, self._state.clock() + lasts, service)
        self._services_begun_here.add(service)
        for key in keys:
            self._hold(key, record)
        if self._shares_records(service):
            self._share(keys)
        if self._versions.needs_records(service):
            self._archive.add(keys, version)

    def receive(self, records: Iterable[WireRecord]) -> None:
        """Hold the records of streams that began at another router."""
        now = self._state.clock()
        for each in records:
            record = OriginRecord(each.software_version, now + each.lasts_ms / 1000)
            known = self.table.get(each.key, now)
            if known is None or known.expires_at < record.expires_at:
                self._hold(each.key, record)

    def _hold(self, key: bytes, record: OriginRecord) -> None:
        """Hold a record; note if one fell out for it that a caller may still need."""
        fallen = self.table.put(key, record)
        if fallen is not None and fallen.expires_at > self._state.clock():
            self._unrecorded.note_lost_record()

    def tick(self) -> None:
        """Send the records that others have come to need."""
        self._follow_versions()
        self.follow_members()
        count = min(RECORDS_PER_ROUND, len(self._to_share))
        self._share([self._to_share.popleft() for _ in range(count)])

    def _follow_versions(self) -> None:
        """Send the records of streams that began while nobody else needed them."""
        self._versions.update()
        shared = frozenset(each for each in self._services_begun_here if self._shares_records(each))
        several = frozenset(each for each in shared if self._versions.needs_records(each))
        newly_shared, newly_several = shared - self._shared_services, several - self._mixed_services
        self._shared_services, self._mixed_services = shared, several
        for key, each in self.table if newly_shared | newly_several else ():
            if each.service in newly_shared:
                self._to_share.append(key)
            if each.service in newly_several:
                self._archive.add((key,), each.software_version)

    def _shares_records(self, service: str) -> bool:
        """Return whether others hold the records of a service's streams too.

        They need them where several versions may have begun streams, and where the platform cannot
        be asked whether there are several.
        """
        is_platform_away = self._is_platform_away() or not all(
            each.sees_platform for each in self._state.members()
        )
        return is_platform_away or self._versions.needs_records(service)

    def follow_members(self) -> None:
        """Send records to the routers that hold them now in place of others.

        Note also which routers were lost.
        """
        members = self._state.members()
        if members is self._members:
            return
        self._members = members
        known = self._incarnation_by_name
        live = {each.name: each.incarnation for each in members if each.phase == Phase.LIVE}
        self._incarnation_by_name = live
        has_restarted = any(
            live[name] - known[name] >= RESTART_INCARNATION_STEP for name in live.keys() & known
        )
        if has_restarted or known.keys() - live.keys():
            self._unrecorded.note_lost_record()
        self._unrecorded.note_missing(
            known.keys() - {each.name for each in members}, {each.name for each in members}
        )
        if has_restarted or live.keys() != known.keys():
            self._to_share = deque(key for key, each in self.table if self._is_shared(each))

    def _is_shared(self, record: OriginRecord) -> bool:
        """Return whether a record has holders; those of other routers have."""
        return not record.service or record.service in self._shared_services

    def _share(self, keys: Iterable[bytes]) -> None:
        """Send records to their holders.

        Each is sent once: with the router where the stream began there are three copies, of which
        two may be lost.
        """
        now = self._state.clock()
        records_by_holder: dict[Address, list[WireRecord]] = {}
        for key in keys:
            record = self.table.get(key, now)
            if record is None:
                continue
            lasts_ms = round((record.expires_at - now) * 1000)
            wire_record = WireRecord(key, record.software_version, lasts_ms)
            for holder in self._holders.holders(key):
                if holder.name != self._state.name:
                    records_by_holder.setdefault(holder.address, []).append(wire_record)
        for address, records in records_by_holder.items():
            for offset in range(0, len(records), RECORDS_PER_PACKET):
                batch = tuple(records[offset : offset + RECORDS_PER_PACKET])
                self._send(address, RecordsPacket(batch))
