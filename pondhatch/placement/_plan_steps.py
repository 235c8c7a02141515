"""What a plan says next: the engine to ask, or that there is none left."""

from __future__ import annotations

import msgspec


class Ask(msgspec.Struct, frozen=True):
    """Ask the owner of this engine for a grant."""

    engine: str
    #: Whether to grant even if the context is at another engine or this engine is ailing.
    is_forced: bool = False
    #: Whether this engine is believed to hold the chat's context.
    has_context: bool = False
    #: Whether this is the last resort, as no other engine is left to ask.
    is_last: bool = False
    #: Whether the request is to be sent to the engine again over a new connection.
    needs_new_connection: bool = False


class Exhausted(msgspec.Struct, frozen=True):
    """No engine granted the request; it did not run anywhere."""

    asked: tuple[str, ...]


Step = Ask | Exhausted
