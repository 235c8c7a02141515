"""The trees of the data halls, down which one router's packets reach all others in few steps.

The live routers of a hall form a tree in rendezvous order, weighted by capacity. The routers at the
top of the halls know each other, and one of them is the top of the fleet. Each router derives all
of it from the members that it knows.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from pondhatch.membership._members import Member, ranked_in_hall
from pondhatch.placement import weighted_ranked

#: Routers to which one router of a tree forwards a packet.
TREE_FANOUT = 4


class TreeLevel(enum.IntEnum):
    """A router's distance from the top of the fleet."""

    #: The first router of the fleet.
    FLEET_TOP = 0
    #: The first router of another hall, which takes the place of the fleet's first if that is lost.
    NEXT_TOP = 1
    #: The first router of any other hall.
    HALL_TOP = 2
    #: A router that follows a hall's first directly.
    SECOND = 3
    #: A router that follows one of these.
    THIRD = 4
    #: Any other router, one that is draining included.
    LOWER = 5


def aggregation_order(hall: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return a hall's live routers in the order of its tree; the first is the aggregator."""
    return ranked_in_hall("speak", hall, members)


class HallTree:
    """One router's place in the tree of its hall, and the tops of the other halls."""

    def __init__(self, name: str, hall: str) -> None:
        self._name = name
        self._hall = hall
        self._members: tuple[Member, ...] = ()
        #: This hall's live routers in the order of its tree; empty if it has none.
        self.order: tuple[Member, ...] = ()
        #: The first router of each other hall.
        self.other_tops: tuple[Member, ...] = ()
        #: The routers to which this one forwards a packet of its hall's tree.
        self.children: tuple[Member, ...] = ()
        self.level = TreeLevel.LOWER

    def update(self, members: tuple[Member, ...]) -> None:
        """Compute the tree again if the members changed."""
        if members is self._members:
            return
        self._members = members
        self.order = aggregation_order(self._hall, members)
        halls = sorted({member.hall for member in members} - {self._hall})
        orders = [aggregation_order(hall, members) for hall in halls]
        self.other_tops = tuple(order[0] for order in orders if order)
        names = [member.name for member in self.order]
        place = names.index(self._name) if self._name in names else None
        self.children = ()
        if place is not None:
            first = place * TREE_FANOUT + 1
            self.children = self.order[first : first + TREE_FANOUT]
        self.level = self._level(place)

    @property
    def is_top(self) -> bool:
        """Whether this router is the first of its hall."""
        return self.level <= TreeLevel.HALL_TOP

    def _level(self, place: int | None) -> TreeLevel:
        if place is None or place > TREE_FANOUT + TREE_FANOUT**2:
            return TreeLevel.LOWER
        if place > TREE_FANOUT:
            return TreeLevel.THIRD
        if place > 0:
            return TreeLevel.SECOND
        capacity_by_top = {top.name: top.capacity for top in (self.order[0], *self.other_tops)}
        rank = weighted_ranked("fleet", capacity_by_top).index(self._name)
        return TreeLevel(min(rank, TreeLevel.HALL_TOP))
