"""Callbacks and options by which a sender controls and observes an exchange."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.limits import HeldCounter
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS
from pondhatch.transport._exchange import no_counter
from pondhatch.transport._head_verdict import TRUSTING_JUDGE, AnswerJudge

#: Maximum idle connections per address.
IDLE_CONNECTIONS = 64


def _no_check() -> None:
    return None


class Hooks(msgspec.Struct, frozen=True):
    """Callbacks and options by which a sender controls and observes an exchange."""

    #: Decides whose each answer is; asked with its head on receipt, even if its waiter left.
    judge: AnswerJudge = TRUSTING_JUDGE
    #: Seconds within which the request may be sent again, here or elsewhere.
    deadline_seconds: float = 0.0
    #: Called right before the first byte is written; an exception stops the request.
    before_send: Callable[[], None] = _no_check
    #: Returns a counter for bytes of the exchange that are buffered here for either side.
    new_counter: Callable[[], HeldCounter] = no_counter
    #: Whether the request goes to an upstream rather than to the platform.
    to_upstream: bool = False
    #: Maximum idle connections to its address.
    max_idle: int = IDLE_CONNECTIONS
    #: Called when a new connection opened, even if the request no longer waits for it.
    on_connected: Callable[[], None] = _no_check
    #: Maximum seconds that the request waits for a new connection; None for the timeout of
    #: opening one. A connection that opens later is kept idle.
    patience: float | None = None
    #: Time from which on an idle connection must have received bytes to be used, in the loop's
    #: seconds.
    valid_since: float = float("-inf")
    #: Milliseconds for which the request's bytes may be unacknowledged.
    max_silent_ms: int = UNACKNOWLEDGED_MS


NO_HOOKS = Hooks()
