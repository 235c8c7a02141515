"""Until when upstreams are cold, by this router's own clock.

An upstream says for how long it stays cold as of its word; the clocks of two hosts are never
compared. Who hears of it late takes it to be cold for longer, which does no harm.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from pondhatch.store._position import Position
from pondhatch.store._upstreams import LIVE, UpstreamEntry


class _ColdPeriod(msgspec.Struct, frozen=True):
    """What an upstream last said of itself."""

    version: Position
    #: In this router's clock.
    until: float


class ColdPeriods(msgspec.Struct):
    """Until when each upstream is cold, by its name."""

    _period_by_name: dict[str, _ColdPeriod] = msgspec.field(default_factory=dict)

    def update(self, entries: Iterable[UpstreamEntry], now: float) -> None:
        """Take in the entries of the list as they are now."""
        with_cold_time = [each for each in entries if each.upstream.cold_seconds > 0]
        cold = [each for each in with_cold_time if each.upstream.state == LIVE]
        self._period_by_name = {each.upstream.name: self._period_of(each, now) for each in cold}

    def _period_of(self, entry: UpstreamEntry, now: float) -> _ColdPeriod:
        known = self._period_by_name.get(entry.upstream.name)
        if known is not None and known.version == entry.version:
            return known
        return _ColdPeriod(entry.version, now + entry.upstream.cold_seconds)

    def seconds_left(self, name: str, now: float) -> float:
        """Return for how many seconds an upstream is still cold; 0 where it is warm."""
        cold = self._period_by_name.get(name)
        return max(0.0, cold.until - now) if cold is not None else 0.0

    def count(self, now: float) -> int:
        """Return how many upstreams are cold."""
        return sum(cold.until > now for cold in self._period_by_name.values())

    def with_seconds_left(self, entry: UpstreamEntry, now: float) -> UpstreamEntry:
        """Return an entry as a peer is to be told of it: with the seconds that are left now."""
        if not entry.upstream.cold_seconds:
            return entry
        left = self.seconds_left(entry.upstream.named_by_start().name, now)
        return replace(entry, upstream=replace(entry.upstream, cold_seconds=left))
