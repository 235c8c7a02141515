"""The line before a full engine: bounded, by priority, fair between accounts.

Within a priority, accounts take turns by weight (start-time fair queueing): an
account that sends much waits behind its own requests, so that one seldom seen
is served next however long the line of the other is.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import msgspec


class Ticket(msgspec.Struct, frozen=True):
    """One request's place in a line."""

    priority: int
    #: Virtual time at which its account's turn starts.
    start: float
    number: int
    account: str

    @property
    def order(self) -> tuple[int, float, int]:
        """Return what the line is sorted by."""
        return (self.priority, self.start, self.number)


class Line(msgspec.Struct):
    """Requests that wait for one engine."""

    #: Requests that may wait at once.
    limit: int
    by_number: dict[int, Ticket] = msgspec.field(default_factory=dict)
    _finish_by_account: dict[str, float] = msgspec.field(default_factory=dict)
    _virtual_time: float = 0.0
    _numbers: Callable[[], int] = msgspec.field(default_factory=lambda: itertools.count().__next__)

    def __len__(self) -> int:
        return len(self.by_number)

    def join(self, account: str, priority: int, weight: float) -> Ticket | None:
        """Return a place in the line, or None where it is full and this place the last.

        A full line gives way to a request whose turn comes earlier, being more
        urgent or of an account seldom seen: the caller then gets a place, and
        ``overflow`` names the one that must leave.
        """
        start = self._start(account)
        if len(self) >= self.limit and (priority, start) >= self._last().order[:2]:
            return None
        self._finish_by_account[account] = start + 1.0 / weight
        ticket = Ticket(priority, start, self._numbers(), account)
        self.by_number[ticket.number] = ticket
        return ticket

    def before(self, account: str, priority: int) -> int:
        """Return how many wait whose turn comes before that of a new request."""
        place = (priority, self._start(account))
        return sum(ticket.order[:2] <= place for ticket in self.by_number.values())

    def overflow(self) -> Ticket | None:
        """Return who must leave because the line is longer than its limit."""
        return self._last() if len(self) > self.limit else None

    def first(self) -> Ticket | None:
        """Return who is next, or None where nobody waits."""
        return min(self.by_number.values(), key=lambda ticket: ticket.order, default=None)

    def in_order(self) -> list[Ticket]:
        """Return all who wait, the next one first."""
        return sorted(self.by_number.values(), key=lambda ticket: ticket.order)

    def served(self, ticket: Ticket) -> None:
        """Note that a ticket's turn came."""
        self._virtual_time = max(self._virtual_time, ticket.start)
        self.leave(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out, served or not; safe to call twice."""
        self.by_number.pop(ticket.number, None)
        if not self.by_number:
            self._finish_by_account.clear()
            self._virtual_time = 0.0

    def _start(self, account: str) -> float:
        """Return the virtual time at which an account's next turn starts."""
        return max(self._virtual_time, self._finish_by_account.get(account, 0.0))

    def _last(self) -> Ticket:
        return max(self.by_number.values(), key=lambda ticket: ticket.order)
