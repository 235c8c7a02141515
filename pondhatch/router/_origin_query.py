"""A query of several routers for the record of one stream, and what they have replied."""

from __future__ import annotations

import asyncio

import msgspec

from pondhatch.membership import Member
from pondhatch.router._origin_packets import OriginReply


class PendingQuery(msgspec.Struct):
    """A query of several routers, and what they replied."""

    #: Done with a record's version and router, or with None once every router has none.
    found: asyncio.Future[tuple[str, str] | None]
    #: The routers that have not replied yet, by short id.
    silent_by_id: dict[int, Member]
    #: Names of the routers without the record, each with the seconds for which it held records.
    uptime_by_name: dict[str, float] = msgspec.field(default_factory=dict)
    #: Whether one of them knows of several versions.
    has_several_versions: bool = False

    def add(self, reply: OriginReply) -> None:
        """Add a router's reply."""
        member = self.silent_by_id.pop(reply.router, None)
        if member is None or self.found.done():
            return
        if reply.software_version is not None:
            self.found.set_result((reply.software_version, member.name))
            return
        self.uptime_by_name[member.name] = reply.uptime_ms / 1000
        self.has_several_versions |= reply.has_several_versions
        if not self.silent_by_id:
            self.found.set_result(None)
