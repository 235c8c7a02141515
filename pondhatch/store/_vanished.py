"""Upstreams whose entries went without a word: gone, or lapsed with the platform's store.

Entries lapse while the store is away, since nobody can renew them, and are back within
two seconds of its return. A store that was away drops many at once; an upstream that
really goes does so alone, or says before that it is leaving. So where most of a service
vanishes together, it is still sent work for those seconds.
"""

from __future__ import annotations

import msgspec

from pondhatch.placement import id_of
from pondhatch.store._upstreams import Upstream

#: Seconds after which an entry that has not come back is taken for gone. The platform's
#: pages say about two; an upstream that really went must get nothing new after two, the
#: way of the word here included.
RETURN_SECONDS = 1.6
#: Share of a service's upstreams that must vanish together to be in doubt, and the least
#: number of them.
TOGETHER_SHARE = 0.5
TOGETHER_MIN = 2
#: Seconds between two that vanish together at most: a store that is back drops lapsed
#: entries in one go, while planned work takes upstreams away some seconds apart.
TOGETHER_SECONDS = 0.3


class VanishedUpstreams(msgspec.Struct):
    """Upstreams that vanished a short while ago, by id: the start of each that was there."""

    _at_by_id: dict[str, tuple[Upstream, float]] = msgspec.field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._at_by_id)

    def add(self, upstream: Upstream, now: float) -> None:
        """Note that an upstream's entry went though it had not said that it leaves."""
        self._at_by_id[upstream.id] = (upstream, now)

    def discard(self, upstream_id: str) -> None:
        """Note that an upstream's entry is back, of whichever start, or says that it leaves."""
        self._at_by_id.pop(upstream_id, None)

    def forget_old(self, now: float) -> bool:
        """Forget those that have not come back in time; return whether there were any."""
        old = [each for each, (_, at) in self._at_by_id.items() if now - at >= RETURN_SECONDS]
        for each in old:
            del self._at_by_id[each]
        return bool(old)

    def in_doubt(self, service: str, listed: int) -> tuple[Upstream, ...]:
        """Return a service's upstreams that may be there still; ``listed`` counts the others."""
        vanished = [each for each in self._at_by_id.values() if each[0].service == service]
        enough = max(TOGETHER_MIN, TOGETHER_SHARE * (listed + len(vanished)))
        return tuple(
            upstream for upstream, at in vanished if _count_vanished_around(at, vanished) >= enough
        )

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream that vanished a short while ago, or None."""
        # An id may look like the name of a start, where nobody says when its upstream started.
        for key in (name, id_of(name)):
            found = self._at_by_id.get(key)
            if found is not None and found[0].name == name:
                return found[0]
        return None


def _count_vanished_around(at: float, vanished: list[tuple[Upstream, float]]) -> int:
    """Return how many vanished at about the same time, the one itself included."""
    return sum(abs(other - at) <= TOGETHER_SECONDS for _, other in vanished)
