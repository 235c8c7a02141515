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
UNKNOWN_START_SECONDS = 600.0
#: Seconds by which a report of an upstream may be behind what it says in its answers.
REPORT_LAG_SECONDS = 5.0
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
    has_free_slots: bool = False
    #: Its processing time in percent of usual; 0 where it states none.
    pace: int = 0

    def __bool__(self) -> bool:
        """Return whether it closes the upstream; a pace does not."""
        return self.is_leaving or self.rest > 0


#: What most answers say.
NO_NOTICE = Notice()


class Rest(msgspec.Struct, frozen=True):
    """Seconds that are left of the rests that one upstream asked for; 0 where none are."""

    #: For which this router is to send it nothing.
    for_this_router: float = 0.0
    #: For which no router is to: it has no places.
    for_all_routers: float = 0.0
    #: For which it turns some routers away though it has places. It gets from the others what
    #: has nowhere else to go.
    for_some_routers: float = 0.0


NO_REST = Rest()


class _NoticeState(msgspec.Struct, frozen=True):
    """What one upstream said, in the clock's seconds."""

    received_at: float
    leaving_until: float = -math.inf
    #: Until when the rests last; see Rest.
    this_router_until: float = -math.inf
    all_routers_until: float = -math.inf
    some_routers_until: float = -math.inf

    def rest(self, now: float) -> Rest:
        """Return what is left of its rests."""
        ends = (self.this_router_until, self.all_routers_until, self.some_routers_until)
        return Rest(*(max(0.0, until - now) for until in ends))

    def with_rest(
        self, until: float, is_for_this_router: bool, has_free_slots: bool
    ) -> _NoticeState:
        """Return it with one more rest; each was asked for, so the one that ends later holds."""
        applies_here = is_for_this_router or not has_free_slots
        return replace(
            self,
            this_router_until=max(self.this_router_until, until)
            if applies_here
            else self.this_router_until,
            all_routers_until=self.all_routers_until
            if has_free_slots
            else max(self.all_routers_until, until),
            some_routers_until=max(self.some_routers_until, until)
            if has_free_slots
            else self.some_routers_until,
        )


class Notices(msgspec.Struct):
    """What upstreams said of themselves that still holds, by their names."""

    _state_by_upstream: dict[str, _NoticeState] = msgspec.field(default_factory=dict)

    def record(
        self,
        upstream: str,
        notice: Notice,
        now: float,
        is_start_known: bool,
        is_for_this_router: bool = True,
    ) -> bool:
        """Take in what an upstream says; return whether it closes it, or does so for longer.

        ``is_start_known`` says whether the name stands for one start of it,
        ``is_for_this_router`` whether it was said to this router rather than to another.
        """
        before = self._state_by_upstream.get(upstream, _NoticeState(now))
        state = replace(before, received_at=now)
        if notice.is_leaving:
            state = replace(
                state, leaving_until=math.inf if is_start_known else now + UNKNOWN_START_SECONDS
            )
        if notice.rest > 0:
            until = now + min(notice.rest, LONGEST_REST)
            state = state.with_rest(until, is_for_this_router, notice.has_free_slots)
        self._state_by_upstream[upstream] = state
        is_newly_leaving = notice.is_leaving and before.leaving_until <= now
        return is_newly_leaving or state.rest(now) != before.rest(now)

    def names(self) -> tuple[str, ...]:
        """Return the upstreams that said anything."""
        return tuple(self._state_by_upstream)

    def cancel_leaving(self, upstream: str) -> None:
        """Note that an upstream takes work again, though it had said that it leaves."""
        state = self._state_by_upstream.get(upstream)
        if state is not None:
            self._state_by_upstream[upstream] = replace(state, leaving_until=-math.inf)

    def record_live_report(self, upstream: str, now: float) -> bool:
        """Take in a late report that an upstream takes work; return whether that was news.

        It is not believed where the upstream said something just before, for it may be older.
        """
        state = self._state_by_upstream.get(upstream)
        if (
            state is None
            or now - state.received_at < REPORT_LAG_SECONDS
            or now >= state.leaving_until
        ):
            return False
        self.cancel_leaving(upstream)
        return True

    def is_leaving(self, upstream: str, now: float) -> bool:
        """Return whether an upstream said that it is about to end."""
        state = self._state_by_upstream.get(upstream)
        return state is not None and now < state.leaving_until

    def rest(self, upstream: str, now: float) -> Rest:
        """Return what is left of the rests that an upstream asked for."""
        state = self._state_by_upstream.get(upstream)
        return state.rest(now) if state is not None else NO_REST

    def current(self, now: float) -> dict[str, Notice]:
        """Return what still holds, with the seconds that are left of each rest."""
        found = {
            name: _relayed_notice(now < known.leaving_until, known.rest(now))
            for name, known in self._state_by_upstream.items()
        }
        return {name: notice for name, notice in found.items() if notice}

    def count_resting(self, upstreams: Container[str], now: float) -> int:
        """Return how many of some upstreams want nothing from anybody for now."""
        states = self._state_by_upstream.items()
        return sum(now < each.all_routers_until and name in upstreams for name, each in states)

    def drop_expired(self, listed: Container[str], now: float) -> bool:
        """Forget what is over, and those that nobody has listed; return whether any were."""
        before = len(self._state_by_upstream)
        for name, state in tuple(self._state_by_upstream.items()):
            has_expired = now >= state.leaving_until and state.rest(now) == NO_REST
            is_unlisted = name not in listed and now - state.received_at >= UNLISTED_SECONDS
            if has_expired or is_unlisted:
                del self._state_by_upstream[name]
        return len(self._state_by_upstream) < before


def _relayed_notice(is_leaving: bool, rest: Rest) -> Notice:
    """Return what holds of an upstream as other routers are told of it."""
    if rest.for_all_routers > 0:
        return Notice(is_leaving, rest.for_all_routers)
    return Notice(is_leaving, rest.for_some_routers, has_free_slots=rest.for_some_routers > 0)
