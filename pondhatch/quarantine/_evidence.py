"""Messages between routers about requests, and parts of prompts, that may crash engines."""

from __future__ import annotations

import msgspec


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """An engine crashed while it ran a request, or one with a part of its prompt."""

    #: Digest of the request, the same for all attempts at it, or of the part of its prompt.
    digest: int
    #: Name of the crash: the engine's name, made unique for each of its crashes.
    engine: str
    #: Milliseconds since the run lost its connection; an age, since routers' clocks differ.
    age_ms: int
    #: Whether the request, or one with the part, has completed elsewhere: it was not the cause.
    cleared: bool = False
    #: Whether it is about a part of prompts.
    is_part: bool = False
    #: Milliseconds for which the run had lasted when it lost its connection; 0 from routers that
    #: do not say, whose evidence then stands for itself.
    run_ms: int = 0
    #: Whether nothing of the service had been completed at the router shortly before, so that no
    #: run of the request can have been.
    is_cold: bool = False


class EvidencePacket(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """Some evidence; the result does not depend on its order or on repetitions."""

    evidence: tuple[Evidence, ...]


class RunClaim(msgspec.Struct, frozen=True, array_like=True):
    """A router's claim to run a suspected request.

    Claims have their turn by ticket, as in Lamport's bakery algorithm, then by router and number.
    """

    #: Digest of the request, or of the most suspected part of its prompt.
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
