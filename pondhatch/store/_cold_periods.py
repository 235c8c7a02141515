"""When the cold periods of upstreams end, by this router's own clock.

An upstream reports the remaining duration of its cold period, not a time, since the clocks of two
hosts are never compared. A router that receives the report late takes the upstream to be cold for
longer, which is harmless.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from pondhatch.store._position import Position
from pondhatch.store._upstream_entries import LIVE, UpstreamEntry


class _ColdPeriod(msgspec.Struct, frozen=True):
    """The cold period that an upstream last reported."""

    #: Version of the entry that reported it.
    version: Position
    #: When it ends, by this router's clock.
    until: float


class ColdPeriods(msgspec.Struct):
    """The cold periods of upstreams, by name."""

    _period_by_name: dict[str, _ColdPeriod] = msgspec.field(default_factory=dict)

    def update(self, entries: Iterable[UpstreamEntry], now: float) -> None:
        """Replace all periods by those of the list's current entries.

        An entry that was already known at the same version keeps its end.
        """
        with_cold_time = [each for each in entries if each.upstream.cold_seconds > 0]
        cold = [each for each in with_cold_time if each.upstream.state == LIVE]
        self._period_by_name = {each.upstream.name: self._period_of(each, now) for each in cold}

    def _period_of(self, entry: UpstreamEntry, now: float) -> _ColdPeriod:
        known = self._period_by_name.get(entry.upstream.name)
        if known is not None and known.version == entry.version:
            return known
        return _ColdPeriod(entry.version, now + entry.upstream.cold_seconds)

    def seconds_left(self, name: str, now: float) -> float:
        """Return the seconds for which an upstream is still cold; 0 if it is warm."""
        cold = self._period_by_name.get(name)
        return max(0.0, cold.until - now) if cold is not None else 0.0

    def count(self, now: float) -> int:
        """Return how many upstreams are cold."""
        return sum(cold.until > now for cold in self._period_by_name.values())

    def with_seconds_left(self, entry: UpstreamEntry, now: float) -> UpstreamEntry:
        """Return an entry for a peer, with the seconds that are left of its cold period."""
        if not entry.upstream.cold_seconds:
            return entry
        left = self.seconds_left(entry.upstream.named_by_start().name, now)
        return replace(entry, upstream=replace(entry.upstream, cold_seconds=left))
