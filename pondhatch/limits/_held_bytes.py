"""Bytes that a router holds for callers and engines, counted by account, without I/O.

An account is limited only while the whole reaches the bound, and only by what it holds above the
fair level: the amount to which the largest accounts would have to be cut for the whole to fit the
bound. The level is never below an even share, so the accounts that hold most are limited first
and none is limited while it holds less than its share. What such accounts still bring may take
the whole past the bound.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pondhatch.limits._bucket import Limited

#: Seconds after which to retry when a router holds as many bytes as it may. Slow readers
#: take seconds for what is held for them.
MEMORY_RETRY_AFTER = 1.0
#: Name of the limit that an account reached; see ``Limited``.
MEMORY_LIMIT = "memory"
#: Bytes that a request counts for at least when it asks to be taken in: its answer may be held.
MIN_REQUEST_BYTES = 1


def fair_level(amounts: Iterable[int], bound: float) -> float:
    """Return the amount to which the largest are cut so that all fit a bound.

    Infinite where all of them together stay below the bound.
    """
    ordered = sorted(amounts)
    remaining = bound
    for index, amount in enumerate(ordered):
        share = remaining / (len(ordered) - index)
        if amount >= share:
            return share
        remaining -= amount
    return float("inf")


class HeldBytes(msgspec.Struct):
    """Bytes held by account, and their sum against a bound; None where there is no bound."""

    bound: int | None = None
    #: Sum over all accounts.
    total: int = 0
    #: Accounts that hold nothing are left out.
    bytes_by_account: dict[str, int] = msgspec.field(default_factory=dict)

    def change(self, account: str, delta: int) -> None:
        """Add to what an account holds, or take from it."""
        amount = self.bytes_by_account.get(account, 0) + delta
        if amount < 0:
            raise ValueError(f"{account} holds {amount - delta} bytes, fewer than {-delta}")
        if amount:
            self.bytes_by_account[account] = amount
        else:
            self.bytes_by_account.pop(account, None)
        self.total += delta

    def may_hold(self, account: str, more: int) -> bool:
        """Return whether a request of an account may hold so many bytes more.

        One of an account that holds nothing always may: else a body larger than its account's
        share would find no moment at which it is taken.
        """
        more = max(more, MIN_REQUEST_BYTES)
        if self.bound is None or self.total + more <= self.bound:
            return True
        held = self.bytes_by_account.get(account, 0)
        after = held + more
        if not held:
            return True
        if after > self.bound:
            return False
        if self._is_under_share(held):
            return True
        return after <= fair_level({**self.bytes_by_account, account: after}.values(), self.bound)

    def is_slowed(self, account: str) -> bool:
        """Return whether an account's sources are to be read more slowly."""
        if self.bound is None or self.total < self.bound:
            return False
        held = self.bytes_by_account.get(account, 0)
        if self._is_under_share(held):
            return False
        return held >= fair_level(self.bytes_by_account.values(), self.bound)

    def _is_under_share(self, held: int) -> bool:
        """Return whether an amount is below an even share of the bound, without a sort."""
        return self.bound is None or held * len(self.bytes_by_account) < self.bound

    def largest(self, count: int) -> list[tuple[str, int]]:
        """Return the accounts that hold most, each with its bytes, the largest first."""
        return sorted(self.bytes_by_account.items(), key=lambda item: (-item[1], item[0]))[:count]

    def counter(self, account: str) -> HeldCounter:
        """Return a new holder of bytes for an account; it holds none yet."""
        return HeldCounter(self, account)


class HeldCounter:
    """What one body, pipe or buffer holds of its account's bytes, until it is closed."""

    __slots__ = ("_account", "_is_closed", "_table", "amount")

    def __init__(self, table: HeldBytes, account: str) -> None:
        #: Bytes that it holds now.
        self.amount = 0
        self._table = table
        self._account = account
        self._is_closed = False

    def set(self, amount: int) -> None:
        """Count so many bytes in all, whatever the bound; once closed, none."""
        if amount != self.amount and not self._is_closed:
            self._table.change(self._account, amount - self.amount)
            self.amount = amount

    def try_set(self, amount: int) -> Limited | None:
        """Count so many bytes in all for a new request, unless it is over the bound."""
        if self._is_closed:
            return None
        if not self._table.may_hold(self._account, amount - self.amount):
            return Limited(MEMORY_LIMIT, MEMORY_RETRY_AFTER)
        self.set(amount)
        return None

    def is_slowed(self) -> bool:
        """Return whether its source is to be read more slowly."""
        return self._table.is_slowed(self._account)

    def close(self) -> None:
        """Give everything back; safe to call twice."""
        self.set(0)
        self._is_closed = True


#: Counts nothing: for what is held for no account.
UNCOUNTED = HeldCounter(HeldBytes(), "")
UNCOUNTED.close()
