"""An answer that is read from an upstream's connection, until its deadline."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from pondhatch.requests import AnswerLost, Broken, Headers, PartSink, Try
from pondhatch.transport._exchange import Exchange


class UpstreamAnswer:
    """An answer read from an upstream's connection; see AnswerStream."""

    def __init__(
        self,
        exchange: Exchange,
        status: int,
        headers: Headers,
        attempt: Try,
        deadline: float,
    ) -> None:
        self.status: int = status
        self.headers = headers
        self._exchange = exchange
        self._attempt = attempt
        self._has_expired = False
        #: One timer for the whole answer is cheaper than one for each part.
        self._timer = asyncio.get_running_loop().call_at(deadline, self._expire)

    async def stream_to(self, sink: PartSink) -> None:
        """Write every part to a sink; see AnswerStream."""
        try:
            await self._exchange.pipe.stream_to(sink)
        except ConnectionError as error:
            raise self._answer_lost(str(error), was_cut=not self._has_expired) from error
        self._timer.cancel()
        self._attempt.ended()

    def cancel(self) -> None:
        """Close the connection, unless the answer was read to its end."""
        self._timer.cancel()
        self._exchange.cancel()

    def _expire(self) -> None:
        self._has_expired = True
        self._exchange.pipe.fail(ConnectionError("the deadline passed"))
        self._exchange.cancel()

    def _answer_lost(self, reason: str, was_cut: bool) -> AnswerLost:
        outcome = self._attempt.lost(reason)
        if not isinstance(outcome, Broken):
            raise TypeError(f"an answer cannot be lost as {outcome}")
        return AnswerLost(replace(outcome, connection_lost=was_cut))
