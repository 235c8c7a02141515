"""Interface through which a connection reports what it reads of an answer."""

from __future__ import annotations

from typing import Protocol

from pondhatch.requests import ConnectionUse
from pondhatch.transport._http_heads import ResponseHead
from pondhatch.transport._parts import PartPipe


class CarriedExchange(Protocol):
    """The parts of an exchange that the connection which carries it uses."""

    @property
    def max_silent_ms(self) -> int:
        """Milliseconds for which its bytes may be unacknowledged."""

    @property
    def is_skipping(self) -> bool:
        """Whether an answer is read that is not the request's, and dropped."""

    @property
    def response(self) -> ResponseHead | None:
        """The answer's head, once received."""

    @property
    def pipe(self) -> PartPipe:
        """Takes the parts of the answer's body."""

    def note_begun(self, use: ConnectionUse, now: float) -> None:
        """Note in the connection's use that the request is sent."""

    def receive_interim_response(self) -> None:
        """Count an interim response. Raises ConnectionBroken if there are too many."""

    def receive_head(self, head: ResponseHead) -> None:
        """Receive the answer's head."""

    def end_skipping(self) -> None:
        """Note that an answer that is skipped was read to its end."""

    def complete(self, rest: bytes) -> None:
        """End the exchange with the rest of its complete answer."""

    def has_own_answer(self) -> bool:
        """Return whether the answer read last is the request's own."""

    def keep_connection(self) -> None:
        """Add the connection to the idle ones, as it is ready for another request."""

    def fail(self, error: ConnectionError) -> None:
        """End the exchange with an error."""
