"""Upstreams whose entries went without a word: gone, or lapsed with the platform's store.

Entries lapse while the store is away, since nobody can renew them, and are back within
two seconds of its return. A store that was away drops many at once; an upstream that
really goes does so alone, or says before that it is leaving. So where most of a service
vanishes together, it is still sent work for those seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pondhatch.store._upstreams import Upstream

#: Seconds after which an entry that has not come back is taken for gone. The platform's
#: pages say about two; an upstream that really went must get nothing new after two, the
#: way of the word here included.
RETURN_SECONDS = 1.6
#: Share of a service's upstreams that must vanish together to be in doubt, and the least
#: number of them.
TOGETHER_SHARE = 0.5
TOGETHER_LEAST = 2
#: Seconds between two that vanish together at most: a store that is back drops lapsed
#: entries in one go, while planned work takes upstreams away some seconds apart.
TOGETHER_SECONDS = 0.3


@dataclass
class Vanished:
    """Upstreams that vanished a short while ago, by name."""

    _at_by_name: dict[str, tuple[Upstream, float]] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._at_by_name)

    def note(self, upstream: Upstream, now: float) -> None:
        """Note that an upstream's entry went though it had not said that it leaves."""
        self._at_by_name[upstream.name] = (upstream, now)

    def returned(self, upstream_id: str) -> None:
        """Note that an upstream's entry is back, of whichever start, or says that it leaves."""
        back = [name for name, (each, _) in self._at_by_name.items() if each.id == upstream_id]
        for name in back:
            del self._at_by_name[name]

    def forget_old(self, now: float) -> bool:
        """Forget those that have not come back in time; return whether there were any."""
        old = [name for name, (_, at) in self._at_by_name.items() if now - at >= RETURN_SECONDS]
        for name in old:
            del self._at_by_name[name]
        return bool(old)

    def in_doubt(self, service: str, listed: int) -> tuple[Upstream, ...]:
        """Return a service's upstreams that may be there still; ``listed`` counts the others."""
        gone = [each for each in self._at_by_name.values() if each[0].service == service]
        enough = max(TOGETHER_LEAST, TOGETHER_SHARE * (listed + len(gone)))
        return tuple(upstream for upstream, at in gone if _beside(at, gone) >= enough)

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream that vanished a short while ago, or None."""
        found = self._at_by_name.get(name)
        return found[0] if found is not None else None


def _beside(at: float, gone: list[tuple[Upstream, float]]) -> int:
    """Return how many vanished at about the same time, the one itself included."""
    return sum(abs(other - at) <= TOGETHER_SECONDS for _, other in gone)
