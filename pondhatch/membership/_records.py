"""What routers tell each other about themselves, as messages on the wire.

Wire messages are msgspec structs, frozen and sent as MessagePack arrays: the
nearest kin of frozen data classes that carries tagged unions in few bytes.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

#: Bytes of a router's or service's short id on the wire.
SHORT_ID_BYTES = 4


def short_id(name: str) -> int:
    """Return the 32-bit id that stands for a name in gossip packets."""
    digest = hashlib.blake2b(name.encode(), digest_size=SHORT_ID_BYTES)
    return int.from_bytes(digest.digest(), "big")


class Phase(enum.IntEnum):
    """What a router says of itself."""

    LIVE = 0
    #: Finishing what it holds; takes no new work and owns no engine.
    DRAINING = 1
    LEFT = 2


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """One owner's part of a service's load."""

    #: Short id of the service.
    service: int
    #: Engines of the service that the sender owns.
    engines: int
    #: Requests in flight at these engines together.
    in_flight: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A router's changing state; a higher (incarnation, beat) is newer."""

    router: int
    #: Start of the process, in milliseconds; grows with each restart.
    incarnation: int
    beat: int
    phase: int
    #: Version of the configuration in force.
    configuration: int
    #: Version of the list of upstreams.
    upstreams: int
    loads: tuple[ServiceLoad, ...] = ()

    @property
    def age_key(self) -> tuple[int, int]:
        """Return what orders two heartbeats of one router."""
        return (self.incarnation, self.beat)


class Profile(msgspec.Struct, frozen=True, array_like=True):
    """A router's unchanging state, sent only to those that lack it."""

    router: int
    incarnation: int
    name: str
    host: str
    #: TCP port of the peer service and UDP port of gossip.
    port: int
    hall: str


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One gossip datagram."""

    sender: int
    heartbeats: tuple[Heartbeat, ...] = ()
    profiles: tuple[Profile, ...] = ()
    #: Routers whose profile the sender lacks.
    wanted: tuple[int, ...] = ()
