"""Which paces of engines are due to be reported to their owners."""

from __future__ import annotations

import msgspec

from pondhatch.placement import USUAL_PACE

#: Seconds between two reports of one engine's pace by this router. An owner drops a pace sooner
#: than that, so it takes the engine for one at its usual pace when the next report is due.
REPORT_SECONDS = 1.0
#: Reports in a round of 0.1 s, and those that may be saved up for one moment: 2 KB a second at
#: most. What is left out, the engine's next answer brings.
REPORTS_PER_ROUND = 2
REPORTS_BURST = 20


class PaceReports(msgspec.Struct):
    """When this router last reported each engine's pace to its owner."""

    _reported_at_by_engine: dict[str, float] = msgspec.field(default_factory=dict)
    _reports_left: int = REPORTS_BURST

    def is_due(self, engine: str, pace: int, now: float) -> bool:
        """Return whether a pace that was read just now should be reported to the engine's owner.

        It should where the engine takes half as long again as usual: an owner that was told
        nothing goes by the usual pace, and gives a fast engine no more.
        """
        reported_at = self._reported_at_by_engine.get(engine, float("-inf"))
        if self._reports_left < 1 or now - reported_at < REPORT_SECONDS:
            return False
        return pace >= USUAL_PACE + USUAL_PACE // 2

    def note_reported(self, engine: str, now: float) -> None:
        """Note that a pace was reported to an engine's owner."""
        self._reports_left -= 1
        self._reported_at_by_engine[engine] = now

    def tick(self, now: float) -> None:
        """Do what is due each round."""
        self._reports_left = min(REPORTS_BURST, self._reports_left + REPORTS_PER_ROUND)
        if self._reported_at_by_engine:
            self._reported_at_by_engine = {
                engine: at
                for engine, at in self._reported_at_by_engine.items()
                if now - at < REPORT_SECONDS
            }
