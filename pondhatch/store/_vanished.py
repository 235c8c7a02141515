"""Upstreams whose entries disappeared unannounced: gone, or lapsed during a store outage.

Entries lapse while the store is down, since they cannot be renewed, and are written again within
two seconds of its return. A store that was down drops many entries at once, while an upstream
that really ends does so alone or is marked as leaving first. So if most of a service's upstreams
vanish together, they still get work for those seconds.
"""

from __future__ import annotations

import msgspec

from pondhatch.placement import upstream_id_of
from pondhatch.store._upstream_entries import Upstream

#: Seconds after which an entry that has not returned is taken to be gone. The platform documents
#: about two; an upstream that has really ended must get no new work after two, including the time
#: for its removal to reach this router.
RETURN_SECONDS = 1.6
#: Share and minimum number of a service's upstreams that must vanish together to be in doubt.
TOGETHER_SHARE = 0.5
TOGETHER_MIN = 2
#: Largest number of seconds between removals that count as together: a store that returns drops
#: lapsed entries at once, while planned work removes upstreams some seconds apart.
TOGETHER_SECONDS = 0.3


class VanishedUpstreams(msgspec.Struct):
    """Upstreams that vanished within the last RETURN_SECONDS, by id."""

    #: Each upstream, and when it vanished, in the clock's seconds.
    _vanished_by_id: dict[str, tuple[Upstream, float]] = msgspec.field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._vanished_by_id)

    def add(self, upstream: Upstream, now: float) -> None:
        """Add an upstream whose entry was removed although it was not leaving."""
        self._vanished_by_id[upstream.id] = (upstream, now)

    def discard(self, upstream_id: str) -> None:
        """Discard an upstream whose entry is back, also if it restarted, or is now leaving."""
        self._vanished_by_id.pop(upstream_id, None)

    def forget_old(self, now: float) -> bool:
        """Drop upstreams that have not returned in time; return whether there were any."""
        old = [each for each, (_, at) in self._vanished_by_id.items() if now - at >= RETURN_SECONDS]
        for each in old:
            del self._vanished_by_id[each]
        return bool(old)

    def in_doubt(self, service: str, listed: int) -> tuple[Upstream, ...]:
        """Return a service's vanished upstreams that may still be running.

        ``listed`` is the number of its upstreams that are still listed.
        """
        vanished = [each for each in self._vanished_by_id.values() if each[0].service == service]
        min_together = max(TOGETHER_MIN, TOGETHER_SHARE * (listed + len(vanished)))
        return tuple(
            upstream
            for upstream, at in vanished
            if _count_vanished_around(at, vanished) >= min_together
        )

    def upstream(self, name: str) -> Upstream | None:
        """Return a recently vanished upstream by name, or None."""
        # An id may itself look like the name of a start, if its upstream states no start time.
        for key in (name, upstream_id_of(name)):
            found = self._vanished_by_id.get(key)
            if found is not None and found[0].name == name:
                return found[0]
        return None


def _count_vanished_around(vanished_at: float, vanished: list[tuple[Upstream, float]]) -> int:
    """Return how many vanished at about the same time, including the one itself."""
    return sum(abs(other - vanished_at) <= TOGETHER_SECONDS for _, other in vanished)
