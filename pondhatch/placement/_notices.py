"""Notices that upstreams give about themselves in response headers, and how long they apply.

An upstream that is leaving (about to shut down) says so in each response, and one that is
overloaded may refuse a request and ask for a rest, some seconds without requests. Routers learn
of both from the headers before the platform lists them, or where it never does. A notice concerns
the start (process) of the upstream that gave it: each start has a name of its own where the
platform says when it began.
"""

from __future__ import annotations

import math
from collections.abc import Container

import msgspec
from msgspec.structs import replace

#: Seconds for which an upstream counts as leaving where its start time is unknown: another start
#: may have taken its name since.
UNKNOWN_START_SECONDS = 600.0
#: Seconds by which a report about an upstream may be older than the upstream's own answers.
REPORT_LAG_SECONDS = 5.0
#: Longest accepted rest, in seconds; a longer one is taken for a mistake of the upstream.
LONGEST_REST = 3600.0
#: Seconds for which the notices of an unlisted upstream are kept: its entry may have expired in
#: the platform's store and may be written again.
UNLISTED_SECONDS = 600.0


class Notice(msgspec.Struct, frozen=True):
    """What one response's headers say about the upstream that sent it."""

    #: Whether it is about to shut down.
    is_leaving: bool = False
    #: Seconds for which it wants no more requests from the router it answered; 0 for none.
    rest: float = 0.0
    #: Whether it states that it has free slots, so that other routers may still send requests.
    has_free_slots: bool = False
    #: Its processing time in percent of usual; 0 where not stated.
    pace: int = 0
    #: How many requests it may refuse within a second without failing; None where not stated.
    refusal_limit: int | None = None

    def __bool__(self) -> bool:
        """Return whether it closes the upstream to requests; a pace or a limit does not."""
        return self.is_leaving or self.rest > 0


#: The notice of most responses.
NO_NOTICE = Notice()


class Rest(msgspec.Struct, frozen=True):
    """Remaining seconds of the rests that one upstream asked for; 0 for none."""

    #: Seconds for which this router is to send it no requests.
    for_this_router: float = 0.0
    #: Seconds for which no router is to send it any, as it has no free slots.
    for_all_routers: float = 0.0
    #: Seconds for which it refuses some routers although it has free slots. The other routers
    #: send it only requests that no other upstream takes.
    for_some_routers: float = 0.0


NO_REST = Rest()


class _NoticeState(msgspec.Struct, frozen=True):
    """The notices of one upstream that apply, with times in the clock's seconds."""

    #: When the last notice came.
    received_at: float
    leaving_until: float = -math.inf
    #: Until when the rests last; see ``Rest``.
    this_router_until: float = -math.inf
    all_routers_until: float = -math.inf
    some_routers_until: float = -math.inf

    def rest(self, now: float) -> Rest:
        """Return the remaining rests."""
        ends = (self.this_router_until, self.all_routers_until, self.some_routers_until)
        return Rest(*(max(0.0, until - now) for until in ends))

    def with_rest(
        self, until: float, is_for_this_router: bool, has_free_slots: bool
    ) -> _NoticeState:
        """Return the state with one more rest; of several the one that ends later applies."""
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
    """The notices of upstreams that still apply, by the upstream's name."""

    _state_by_upstream: dict[str, _NoticeState] = msgspec.field(default_factory=dict)

    def record(
        self,
        upstream: str,
        notice: Notice,
        now: float,
        is_start_known: bool,
        is_for_this_router: bool = True,
    ) -> bool:
        """Record a notice; return whether it closes the upstream, or does so for longer.

        ``is_start_known`` says whether the name stands for a single start of the upstream,
        ``is_for_this_router`` whether this router received the notice rather than another.
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
        """Return the upstreams with any notice."""
        return tuple(self._state_by_upstream)

    def cancel_leaving(self, upstream: str) -> None:
        """Record that an upstream accepts requests again after it was leaving."""
        state = self._state_by_upstream.get(upstream)
        if state is not None:
            self._state_by_upstream[upstream] = replace(state, leaving_until=-math.inf)

    def record_live_report(self, upstream: str, now: float) -> bool:
        """Record a report that an upstream accepts requests; return whether it was leaving.

        A report within ``REPORT_LAG_SECONDS`` of a notice is ignored, since it may be older.
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
        """Return whether an upstream has stated that it is about to shut down."""
        state = self._state_by_upstream.get(upstream)
        return state is not None and now < state.leaving_until

    def rest(self, upstream: str, now: float) -> Rest:
        """Return the remaining rests that an upstream asked for."""
        state = self._state_by_upstream.get(upstream)
        return state.rest(now) if state is not None else NO_REST

    def current(self, now: float) -> dict[str, Notice]:
        """Return the notices that still apply, with the remaining seconds of each rest."""
        found = {
            name: _relayed_notice(now < known.leaving_until, known.rest(now))
            for name, known in self._state_by_upstream.items()
        }
        return {name: notice for name, notice in found.items() if notice}

    def count_resting(self, upstreams: Container[str], now: float) -> int:
        """Return how many of some upstreams want no requests from any router now."""
        states = self._state_by_upstream.items()
        return sum(now < each.all_routers_until and name in upstreams for name, each in states)

    def drop_expired(self, listed: Container[str], now: float) -> bool:
        """Drop expired notices and those of long unlisted upstreams; return whether any were."""
        before = len(self._state_by_upstream)
        for name, state in tuple(self._state_by_upstream.items()):
            has_expired = now >= state.leaving_until and state.rest(now) == NO_REST
            is_unlisted = name not in listed and now - state.received_at >= UNLISTED_SECONDS
            if has_expired or is_unlisted:
                del self._state_by_upstream[name]
        return len(self._state_by_upstream) < before


def _relayed_notice(is_leaving: bool, rest: Rest) -> Notice:
    """Return the notice that is passed on to other routers."""
    if rest.for_all_routers > 0:
        return Notice(is_leaving, rest.for_all_routers)
    return Notice(is_leaving, rest.for_some_routers, has_free_slots=rest.for_some_routers > 0)
