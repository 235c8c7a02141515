"""Messages of the call by which one router relays a request of another to an engine.

The reply is a stream of messages: either one refusal, or the head of the engine's answer, its parts
and its end. A stream that ends otherwise is a lost hop, after which the request may have run.
"""

from __future__ import annotations

import msgspec

from pondhatch.requests import Broken, Headers, NotRun, Unknown

RELAY_METHOD = "/pondhatch.Peers/Relay"


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages in a reply."""


class RelayedRefusal(_Message, frozen=True, tag=1):
    """The request was not run."""

    refusal: NotRun


class RelayedLoss(_Message, frozen=True, tag=2):
    """The engine was lost before its answer; the request may have run."""

    outcome: Unknown


class RelayedHead(_Message, frozen=True, tag=3):
    """The head of the engine's answer."""

    status: int
    headers: Headers


class RelayedPart(_Message, frozen=True, tag=4):
    """A part of the answer's body."""

    data: bytes


class RelayedEnd(_Message, frozen=True, tag=5):
    """The answer is complete."""


class RelayedBreak(_Message, frozen=True, tag=6):
    """The answer broke off."""

    outcome: Broken


RelayReply = RelayedRefusal | RelayedLoss | RelayedHead | RelayedPart | RelayedEnd | RelayedBreak
