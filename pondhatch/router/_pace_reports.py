"""Rate limit of the reports of engines' paces to their owners."""

from __future__ import annotations

import msgspec

from pondhatch.placement import USUAL_PACE

#: Seconds between two reports of one engine's pace by this router. A pace expires at the owner
#: sooner, so the owner assumes the usual pace again when the next report is due.
REPORT_SECONDS = 1.0
#: Reports allowed per round of 0.1 s, and maximum in one round where earlier rounds sent fewer:
#: 2 KB/s at most. A report that is left out follows with the engine's next answer.
REPORTS_PER_ROUND = 2
REPORTS_BURST = 20


class PaceReports(msgspec.Struct):
    """When this router last reported each engine's pace to its owner."""

    _reported_at_by_engine: dict[str, float] = msgspec.field(default_factory=dict)
    _reports_left: int = REPORTS_BURST

    def is_due(self, engine: str, pace: int, now: float) -> bool:
        """Return whether a pace that was just read should be reported to the engine's owner.

        Only engines that take at least 1.5 times as long as usual are reported: without a report
        the owner assumes the usual pace, and a faster engine gets no more requests than at that
        pace.
        """
        reported_at = self._reported_at_by_engine.get(engine, float("-inf"))
        if self._reports_left < 1 or now - reported_at < REPORT_SECONDS:
            return False
        return pace >= USUAL_PACE + USUAL_PACE // 2

    def note_reported(self, engine: str, now: float) -> None:
        """Record that a pace was reported to an engine's owner."""
        self._reports_left -= 1
        self._reported_at_by_engine[engine] = now

    def tick(self, now: float) -> None:
        """Run the periodic work of one round."""
        self._reports_left = min(REPORTS_BURST, self._reports_left + REPORTS_PER_ROUND)
        if self._reported_at_by_engine:
            self._reported_at_by_engine = {
                engine: at
                for engine, at in self._reported_at_by_engine.items()
                if now - at < REPORT_SECONDS
            }
