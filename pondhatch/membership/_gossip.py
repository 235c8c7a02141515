"""Gossip: everything that routers exchange in small packets, membership, loads and limits."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._hall_tree import HallTree, TreeLevel
from pondhatch.membership._load_aggregation import FleetLoadView
from pondhatch.membership._member_table import Address
from pondhatch.membership._members import Member
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import (
    Alive,
    Confirmation,
    FleetLoads,
    HallLoads,
    LimitDemands,
    LimitMessage,
    LimitShares,
    Packet,
    Phase,
    RouterLoads,
    ServiceLoad,
    Versions,
    short_id,
)
from pondhatch.membership._swim import Membership


class Gossip:
    """One router's part in the gossip, without I/O: packets and time in, packets out."""

    def __init__(
        self,
        own: Alive,
        limits: MembershipLimits,
        rng: random.Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        self.membership = Membership(own, limits, rng, seeds)
        self._tree = HallTree(own.name, own.hall)
        self._loads = FleetLoadView(own.name, own.hall, self._tree)
        self._own_loads: tuple[ServiceLoad, ...] = ()
        #: Handles the messages about accounts' limits.
        self.on_limits: Callable[[LimitMessage, Address], list[Datagram]] | None = None
        #: Handles what another router says of the platform.
        self.on_confirmation: Callable[[Confirmation], list[Datagram]] | None = None
        self._decoder = msgspec.msgpack.Decoder(Packet)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add addresses to contact while no peer is known."""
        self.membership.add_seeds(seeds)

    def publish(
        self,
        phase: Phase,
        configuration: int,
        upstreams: int,
        loads: tuple[ServiceLoad, ...],
        sees_platform: bool = True,
        evacuations: int = 0,
    ) -> None:
        """Set what this router publishes: its phase, versions and loads.

        ``configuration``, ``upstreams`` and ``evacuations`` are the versions that it holds.
        """
        self.membership.publish(phase, configuration, upstreams, sees_platform, evacuations)
        self._own_loads = loads

    def tick(self, now: float) -> list[Datagram]:
        """Return the packets that are due."""
        members = self.membership.members(now)
        return [
            *self.membership.tick(now),
            *self._loads.tick(now, members, self._own_loads),
        ]

    def is_gone(self, name: str) -> bool:
        """Return whether a router has left or was found dead."""
        return self.membership.is_gone(name)

    def own_incarnation(self) -> int:
        """Return this router's incarnation, raised whenever it refutes that it is gone."""
        return self.membership.own_record.incarnation

    def is_gone_by_id(self, router: int) -> bool:
        """Return whether a router has left or was found dead, by its short id."""
        return self.membership.is_gone_by_id(router)

    def out_of_reach(self, since: float, now: float) -> dict[str, str]:
        """Return the halls of the routers that are out of reach, by name; see Membership."""
        return self.membership.out_of_reach(since, now)

    def is_stranded(self) -> bool:
        """Return whether this router knows addresses of others, and has never heard of any."""
        return self.membership.is_stranded()

    def versions(self) -> dict[str, Versions]:
        """Return the last known versions of each router, this one included."""
        return self.membership.versions()

    def newest_configuration(self) -> int:
        """Return the newest configuration version that any router is known to hold."""
        return self.membership.newest_configuration()

    def routers_ahead(self) -> tuple[str, ...]:
        """Return the routers that are known to hold anything newer than this one."""
        return self.membership.routers_ahead()

    def announcements(self) -> list[Datagram]:
        """Return packets that announce this router's state to some peers at once."""
        return self.membership.announcements()

    def receive(self, payload: bytes, source: Address, now: float) -> list[Datagram]:
        """Handle a packet and return the replies; a malformed packet is dropped."""
        try:
            message = self._decoder.decode(payload)
        except (msgspec.DecodeError, ValueError):
            return []
        if isinstance(message, LimitDemands | LimitShares):
            return self.on_limits(message, source) if self.on_limits is not None else []
        if isinstance(message, Confirmation):
            self.membership.record_versions(message.sender, message.versions)
            return self.on_confirmation(message) if self.on_confirmation is not None else []
        if isinstance(message, RouterLoads | HallLoads | FleetLoads):
            return self._loads.receive(message, now, self.membership.members(now))
        return self.membership.receive(message, source, now)

    def tree_level(self, now: float) -> TreeLevel:
        """Return this router's distance from the top of the fleet."""
        self._tree.update(self.membership.members(now))
        return self._tree.level

    def confirmations(self, message: Confirmation, now: float, is_own: bool) -> list[Datagram]:
        """Return the packets that pass a confirmation down the tree.

        ``is_own`` is whether this router asked the platform itself; if it is the first of its
        hall, the first ones of the other halls are told as well.
        """
        self._tree.update(self.membership.members(now))
        tops = self._tree.other_tops if is_own and self._tree.is_top else ()
        return [datagram_to(each.address, message) for each in (*tops, *self._tree.children)]

    def limit_datagram(self, message: LimitMessage, to: Address) -> Datagram:
        """Return a packet with limit demands or shares."""
        return datagram_to(to, message)

    def mark_unreachable(self, name: str, now: float) -> None:
        """Record a failed call to a router: it gets no work for a while."""
        self.membership.mark_unreachable(name, now)

    def mark_reachable(self, name: str) -> None:
        """Record a message from a router itself: it can be reached again."""
        self.membership.mark_reachable(name)

    def members(self, now: float) -> tuple[Member, ...]:
        """Return this router and all others that are present and reachable, sorted by name."""
        return self.membership.members(now)

    def address_of(self, name: str) -> Address | None:
        """Return another router's address, reachable or not; None if unknown."""
        entry = self.membership.table.get(short_id(name))
        return entry.address if entry is not None else None

    def in_flight_elsewhere(self, service: str, now: float) -> int:
        """Return a service's requests in flight at the other routers' engines."""
        return self._loads.in_flight_elsewhere(short_id(service), now)
