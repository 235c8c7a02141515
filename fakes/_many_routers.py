"""One router's state in a fleet of hundreds, to measure what the others cost it."""

from __future__ import annotations

import random

from pondhatch.membership import Address, Alive, Gossip, Member, MembershipLimits, Phase, short_id
from pondhatch.membership._datagrams import datagram_to
from pondhatch.membership._records import Announcement, Versions
from pondhatch.requests import KeyHolder
from pondhatch.router import RouterState
from pondhatch.store import Listed, StoredObject

HALL_COUNT = 6
#: Sender of all packets.
SENDER = Address("10.0.0.2", 7000)


class ManyRouters:
    """The state of router r0, which knows all other routers and the upstreams."""

    def __init__(self, routers: int, upstreams: int) -> None:
        own_record = _alive_record("r0", 0, 1, Phase.LIVE)
        gossip = Gossip(own_record, MembershipLimits(), random.Random(1))
        self.state = RouterState("r0", hall_of(0), gossip, lambda: 0.0, _no_key_holder)
        listed = tuple(listed_upstream(number, hall_of(number)) for number in range(upstreams))
        self.state.apply_listed_upstreams(Listed(upstreams, listed))
        for index in range(1, routers):
            self.receive_member(index, 1)

    def receive_member(self, number: int, incarnation: int, phase: Phase = Phase.LIVE) -> None:
        """Receive another router's record of itself, then run the router's periodic work."""
        self.receive(
            Announcement(
                short_id("r1"),
                Versions(),
                (_alive_record(f"r{number}", number, incarnation, phase),),
            )
        )
        self.state.tick()

    def receive_unchanged(self) -> None:
        """Receive a packet without records."""
        self.receive(Announcement(short_id("r1"), Versions(), ()))

    def receive(self, message: Announcement) -> None:
        """Receive a packet as a router does."""
        payload = datagram_to(SENDER, message).payload
        self.state.gossip.receive(payload, SENDER, 0.0)
        self.state.refresh_members()
        self.state.gossip.routers_ahead()


def hall_of(number: int) -> str:
    """Return the hall of the router or upstream with this number."""
    return f"h{number % HALL_COUNT}"


def listed_upstream(number: int, hall: str) -> StoredObject:
    """Return an upstream as the platform lists it."""
    url = f"http://10.1.0.{number}:1"
    value = {"name": f"e{number}", "url": url, "service": "s", "hall": hall, "state": "live"}
    return StoredObject("upstream", f"e{number}", number + 1, value)


def _alive_record(name: str, number: int, incarnation: int, phase: Phase) -> Alive:
    return Alive(
        short_id(name), incarnation, phase, name, "10.0.0.9", 7000 + number, hall_of(number)
    )


def _no_key_holder(member: Member) -> KeyHolder:
    raise NotImplementedError(f"nothing is sent to {member.name} here")
