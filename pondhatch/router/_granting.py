"""Grants of one router, both sides: packets to and from the other routers."""

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

#: First byte of a packet on grants; no packet of membership begins with it.
GRANT_MARK = b"\x01"
#: Nanoseconds of one question: a router that restarts begins beyond all it asked before,
#: while it asks fewer than a million questions a second and restarts within an hour.
NANOSECONDS_A_NUMBER = 1000

#: An incarnation starts as milliseconds since 1970, and grows by one with each suspicion that
#: a router contradicts; a larger step is a new process.
RESTART_STEP = 500

SendAll = Callable[[Iterable[Datagram]], None]


class Granting:
    """Puts the entry's and the owner's side together; see Grants for what walks use."""

    def __init__(self, state: RouterState, send: SendAll, tasks: Tasks, started_ns: int) -> None:
        self.owner = LocalOwner(
            state.name,
            state,
            state.gate,
            state.memory,
            state.clock,
            state.health,
            state.cold_paces,
            state.tokens,
        )
        first = started_ns // NANOSECONDS_A_NUMBER % NUMBER_LIMIT
        router = short_id(state.name)
        self.entry = EntryGrants(
            state.name, router, self.owner, self._send_to, first, state.heard_from
        )
        self._sides = GrantSides(self.entry, OwnerGrants(self.owner, tasks))
        self._state = state
        self._send = send
        #: Newest incarnation of each router that was ever a member.
        self._incarnation_by_name: dict[str, int] = {}
        #: The members as of the last look for those that came back as a new process.
        self._looked_at: tuple[Member, ...] | None = None
        #: The routers by whose ownership grants are held.
        self._followed: tuple[Member, ...] = ()
        #: Packets sent and received, for the dump.
        self.packets = 0

    def receive(self, payload: bytes, source: Address) -> None:
        """Take in a packet, its mark left out; one that does not parse is dropped."""
        packet = decode_grant_packet(payload)
        self.packets += 1

        def answer(reply: GrantPacket) -> None:
            self._send_packet(source, reply)

        if packet is not None:
            self._sides.receive(packet, answer)

    def follow_members(self) -> None:
        """Hold at new owners what requests hold, as soon as the live routers changed.

        Until a new owner is told, it takes its engines to be empty, and grants up to their
        ceiling beside what runs there.
        """
        members = self._state.members()
        if members is not self._followed:
            self._followed = members
            self.entry.move_to_new_owners(self._state.owner_name)

    def tick(self) -> None:
        """Do what is due each round."""
        for name in self._restarted():
            self.owner.router_restarted(short_id(name))
            self.entry.report_held_grants(name)
        for router in self.owner.holding_routers():
            if self._state.gossip.is_gone_by_id(router):
                self.owner.router_gone(router)
        self._sides.tick(self._state.clock(), self._state.owner_name)

    def _restarted(self) -> list[str]:
        """Return the routers that came back as a new process since the last round."""
        members = self._state.members()
        if members is self._looked_at:
            return []
        self._looked_at = members
        now = {member.name: member.incarnation for member in members}
        known = self._incarnation_by_name
        self._incarnation_by_name = {**known, **now}
        return [name for name in now if now[name] - known.get(name, now[name]) >= RESTART_STEP]

    def _send_to(self, router: str, packet: GrantPacket) -> None:
        address = self._state.gossip.address(router)
        if address is not None:
            self._send_packet(address, packet)

    def _send_packet(self, to: Address, packet: GrantPacket) -> None:
        self.packets += 1
        self._send([Datagram(to, GRANT_MARK + encode_grant_packet(packet))])
