"""The routers that may be given work, computed again only after a change."""

from __future__ import annotations

import operator
import random
from collections.abc import Iterable

import msgspec

from pondhatch.membership._capacity import USUAL_CAPACITY, bounded_capacity
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._records import Alive, Phase, Status
from pondhatch.placement import weighted_ranked


class Member(msgspec.Struct, frozen=True):
    """A router that may be given work or sent requests."""

    name: str
    address: Address
    hall: str
    phase: Phase
    status: Status = Status.ALIVE
    #: Initially milliseconds since 1970 at the start of its process; raised with each refuted
    #: rumor and each published change.
    incarnation: int = 0
    #: False if it watches the platform for its hall and cannot reach it.
    sees_platform: bool = True
    #: Multiple of a usual VM's capacity, as the router publishes it.
    capacity: float = USUAL_CAPACITY


class _CachedMember(msgspec.Struct, frozen=True):
    """A member, and the record and status that it was made from."""

    alive: Alive
    status: Status
    member: Member


_NAME_OF = operator.attrgetter("name")


class MemberView:
    """The routers that are present, without those that a call failed to reach lately."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        #: Until when a router gets no work because a call to it failed, by short id, in the
        #: clock's seconds.
        self._unreachable_until_by_router: dict[int, float] = {}
        self._members: tuple[Member, ...] = ()
        #: The other routers among them, by short id. Only a few of hundreds change at a time, so
        #: unchanged ones are reused: creating all of 195 again is a third of a change's cost.
        self._cached_by_router: dict[int, _CachedMember] = {}
        #: The table's revisions from which the members, and the other routers, were computed.
        self._revision = -1
        self._others_revision = -1

    def members(self, own: Alive, now: float) -> tuple[Member, ...]:
        """Return this router and the others, sorted by name; the same tuple until a change."""
        self._expire_unreachable(now)
        if self._revision != self._table.revision:
            self._revision = self._table.revision
            self._refresh_others()
            members = [each.member for each in self._cached_by_router.values()]
            members.append(_member(own, Status.ALIVE))
            members.sort(key=_NAME_OF)
            self._members = tuple(members)
        return self._members

    def sample(self, count: int, rng: random.Random, excluding: int | None = None) -> list[Address]:
        """Return the addresses of some other reachable routers, chosen at random.

        ``excluding`` is the short id of a router to leave out.
        """
        self._refresh_others()
        others = list(self._cached_by_router)
        chosen = rng.sample(others, min(count + 1, len(others)))
        kept = [router for router in chosen if router != excluding][:count]
        return [self._cached_by_router[router].member.address for router in kept]

    def mark_unreachable(self, router: int, until: float) -> None:
        """Leave a router out until some time."""
        self._unreachable_until_by_router[router] = until
        self._table.revision += 1

    def mark_reachable(self, router: int) -> None:
        """Include a router again, as a message came from it."""
        if self._unreachable_until_by_router.pop(router, None) is not None:
            self._table.revision += 1

    def _refresh_others(self) -> None:
        """Update the other routers from the entries that are present and reachable."""
        if self._others_revision == self._table.revision:
            return
        self._others_revision = self._table.revision
        before = self._cached_by_router
        self._cached_by_router = {}
        for router, entry in self._table.entry_by_id.items():
            if router in self._unreachable_until_by_router or not entry.is_present:
                continue
            cached = before.get(router)
            if (
                cached is None
                or cached.alive is not entry.alive
                or cached.status is not entry.status
            ):
                cached = _CachedMember(
                    entry.alive, entry.status, _member(entry.alive, entry.status)
                )
            self._cached_by_router[router] = cached

    def _expire_unreachable(self, now: float) -> None:
        expired = [
            router for router, until in self._unreachable_until_by_router.items() if until <= now
        ]
        for router in expired:
            self.mark_reachable(router)


def _member(alive: Alive, status: Status) -> Member:
    return Member(
        name=alive.name,
        address=Address(alive.host, alive.port),
        hall=alive.hall,
        phase=Phase(alive.phase),
        status=status,
        incarnation=alive.incarnation,
        sees_platform=alive.sees_platform,
        capacity=bounded_capacity(alive.capacity),
    )


def ranked_in_hall(key: str, hall: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return a hall's live routers in rendezvous order for a key, weighted by capacity."""
    by_name = {
        member.name: member
        for member in members
        if member.hall == hall and member.phase == Phase.LIVE
    }
    capacity_by_router = {name: member.capacity for name, member in by_name.items()}
    return tuple(by_name[name] for name in weighted_ranked(f"{key}:{hall}", capacity_by_router))
