"""Shares which software version began each stream, so that every router can go on with it there.

The router that delivers a stream's first event holds the record. Only while several versions may
have begun streams of the service, it also sends the record to two other routers in different data
halls, which follow from the stream's key, before the caller gets the event. A caller that resumes
its stream may come to any router: one without the record asks the routers that rank first for the
key, all of them in a small fleet. Records are sent again to routers that take the place of others,
such as those that stop or fail, and expire once no caller needs them. They are not written anywhere
and no router has to agree: a record never changes, so any copy of it is right.

With one version there are no packets. A stream that began before there was a second one is sent to
its holders once there is.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from pondhatch.membership import Address, Datagram, Member, Phase, short_id
from pondhatch.placement import ranked
from pondhatch.requests import (
    MAX_RECORD_SECONDS,
    OriginRecord,
    OriginSource,
    OriginTable,
    StreamOrigin,
)
from pondhatch.router._grant_exchange import RESTART_INCARNATION_STEP
from pondhatch.router._origin_packets import (
    RECORDS_PER_PACKET,
    OriginPacket,
    OriginQuery,
    OriginReply,
    RecordsPacket,
    WireRecord,
    decode_origin_packet,
    encode_origin_packet,
)
from pondhatch.router._origin_query import PendingQuery
from pondhatch.router._service_versions import RETURN_SECONDS, ServiceVersions
from pondhatch.router._state import RouterState

#: Routers, beside the one where the stream began, that hold its record.
HOLDERS = 2
#: Routers asked for a record: enough that the holders are among them after several routers joined.
MAX_ASKED = 8
#: Seconds to wait after each send of a query: the second time only those that did not reply are
#: asked, as packets may be lost. A caller that resumes waits no longer if nobody knows.
QUERY_PAUSES = (0.08, 0.14)
#: Records whose holders are determined anew in one round after the routers changed.
RECORDS_PER_ROUND = 64
#: Seconds by which routers may differ on when a second version appeared.
VIEW_SKEW_SECONDS = 1.0
#: Seconds between two rounds from which this process counts as paused, and for which it then may
#: not have caught up with the others.
PAUSE_SECONDS = 1.0
CATCH_UP_SECONDS = 2.0
#: Rounds between two searches for expired records.
EXPIRY_ROUNDS = 10
#: Query numbers wrap around at this value.
NUMBER_LIMIT = 2**32

SendAll = Callable[[Iterable[Datagram]], None]


class StreamOriginExchange:
    """One router's implementation of StreamOrigins, which shares its records with the others."""

    def __init__(self, state: RouterState, send: SendAll) -> None:
        self.records = OriginTable()
        self.versions = ServiceVersions(state)
        self._state = state
        self._send = send
        self._started_at = state.clock()
        #: Services of which several versions may have begun streams, as of the last round.
        self._services_with_several_versions: frozenset[str] = frozenset()
        #: Services of the streams that began here.
        self._services_begun_here: set[str] = set()
        #: The members as of the last round, and the incarnations of the live ones, by name.
        self._members: tuple[Member, ...] = ()
        self._incarnation_by_name: dict[str, int] = {}
        #: Keys of records whose holders may have changed.
        self._to_share: deque[bytes] = deque()
        #: When a live router was last seen to stop, fail or restart, in the clock's seconds.
        self._lost_router_at = float("-inf")
        #: When the last round began, and when the latest one came after a pause of this process.
        self._ticked_at = state.clock()
        self._paused_at = float("-inf")
        self._rounds = 0
        self._number = 0
        self._query_by_number: dict[int, PendingQuery] = {}

    def record(self, service: str, keys: tuple[bytes, ...], version: str, seconds: float) -> None:
        """Hold the record of a stream, and send it to its holders; see StreamOrigins."""
        lasts = min(MAX_RECORD_SECONDS, max(0.0, seconds) + RETURN_SECONDS)
        record = OriginRecord(version, self._state.clock() + lasts, service)
        self._services_begun_here.add(service)
        for key in keys:
            self.records.put(key, record)
        if self.versions.has_several_versions(service):
            self._share(keys)

    async def find(self, service: str, key: bytes) -> StreamOrigin | None:
        """Return what began a stream, after asking other routers if needed; see StreamOrigins."""
        own = self.records.get(key, self._state.clock())
        if own is not None:
            return StreamOrigin(own.software_version, OriginSource.RECORDED, self._state.name)
        possible = self.versions.possible_versions(service)
        if len(possible) <= 1 and self._is_history_known(service):
            return _sole_origin(possible)
        query = await self._query(service, key)
        found = query.found.result() if query.found.done() else None
        if found is not None:
            version, router = found
            return StreamOrigin(version, OriginSource.RECORDED, router)
        return self._origin_without_record(service, key, query)

    def receive(self, payload: bytes, source: Address) -> None:
        """Handle a packet without its prefix; a packet that does not parse is dropped."""
        packet = decode_origin_packet(payload)
        if isinstance(packet, RecordsPacket):
            now = self._state.clock()
            for each in packet.records:
                record = OriginRecord(each.software_version, now + each.lasts_ms / 1000)
                known = self.records.get(each.key, now)
                if known is None or known.expires_at < record.expires_at:
                    self.records.put(each.key, record)
        elif isinstance(packet, OriginQuery):
            self._reply(packet, source)
        elif isinstance(packet, OriginReply) and packet.number in self._query_by_number:
            self._query_by_number[packet.number].add(packet)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        now = self._state.clock()
        if now - self._ticked_at > PAUSE_SECONDS:
            self._paused_at = now
        self._ticked_at = now
        self._rounds += 1
        if self._rounds % EXPIRY_ROUNDS == 0:
            self.records.drop_expired(now)
            self.versions.drop_old()
        self._follow_versions()
        self._follow_members()
        count = min(RECORDS_PER_ROUND, len(self._to_share))
        self._share([self._to_share.popleft() for _ in range(count)])

    def _follow_versions(self) -> None:
        """Send the records of streams that began while their service had one version only."""
        self.versions.update()
        several = frozenset(
            each for each in self._services_begun_here if self.versions.has_several_versions(each)
        )
        new = several - self._services_with_several_versions
        self._services_with_several_versions = several
        if new:
            self._to_share.extend(key for key, each in self.records if each.service in new)

    def _follow_members(self) -> None:
        """Send records to the routers that hold them now in place of others."""
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
            self._lost_router_at = self._state.clock()
        if has_restarted or live.keys() != known.keys():
            self._to_share = deque(
                key
                for key, each in self.records
                # Other routers send records only of services with several versions.
                if not each.service or each.service in self._services_with_several_versions
            )

    def _share(self, keys: Iterable[bytes]) -> None:
        """Send records to their holders.

        Each is sent once: with the router where the stream began there are three copies, of which
        two may be lost.
        """
        now = self._state.clock()
        records_by_holder: dict[Address, list[WireRecord]] = {}
        for key in keys:
            record = self.records.get(key, now)
            if record is None:
                continue
            lasts_ms = round((record.expires_at - now) * 1000)
            wire_record = WireRecord(key, record.software_version, lasts_ms)
            for holder in self._holders(key):
                if holder.name != self._state.name:
                    records_by_holder.setdefault(holder.address, []).append(wire_record)
        for address, records in records_by_holder.items():
            for offset in range(0, len(records), RECORDS_PER_PACKET):
                batch = tuple(records[offset : offset + RECORDS_PER_PACKET])
                self._send_packet(address, RecordsPacket(batch))

    def _holders(self, key: bytes) -> tuple[Member, ...]:
        """Return the live routers that hold a record.

        They are in different data halls if possible, as a whole hall may be lost.
        """
        ranking = [each for each in self._ranked(key) if each.phase == Phase.LIVE]
        if len(ranking) <= HOLDERS:
            return tuple(ranking)
        first = ranking[0]
        elsewhere = (each for each in ranking[1:] if each.hall != first.hall)
        return first, next(elsewhere, ranking[1])

    def _ranked(self, key: bytes) -> list[Member]:
        """Return the members in the order of a key, which is the same at every router."""
        member_by_name = {each.name: each for each in self._state.members()}
        return [member_by_name[name] for name in ranked(key.hex(), member_by_name)]

    def _is_history_known(self, service: str) -> bool:
        """Return whether this router knows every version that may have begun a stream.

        One that was paused goes on by what it knew before.
        """
        was_paused = self._state.clock() - self._paused_at < CATCH_UP_SECONDS
        is_paused = self._state.clock() - self._ticked_at > PAUSE_SECONDS
        return not (was_paused or is_paused) and self.versions.is_history_known(service)

    async def _query(self, service: str, key: bytes) -> PendingQuery:
        """Ask the routers that rank first for a key whether they have its record."""
        asked = dict.fromkeys((*self._holders(key), *self._ranked(key)[:MAX_ASKED]))
        silent = {short_id(each.name): each for each in asked if each.name != self._state.name}
        query = PendingQuery(asyncio.get_running_loop().create_future(), silent)
        self._number = (self._number + 1) % NUMBER_LIMIT
        packet = OriginQuery(self._number, key, service)
        self._query_by_number[packet.number] = query
        try:
            for pause in QUERY_PAUSES:
                if not silent:
                    break
                for member in silent.values():
                    self._send_packet(member.address, packet)
                await asyncio.wait([query.found], timeout=pause)
                if query.found.done():
                    break
        finally:
            del self._query_by_number[packet.number]
        return query

    def _origin_without_record(
        self, service: str, key: bytes, query: PendingQuery
    ) -> StreamOrigin | None:
        """Return what began a stream of which no router that was asked has a record.

        A stream that began while one version alone served may have none. It did if its holders
        would have a record of any that began later, and no router that was asked is silent.
        """
        possible = self.versions.possible_versions(service)
        if len(possible) <= 1:
            return None if query.has_several_versions else _sole_origin(possible)
        elapsed = self.versions.seconds_since_second_version(service)
        if elapsed is None or query.silent_by_id:
            return None
        # For at least as long each holder must have been there to get a record.
        needed = elapsed + VIEW_SKEW_SECONDS
        if self._has_lost_router_within(needed):
            return None
        own_uptime = self._state.clock() - self._started_at
        uptime_by_name = {**query.uptime_by_name, self._state.name: own_uptime}
        would_know = all(uptime_by_name.get(each.name, 0.0) > needed for each in self._holders(key))
        return StreamOrigin(possible[0], OriginSource.BEFORE_RECORDS) if would_know else None

    def _has_lost_router_within(self, seconds: float) -> bool:
        """Return whether a router stopped or failed lately, perhaps a holder of a record."""
        return self._state.clock() - self._lost_router_at <= seconds

    def _reply(self, query: OriginQuery, source: Address) -> None:
        now = self._state.clock()
        record = self.records.get(query.key, now)
        reply = OriginReply(
            query.number,
            short_id(self._state.name),
            round((now - self._started_at) * 1000),
            self.versions.has_several_versions(query.service),
            record.software_version if record is not None else None,
        )
        self._send_packet(source, reply)

    def _send_packet(self, to: Address, packet: OriginPacket) -> None:
        self._send([Datagram(to, encode_origin_packet(packet))])


def _sole_origin(versions: tuple[str, ...]) -> StreamOrigin:
    """Return the origin of every stream of a service that had one software version at most."""
    return StreamOrigin(versions[0] if versions else None, OriginSource.SOLE_VERSION)
