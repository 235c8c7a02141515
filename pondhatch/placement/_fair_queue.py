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
    objective_deadline: float = math.inf
    #: Lines in which its request waits at once.
    queue_count: int = 1
    #: Whether that time is over.
    is_late: bool = False

    @property
    def sort_key(self) -> tuple[int, bool, float, int]:
        """Return what the line is sorted by."""
        return (self.priority, self.is_late, self.start, self.number)


class FairQueue(msgspec.Struct):
    """Requests that wait for one engine."""

    #: Requests that may wait at once.
    limit: int
    by_number: dict[int, Ticket] = msgspec.field(default_factory=dict)
    #: The order of each ticket, sorted.
    _sort_keys: list[tuple[int, bool, float, int]] = msgspec.field(default_factory=list)
    #: By the same order, the part of each request that this line will have to serve.
    _shares: list[float] = msgspec.field(default_factory=list)
    #: Until when tickets are in time, with their numbers, the first one on top.
    _deadlines: list[tuple[float, int]] = msgspec.field(default_factory=list)
    #: How many are late, when one of them last had its turn, and the newest time known.
    _late_count: int = 0
    _late_served_at: float = 0.0
    _now: float = 0.0
    _finish_by_account: dict[str, float] = msgspec.field(default_factory=dict)
    _virtual_time: float = 0.0
    _next_number: Callable[[], int] = msgspec.field(
        default_factory=lambda: itertools.count().__next__
    )

    def __len__(self) -> int:
        return len(self.by_number)

    def join(
        self,
        account: str,
        priority: int,
        weight: float,
        objective_deadline: float = math.inf,
        queue_count: int = 1,
    ) -> Ticket | None:
        """Return a place in the line, or None where it is full and this place the last.

        A full line gives way to a request whose turn comes earlier, being more
        urgent or of an account seldom seen: the caller then gets a place, and
        ``overflow`` names the one that must leave.
        """
        start = self._start_of(account)
        if len(self) >= self.limit and (priority, False, start) >= self._sort_keys[-1][:3]:
            return None
        self._finish_by_account[account] = start + 1.0 / weight
        ticket = Ticket(
            priority, start, self._next_number(), account, objective_deadline, queue_count
        )
        self.by_number[ticket.number] = ticket
        self._insert(ticket)
        if objective_deadline < math.inf:
            heapq.heappush(self._deadlines, (objective_deadline, ticket.number))
        return ticket

    def count_before(self, account: str, priority: int) -> int:
        """Return how many wait whose turn comes before that of a new request."""
        return self._position_of(account, priority, is_late=False)

    def share_before(self, account: str, priority: int, is_late: bool = False) -> float:
        """Return how many of those before a new request this line will have to serve.

        One that waits in several lines counts as its part here. ``is_late`` says whether the
        new request is to be ranked among those that are too late for their objective.
        """
        return sum(self._shares[: self._position_of(account, priority, is_late)])

    def total_share(self) -> float:
        """Return how many of all who wait this line will have to serve."""
        return sum(self._shares)

    def advance_time(self, now: float) -> None:
        """Put those that are too late for their objective behind the others."""
        self._now = now
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            ticket = self.by_number.get(number)
            if ticket is None:
                continue
            self._remove(ticket)
            self._late_served_at = self._late_served_at if self._late_count else now
            self._late_count += 1
            late = self.by_number[number] = replace(ticket, is_late=True)
            self._insert(late)

    def late_wait(self) -> float:
        """Return for how many seconds no late request had its turn though some wait."""
        return self._now - self._late_served_at if self._late_count else 0.0

    def ticket_to_evict(self) -> Ticket | None:
        """Return who must leave because the line is longer than its limit."""
        return self.by_number[self._sort_keys[-1][-1]] if len(self) > self.limit else None

    def first(self) -> Ticket | None:
        """Return who is next, or None where nobody waits."""
        return self.by_number[self._sort_keys[0][-1]] if self._sort_keys else None

    def at_position(self, position: int) -> Ticket | None:
        """Return who has a place of the line, counted from 0; None where it is shorter."""
        return (
            self.by_number[self._sort_keys[position][-1]]
            if position < len(self._sort_keys)
            else None
        )

    def mark_served(self, ticket: Ticket) -> None:
        """Note that a ticket's turn came."""
        self._virtual_time = max(self._virtual_time, ticket.start)
        if ticket.is_late:
            self._late_served_at = self._now
        self.leave(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out, served or not; safe to call twice."""
        current = self.by_number.pop(ticket.number, None)
        if current is not None:
            self._remove(current)
        if not self.by_number:
            self._finish_by_account.clear()
            self._deadlines.clear()
            self._virtual_time = 0.0

    def _insert(self, ticket: Ticket) -> None:
        index = bisect.bisect_left(self._sort_keys, ticket.sort_key)
        self._sort_keys.insert(index, ticket.sort_key)
        self._shares.insert(index, 1.0 / ticket.queue_count)

    def _remove(self, ticket: Ticket) -> None:
        self._late_count -= ticket.is_late
        index = bisect.bisect_left(self._sort_keys, ticket.sort_key)
        del self._sort_keys[index]
        del self._shares[index]

    def _start_of(self, account: str) -> float:
        """Return the virtual time at which an account's next turn starts."""
        return max(self._virtual_time, self._finish_by_account.get(account, 0.0))

    def _position_of(self, account: str, priority: int, is_late: bool) -> int:
        """Return the place that a new request would have, counted from 0."""
        sort_key = (priority, is_late, self._start_of(account), math.inf)
        return bisect.bisect_right(self._sort_keys, sort_key)
