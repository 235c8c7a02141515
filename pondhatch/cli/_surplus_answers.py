"""Counts and records the answers of upstreams that were not the awaited ones."""

from __future__ import annotations

from pondhatch.observing import Metrics, Records, SurplusReceived
from pondhatch.transport import SurplusAnswer

#: Maximum number of upstreams whose surplus answers are counted; the oldest give way.
MAX_UPSTREAMS = 1000


class SurplusAnswers:
    """Counts surplus answers by upstream, and writes a line for each; see SurplusObserver."""

    def __init__(self, records: Records, metrics: Metrics) -> None:
        self.count_by_upstream: dict[str, int] = {}
        self._records = records
        self._metrics = metrics

    def note_surplus(self, surplus: SurplusAnswer) -> None:
        """Count and record an answer that proves nothing about the awaited request."""
        outcome = "skipped" if surplus.was_skipped else "unproven"
        self._metrics.count(f"surplus_answers.{outcome}")
        self._count(surplus.upstream)
        self._records.write(
            SurplusReceived(
                id=surplus.awaited_id,
                upstream=surplus.upstream,
                status=surplus.status,
                named=surplus.answered_id,
                use=surplus.request_count,
                outcome=outcome,
            )
        )

    def _count(self, upstream: str) -> None:
        counts = self.count_by_upstream
        if upstream not in counts and len(counts) >= MAX_UPSTREAMS:
            del counts[next(iter(counts))]
        counts[upstream] = counts.get(upstream, 0) + 1
