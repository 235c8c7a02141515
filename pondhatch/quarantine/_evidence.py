"""What routers tell each other of requests under which engines end."""

from __future__ import annotations

import msgspec


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """One engine ended while it ran one request."""

    #: Of the request, alike in all attempts at it.
    digest: int
    #: The engine, by a name that no other end of it has.
    engine: str
    #: Milliseconds since it ended; routers' clocks differ, ages hardly do.
    age_ms: int
    #: Whether the request has come through whole elsewhere since, so that it was not the cause.
    cleared: bool = False


class EvidencePacket(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """Some evidence; taken in any order and any number of times, it comes to the same."""

    evidence: tuple[Evidence, ...]


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """A router's claim to be the one that runs a suspected request, or the end of it."""

    digest: int
    #: One above all that the router had heard of for this request.
    ticket: int
    #: Short id of the router, and its own number of the claim.
    router: int
    number: int


class TrialPacket(msgspec.Struct, frozen=True, array_like=True, tag=81):
    """A claim that begins or ends."""

    trial: Trial
    has_ended: bool = False
