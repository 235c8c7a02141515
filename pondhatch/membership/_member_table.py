"""The table of routers, and which of two rumors about a router applies."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import xxhash
from msgspec.structs import replace

from pondhatch.membership._capacity import USUAL_CAPACITY
from pondhatch.membership._records import Alive, Fault, Phase, Rumor, Status, Versions


class Address(msgspec.Struct, frozen=True):
    """IP address and port of a router's gossip and peer service."""

    host: str
    port: int


class Entry(msgspec.Struct, frozen=True):
    """What is known about another router."""

    alive: Alive
    status: Status = Status.ALIVE
    #: When the status was set, in the clock's seconds.
    status_since: float = 0.0
    versions: Versions = msgspec.field(default_factory=Versions)

    @property
    def address(self) -> Address:
        """The router's address."""
        return Address(self.alive.host, self.alive.port)

    @property
    def is_present(self) -> bool:
        """Whether the router has neither left nor been found dead."""
        return self.status != Status.DEAD and self.alive.phase != Phase.LEFT

    def rumor(self) -> Rumor:
        """Return the rumor about the router to send to others."""
        if self.status == Status.ALIVE:
            return self.alive
        return Fault(self.alive.router, self.alive.incarnation, self.status)


class MemberTable:
    """Entries by short id.

    Of two rumors about a router the one of the higher incarnation applies, and of the same
    incarnation the one with the worse status. Of two records of one incarnation, the one with a
    capacity applies: a router of an older version passes records on without it.
    """

    def __init__(self) -> None:
        self.entry_by_id: dict[int, Entry] = {}
        #: Short ids of the suspected routers.
        self.suspects: set[int] = set()
        #: The newest configuration version that any router is known to hold. Cached, since it is
        #: read ten times a second, and a scan of 470 routers takes at least 0.03 ms.
        self.newest_configuration = 0
        #: The same for the list of upstreams; each packet leads to a read of all three.
        self.newest_upstreams = 0
        #: The same for the list of evacuated halls.
        self.newest_evacuations = 0
        #: Raised by every change of who is present and reachable and of the published records.
        self.revision = 0
        self._view_fingerprint = 0

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.entry_by_id.values())

    def view_fingerprint(self, own: Alive) -> int:
        """Return a 32-bit fingerprint of the view of the fleet, equal for equal views."""
        return self._view_fingerprint ^ _record_fingerprint(own)

    def get(self, router: int) -> Entry | None:
        """Return a router's entry, or None."""
        return self.entry_by_id.get(router)

    def apply_alive(self, alive: Alive, now: float) -> bool:
        """Apply a router's record of itself; return whether it was new."""
        known = self.entry_by_id.get(alive.router)
        if known is not None and alive.incarnation <= known.alive.incarnation:
            return self._fill_in_capacity(known, alive)
        fresh = Entry(alive, status_since=now)
        if known is not None:
            fresh = replace(known, alive=alive, status=Status.ALIVE, status_since=now)
        self._set(fresh)
        return True

    def apply_fault(self, fault: Fault, now: float) -> bool:
        """Apply a suspicion or death; return whether it was new."""
        known = self.entry_by_id.get(fault.router)
        if known is None or fault.incarnation < known.alive.incarnation:
            return False
        if fault.incarnation > known.alive.incarnation:
            raised = msgspec.structs.replace(known.alive, incarnation=fault.incarnation)
            known = replace(known, alive=raised, status=Status.ALIVE)
        if fault.status <= known.status:
            return False
        self._set(replace(known, status=Status(fault.status), status_since=now))
        return True

    def record_versions(self, router: int, versions: Versions) -> None:
        """Record the versions that a router holds."""
        known = self.entry_by_id.get(router)
        if known is not None and known.versions != versions:
            self.newest_configuration = max(self.newest_configuration, versions.configuration)
            self.newest_upstreams = max(self.newest_upstreams, versions.upstreams)
            self.newest_evacuations = max(self.newest_evacuations, versions.evacuations)
            newer = _newest_of(known.versions, versions)
            self.entry_by_id[router] = replace(known, versions=newer)

    def drop_gone(self, before: float) -> None:
        """Drop the entries gone since before a time, so that the table stays bounded."""
        gone = [entry for entry in self if not entry.is_present and entry.status_since < before]
        for entry in gone:
            del self.entry_by_id[entry.alive.router]

    def _fill_in_capacity(self, known: Entry, alive: Alive) -> bool:
        """Add a missing capacity from a record that is otherwise known; return whether it was."""
        is_same = alive.incarnation == known.alive.incarnation
        is_missing = known.alive.capacity == USUAL_CAPACITY != alive.capacity
        if not is_same or not is_missing:
            return False
        completed = replace(known.alive, capacity=alive.capacity)
        self._set(replace(known, alive=completed))
        return True

    def _set(self, entry: Entry) -> None:
        known = self.entry_by_id.get(entry.alive.router)
        if known is not None and known.is_present:
            self._view_fingerprint ^= _record_fingerprint(known.alive)
        if entry.is_present:
            self._view_fingerprint ^= _record_fingerprint(entry.alive)
        self.entry_by_id[entry.alive.router] = entry
        self.suspects.discard(entry.alive.router)
        if entry.status == Status.SUSPECT:
            self.suspects.add(entry.alive.router)
        self.revision += 1


def _newest_of(known: Versions, received: Versions) -> Versions:
    return Versions(
        max(known.configuration, received.configuration),
        max(known.upstreams, received.upstreams),
        max(known.evacuations, received.evacuations),
    )


def _record_fingerprint(alive: Alive) -> int:
    text = f"{alive.router} {alive.incarnation}"
    if alive.capacity != USUAL_CAPACITY:
        # Views that differ only in a capacity must be exchanged, too.
        text += f" {alive.capacity}"
    return xxhash.xxh32_intdigest(text.encode())
