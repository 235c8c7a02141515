"""The rests that hold one request back: which engines want nothing, and until when."""

from __future__ import annotations

import asyncio

from pondhatch.placement import Closed
from pondhatch.requests._entry_view import EntryView
from pondhatch.requests._outcomes import EngineRefusal, NotRun

#: Codes of engines that want nothing for a while.
RESTING_CODES = frozenset({Closed.RESTING, EngineRefusal.OVERLOADED})


class RestingEngines:
    """The engines of one walk that want nothing for now."""

    def __init__(self, view: EntryView) -> None:
        self._view = view
        #: When each may be asked again, in the loop's seconds.
        self._end_by_engine: dict[str, float] = {}

    def note(self, engine: str, reply: NotRun) -> None:
        """Take in why an engine did not take the request, if it wants a rest."""
        if reply.code not in RESTING_CODES:
            return
        seconds = reply.retry_after if reply.code == Closed.RESTING else self._known_rest(engine)
        self._end_by_engine[engine] = asyncio.get_running_loop().time() + seconds

    def shortest_rest(self) -> float | None:
        """Return the seconds to the end of the first rest, None where there is none."""
        if not self._end_by_engine:
            return None
        return max(0.0, min(self._end_by_engine.values()) - asyncio.get_running_loop().time())

    def includes_all(self, engines: tuple[str, ...]) -> bool:
        """Return whether nothing but rests keeps the request from some engines."""
        return self._end_by_engine.keys() >= set(engines)

    def shortest_known_rest(self, engines: tuple[str, ...]) -> float:
        """Return the seconds to the first of some engines' readiness; 0 where one takes work."""
        return min((self._known_rest(engine) for engine in engines), default=0.0)

    def clear(self) -> None:
        """Forget them: the walk begins anew."""
        self._end_by_engine.clear()

    def _known_rest(self, engine: str) -> float:
        """Return for how many seconds an engine wants nothing, as far as this router knows."""
        target = self._view.target(engine)
        return target.intake.rest.own if target is not None else 0.0
