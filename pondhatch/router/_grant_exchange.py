"""Exchanges grant packets with the other routers, as entry router and as owner."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pondhatch.kernel import Tasks
from pondhatch.membership import Address, Datagram, Member, short_id
from pondhatch.requests import (
    NUMBER_LIMIT,
    EntryGrants,
    GrantPacket,
    GrantSides,
    LocalOwner,
    OwnerGrants,
    decode_grant_packet,
    encode_grant_packet,
)
from pondhatch.router._state import RouterState

#: First byte of a grant packet; no membership packet begins with it.
GRANT_PACKET_PREFIX = b"\x01"
#: Nanoseconds of the start time per grant request number. So a restarted router begins beyond all
#: numbers it used before, as long as it sends fewer than a million grant requests a second and
#: restarts within an hour.
NANOSECONDS_PER_NUMBER = 1000

#: Step of a router's incarnation from which it counts as a new process. An incarnation starts as
#: milliseconds since 1970 and grows by one with each suspicion that the router refutes.
RESTART_INCARNATION_STEP = 500

SendAll = Callable[[Iterable[Datagram]], None]


class GrantExchange:
    """Combines the entry's and the owner's side of grants; see Grants for the entry's interface."""

    def __init__(self, state: RouterState, send: SendAll, tasks: Tasks, started_ns: int) -> None:
        self.owner = LocalOwner(
            state.name,
            state,
            state.gate,
            state.spill_locations,
            state.clock,
            state.health,
            state.cold_pacer,
            state.token_counts,
        )
        first = started_ns // NANOSECONDS_PER_NUMBER % NUMBER_LIMIT
        router = short_id(state.name)
        self.entry = EntryGrants(
            state.name, router, self.owner, self._send_to, first, state.mark_reachable
        )
        self._sides = GrantSides(self.entry, OwnerGrants(self.owner, tasks))
        self._state = state
        self._send = send
        #: The newest incarnation of each router that was ever a member.
        self._incarnation_by_name: dict[str, int] = {}
        #: The members as of the last check for restarted routers.
        self._checked_members: tuple[Member, ...] | None = None
        #: The members when grants were last moved to new owners.
        self._followed_members: tuple[Member, ...] = ()
        #: This router's own incarnation in the last round.
        self._own_incarnation = state.gossip.own_incarnation()
        #: Packets sent and received, for the dump.
        self.packet_count = 0

    def receive(self, payload: bytes, source: Address) -> None:
        """Handle a packet without its prefix; a packet that does not parse is dropped."""
        packet = decode_grant_packet(payload)
        self.packet_count += 1

        def answer(reply: GrantPacket) -> None:
            self._send_packet(source, reply)

        if packet is not None:
            self._sides.receive(packet, answer)

    def follow_members(self) -> None:
        """Move the grants that requests hold to the new owners once the members changed.

        Otherwise a new owner would count its engines as idle, and grant up to their ceiling on top
        of the requests that run there.
        """
        members = self._state.members()
        if members is not self._followed_members:
            self._followed_members = members
            self.entry.move_to_new_owners(self._state.owner_name)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        for name in self._restarted_routers():
            self.owner.router_restarted(short_id(name))
            self.entry.report_held_grants(name)
        for router in self.owner.holding_routers():
            if self._state.gossip.is_gone_by_id(router):
                self.owner.router_gone(router)
        self._renew_if_refuted()
        self._sides.tick(self._state.clock(), self._state.owner_name)

    def _renew_if_refuted(self) -> None:
        """Renew all grants once this router has refuted that it is suspect or dead.

        Owners that found it dead, as it stood still or was cut off, gave up its grants, whose
        requests still run.
        """
        incarnation = self._state.gossip.own_incarnation()
        if incarnation != self._own_incarnation:
            self._own_incarnation = incarnation
            self.entry.renew_soon()

    def _restarted_routers(self) -> list[str]:
        """Return the names of the routers that restarted since the last round."""
        members = self._state.members()
        if members is self._checked_members:
            return []
        self._checked_members = members
        incarnation_by_name = {member.name: member.incarnation for member in members}
        known = self._incarnation_by_name
        self._incarnation_by_name = {**known, **incarnation_by_name}
        return [
            name
            for name in incarnation_by_name
            if incarnation_by_name[name] - known.get(name, incarnation_by_name[name])
            >= RESTART_INCARNATION_STEP
        ]

    def _send_to(self, router: str, packet: GrantPacket) -> None:
        address = self._state.gossip.address_of(router)
        if address is not None:
            self._send_packet(address, packet)

    def _send_packet(self, to: Address, packet: GrantPacket) -> None:
        self.packet_count += 1
        self._send([Datagram(to, GRANT_PACKET_PREFIX + encode_grant_packet(packet))])
