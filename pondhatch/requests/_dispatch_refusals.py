"""The refusals that one dispatch has met, and what they mean for its caller."""

from __future__ import annotations

import msgspec

from pondhatch.placement import Exhausted, Plan
from pondhatch.requests._dispatch_results import QueueResult
from pondhatch.requests._eligible_engines import EligibleEngines
from pondhatch.requests._grant_requests import MS_PER_SECOND, Busy, OwnerReply
from pondhatch.requests._messages import RequestHead
from pondhatch.requests._outcomes import SOON_RETRY_AFTER, EngineRefusal, NotRun, Refusal
from pondhatch.requests._relaying import UNREACHED_CODES
from pondhatch.requests._resting_engines import RestingEngines
from pondhatch.requests._stream_binding import StreamBinding

#: Retry delay in seconds if every engine asked was at its ceiling.
FULL_RETRY_AFTER = 1.0
#: Refusals after which the same engine may accept the request a moment later.
RETRYABLE_REFUSALS = frozenset({EngineRefusal.FULL, EngineRefusal.DECLINED})
#: Refusals without a reason after which the caller is refused: if two engines refuse the same
#: request, the request is more likely at fault than the engines.
MAX_UNKNOWN_REFUSALS = 2


class DispatchRefusals:
    """The refusals by engines and their owners that one dispatch has met."""

    def __init__(
        self,
        head: RequestHead,
        binding: StreamBinding,
        engines: EligibleEngines,
        resting: RestingEngines,
    ) -> None:
        self._head = head
        self._binding = binding
        self._engines = engines
        self._resting = resting
        #: Refusals of this request by engines so far, the newest last.
        self._refusals: list[NotRun] = []
        #: Whether neither this router nor another reached some engine.
        self._had_unreachable_engine = False
        #: Engines that refused the request and may accept it a moment later.
        self.retryable_engines: set[str] = set()

    def note_no_grant(self, plan: Plan, engine: str, reply: OwnerReply) -> None:
        """Record the reply of an engine's owner that did not grant the request."""
        if isinstance(reply, Busy):
            plan.record_owner_full(
                reply.in_flight, reply.ceiling, reply.is_cold, reply.short_tokens
            )
        elif isinstance(reply, NotRun):
            self._resting.note(engine, reply)
            plan.record_refusal(f"{reply.code}: {reply.reason}")
        else:
            plan.record_refusal("its owner is in doubt")

    def note(self, plan: Plan, engine: str, reply: Refusal, in_flight: int) -> None:
        """Record that a try at an engine failed, and which engines may still accept the request.

        ``in_flight`` is the load of the engine without this request.
        """
        why = f"{reply.code}: {reply.reason}"
        refusal = reply.refusal if isinstance(reply, NotRun) else None
        if isinstance(reply, NotRun):
            self._resting.note(engine, reply)
            if refusal is not None:
                self._refusals.append(reply)
        if refusal in RETRYABLE_REFUSALS:
            self.retryable_engines.add(engine)
            plan.record_engine_full(in_flight, why)
            return
        plan.record_refusal(why)
        self._had_unreachable_engine |= reply.code in UNREACHED_CODES
        if refusal is EngineRefusal.WRONG_INSTANCE:
            plan.update_engines(self._engines.names())

    def is_request_at_fault(self, reply: NotRun) -> bool:
        """Return whether other engines would refuse the request too."""
        if reply.refusal is EngineRefusal.BAD_REQUEST:
            return True
        unknown = [each for each in self._refusals if each.refusal is EngineRefusal.UNKNOWN]
        return len(unknown) >= MAX_UNKNOWN_REFUSALS

    def with_retry_time(self, reply: Refusal) -> Refusal:
        """Return a refusal with the retry delay to send to the caller.

        If all engines rest, the caller is to retry only when the first rest ends.
        """
        if not isinstance(reply, NotRun) or reply.refusal is not EngineRefusal.OVERLOADED:
            return reply
        shortest_rest = self._resting.shortest_known_rest(self._engines.names())
        return msgspec.structs.replace(reply, retry_after=max(shortest_rest, reply.retry_after))

    def exhausted(self, plan: Plan, step: Exhausted, queue_result: QueueResult) -> NotRun:
        """Return the refusal to send to the caller if no engine is left to ask."""
        if not step.asked:
            return self._no_engine()
        asked = ", ".join(f"{engine} ({why})" for engine, why in plan.refusals)
        rest = self._resting.shortest_rest()
        if rest is not None and not plan.in_flight_by_engine:
            # Engines that were skipped for other reasons may be available before the rest ends.
            after = rest if self._resting.includes_all(step.asked) else min(rest, FULL_RETRY_AFTER)
            return NotRun("engines-resting", f"asked {asked}", max(after, SOON_RETRY_AFTER))
        if self._refusals and not plan.in_flight_by_engine:
            # No engine is full, so the caller gets the engine's refusal instead.
            return self._refusals[-1]
        if self._had_unreachable_engine and not plan.in_flight_by_engine:
            # Another router may reach them, and the caller's next try goes to another one.
            return NotRun("engines-unreachable", f"asked {asked}", SOON_RETRY_AFTER)
        retry_after = queue_result.retry_after_ms / MS_PER_SECOND
        return NotRun("engines-full", f"asked {asked}", retry_after or FULL_RETRY_AFTER)

    def _no_engine(self) -> NotRun:
        if self._binding.software_version is not None:
            return self._binding.no_engine_left()
        reason = f"service {self._head.service} has no upstream that may take the request"
        return NotRun("no-upstream", reason)
