"""Runs admitted requests: places them and forwards their answers."""

from __future__ import annotations

import asyncio
import time

from pondhatch.observing import log_for
from pondhatch.requests import (
    AnswerStream,
    Broken,
    Delivery,
    Dispatch,
    KeyedRun,
    KeyRecord,
    NewKey,
    NotRun,
    Placed,
    Unknown,
    UsedKey,
    Whole,
    is_event_stream,
    kept_answer,
    used_key_refusal,
)
from pondhatch.router import ANONYMOUS
from pondhatch.transport._admitted_request import AdmittedRequest
from pondhatch.transport._answer_copy import AnswerCopy, CopyingSink
from pondhatch.transport._answers import Answers, replay
from pondhatch.transport._caller_request import CallerRequest
from pondhatch.transport._caller_writer import CallerWriter
from pondhatch.transport._interface import CallerDependencies
from pondhatch.transport._outcome_recorder import (
    CALLER_GONE,
    OutcomeRecorder,
    ServedOutcome,
    Timings,
)

log = log_for("callers")


class RequestRunner:
    """Runs admitted requests and writes their answers or refusals to callers."""

    def __init__(self, dependencies: CallerDependencies, answers: Answers) -> None:
        self._state = dependencies.state
        self._collaborators = dependencies.collaborators
        self._metrics = dependencies.metrics
        self._tasks = dependencies.tasks
        self._outcome_recorder = OutcomeRecorder(
            dependencies.state, dependencies.metrics, dependencies.records
        )
        self._answers = answers
        #: Tasks of requests with an idempotency key that continue after their callers left.
        self.detached_tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, request: CallerRequest, admitted_request: AdmittedRequest, started_at: float
    ) -> None:
        """Serve one request; a caller that leaves cancels it, unless it has an idempotency key.

        ``started_at`` is the receipt of its head, in seconds of the monotonic clock.
        """
        if admitted_request.idempotency_key is None:
            try:
                await self._serve(request, admitted_request, started_at)
            finally:
                admitted_request.body_counter.close()
            return
        task = self._tasks.start(self._serve(request, admitted_request, started_at))
        # Not in the task itself: a task cancelled before its first step runs no cleanup.
        task.add_done_callback(lambda _: admitted_request.body_counter.close())
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            self._detach(task, request)
            raise

    def _detach(self, task: asyncio.Task[None], request: CallerRequest) -> None:
        """Let a request with an idempotency key run on, so that a retry gets its answer.

        If it were cancelled, its outcome would be unknown and a retry with its key refused.
        """
        if not request.pipe.ended:
            task.cancel()  # The rest of its body will not arrive.
        self.detached_tasks.add(task)
        task.add_done_callback(self.detached_tasks.discard)

    async def _serve(
        self, request: CallerRequest, admitted_request: AdmittedRequest, started_at: float
    ) -> None:
        """Serve one request to its end, then free its slot in its account's concurrency limit."""
        try:
            if admitted_request.idempotency_key is not None:
                await self._run_keyed(
                    request, admitted_request, admitted_request.idempotency_key, started_at
                )
            else:
                await self._run(request, admitted_request, started_at, AnswerCopy())
        finally:
            if admitted_request.account is not ANONYMOUS:
                self._state.limits.end_request(admitted_request.account.name)

    async def _run_keyed(
        self, request: CallerRequest, admitted_request: AdmittedRequest, key: str, started_at: float
    ) -> None:
        """Run a request under its key, or replay the stored answer of the first with that key."""
        head = admitted_request.head
        digest = f"{head.method} {head.path} {admitted_request.body.length}"
        record = KeyRecord(digest, self._state.name, head.request_id)
        keyed = KeyedRun(self._state, key, record, admitted_request.head.regions)
        claim = await keyed.begin()
        if isinstance(claim, UsedKey) and claim.record.digest == digest and claim.record.answer:
            replay(request, self._answers, claim.record.answer, head.request_id)
            self._tasks.start(keyed.end_unanswered_claims(asyncio.sleep))
            return
        if not isinstance(claim, NewKey):
            refusal = claim if isinstance(claim, NotRun) else used_key_refusal(claim, record)
            self._answers.refuse(request, refusal)
            self._tasks.start(keyed.end_unanswered_claims(asyncio.sleep))
            return
        copy = AnswerCopy()
        outcome: ServedOutcome = CALLER_GONE
        try:
            outcome = await self._run(request, admitted_request, started_at, copy)
        finally:
            self._tasks.start(_finish_keyed(keyed, outcome, copy))

    async def _run(
        self,
        request: CallerRequest,
        admitted_request: AdmittedRequest,
        started_at: float,
        copy: AnswerCopy,
    ) -> ServedOutcome:
        deadline = started_at + admitted_request.admitted.deadline
        dispatch = Dispatch(
            self._state,
            self._collaborators,
            self._state.retry_budgets.for_service(admitted_request.head.service),
            admitted_request.head,
            admitted_request.body,
            lambda: deadline - time.monotonic(),
            admitted_request.wait_limits,
        )
        outcome: ServedOutcome = CALLER_GONE
        timings = Timings()
        head, times = admitted_request.head, self._state.work_times
        times.begin(head.service, head.repeatable, head.request_id, started_at)
        try:
            reply = await dispatch.run()
            if isinstance(reply, Placed):
                timings.placed = time.monotonic() - started_at
                self._metrics.timing("requests.placed", timings.placed)
                outcome = await self._relay(
                    request, admitted_request, dispatch, reply, copy, timings
                )
            else:
                outcome = reply.refusal
                self._answers.refuse(request, reply.refusal)
            if isinstance(outcome, Whole):
                dispatch.note_completed(copy.status)
        finally:
            dispatch.close()
            is_whole, now = isinstance(outcome, Whole), time.monotonic()
            times.end(head.service, head.repeatable, head.request_id, is_whole, now)
            timings.total = time.monotonic() - started_at
            self._outcome_recorder.record(admitted_request, dispatch, outcome, timings)
        return outcome

    async def _relay(
        self,
        request: CallerRequest,
        admitted_request: AdmittedRequest,
        dispatch: Dispatch,
        placed: Placed,
        copy: AnswerCopy,
        timings: Timings,
    ) -> ServedOutcome:
        """Forward the answer to the caller and return how it ended."""

        def begin(answer: AnswerStream) -> None:
            self._answers.begin(
                request, answer.status, answer.headers, admitted_request.head.request_id
            )
            copy.status, copy.headers = answer.status, answer.headers

        writer = CallerWriter(
            request, self._state.held_bytes.counter(admitted_request.account.name)
        )
        sink = CopyingSink(copy, writer) if admitted_request.idempotency_key else writer
        delivery = Delivery(dispatch, placed, sink, begin)
        try:
            delivered = await delivery.run()
        finally:
            writer.close()
            timings.longest_pause = delivery.longest_pause
        if delivered.resumes:
            self._metrics.count("answers.resumed", delivered.resumes)
        if isinstance(delivered.outcome, Unknown):
            self._answers.refuse(request, delivered.outcome)
        if isinstance(delivered.outcome, Broken):
            log.warning("Answer broke off: {}.", delivered.outcome.reason)
            self._answers.end_broken(request, delivered.outcome, is_event_stream(copy.headers))
        return delivered.outcome


async def _finish_keyed(keyed: KeyedRun, outcome: ServedOutcome, copy: AnswerCopy) -> None:
    """Report the request's outcome to the holders of its key."""
    if isinstance(outcome, NotRun):
        await keyed.release_claims()
    elif not isinstance(outcome, Whole):
        await keyed.record_unknown()
    else:
        body = copy.body()
        answer = kept_answer(copy.status, copy.headers, body) if body is not None else None
        await keyed.record_completed(answer)
    await keyed.end_unanswered_claims(asyncio.sleep)
