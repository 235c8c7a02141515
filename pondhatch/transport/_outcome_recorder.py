"""Records how a caller's request ended: in metrics, the state dump and the request's record."""

from __future__ import annotations

import time

import msgspec

from pondhatch.observing import Metrics, Records, RequestEnded
from pondhatch.requests import (
    ORIGIN_UNKNOWN,
    QUARANTINE_CODES,
    VERSION_GONE,
    Broken,
    Dispatch,
    Framing,
    QueueOutcome,
    Refusal,
    RequestHead,
    RoutingDecision,
    Unknown,
    Whole,
    part_digests,
)
from pondhatch.router import RouterState
from pondhatch.transport._admitted_request import AdmittedRequest

ServedOutcome = Whole | Broken | Refusal

#: Outcome of a request whose caller leaves before any other outcome is known.
CALLER_GONE = Unknown("caller-gone", "the caller went away")


class Timings(msgspec.Struct):
    """How long the stages of a request took, in seconds."""

    #: From the receipt of its head to its end.
    total: float = 0.0
    #: From the receipt of its head until an engine's answer began.
    placed: float = 0.0
    #: The longest pause between two parts of the answer.
    longest_pause: float = 0.0


class OutcomeRecorder:
    """Records the outcomes of requests that were dispatched."""

    def __init__(self, state: RouterState, metrics: Metrics, records: Records) -> None:
        self._state = state
        self._metrics = metrics
        self._records = records

    def record(
        self,
        admitted_request: AdmittedRequest,
        dispatch: Dispatch,
        outcome: ServedOutcome,
        timings: Timings,
    ) -> None:
        """Record the outcome of one request."""
        code = "whole" if isinstance(outcome, Whole) else outcome.code
        self._metrics.count(f"requests.{code}")
        self._metrics.timing("requests.whole", timings.total)
        self._count_queue_outcome(dispatch)
        self._count_resumed_stream(dispatch, code)
        self._record_decision(admitted_request, dispatch, code, timings.total)
        self._write_record(admitted_request, dispatch, code, timings)

    def _count_queue_outcome(self, dispatch: Dispatch) -> None:
        """Count the result of waiting in the queues of full engines."""
        if dispatch.queue_result.outcome is QueueOutcome.NONE:
            return
        self._metrics.timing("queue.waited", dispatch.queue_wait_seconds)
        if dispatch.queue_result.outcome is QueueOutcome.REFUSED:
            self._metrics.count("queue.refused-at-arrival")
        if dispatch.queue_result.outcome is QueueOutcome.TIMED_OUT:
            self._metrics.count("queue.kept-in-vain")

    def _count_resumed_stream(self, dispatch: Dispatch, code: str) -> None:
        """Count a stream that its caller resumed: why it went on, or why not."""
        origin = dispatch.binding.origin
        if code in (ORIGIN_UNKNOWN, VERSION_GONE):
            self._metrics.count(f"streams_resumed.{code}")
        elif origin is not None:
            self._metrics.count(f"streams_resumed.{origin.source}")

    def _record_decision(
        self, admitted_request: AdmittedRequest, dispatch: Dispatch, code: str, seconds: float
    ) -> None:
        """Store the routing decision for the state dump."""
        self._state.decisions.append(
            RoutingDecision(
                request_id=admitted_request.head.request_id,
                account=admitted_request.account.name,
                service=admitted_request.head.service,
                engine=dispatch.engine,
                passed_over=_passed_over(dispatch),
                outcome=code,
                seconds=round(seconds, 4),
                at=time.time(),
            )
        )

    def _write_record(
        self, admitted_request: AdmittedRequest, dispatch: Dispatch, code: str, timings: Timings
    ) -> None:
        """Write the record of the request's end; see Records."""
        needs_digest = _needs_digest(dispatch, code)
        self._records.write(
            RequestEnded(
                id=admitted_request.head.caller_id or admitted_request.head.request_id,
                account=admitted_request.account.name,
                service=admitted_request.head.service,
                outcome=code,
                ms=_milliseconds(timings.total),
                asking_ms=_milliseconds(dispatch.grant_wait_seconds),
                placed_ms=_milliseconds(timings.placed),
                pause_ms=_milliseconds(timings.longest_pause),
                context=f"{admitted_request.head.chat:x}" if admitted_request.head.chat else "",
                configuration=self._state.configuration.version,
                upstream=dispatch.engine or "",
                in_flight=dispatch.last_grant.in_flight,
                ceiling=dispatch.last_grant.ceiling,
                passed_over=_passed_over(dispatch),
                resumes=dispatch.resumes,
                cut_at=tuple(dispatch.cut_at),
                digest=f"{admitted_request.head.digest:x}" if needs_digest else "",
                prompt_parts=_prompt_parts(admitted_request.head) if needs_digest else (),
                predicted_ms=dispatch.queue_result.predicted_ms,
                relayed_by=dispatch.relayed_by,
                resumed_attempt=admitted_request.head.resumed_attempt,
                origin=dispatch.binding.origin.source if dispatch.binding.origin else "",
                origin_router=dispatch.binding.origin.router if dispatch.binding.origin else "",
                not_resumed=dispatch.binding.not_resumed,
                software_versions=_stated(dispatch.binding.answered_versions),
                ended_with_connection=dispatch.framing is Framing.CLOSE,
            )
        )


def _passed_over(dispatch: Dispatch) -> tuple[tuple[str, str], ...]:
    """Return the engines that did not take a request, each with the reason."""
    closed = () if dispatch.closed_home is None else (dispatch.closed_home,)
    return (*closed, *dispatch.plan.refusals)


def _stated(software_versions: list[str]) -> tuple[str, ...]:
    """Return the software versions of the upstreams that answered, none if they state none."""
    return tuple(software_versions) if any(software_versions) else ()


def _needs_digest(dispatch: Dispatch, code: str) -> bool:
    """Return whether the record needs the digest, which relates it to repeats of the request."""
    return bool(dispatch.cut_at) or code in QUARANTINE_CODES


def _prompt_parts(head: RequestHead) -> tuple[str, ...]:
    """Return the shared parts of a request's prompt: the caller's name and the digest of each."""
    digests = part_digests(head)
    return tuple(
        f"{part:x} ({digest:x})"
        for (part, _), digest in zip(head.prompt_parts, digests, strict=True)
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
