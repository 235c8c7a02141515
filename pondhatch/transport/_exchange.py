"""One request on a connection, and its answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import BodySource, ConnectionUse, Framing, ReplayableBody
from pondhatch.transport._connection_broken import ConnectionBroken
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS
from pondhatch.transport._head_verdict import TRUSTING_JUDGE, AnswerJudge, HeadVerdict
from pondhatch.transport._http_connection import Connection
from pondhatch.transport._http_heads import Request, ResponseHead
from pondhatch.transport._parts import PartPipe

#: Seconds within which an answer that is skipped must end. Its upstream had it whole before.
SKIP_SECONDS = 0.25
#: Maximum number of interim responses before an answer. Callers get none of them.
MAX_INTERIM_RESPONSES = 8


def no_counter() -> HeldCounter:
    """Return a counter that counts nothing, for exchanges of no account."""
    return UNCOUNTED


class Exchange:
    """One request and its answer."""

    def __init__(
        self,
        connection: Connection,
        keep_idle: Callable[[Connection], None],
        judge: AnswerJudge = TRUSTING_JUDGE,
        new_counter: Callable[[], HeldCounter] = no_counter,
        max_silent_ms: int = UNACKNOWLEDGED_MS,
        deadline_seconds: float = 0.0,
    ) -> None:
        #: Resolved with the response head. Its waiter may cancel it in the same turn of the loop
        #: in which the response arrives, so ``response`` holds what was received.
        self.head: asyncio.Future[ResponseHead] = asyncio.get_running_loop().create_future()
        self.response: ResponseHead | None = None
        self.pipe = PartPipe(connection.pause, connection.resume)
        self.pipe.use_counter(new_counter())
        self.connection = connection
        #: Milliseconds for which its bytes may be unacknowledged.
        self.max_silent_ms = max_silent_ms
        #: Whether an answer is read that is not the request's, and dropped.
        self.is_skipping = False
        #: More than one such answer is no longer a matter of lateness.
        self._has_skipped = False
        self._interim_responses = 0
        self._skip_timer: asyncio.TimerHandle | None = None
        #: Adds a connection to the idle ones.
        self._keep_idle = keep_idle
        #: Asked with each head on receipt, even if its waiter was cancelled.
        self._judge = judge
        self._verdict = HeadVerdict.UNPROVEN
        #: Seconds within which the request may be sent again, here or elsewhere.
        self._deadline_seconds = deadline_seconds
        #: Returns a counter for bytes buffered for the other side or for the answer's reader.
        self._new_counter = new_counter
        self._is_finished = False
        self._send_task: asyncio.Task[None] | None = None
        self._method = ""

    def send(self, request: Request, body: BodySource) -> None:
        """Write the request; a body that is not in memory is sent as it is received."""
        self._method = request.method
        self.connection.begin(self, request, body.length)
        if isinstance(body, ReplayableBody):
            self.connection.send_whole_body(body.content)
            return
        self._send_task = asyncio.ensure_future(self._send(body))

    async def _send(self, body: BodySource) -> None:
        try:
            await self.connection.send_body(body, self._new_counter())
        except Exception as error:
            # The waiter for the answer gets the reason why there is none.
            if not self.head.done():
                self.head.set_exception(error)
                self.head.exception()
            self.cancel()

    def note_begun(self, use: ConnectionUse, now: float) -> None:
        """Note in the connection's use that the request is sent."""
        if self._judge.awaited is not None:
            use.note_request(self._judge.awaited, now, self._deadline_seconds)

    def receive_interim_response(self) -> None:
        """Count an interim response. Raises ConnectionBroken if there are too many."""
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ConnectionBroken(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def receive_head(self, head: ResponseHead) -> None:
        """Store the response head and resolve ``head``, unless the answer is to be skipped."""
        can_skip = functools.partial(self._can_skip, head)
        self._verdict = self._judge.judge(head, self.connection.use, can_skip)
        if self._verdict is HeadVerdict.SKIPPED:
            self.is_skipping = self._has_skipped = True
            self._skip_timer = asyncio.get_running_loop().call_later(
                SKIP_SECONDS, self.connection.give_up, "an earlier request's answer did not end"
            )
            return
        self.response = head
        if not self.head.done():
            self.head.set_result(head)

    def end_skipping(self) -> None:
        """Note that an answer that is skipped was read to its end, or that nothing is skipped."""
        self.is_skipping = False
        if self._skip_timer is not None:
            self._skip_timer.cancel()
            self._skip_timer = None

    def complete(self, rest: bytes) -> None:
        """End the exchange with the rest of its complete answer."""
        if rest:
            self.pipe.put(rest)
        self._finish()
        self.pipe.end()

    def keep_connection(self) -> None:
        """Add the connection to the idle ones, as it is ready for another request."""
        self._keep_idle(self.connection)

    def has_own_answer(self) -> bool:
        """Return whether the answer read last is the request's own."""
        return self._verdict is HeadVerdict.OWN

    def _can_skip(self, head: ResponseHead) -> bool:
        """Return whether an answer can be read to its end, and another be told to follow it."""
        return (
            not self._has_skipped
            and not self.connection.has_carried_head_request
            and head.framing(self._method) is not Framing.CLOSE
            and not head.closes_connection()
        )

    def fail(self, error: ConnectionError) -> None:
        """End the exchange with an error."""
        self._finish()
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()  # Marks it as retrieved: its waiter may be gone.
        self.pipe.fail(error)

    def cancel(self) -> None:
        """Abort the exchange unless its answer is complete, and stop counting unread bytes.

        Idempotent.
        """
        self.pipe.stop_counting()
        if not self._is_finished:
            self._finish()
            self.connection.abort()

    def _finish(self) -> None:
        self._is_finished = True
        self.end_skipping()
        # The pipe may be read long after this, or never.
        self.pipe.release_source()
        if self._send_task is not None and self._send_task is not asyncio.current_task():
            self._send_task.cancel()
