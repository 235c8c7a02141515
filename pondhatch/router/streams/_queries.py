"""Queries of several routers for the record of one stream, and what they have replied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pondhatch.membership import Address, Member, short_id
from pondhatch.router.streams._packets import OriginPacket, OriginQuery, OriginReply

#: Seconds to wait after each send of a query: the second time only those that did not reply are
#: asked, as packets may be lost. A caller that resumes waits no longer if nobody knows.
QUERY_PAUSES = (0.08, 0.14)
#: Query numbers wrap around at this value.
NUMBER_LIMIT = 2**32

SendPacket = Callable[[Address, OriginPacket], None]


class PendingQuery(msgspec.Struct):
    """A query of several routers, and what they replied."""

    service: str
    #: Done with a record's version and router, or with None once every router has none.
    found: asyncio.Future[tuple[str, str] | None]
    #: The routers that have not replied yet, by short id.
    silent_by_id: dict[int, Member]
    #: Number of routers that were asked.
    asked: int
    #: The replies of the routers without the record, by the router's name.
    reply_by_name: dict[str, OriginReply] = msgspec.field(default_factory=dict)

    @property
    def has_several_versions(self) -> bool:
        """Whether one of those routers knows of several versions."""
        return any(each.has_several_versions for each in self.reply_by_name.values())

    @property
    def newest_upstreams(self) -> int:
        """The newest version of the list of upstreams that one of them has; 0 without a reply."""
        return max((each.upstreams for each in self.reply_by_name.values()), default=0)

    def add(self, reply: OriginReply) -> None:
        """Add a router's reply."""
        member = self.silent_by_id.pop(reply.router, None)
        if member is None or self.found.done():
            return
        if reply.software_version is not None:
            self.found.set_result((reply.software_version, member.name))
            return
        self.reply_by_name[member.name] = reply
        if not self.silent_by_id:
            self.found.set_result(None)


class OriginQueries:
    """The queries of one router that are under way."""

    def __init__(self, send: SendPacket) -> None:
        self._send = send
        self._number = 0
        self._query_by_number: dict[int, PendingQuery] = {}

    async def ask(self, service: str, key: bytes, members: tuple[Member, ...]) -> PendingQuery:
        """Ask routers for a record, until one has it, all have replied or the pauses are over."""
        silent = {short_id(each.name): each for each in members}
        query = PendingQuery(
            service, asyncio.get_running_loop().create_future(), silent, len(silent)
        )
        self._number = (self._number + 1) % NUMBER_LIMIT
        packet = OriginQuery(self._number, key, service)
        self._query_by_number[packet.number] = query
        try:
            for pause in QUERY_PAUSES:
                if not silent:
                    break
                for member in silent.values():
                    self._send(member.address, packet)
                await asyncio.wait([query.found], timeout=pause)
                if query.found.done():
                    break
        finally:
            del self._query_by_number[packet.number]
        return query

    def receive(self, reply: OriginReply) -> None:
        """Add a reply to its query, if that is still under way."""
        query = self._query_by_number.get(reply.number)
        if query is not None:
            query.add(reply)
