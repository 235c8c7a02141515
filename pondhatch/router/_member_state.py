"""The fleet's routers as one router sees them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from pondhatch.membership import Gossip, Member, Phase, watchers
from pondhatch.placement import Regions, is_region_allowed, ranked
from pondhatch.requests import (
    KEEP_SECONDS,
    KeyHolder,
    KeyRanking,
    KeyTable,
    LocalKeyHolder,
)
from pondhatch.router._hall_states import HallStates


@dataclass
class MemberState(ABC):
    """The part of a router's state that holds the fleet's members and their idempotency keys."""

    name: str
    hall: str
    gossip: Gossip
    clock: Callable[[], float]
    #: Returns a client for another router's idempotency keys.
    connect: Callable[[Member], KeyHolder]
    #: Regions of data halls, and which halls are evacuated.
    halls: HallStates = field(default_factory=HallStates)
    key_table: KeyTable = field(default_factory=KeyTable)
    #: This router as a holder of idempotency keys.
    local_key_holder: KeyHolder = field(init=False)
    _members: tuple[Member, ...] = ()
    #: Names of the routers that are neither draining nor gone. Cached: read ten times a second.
    _live_routers: tuple[str, ...] = ()
    _member_by_name: dict[str, Member] = field(default_factory=dict)
    #: When this process began to learn of members, in the clock's seconds.
    _members_known_since: float = field(init=False)

    def __post_init__(self) -> None:
        self._members_known_since = self.clock()
        self.local_key_holder = LocalKeyHolder(self.key_table, self.clock)

    def members(self) -> tuple[Member, ...]:
        """Return the current members of the fleet, this router included."""
        return self._members

    def other_members(self) -> list[Member]:
        """Return the current members of the fleet without this router."""
        return [member for member in self.members() if member.name != self.name]

    def refresh_members(self) -> None:
        """Update the members from gossip; called each round and after each gossip packet."""
        members = self.gossip.members(self.clock())
        if members is self._members:
            return
        member_by_name = {member.name: member for member in members}
        for gone in self._member_by_name.keys() - member_by_name.keys():
            self.key_table.router_gone(gone)
        self._members = members
        self._member_by_name = member_by_name
        live = tuple(member for member in members if member.phase == Phase.LIVE)
        self._live_routers = tuple(member.name for member in live)
        self._set_live(live)

    def key_holder(self, name: str) -> KeyHolder | None:
        """Return a client for the keys that a router holds, or None for an unknown router."""
        if name == self.name:
            return self.local_key_holder
        member = self._member_by_name.get(name)
        return self.connect(member) if member is not None else None

    def key_holders(self, key: str, regions: Regions = None) -> tuple[str, ...]:
        """Return the names of the live routers of the regions, ranked for a key."""
        halls = {name: self._member_by_name[name].hall for name in self.live_routers()}
        return ranked(f"key:{key}", self._in_regions(halls, regions))

    def key_ranking(self, key: str, regions: Regions = None) -> KeyRanking:
        """Return the routers of the regions, ranked for a key, and those out of reach.

        Routers that were lost count for as long as a record is kept. A router that has started and
        met no other is none of them for as long, unless it is the only one.
        """
        now = self.clock()
        if self.gossip.is_stranded() and now - self._members_known_since < KEEP_SECONDS:
            return KeyRanking(())
        lost = self.gossip.out_of_reach(now - KEEP_SECONDS, now)
        live = {name: self._member_by_name[name].hall for name in self.live_routers()}
        names = ranked(f"key:{key}", self._in_regions({**lost, **live}, regions))
        return KeyRanking(names, frozenset(lost.keys() - live.keys()))

    def _in_regions(self, hall_by_name: Mapping[str, str], regions: Regions) -> tuple[str, ...]:
        """Return the names of the routers whose halls are in allowed regions."""
        if regions is None:
            return tuple(hall_by_name)
        return tuple(
            name
            for name, hall in hall_by_name.items()
            if is_region_allowed(self.halls.region(hall), regions)
        )

    def live_routers(self) -> tuple[str, ...]:
        """Return the names of the routers that are neither draining nor gone."""
        return self._live_routers

    def note_unreachable(self, name: str) -> None:
        """Record that a call to a router failed."""
        self.gossip.mark_unreachable(name, self.clock())
        self.refresh_members()

    def is_reachable(self, name: str) -> bool:
        """Return whether a router is a member in this router's view."""
        return name in self._member_by_name

    def mark_reachable(self, name: str) -> None:
        """Record contact with a router that was unreachable for a while."""
        self.gossip.mark_reachable(name)
        self.refresh_members()

    def is_watcher(self) -> bool:
        """Return whether this router is one of those that watch the platform for their hall."""
        return self.name in watchers(self.hall, self._members)

    @abstractmethod
    def _set_live(self, live: tuple[Member, ...]) -> None:
        """Use another set of live routers from now on."""
