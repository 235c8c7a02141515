"""Messages between routers about requests that may crash engines."""

from __future__ import annotations

import msgspec


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """An engine crashed while it ran a request."""

    #: Digest of the request, the same for all attempts at it.
    digest: int
    #: Name of the crash: the engine's name, made unique for each of its crashes.
    engine: str
    #: Milliseconds since the crash; an age, since routers' clocks differ.
    age_ms: int
    #: Whether the request has since completed elsewhere, so that it was not the cause.
    cleared: bool = False


class EvidencePacket(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """Some evidence; the result does not depend on its order or on repetitions."""

    evidence: tuple[Evidence, ...]


class RunClaim(msgspec.Struct, frozen=True, array_like=True):
    """A router's claim to run a suspected request.

    Claims have their turn by ticket, as in Lamport's bakery algorithm, then by router and number.
    """

    #: Digest of the request.
    digest: int
    #: Place in the queue of claims: one above all tickets that the router knew of when it made the
    #: claim.
    ticket: int
    #: Short id of the router.
    router: int
    #: Number of the claim among those of its router.
    number: int


class RunClaimPacket(msgspec.Struct, frozen=True, array_like=True, tag=81):
    """Announces a claim, or its end."""

    claim: RunClaim
    has_ended: bool = False
