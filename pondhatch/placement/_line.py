"""The line before a full engine: bounded, by priority, fair between accounts.

Within a priority, accounts take turns by weight (start-time fair queueing): an
account that sends much waits behind its own requests, so that one seldom seen
is served next however long the line of the other is. Requests that are too late
for their objective come after all of their priority that are not.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
from collections.abc import Callable

import msgspec
from msgspec.structs import replace


class Ticket(msgspec.Struct, frozen=True):
    """One request's place in a line."""

    priority: int
    #: Virtual time at which its account's turn starts.
    start: float
    number: int
    account: str
    #: Until when a grant is in time for its objective, in the clock's seconds.
    in_time_until: float = math.inf
    #: Lines in which its request waits at once.
    queues: int = 1
    #: Whether that time is over.
    is_late: bool = False

    @property
    def order(self) -> tuple[int, bool, float, int]:
        """Return what the line is sorted by."""
        return (self.priority, self.is_late, self.start, self.number)


class Line(msgspec.Struct):
    """Requests that wait for one engine."""

    #: Requests that may wait at once.
    limit: int
    by_number: dict[int, Ticket] = msgspec.field(default_factory=dict)
    #: The order of each ticket, sorted.
    _orders: list[tuple[int, bool, float, int]] = msgspec.field(default_factory=list)
    #: By the same order, the part of each request that this line will have to serve.
    _shares: list[float] = msgspec.field(default_factory=list)
    #: Until when tickets are in time, with their numbers, the first one on top.
    _ends: list[tuple[float, int]] = msgspec.field(default_factory=list)
    #: How many are late, when one of them last had its turn, and the newest time known.
    _late: int = 0
    _late_served_at: float = 0.0
    _now: float = 0.0
    _finish_by_account: dict[str, float] = msgspec.field(default_factory=dict)
    _virtual_time: float = 0.0
    _numbers: Callable[[], int] = msgspec.field(default_factory=lambda: itertools.count().__next__)

    def __len__(self) -> int:
        return len(self.by_number)

    def join(
        self,
        account: str,
        priority: int,
        weight: float,
        in_time_until: float = math.inf,
        queues: int = 1,
    ) -> Ticket | None:
        """Return a place in the line, or None where it is full and this place the last.

        A full line gives way to a request whose turn comes earlier, being more
        urgent or of an account seldom seen: the caller then gets a place, and
        ``overflow`` names the one that must leave.
        """
        start = self._start(account)
        if len(self) >= self.limit and (priority, False, start) >= self._orders[-1][:3]:
            return None
        self._finish_by_account[account] = start + 1.0 / weight
        ticket = Ticket(priority, start, self._numbers(), account, in_time_until, queues)
        self.by_number[ticket.number] = ticket
        self._put_in(ticket)
        if in_time_until < math.inf:
            heapq.heappush(self._ends, (in_time_until, ticket.number))
        return ticket

    def before(self, account: str, priority: int) -> int:
        """Return how many wait whose turn comes before that of a new request."""
        return self._index(account, priority, is_late=False)

    def share_before(self, account: str, priority: int, is_late: bool = False) -> float:
        """Return how many of those before a new request this line will have to serve.

        One that waits in several lines counts as its part here. ``is_late`` says whether the
        new request is to be ranked among those that are too late for their objective.
        """
        return sum(self._shares[: self._index(account, priority, is_late)])

    def share(self) -> float:
        """Return how many of all who wait this line will have to serve."""
        return sum(self._shares)

    def pass_time(self, now: float) -> None:
        """Put those that are too late for their objective behind the others."""
        self._now = now
        while self._ends and self._ends[0][0] <= now:
            _, number = heapq.heappop(self._ends)
            ticket = self.by_number.get(number)
            if ticket is None:
                continue
            self._take_out(ticket)
            self._late_served_at = self._late_served_at if self._late else now
            self._late += 1
            late = self.by_number[number] = replace(ticket, is_late=True)
            self._put_in(late)

    def late_gap(self) -> float:
        """Return for how many seconds no late request had its turn though some wait."""
        return self._now - self._late_served_at if self._late else 0.0

    def overflow(self) -> Ticket | None:
        """Return who must leave because the line is longer than its limit."""
        return self.by_number[self._orders[-1][-1]] if len(self) > self.limit else None

    def first(self) -> Ticket | None:
        """Return who is next, or None where nobody waits."""
        return self.by_number[self._orders[0][-1]] if self._orders else None

    def at(self, place: int) -> Ticket | None:
        """Return who has a place of the line, counted from 0; None where it is shorter."""
        return self.by_number[self._orders[place][-1]] if place < len(self._orders) else None

    def served(self, ticket: Ticket) -> None:
        """Note that a ticket's turn came."""
        self._virtual_time = max(self._virtual_time, ticket.start)
        if ticket.is_late:
            self._late_served_at = self._now
        self.leave(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out, served or not; safe to call twice."""
        current = self.by_number.pop(ticket.number, None)
        if current is not None:
            self._take_out(current)
        if not self.by_number:
            self._finish_by_account.clear()
            self._ends.clear()
            self._virtual_time = 0.0

    def _put_in(self, ticket: Ticket) -> None:
        index = bisect.bisect_left(self._orders, ticket.order)
        self._orders.insert(index, ticket.order)
        self._shares.insert(index, 1.0 / ticket.queues)

    def _take_out(self, ticket: Ticket) -> None:
        self._late -= ticket.is_late
        index = bisect.bisect_left(self._orders, ticket.order)
        del self._orders[index]
        del self._shares[index]

    def _start(self, account: str) -> float:
        """Return the virtual time at which an account's next turn starts."""
        return max(self._virtual_time, self._finish_by_account.get(account, 0.0))

    def _index(self, account: str, priority: int, is_late: bool) -> int:
        """Return the place that a new request would have, counted from 0."""
        order = (priority, is_late, self._start(account), math.inf)
        return bisect.bisect_right(self._orders, order)
