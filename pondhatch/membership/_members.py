"""The routers that may be given work, worked out anew only when something changed."""

from __future__ import annotations

import random

import msgspec

from pondhatch.membership._records import Alive, Phase, Status
from pondhatch.membership._table import Address, Table


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


class MemberView:
    """The routers that are there, less those that a call failed to reach lately."""

    def __init__(self, table: Table) -> None:
        self._table = table
        #: Until when a router gets no work because a call to it failed, by router id.
        self._unreachable: dict[int, float] = {}
        self._members: tuple[Member, ...] = ()
        self._revision = -1

    def members(self, own: Alive, now: float) -> tuple[Member, ...]:
        """Return this router and the others, by name; the same tuple while nothing changes."""
        self._forgive(now)
        if self._revision != self._table.revision:
            members = [self._member(alive) for alive in (own, *self._reachable())]
            self._members = tuple(sorted(members, key=lambda member: member.name))
            self._revision = self._table.revision
        return self._members

    def sample(self, count: int, rng: random.Random, but: int | None = None) -> list[Address]:
        """Return where some others that can be reached are, chosen at random, leaving one out."""
        others = [
            Address(alive.host, alive.port) for alive in self._reachable() if alive.router != but
        ]
        return rng.sample(others, min(count, len(others)))

    def unreachable(self, router: int, until: float) -> None:
        """Pass a router over until some time."""
        self._unreachable[router] = until
        self._table.revision += 1

    def reached(self, router: int) -> None:
        """Note a direct word from a router."""
        if self._unreachable.pop(router, None) is not None:
            self._table.revision += 1

    def _reachable(self) -> list[Alive]:
        there = [entry.alive for entry in self._table if entry.there]
        return [alive for alive in there if alive.router not in self._unreachable]

    def _forgive(self, now: float) -> None:
        over = [router for router, until in self._unreachable.items() if until <= now]
        for router in over:
            self.reached(router)

    def _member(self, alive: Alive) -> Member:
        entry = self._table.get(alive.router)
        return Member(
            name=alive.name,
            address=Address(alive.host, alive.port),
            hall=alive.hall,
            phase=Phase(alive.phase),
            status=entry.status if entry is not None else Status.ALIVE,
            incarnation=alive.incarnation,
            sees_platform=alive.sees_platform,
        )
