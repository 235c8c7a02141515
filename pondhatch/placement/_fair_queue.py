"""The queue of a full engine: bounded, ordered by priority, fair between accounts.

Within a priority, accounts take turns by weight (start-time fair queueing): the requests of an
account with many wait for each other, so that an account with few is served next however many the
other has queued. Requests that are too late for their latency objective come after all others of
their priority.
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
    """One request's place in a queue."""

    #: The lowest is served first.
    priority: int
    #: Virtual start time in the fair queueing of accounts.
    start: float
    #: Number in the order of arrival.
    number: int
    account: str
    #: Until when a grant meets the request's latency objective, in the clock's seconds.
    objective_deadline: float = math.inf
    #: Queues in which the request waits at the same time.
    queue_count: int = 1
    #: Whether the deadline has passed.
    is_late: bool = False

    @property
    def sort_key(self) -> tuple[int, bool, float, int]:
        """Return the key by which the queue is sorted."""
        return (self.priority, self.is_late, self.start, self.number)


class FairQueue(msgspec.Struct):
    """Requests that wait for one engine."""

    #: Maximum number of queued requests.
    limit: int
    by_number: dict[int, Ticket] = msgspec.field(default_factory=dict)
    #: The tickets' sort keys, sorted.
    _sort_keys: list[tuple[int, bool, float, int]] = msgspec.field(default_factory=list)
    #: In the same order, the expected part of each request that this queue serves: 1 over the
    #: number of queues in which it waits.
    _shares: list[float] = msgspec.field(default_factory=list)
    #: Heap of the tickets' deadlines, each with the ticket's number.
    _deadlines: list[tuple[float, int]] = msgspec.field(default_factory=list)
    #: Number of late tickets.
    _late_count: int = 0
    #: When a late ticket was last served or, if later, when the first of the present ones became
    #: late, in the clock's seconds.
    _late_served_at: float = 0.0
    #: The latest time given to ``advance_time``, in the clock's seconds.
    _now: float = 0.0
    #: Virtual finish time of each account's latest request, the earliest start of its next one.
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
        """Return a ticket, or None where the queue is full and the request would be the last.

        A full queue still accepts a request that comes before its last one, being more urgent or
        of an account with fewer requests; ``ticket_to_evict`` then returns the ticket that must
        leave.
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
        """Return the number of queued requests that come before a new one."""
        return self._position_of(account, priority, is_late=False)

    def share_before(self, account: str, priority: int, is_late: bool = False) -> float:
        """Return how many of the requests before a new one this queue is expected to serve.

        A request that waits in several queues counts as a fraction here. ``is_late`` says whether
        the new request ranks among those that are too late for their objective.
        """
        return sum(self._shares[: self._position_of(account, priority, is_late)])

    def total_share(self) -> float:
        """Return how many of all queued requests this queue is expected to serve."""
        return sum(self._shares)

    def advance_time(self, now: float) -> None:
        """Move the requests that are now too late for their objective behind the others."""
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
        """Return the seconds for which late requests were queued and none was served."""
        return self._now - self._late_served_at if self._late_count else 0.0

    def ticket_to_evict(self) -> Ticket | None:
        """Return the ticket that must leave a queue longer than its limit, None otherwise."""
        return self.by_number[self._sort_keys[-1][-1]] if len(self) > self.limit else None

    def first(self) -> Ticket | None:
        """Return the ticket that is next, or None where the queue is empty."""
        return self.by_number[self._sort_keys[0][-1]] if self._sort_keys else None

    def at_position(self, position: int) -> Ticket | None:
        """Return the ticket at a position, counted from 0; None where the queue is shorter."""
        return (
            self.by_number[self._sort_keys[position][-1]]
            if position < len(self._sort_keys)
            else None
        )

    def mark_served(self, ticket: Ticket) -> None:
        """Take a ticket out as served, and advance the virtual time."""
        self._virtual_time = max(self._virtual_time, ticket.start)
        if ticket.is_late:
            self._late_served_at = self._now
        self.leave(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out, served or not; a second call has no effect."""
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
        """Return the virtual start time of an account's next request."""
        return max(self._virtual_time, self._finish_by_account.get(account, 0.0))

    def _position_of(self, account: str, priority: int, is_late: bool) -> int:
        """Return the position that a new request would have, counted from 0."""
        sort_key = (priority, is_late, self._start_of(account), math.inf)
        return bisect.bisect_right(self._sort_keys, sort_key)
