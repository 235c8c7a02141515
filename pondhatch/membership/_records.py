"""The gossip messages that routers exchange.

Messages are frozen msgspec structs, encoded as MessagePack arrays: like frozen data classes, but
with tagged unions in few bytes.
"""

from __future__ import annotations

import enum

import msgspec
import xxhash

from pondhatch.membership._capacity import USUAL_CAPACITY


def short_id(name: str) -> int:
    """Return the 32-bit id that represents a name in packets."""
    return xxhash.xxh32_intdigest(name.encode())


class Phase(enum.IntEnum):
    """The phase that a router publishes about itself."""

    LIVE = 0
    #: Finishing its requests; accepts no new ones and owns no engine.
    DRAINING = 1
    LEFT = 2


class Status(enum.IntEnum):
    """The status of a router as seen by the others; of one incarnation the highest applies."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Alive(_Message, frozen=True, tag=1):
    """The record that a router publishes about itself."""

    #: Short id of the router.
    router: int
    #: Initially the start of the process in milliseconds since 1970. A router raises it to refute
    #: that it is suspect or dead, and with each change of this record.
    incarnation: int
    #: A Phase.
    phase: int
    name: str
    host: str
    #: TCP port of the peer service and UDP port of gossip.
    port: int
    hall: str
    #: False if it watches the platform for its hall and cannot reach it.
    sees_platform: bool = True
    #: Multiple of a usual VM's capacity; not encoded if it is the usual one.
    capacity: float = USUAL_CAPACITY


class Fault(_Message, frozen=True, tag=2):
    """A report by another router that a router does not answer."""

    router: int
    incarnation: int
    #: A Status, SUSPECT or DEAD.
    status: int


Rumor = Alive | Fault


class Versions(_Message, frozen=True):
    """The versions of the data that a router holds."""

    configuration: int = 0
    upstreams: int = 0
    #: Version of the list of evacuated halls; 0 if unknown.
    evacuations: int = 0


class Ping(_Message, frozen=True, tag=10):
    """Asks a router for an Ack with the same number."""

    sender: int
    number: int
    versions: Versions
    #: Fingerprint of the sender's view of the fleet.
    view_fingerprint: int
    rumors: tuple[Rumor, ...] = ()


class Ack(_Message, frozen=True, tag=11):
    """Answers a Ping."""

    sender: int
    number: int
    versions: Versions
    view_fingerprint: int
    rumors: tuple[Rumor, ...] = ()


class PingRequest(_Message, frozen=True, tag=12):
    """Asks a router to ping another and pass on its Ack."""

    sender: int
    number: int
    target: int


class Announcement(_Message, frozen=True, tag=13):
    """Announces a change at once, outside of pings."""

    sender: int
    versions: Versions
    rumors: tuple[Rumor, ...] = ()


class FullSyncPart(_Message, frozen=True, tag=14):
    """A part of the sender's whole view; ``wants_reply`` asks for the receiver's."""

    sender: int
    wants_reply: bool
    rumors: tuple[Rumor, ...] = ()


class Confirmation(_Message, frozen=True, tag=15):
    """Tells that what the sender holds was the newest at the platform, and how long ago."""

    sender: int
    #: What the sender holds.
    versions: Versions
    #: The platform's position up to which that is complete.
    position: int
    #: Milliseconds since the platform was asked.
    age_ms: int


class ServiceLoad(_Message, frozen=True):
    """Load of a service at the engines of one owner, a hall or the fleet."""

    #: Short id of the service.
    service: int
    engines: int
    #: Sum of the requests in flight at these engines.
    in_flight: int


class RouterLoads(_Message, frozen=True, tag=20):
    """The loads at one router's engines, sent to the aggregator of its hall."""

    sender: int
    number: int
    loads: tuple[ServiceLoad, ...] = ()


class HallLoads(_Message, frozen=True, tag=21):
    """A hall's sum, sent by its aggregator to those of the other halls."""

    sender: int
    number: int
    hall: str
    loads: tuple[ServiceLoad, ...] = ()


class FleetLoads(_Message, frozen=True, tag=22):
    """The fleet's sum, sent down the tree of a hall."""

    #: Short id of the hall's aggregator, which made the sum.
    sender: int
    number: int
    loads: tuple[ServiceLoad, ...] = ()


class LimitDemand(_Message, frozen=True):
    """What a router demands of an account's limits."""

    account: str
    rate: float
    running: float


class LimitDemands(_Message, frozen=True, tag=30):
    """A router's demands, sent to the home router of these accounts."""

    #: The router's name.
    sender: str
    demands: tuple[LimitDemand, ...] = ()


class LimitShare(_Message, frozen=True):
    """The share of an account's limits that its home router gives another router."""

    account: str
    requests_per_second: float
    concurrency: float


class LimitShares(_Message, frozen=True, tag=31):
    """A home router's answer to demands."""

    shares: tuple[LimitShare, ...] = ()


MembershipMessage = Ping | Ack | PingRequest | Announcement | FullSyncPart
LoadMessage = RouterLoads | HallLoads | FleetLoads
LimitMessage = LimitDemands | LimitShares
Packet = MembershipMessage | Confirmation | LoadMessage | LimitMessage
