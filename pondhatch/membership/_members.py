"""The routers that may be given work, worked out anew only when something changed."""

from __future__ import annotations

import operator
import random

import msgspec

from pondhatch.membership._capacity import USUAL_CAPACITY, bounded_capacity
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._records import Alive, Phase, Status


class Member(msgspec.Struct, frozen=True):
    """A router that may be given work or asked."""

    name: str
    address: Address
    hall: str
    phase: Phase
    status: Status = Status.ALIVE
    #: Milliseconds since 1970 at its process's start, and one more for each suspicion that it
    #: contradicted.
    incarnation: int = 0
    #: False where it watches the platform for its hall, and cannot reach it.
    sees_platform: bool = True
    #: Multiple of a usual VM's, as the router publishes it.
    capacity: float = USUAL_CAPACITY


class _CachedMember(msgspec.Struct, frozen=True):
    """A member, and what it was made of."""

    alive: Alive
    status: Status
    member: Member


_NAME_OF = operator.attrgetter("name")


class MemberView:
    """The routers that are there, less those that a call failed to reach lately."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        #: Until when a router gets no work because a call to it failed, by router id.
        self._unreachable_until_by_router: dict[int, float] = {}
        self._members: tuple[Member, ...] = ()
        #: The others among them, by router id. Of hundreds few change at a time; the rest are
        #: taken over as they were made: making 195 anew was a third of a change's cost, by profile.
        self._cached_by_router: dict[int, _CachedMember] = {}
        #: The table's revision that the members, and the others among them, are of.
        self._revision = -1
        self._others_revision = -1

    def members(self, own: Alive, now: float) -> tuple[Member, ...]:
        """Return this router and the others, by name; the same tuple while nothing changes."""
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
        """Return where some others that can be reached are, chosen at random, leaving one out."""
        self._refresh_others()
        others = list(self._cached_by_router)
        chosen = rng.sample(others, min(count + 1, len(others)))
        kept = [router for router in chosen if router != excluding][:count]
        return [self._cached_by_router[router].member.address for router in kept]

    def mark_unreachable(self, router: int, until: float) -> None:
        """Pass a router over until some time."""
        self._unreachable_until_by_router[router] = until
        self._table.revision += 1

    def mark_reachable(self, router: int) -> None:
        """Note a direct word from a router."""
        if self._unreachable_until_by_router.pop(router, None) is not None:
            self._table.revision += 1

    def _refresh_others(self) -> None:
        """Make members of those in the table that are there and that no call failed to reach."""
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
