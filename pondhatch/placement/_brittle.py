"""Bounds how many requests a brittle engine may have to refuse.

A brittle engine fails if it has to refuse more than a stated number of requests within one second,
no matter which routers sent them. How many requests it has room for is not known: it may shrink
without announcing it, and a refusal arrives only after other requests are on their way. So the
engine's owner bounds what it grants, not what comes back: the requests that may still be refused,
and those refused within the last second, together never exceed the stated number.
"""

from __future__ import annotations

from collections.abc import Hashable, Set

import msgspec

#: Seconds after which a granted request that was not refused counts as let in: a refusal takes
#: the round trip to the engine and the packet to its owner.
CONFIRMED_SECONDS = 0.06
#: Seconds for which a refusal counts; slightly more than a second by the engine's clock.
REFUSAL_SECONDS = 1.2
#: Seconds for which a new owner, which does not know what the one before granted, has one
#: unconfirmed request at a time.
NEW_OWNER_SECONDS = 1.0
#: Seconds without a refusal after which one request more than fitted is tried.
RAISE_SECONDS = 5.0
#: Seconds after the last statement that an engine is brittle for which it counts as such.
STATED_SECONDS = 3.0


class BrittleEngines(msgspec.Struct):
    """The refusal limits that engines stated in their latest answers to one router."""

    _limit_by_engine: dict[str, int] = msgspec.field(default_factory=dict)

    def record_answer(self, engine: str, refusal_limit: int | None) -> None:
        """Record what an answer stated; None if it stated no limit."""
        if refusal_limit is not None:
            self._limit_by_engine[engine] = refusal_limit
        elif engine in self._limit_by_engine:
            del self._limit_by_engine[engine]

    def limit(self, engine: str) -> int | None:
        """Return how many requests an engine may refuse in a second, or None if it is sound."""
        return self._limit_by_engine.get(engine)

    def drop_gone(self, listed: Set[str]) -> None:
        """Forget engines that are no longer listed."""
        for engine in self._limit_by_engine.keys() - listed:
            del self._limit_by_engine[engine]


class _Allowance(msgspec.Struct):
    """The state of one brittle engine; times are in the clock's seconds."""

    refusal_limit: int
    first_stated_at: float
    stated_at: float
    #: When each unconfirmed grant was given, by its holder.
    granted_at_by_holder: dict[Hashable, float] = msgspec.field(default_factory=dict)
    refused_at: list[float] = msgspec.field(default_factory=list)
    #: Requests that it held without refusing one, as of its last refusal; None before any.
    room: int | None = None
    room_known_at: float = 0.0

    def allowance(self, now: float) -> int:
        """Return how many requests may be refused or unconfirmed at a time."""
        is_new = now - self.first_stated_at < NEW_OWNER_SECONDS
        return 1 if is_new else max(1, self.refusal_limit)

    def known_room(self, now: float) -> float:
        """Return how many requests to let it hold."""
        if self.room is None:
            return float("inf")
        return self.room + (now - self.room_known_at) // RAISE_SECONDS


class BrittleAllowances(msgspec.Struct):
    """An owner's bounds on the refusals of its brittle engines."""

    _by_engine: dict[str, _Allowance] = msgspec.field(default_factory=dict)

    def note_limit(self, engine: str, refusal_limit: int | None, now: float) -> None:
        """Note the limit that a router last read in an engine's answers, None for none."""
        if refusal_limit is None:
            return
        known = self._by_engine.get(engine)
        if known is None or now - known.stated_at >= STATED_SECONDS:
            self._by_engine[engine] = _Allowance(refusal_limit, now, now)
            return
        known.refusal_limit, known.stated_at = refusal_limit, now

    def begin_as_new_owner(self, now: float) -> None:
        """Bound all engines as those whose grants of the last second are unknown."""
        for known in self._by_engine.values():
            known.first_stated_at = now

    def is_brittle(self, engine: str, now: float) -> bool:
        """Return whether an engine counts as brittle."""
        return self._current(engine, now) is not None

    def may_grant(self, engine: str, in_flight: int, now: float) -> bool:
        """Return whether one more request may be granted beside those in flight."""
        known = self._current(engine, now)
        if known is None:
            return True
        if in_flight + 1 > known.known_room(now):
            return False
        return self._at_risk(known, now) < known.allowance(now)

    def seconds_to_next(self, engine: str, now: float) -> float | None:
        """Return the seconds until a grant is confirmed or a refusal no longer counts, or None."""
        known = self._current(engine, now)
        if known is None:
            return None
        ends = [at + CONFIRMED_SECONDS for at in known.granted_at_by_holder.values()]
        ends += [at + REFUSAL_SECONDS for at in known.refused_at]
        return max(0.0, min(ends) - now) if ends else None

    def record_grant(self, engine: str, holder: Hashable, now: float) -> None:
        """Record a grant, which the engine may still refuse."""
        known = self._current(engine, now)
        if known is not None:
            known.granted_at_by_holder[holder] = now

    def record_end(self, engine: str, holder: Hashable) -> None:
        """Record that a granted request ended without a refusal."""
        known = self._by_engine.get(engine)
        if known is not None:
            known.granted_at_by_holder.pop(holder, None)

    def record_refusal(self, engine: str, holder: Hashable, others: int, now: float) -> bool:
        """Record that an engine refused a request beside others; return whether it is brittle."""
        known = self._current(engine, now)
        if known is None:
            return False
        known.granted_at_by_holder.pop(holder, None)
        known.refused_at.append(now)
        known.room, known.room_known_at = max(1, others), now
        return True

    def drop_sound(self, now: float) -> None:
        """Forget engines that no longer state a limit."""
        for engine in tuple(self._by_engine):
            if self._current(engine, now) is None:
                del self._by_engine[engine]

    def _current(self, engine: str, now: float) -> _Allowance | None:
        known = self._by_engine.get(engine)
        return known if known is not None and now - known.stated_at < STATED_SECONDS else None

    def _at_risk(self, known: _Allowance, now: float) -> int:
        """Return the unconfirmed grants and the refusals that count."""
        known.refused_at = [at for at in known.refused_at if now - at < REFUSAL_SECONDS]
        confirmed = [
            holder
            for holder, at in known.granted_at_by_holder.items()
            if now - at >= CONFIRMED_SECONDS
        ]
        for holder in confirmed:
            del known.granted_at_by_holder[holder]
        return len(known.granted_at_by_holder) + len(known.refused_at)
