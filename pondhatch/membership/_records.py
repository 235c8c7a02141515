"""What routers tell each other, as messages on the wire.

Wire messages are msgspec structs, frozen and sent as MessagePack arrays: the
nearest kin of frozen data classes that carries tagged unions in few bytes.
"""

from __future__ import annotations

import enum

import msgspec
import xxhash

from pondhatch.membership._capacity import USUAL_CAPACITY


def short_id(name: str) -> int:
    """Return the 32-bit id that stands for a name in packets."""
    return xxhash.xxh32_intdigest(name.encode())


class Phase(enum.IntEnum):
    """What a router says of itself."""

    LIVE = 0
    #: Finishing what it holds; takes no new work and owns no engine.
    DRAINING = 1
    LEFT = 2


class Status(enum.IntEnum):
    """What the others believe of a router; of two words the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all wire messages."""


class Alive(_Message, frozen=True, tag=1):
    """A router's word on itself."""

    router: int
    #: Starts as the process's start in milliseconds; a router that hears itself
    #: called suspect or dead raises it.
    incarnation: int
    phase: int
    name: str
    host: str
    #: TCP port of the peer service and UDP port of gossip.
    port: int
    hall: str
    #: False where it watches the platform for its hall, and cannot reach it.
    sees_platform: bool = True
    #: Multiple of a usual VM's; left out of the bytes while it is the usual one.
    capacity: float = USUAL_CAPACITY


class Fault(_Message, frozen=True, tag=2):
    """Another's word on a router that does not answer."""

    router: int
    incarnation: int
    #: A Status, SUSPECT or DEAD.
    status: int


Rumor = Alive | Fault


class Versions(_Message, frozen=True):
    """What a router holds."""

    configuration: int = 0
    upstreams: int = 0
    #: Of the evacuated halls; 0 where nothing is known of them.
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
    """Tells of something new at once."""

    sender: int
    versions: Versions
    rumors: tuple[Rumor, ...] = ()


class Sync(_Message, frozen=True, tag=14):
    """A part of the sender's whole view; ``wanted`` asks for the receiver's."""

    sender: int
    wants_reply: bool
    rumors: tuple[Rumor, ...] = ()


class ServiceLoad(_Message, frozen=True):
    """Load of a service, of one owner's engines or of many together."""

    #: Short id of the service.
    service: int
    engines: int
    #: Requests in flight at these engines together.
    in_flight: int


class RouterLoads(_Message, frozen=True, tag=20):
    """A router's own part, told to the speaker of its hall."""

    sender: int
    number: int
    loads: tuple[ServiceLoad, ...] = ()


class HallLoads(_Message, frozen=True, tag=21):
    """A hall's sum, told by its speaker to the other halls' speakers."""

    sender: int
    number: int
    hall: str
    loads: tuple[ServiceLoad, ...] = ()


class FleetLoads(_Message, frozen=True, tag=22):
    """The fleet's sum, passed down the tree of a hall."""

    #: The hall's speaker, who made the sum.
    sender: int
    number: int
    loads: tuple[ServiceLoad, ...] = ()


class LimitDemand(_Message, frozen=True):
    """What a router wants for an account."""

    account: str
    rate: float
    running: float


class LimitDemands(_Message, frozen=True, tag=30):
    """A router's demands, told to the home of these accounts."""

    #: The router's name.
    sender: str
    demands: tuple[LimitDemand, ...] = ()


class LimitShare(_Message, frozen=True):
    """What a home gives a router for an account."""

    account: str
    requests_per_second: float
    concurrency: float


class LimitShares(_Message, frozen=True, tag=31):
    """A home's answer to demands."""

    shares: tuple[LimitShare, ...] = ()


MembershipMessage = Ping | Ack | PingRequest | Announcement | Sync
LoadMessage = RouterLoads | HallLoads | FleetLoads
LimitMessage = LimitDemands | LimitShares
Packet = MembershipMessage | LoadMessage | LimitMessage
