"""What a walk is given and what it comes to."""

from __future__ import annotations

import msgspec

from pondhatch.requests._messages import Opened
from pondhatch.requests._outcomes import Refusal


class Placed(msgspec.Struct, frozen=True):
    """An engine answers the request."""

    reply: Opened
    engine: str


class Refused(msgspec.Struct, frozen=True):
    """The request got its final refusal."""

    refusal: Refusal


class Unready(msgspec.Struct, frozen=True):
    """Neither the engine nor its owner could be asked just now."""


class Position(msgspec.Struct, frozen=True):
    """How much of a stream its caller has."""

    #: Whole events.
    events: int
    #: Id of the last of them; empty where it told none.
    last_id: str = ""


class Patience(msgspec.Struct, frozen=True):
    """How long a request may wait in an engine's line, in seconds."""

    #: Before the engine that is believed to hold its chat's context.
    context: float
    #: Before the last engine that is left to ask.
    last: float


NO_PATIENCE = Patience(0.0, 0.0)
