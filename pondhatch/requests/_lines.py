"""Requests that wait at their owner until a full engine can take them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from pondhatch.placement import Full, Granted, Line, Ticket, Verdict
from pondhatch.requests._questions import MILLISECONDS, THOUSANDTHS, Question

#: Requests that may wait before one engine.
LINE_LIMIT = 64
#: Requests without memory that are passed over each time that a line is served, so that
#: smaller ones behind them go on: each costs the asking of the gate, and a line holds 64.
MOST_PASSED_OVER = 4


class Waiter(msgspec.Struct, frozen=True):
    """One request that waits."""

    ticket: Ticket
    #: Asks the gate again on its behalf.
    ask: Callable[[], Verdict]
    #: Set when its turn came, or when it was pushed out.
    turn: asyncio.Future[Verdict]


#: Weight of the newest gap between two releases in the mean of an engine.
GAP_WEIGHT = 0.2


class Pace(msgspec.Struct, frozen=True):
    """How fast an engine gives grants back."""

    #: When it last gave one back, in the clock's seconds.
    last: float
    #: Mean seconds between two, None before the second.
    gap: float | None = None

    def after(self, now: float) -> Pace:
        """Return the pace with one more grant given back."""
        gap = now - self.last
        mean = gap if self.gap is None else self.gap + GAP_WEIGHT * (gap - self.gap)
        return Pace(now, mean)


class _Queue(msgspec.Struct, frozen=True):
    """One engine's line and those who wait in it.

    It is there until its last waiter has left, who may have had its turn some steps before: two
    lines of one engine at the same time would give out the same places.
    """

    line: Line = msgspec.field(default_factory=lambda: Line(LINE_LIMIT))
    waiter_by_number: dict[int, Waiter] = msgspec.field(default_factory=dict)


class Lines:
    """The lines before the engines that this router owns."""

    def __init__(self, give_back: Callable[[str], None]) -> None:
        self._pace_by_engine: dict[str, Pace] = {}
        self._queue_by_engine: dict[str, _Queue] = {}
        #: Releases a grant that came too late for its request.
        self._give_back = give_back

    def waiting(self, engine: str) -> int:
        """Return how many requests wait for an engine."""
        queue = self._queue_by_engine.get(engine)
        return len(queue.line) if queue is not None else 0

    async def wait(self, question: Question, full: Full, ask: Callable[[], Verdict]) -> Verdict:
        """Wait until granted; ``full`` is the answer when patience ends or the line is full."""
        if self._hopeless(question):
            return full
        engine = question.engine
        queue = self._queue_by_engine.setdefault(engine, _Queue())
        weight = question.weight / THOUSANDTHS
        ticket = queue.line.join(question.account, question.priority, weight)
        if ticket is None:
            return full
        turn: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        queue.waiter_by_number[ticket.number] = Waiter(ticket, ask, turn)
        _push_out(queue, full)
        verdict: Verdict | None = None
        try:
            async with asyncio.timeout(question.patience / MILLISECONDS):
                verdict = await turn
        except TimeoutError:
            verdict = full
        finally:
            self._leave(engine, queue, ticket)
            if verdict is None or verdict is full:
                self._return_late_grant(engine, turn)
        return verdict

    def gave_back(self, engine: str, now: float) -> None:
        """Note that a grant was given back, and serve the line."""
        known = self._pace_by_engine.get(engine, Pace(now))
        busy = self.waiting(engine) > 0
        # Only the gaps of an engine that is wanted tell how fast it frees slots.
        self._pace_by_engine[engine] = known.after(now) if busy else replace(known, last=now)
        self.serve(engine)

    def _hopeless(self, question: Question) -> bool:
        """Return whether those before a request alone will take longer than it may wait.

        Such a request is refused at once: waiting would end in the same refusal.
        """
        pace = self._pace_by_engine.get(question.engine)
        queue = self._queue_by_engine.get(question.engine)
        if pace is None or pace.gap is None or queue is None:
            return False
        wait = queue.line.before(question.account, question.priority) * pace.gap
        return wait > question.patience / MILLISECONDS

    def serve(self, engine: str) -> None:
        """Grant those who wait for an engine, in order, as far as the gate allows."""
        queue = self._queue_by_engine.get(engine)
        if queue is None:
            return
        passed_over = 0
        for ticket in queue.line.in_order():
            waiter = queue.waiter_by_number[ticket.number]
            if waiter.turn.done():
                queue.line.leave(ticket)
                continue
            verdict = waiter.ask()
            if isinstance(verdict, Full):
                passed_over += 1
                if verdict.short_tokens == 0 or passed_over > MOST_PASSED_OVER:
                    return
                continue
            queue.line.served(ticket)
            waiter.turn.set_result(verdict)

    def serve_all(self) -> None:
        """Serve every line; called when a ceiling may have risen."""
        for engine in tuple(self._queue_by_engine):
            self.serve(engine)

    def _leave(self, engine: str, queue: _Queue, ticket: Ticket) -> None:
        queue.line.leave(ticket)
        del queue.waiter_by_number[ticket.number]
        if not queue.waiter_by_number:
            del self._queue_by_engine[engine]

    def _return_late_grant(self, engine: str, turn: asyncio.Future[Verdict]) -> None:
        """Give back a grant made in the moment in which its request stopped waiting."""
        granted = turn.done() and not turn.cancelled() and isinstance(turn.result(), Granted)
        if granted:
            self._give_back(engine)


def _push_out(queue: _Queue, full: Full) -> None:
    """Have the last one leave where the line is longer than it may be."""
    last = queue.line.overflow()
    if last is None:
        return
    queue.line.leave(last)
    waiter = queue.waiter_by_number[last.number]
    if not waiter.turn.done():
        waiter.turn.set_result(full)
