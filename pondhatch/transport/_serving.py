"""Serving a request that was counted in: placed, passed on, noted."""

from __future__ import annotations

import asyncio
import time

import msgspec

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.observing import RequestEnded, log_for
from pondhatch.requests import (
    MAX_KEPT_BODY,
    QUARANTINED,
    AnswerStream,
    BodySource,
    Broken,
    Delivery,
    Dispatch,
    Headers,
    KeyedRun,
    KeyRecord,
    NewKey,
    NotRun,
    Placed,
    QueueOutcome,
    Refusal,
    RequestHead,
    RoutingDecision,
    Unknown,
    UsedKey,
    WaitLimits,
    Whole,
    is_event_stream,
    kept_answer,
    used_key_refusal,
)
from pondhatch.router import ANONYMOUS, Account, Admitted
from pondhatch.transport._answers import Answers, replay
from pondhatch.transport._caller_request import CallerRequest
from pondhatch.transport._caller_writer import CallerWriter
from pondhatch.transport._interface import CallerParts

log = log_for("callers")

Ended = Whole | Broken | Refusal

#: What becomes of a request whose caller leaves, unless something else became of it before.
CALLER_GONE = Unknown("caller-gone", "the caller went away")


class Work(msgspec.Struct, frozen=True):
    """A request that was counted in, ready to be placed."""

    account: Account
    admitted: Admitted
    head: RequestHead
    body: BodySource
    patience: WaitLimits
    #: Idempotency key of a request that must not run twice, made the account's own.
    key: str | None = None
    #: Counts its body until it has ended.
    hold: HeldCounter = UNCOUNTED


class AnswerCopy(msgspec.Struct):
    """A copy of an answer, as long as it is small enough to keep."""

    status: int = 0
    headers: Headers = ()
    parts: list[bytes] = msgspec.field(default_factory=list)
    size: int = 0

    def add(self, part: bytes) -> None:
        """Take in a part; what is too large to keep is only counted."""
        self.size += len(part)
        if self.size <= MAX_KEPT_BODY:
            self.parts.append(part)

    def body(self) -> bytes | None:
        """Return the whole body, or None where it was too large."""
        return b"".join(self.parts) if self.size <= MAX_KEPT_BODY else None


class _Spans(msgspec.Struct):
    """Where a request's time went, in seconds."""

    #: From its head to its end.
    whole: float = 0.0
    #: From its head until an engine's answer began.
    placed: float = 0.0
    #: The longest pause between two parts of the answer.
    pause: float = 0.0


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


class _CopyingSink:
    """Copies an answer, and passes it on while its caller is there; see PartSink."""

    def __init__(self, copy: AnswerCopy, writer: CallerWriter) -> None:
        self._copy = copy
        self._writer = writer
        self.ready = writer.ready

    def write(self, part: bytes) -> bool:
        self._copy.add(part)
        return self._writer.is_gone or self._writer.write(part)


