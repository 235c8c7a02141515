"""What upstreams say of themselves in the heads of their answers, and for how long it holds.

An upstream that leaves says so in each answer, and one that is overloaded may turn a request
away and ask for some seconds of rest. Both are known here before the platform lists them, or
where it never does. The word is the upstream's own, of the start that gave it: each start is
known by a name of its own where the platform says when it began.
"""

from __future__ import annotations

import math
from collections.abc import Container

import msgspec
from msgspec.structs import replace

#: Seconds for which the word of an upstream that leaves holds where nobody says when it started:
#: another start may have taken its name since.
NAMELESS_SECONDS = 600.0
#: Seconds by which a report of an upstream may be behind what it says in its answers.
LATE_SECONDS = 5.0
#: Seconds of rest that an upstream gets at most; it asks for more by mistake.
LONGEST_REST = 3600.0
#: Seconds for which the word of an upstream that nobody lists is kept: its entry may have lapsed
#: with the platform's store, and come back.
UNLISTED_SECONDS = 600.0


class Notice(msgspec.Struct, frozen=True):
    """What one answer's head says of the upstream that gave it."""

    #: Whether it is about to end.
    is_leaving: bool = False
    #: Seconds for which it wants nothing more from who asked; 0 where it asks for none.
    rest: float = 0.0
    #: Whether it has places, by its own word, so that others may still be welcome.
    has_places: bool = False
    #: Its processing time in percent of usual; 0 where it states none.
    pace: int = 0

    def __bool__(self) -> bool:
        """Return whether it closes the upstream; a pace does not."""
        return self.is_leaving or self.rest > 0


#: What most answers say.
NOTHING_SAID = Notice()


class Rest(msgspec.Struct, frozen=True):
    """Seconds that are left of the rests that one upstream asked for; 0 where none are."""

    #: For which this router is to send it nothing.
    own: float = 0.0
    #: For which no router is to: it has no places.
    of_all: float = 0.0
    #: For which it turns some routers away though it has places. It gets from the others what
    #: has nowhere else to go.
    of_some: float = 0.0


NO_REST = Rest()


class _Known(msgspec.Struct, frozen=True):
    """What one upstream said, in the clock's seconds."""

    heard_at: float
    leaves_until: float = -math.inf
    #: Until when the rests last; see Rest.
    own_until: float = -math.inf
    all_until: float = -math.inf
    some_until: float = -math.inf

    def rest(self, now: float) -> Rest:
        """Return what is left of its rests."""
        untils = (self.own_until, self.all_until, self.some_until)
        return Rest(*(max(0.0, until - now) for until in untils))

    def with_rest(self, until: float, is_own: bool, has_places: bool) -> _Known:
        """Return it with one more rest; each was asked for, so the one that ends later holds."""
        is_for_this_one = is_own or not has_places
        return replace(
            self,
            own_until=max(self.own_until, until) if is_for_this_one else self.own_until,
            all_until=self.all_until if has_places else max(self.all_until, until),
            some_until=max(self.some_until, until) if has_places else self.some_until,
        )


class Notices(msgspec.Struct):
    """What upstreams said of themselves that still holds, by their names."""

    _known_by_upstream: dict[str, _Known] = msgspec.field(default_factory=dict)

    def hear(
        self,
        upstream: str,
        notice: Notice,
        now: float,
        is_start_known: bool,
        is_own: bool = True,
    ) -> bool:
        """Take in what an upstream says; return whether it closes it, or does so for longer.

        ``is_start_known`` says whether the name stands for one start of it, ``is_own`` whether
        it was said to this router rather than to another.
        """
        before = self._known_by_upstream.get(upstream, _Known(now))
        known = replace(before, heard_at=now)
        if notice.is_leaving:
            known = replace(
                known, leaves_until=math.inf if is_start_known else now + NAMELESS_SECONDS
            )
        if notice.rest > 0:
            until = now + min(notice.rest, LONGEST_REST)
            known = known.with_rest(until, is_own, notice.has_places)
        self._known_by_upstream[upstream] = known
        leaves_anew = notice.is_leaving and before.leaves_until <= now
        return leaves_anew or known.rest(now) != before.rest(now)

    def names(self) -> tuple[str, ...]:
        """Return the upstreams that said anything."""
        return tuple(self._known_by_upstream)

    def stays(self, upstream: str) -> None:
        """Note that an upstream takes work again, though it had said that it leaves."""
        known = self._known_by_upstream.get(upstream)
        if known is not None:
            self._known_by_upstream[upstream] = replace(known, leaves_until=-math.inf)

    def reports_staying(self, upstream: str, now: float) -> bool:
        """Take in a late report that an upstream takes work; return whether that was news.

        It is not believed where the upstream said something just before, for it may be older.
        """
        known = self._known_by_upstream.get(upstream)
        if known is None or now - known.heard_at < LATE_SECONDS or now >= known.leaves_until:
            return False
        self.stays(upstream)
        return True

    def is_leaving(self, upstream: str, now: float) -> bool:
        """Return whether an upstream said that it is about to end."""
        known = self._known_by_upstream.get(upstream)
        return known is not None and now < known.leaves_until

    def rest(self, upstream: str, now: float) -> Rest:
        """Return what is left of the rests that an upstream asked for."""
        known = self._known_by_upstream.get(upstream)
        return known.rest(now) if known is not None else NO_REST

    def in_force(self, now: float) -> dict[str, Notice]:
        """Return what still holds, with the seconds that are left of each rest."""
        found = {
            name: _as_told(now < known.leaves_until, known.rest(now))
            for name, known in self._known_by_upstream.items()
        }
        return {name: notice for name, notice in found.items() if notice}

    def count_resting(self, upstreams: Container[str], now: float) -> int:
        """Return how many of some upstreams want nothing from anybody for now."""
        known = self._known_by_upstream.items()
        return sum(now < each.all_until and name in upstreams for name, each in known)

    def forget_old(self, listed: Container[str], now: float) -> bool:
        """Forget what is over, and those that nobody has listed; return whether any were."""
        before = len(self._known_by_upstream)
        for name, known in tuple(self._known_by_upstream.items()):
            is_over = now >= known.leaves_until and known.rest(now) == NO_REST
            is_gone = name not in listed and now - known.heard_at >= UNLISTED_SECONDS
            if is_over or is_gone:
                del self._known_by_upstream[name]
        return len(self._known_by_upstream) < before


def _as_told(is_leaving: bool, rest: Rest) -> Notice:
    """Return what holds of an upstream as other routers are told of it."""
    if rest.of_all > 0:
        return Notice(is_leaving, rest.of_all)
    return Notice(is_leaving, rest.of_some, has_places=rest.of_some > 0)
