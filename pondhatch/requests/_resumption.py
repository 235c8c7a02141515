"""Goes on with one request after its answer broke: resumes its stream, or runs it once more."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.placement import ClosedReason
from pondhatch.requests._crash_guard import RequestWatch
from pondhatch.requests._dispatch_results import Placed, RetryLater, StreamPosition
from pondhatch.requests._engine_selection import EngineSelection, NewGrantRequest
from pondhatch.requests._entry_view import EntryView
from pondhatch.requests._messages import AnswerStarted, RequestHead
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._retry_limits import RetryLimits
from pondhatch.requests._stream_binding import NO_RETRY_LEFT, TRIES_SPENT, StreamBinding
from pondhatch.requests._try_requests import TryHeads
from pondhatch.requests._try_results import TryResults

#: Header with the id of the request whose stream is to resume.
RESUME_HEADER = "X-Resume"
#: Header with the number of events after which the stream is to resume.
RESUME_FROM_HEADER = "X-Resume-From"
OK = 200


class Resumption:
    """Goes on with one request's broken streams."""

    def __init__(
        self,
        view: EntryView,
        head: RequestHead,
        binding: StreamBinding,
        retries: RetryLimits,
        watch: RequestWatch,
        remaining: Callable[[], float],
        heads: TryHeads,
        results: TryResults,
        selection: EngineSelection,
    ) -> None:
        self._view = view
        self._head = head
        self._binding = binding
        self._retries = retries
        self._watch = watch
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._heads = heads
        self._results = results
        self._selection = selection
        #: How often a broken stream was resumed.
        self.count = 0

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine's broken stream may be resumed."""
        is_resumable = self._head.resumes_anywhere or self._view.can_resume(engine)
        return is_resumable and self._retries.has_replayable_body()

    async def resume(
        self, engine: str, position: StreamPosition, new_grant_request: NewGrantRequest
    ) -> Placed | RetryLater | None:
        """Resume a broken stream after the last event that its caller has.

        None means that it cannot be resumed, RetryLater that a later try may succeed.
        """
        if self._remaining() <= 0:
            return None
        refusal = await self._watch.wait_for_turn(self._remaining)
        if refusal is not None:
            self._binding.not_resumed = refusal.code
            return None
        if self._head.resumes_anywhere:
            resumed: Placed | RetryLater | None = await self._resume_elsewhere(
                engine, position, new_grant_request
            )
        else:
            resumed = await self._resume_at(engine, position, new_grant_request)
        if isinstance(resumed, Placed):
            self.count += 1
        return resumed

    async def rerun(self, engine: str, new_grant_request: NewGrantRequest) -> Placed | None:
        """Run the request once more, at the failed engine only if no other one takes it."""
        if self._retries.tries_are_spent():
            self._binding.not_resumed = TRIES_SPENT
            return None
        if not self._retries.spend_retry():
            self._binding.not_resumed = NO_RETRY_LEFT
            return None
        result = await self._selection.run_elsewhere(engine, new_grant_request)
        if isinstance(result, Placed):
            return result
        self._binding.not_resumed = result.refusal.code
        return None

    async def _resume_elsewhere(
        self, engine: str, position: StreamPosition, new_grant_request: NewGrantRequest
    ) -> Placed | None:
        """Run the rest of a stream at another engine."""
        if position.last_id:
            self._heads.continue_after(position.last_id)
        placed = await self.rerun(engine, new_grant_request)
        if placed is None or placed.reply.answer.status == OK:
            return placed
        placed.reply.answer.cancel()
        return None

    async def _resume_at(
        self, engine: str, position: StreamPosition, new_grant_request: NewGrantRequest
    ) -> Placed | RetryLater | None:
        """Ask the engine that ran the request to resume its stream."""
        answering_id = self._results.answering_id
        resuming = ((RESUME_HEADER, answering_id), (RESUME_FROM_HEADER, str(position.events)))
        reply = await self._selection.resume_at(engine, resuming, new_grant_request)
        if isinstance(reply, AnswerStarted):
            if reply.answer.status == OK:
                return self._results.note_answer(engine, reply)
            reply.answer.cancel()
            return None
        # The engine's reason does not matter: another try would add load that no retry budget
        # covers.
        was_refused = isinstance(reply, NotRun) and (
            reply.refusal is not None or reply.code == ClosedReason.OTHER_SOFTWARE_VERSION
        )
        return None if was_refused else RetryLater()