class Serving:
    """Runs requests and tells callers what came of them."""

    def __init__(self, parts: CallerParts, answers: Answers) -> None:
        self._state = parts.state
        self._ways = parts.ways
        self._metrics = parts.metrics
        self._tasks = parts.tasks
        self._records = parts.records
        self._answers = answers
        #: Keyed requests that go on though their callers left.
        self.without_caller: set[asyncio.Task[None]] = set()

    async def run(self, request: CallerRequest, work: Work, started: float) -> None:
        """Serve one request; a caller that leaves cancels it, unless it has a key."""
        if work.key is None:
            try:
                await self._serve(request, work, started)
            finally:
                work.hold.close()
            return
        serving = self._tasks.start(self._serve(request, work, started))
        # Not in the task itself: one that is cancelled before its first step runs no cleanup.
        serving.add_done_callback(lambda _: work.hold.close())
        try:
            await asyncio.shield(serving)
        except asyncio.CancelledError:
            self._go_on(serving, request)
            raise

    def _go_on(self, serving: asyncio.Task[None], request: CallerRequest) -> None:
        """Let a keyed request run to its end, for the caller to ask for the answer again.

        Cut off, its outcome would be unknown, and its key of no more use to its caller.
        """
        if not request.pipe.ended:
            serving.cancel()  # The rest of its body will not come.
        self.without_caller.add(serving)
        serving.add_done_callback(self.without_caller.discard)

    async def _serve(self, request: CallerRequest, work: Work, started: float) -> None:
        """Serve one request to its end; its account's count ends with it."""
        try:
            if work.key is not None:
                await self._run_keyed(request, work, work.key, started)
            else:
                await self._run(request, work, started, AnswerCopy())
        finally:
            if work.account is not ANONYMOUS:
                self._state.limits.end_request(work.account.name)

    async def _run_keyed(
        self, request: CallerRequest, work: Work, key: str, started: float
    ) -> None:
        """Run a request under its key, or answer as the first one with that key was."""
        head = work.head
        digest = f"{head.method} {head.path} {work.body.length}"
        record = KeyRecord(digest, self._state.name, head.request_id)
        keyed = KeyedRun(self._state, key, record, work.head.regions)
        begun = await keyed.begin()
        if isinstance(begun, UsedKey) and begun.record.digest == digest and begun.record.answer:
            replay(request, self._answers, begun.record.answer, head.request_id)
            return
        if not isinstance(begun, NewKey):
            refusal = begun if isinstance(begun, NotRun) else used_key_refusal(begun, record)
            self._answers.refuse(request, refusal)
            return
        copy = AnswerCopy()
        ended: Ended = CALLER_GONE
        try:
            ended = await self._run(request, work, started, copy)
        finally:
            self._tasks.start(_end_keyed(keyed, ended, copy))

    async def _run(
        self, request: CallerRequest, work: Work, started: float, copy: AnswerCopy
    ) -> Ended:
        deadline = started + work.admitted.deadline
        walk = Dispatch(
            self._state,
            self._ways,
            self._state.retry_budgets.for_service(work.head.service),
            work.head,
            work.body,
            lambda: deadline - time.monotonic(),
            work.patience,
        )
        ended: Ended = CALLER_GONE
        spans = _Spans()
        try:
            reply = await walk.run()
            if isinstance(reply, Placed):
                spans.placed = time.monotonic() - started
                self._metrics.timing("requests.placed", spans.placed)
                ended = await self._relay(request, work, walk, reply, copy, spans)
            else:
                ended = reply.refusal
                self._answers.refuse(request, reply.refusal)
            if isinstance(ended, Whole):
                walk.note_completed(copy.status)
        finally:
            walk.close()
            spans.whole = time.monotonic() - started
            self._note(work, walk, ended, spans)
        return ended

    async def _relay(
        self,
        request: CallerRequest,
        work: Work,
        walk: Dispatch,
        placed: Placed,
        copy: AnswerCopy,
        spans: _Spans,
    ) -> Ended:
        """Pass the answer on."""

        def begin(answer: AnswerStream) -> None:
            self._answers.begin(request, answer.status, answer.headers, work.head.request_id)
            copy.status, copy.headers = answer.status, answer.headers

        writer = CallerWriter(request, self._state.held_bytes.counter(work.account.name))
        sink = _CopyingSink(copy, writer) if work.key else writer
        delivery = Delivery(walk, placed, sink, begin)
        try:
            delivered = await delivery.run()
        finally:
            writer.close()
            spans.pause = delivery.longest_pause
        if delivered.resumes:
            self._metrics.count("answers.resumed", delivered.resumes)
        if isinstance(delivered.outcome, Unknown):
            self._answers.refuse(request, delivered.outcome)
        if isinstance(delivered.outcome, Broken):
            log.warning("Answer broke off: {}.", delivered.outcome.reason)
            self._answers.end_broken(request, delivered.outcome, is_event_stream(copy.headers))
        return delivered.outcome

    def _note(self, work: Work, walk: Dispatch, ended: Ended, spans: _Spans) -> None:
        outcome = "whole" if isinstance(ended, Whole) else ended.code
        self._metrics.count(f"requests.{outcome}")
        self._metrics.timing("requests.whole", spans.whole)
        self._count_queued(walk)
        self._note_decision(work, walk, outcome, spans.whole)
        self._note_record(work, walk, outcome, spans)

    def _count_queued(self, walk: Dispatch) -> None:
        """Count what came of a wait at full engines."""
        if walk.queue_result.outcome is QueueOutcome.NONE:
            return
        self._metrics.timing("queue.waited", walk.queue_wait_seconds)
        if walk.queue_result.outcome is QueueOutcome.REFUSED:
            self._metrics.count("queue.refused-at-arrival")
        if walk.queue_result.outcome is QueueOutcome.TIMED_OUT:
            self._metrics.count("queue.kept-in-vain")

    def _note_decision(self, work: Work, walk: Dispatch, outcome: str, seconds: float) -> None:
        """Keep the decision for the state dump."""
        self._state.decisions.append(
            RoutingDecision(
                request_id=work.head.request_id,
                account=work.account.name,
                service=work.head.service,
                engine=walk.engine,
                passed_over=_passed_over(walk),
                outcome=outcome,
                seconds=round(seconds, 4),
                at=time.time(),
            )
        )

    def _note_record(self, work: Work, walk: Dispatch, outcome: str, spans: _Spans) -> None:
        """Leave the decision's line."""
        self._records.write(
            RequestEnded(
                id=work.head.caller_id or work.head.request_id,
                account=work.account.name,
                service=work.head.service,
                outcome=outcome,
                ms=_milliseconds(spans.whole),
                asking_ms=_milliseconds(walk.grant_wait_seconds),
                placed_ms=_milliseconds(spans.placed),
                pause_ms=_milliseconds(spans.pause),
                context=f"{work.head.chat:x}" if work.head.chat else "",
                configuration=self._state.fleet.version,
                upstream=walk.engine or "",
                in_flight=walk.last_grant.in_flight,
                ceiling=walk.last_grant.ceiling,
                passed_over=_passed_over(walk),
                resumes=walk.resumes,
                cut_at=tuple(walk.cut_at),
                digest=f"{work.head.digest:x}" if _tells_digest(walk, outcome) else "",
                predicted_ms=walk.queue_result.predicted_ms,
            )
        )


def _passed_over(walk: Dispatch) -> tuple[tuple[str, str], ...]:
    """Return the engines that did not take a request, each with why."""
    closed = () if walk.closed_home is None else (walk.closed_home,)
    return (*closed, *walk.plan.refusals)


def _tells_digest(walk: Dispatch, outcome: str) -> bool:
    """Return whether a request's other attempts are of interest to whoever reads its line."""
    return bool(walk.cut_at) or outcome == QUARANTINED.code


async def _end_keyed(keyed: KeyedRun, ended: Ended, copy: AnswerCopy) -> None:
    """Tell the key's holders what became of its request."""
    if isinstance(ended, NotRun):
        await keyed.release_claims()
        return
    if not isinstance(ended, Whole):
        await keyed.record_unknown()
        return
    body = copy.body()
    answer = kept_answer(copy.status, copy.headers, body) if body is not None else None
    await keyed.record_completed(answer)
