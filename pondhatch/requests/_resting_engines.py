"""Engines that asked for a rest during one request's dispatch, and until when."""

from __future__ import annotations

import asyncio

from pondhatch.placement import ClosedReason
from pondhatch.requests._entry_view import EntryView
from pondhatch.requests._outcomes import EngineRefusal, NotRun

#: Codes of refusals by engines that ask for no more requests for a while.
RESTING_CODES = frozenset({ClosedReason.RESTING, EngineRefusal.OVERLOADED})


class RestingEngines:
    """The resting engines that one dispatch has met."""

    def __init__(self, view: EntryView) -> None:
        self._view = view
        #: When each may be asked again, in the event loop's seconds.
        self._end_by_engine: dict[str, float] = {}

    def note(self, engine: str, reply: NotRun) -> None:
        """Record an engine's refusal if it asks for a rest."""
        if reply.code not in RESTING_CODES:
            return
        seconds = (
            reply.retry_after if reply.code == ClosedReason.RESTING else self._known_rest(engine)
        )
        self._end_by_engine[engine] = asyncio.get_running_loop().time() + seconds

    def shortest_rest(self) -> float | None:
        """Return the seconds to the end of the first rest, or None if no engine rests."""
        if not self._end_by_engine:
            return None
        return max(0.0, min(self._end_by_engine.values()) - asyncio.get_running_loop().time())

    def includes_all(self, engines: tuple[str, ...]) -> bool:
        """Return whether all of these engines rest."""
        return self._end_by_engine.keys() >= set(engines)

    def shortest_known_rest(self, engines: tuple[str, ...]) -> float:
        """Return the seconds until the first of these engines takes requests; 0 if one does now."""
        return min((self._known_rest(engine) for engine in engines), default=0.0)

    def clear(self) -> None:
        """Forget all rests before a new pass over the engines."""
        self._end_by_engine.clear()

    def _known_rest(self, engine: str) -> float:
        """Return the seconds that an engine still rests, as far as this router knows."""
        target = self._view.target(engine)
        return target.intake.rest.for_this_router if target is not None else 0.0
