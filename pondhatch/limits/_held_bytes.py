"""Bytes that a router buffers for callers and engines, counted by account, without I/O.

Accounts are limited only while the total reaches the bound, and only if they hold more than the
max-min fair level: the amount to which the largest holders would have to be cut for the total to
fit the bound. The level is never below an even share, so the largest holders are limited first
and no account is limited below its even share. Accounts below their share may push the total
past the bound.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pondhatch.limits._bucket import Limited

#: Seconds after which to retry when the router holds as many bytes as its bound allows. Slow
#: readers take seconds to drain what is buffered for them.
MEMORY_RETRY_AFTER = 1.0
#: Name of this limit in ``Limited``.
MEMORY_LIMIT = "memory"
#: Least number of bytes that a new request counts for at admission, since its answer may have to
#: be buffered even if its body is empty.
MIN_REQUEST_BYTES = 1


def fair_level(amounts: Iterable[int], bound: float) -> float:
    """Return the max-min fair level: the cap on each amount at which their sum fits the bound.

    Infinite if the sum is below the bound.
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
    """Bytes held by each account, and their sum, which a bound limits."""

    #: Bound on the sum; None for no bound.
    bound: int | None = None
    #: Sum over all accounts.
    total: int = 0
    #: Accounts that hold nothing have no entry.
    bytes_by_account: dict[str, int] = msgspec.field(default_factory=dict)

    def change(self, account: str, delta: int) -> None:
        """Add ``delta`` bytes, which may be negative, to what an account holds.

        Raises ValueError if the account would hold fewer than 0 bytes.
        """
        amount = self.bytes_by_account.get(account, 0) + delta
        if amount < 0:
            raise ValueError(f"{account} holds {amount - delta} bytes, fewer than {-delta}")
        if amount:
            self.bytes_by_account[account] = amount
        else:
            self.bytes_by_account.pop(account, None)
        self.total += delta

    def may_hold(self, account: str, more: int) -> bool:
        """Return whether a request of an account may hold ``more`` bytes in addition.

        An account that holds nothing always may: otherwise a body larger than the account's
        share would never be admitted.
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
        """Return whether the sources of an account's bytes should be read more slowly."""
        if self.bound is None or self.total < self.bound:
            return False
        held = self.bytes_by_account.get(account, 0)
        if self._is_under_share(held):
            return False
        return held >= fair_level(self.bytes_by_account.values(), self.bound)

    def _is_under_share(self, held: int) -> bool:
        """Return whether an amount is below an even share; unlike fair_level, needs no sort."""
        return self.bound is None or held * len(self.bytes_by_account) < self.bound

    def largest(self, count: int) -> list[tuple[str, int]]:
        """Return the ``count`` largest holders as (account, bytes), the largest first."""
        return sorted(self.bytes_by_account.items(), key=lambda item: (-item[1], item[0]))[:count]

    def counter(self, account: str) -> HeldCounter:
        """Return a new counter for an account, at 0 bytes."""
        return HeldCounter(self, account)


class HeldCounter:
    """The bytes that one body, pipe or buffer holds for its account, until it is closed."""

    __slots__ = ("_account", "_held_bytes", "_is_closed", "amount")

    def __init__(self, held_bytes: HeldBytes, account: str) -> None:
        #: Bytes held now.
        self.amount = 0
        self._held_bytes = held_bytes
        self._account = account
        self._is_closed = False

    def set(self, amount: int) -> None:
        """Set the number of bytes held, regardless of the bound; no effect once closed."""
        if amount != self.amount and not self._is_closed:
            self._held_bytes.change(self._account, amount - self.amount)
            self.amount = amount

    def try_set(self, amount: int) -> Limited | None:
        """Set the number of bytes held for a new request, or return the limit it exceeds."""
        if self._is_closed:
            return None
        if not self._held_bytes.may_hold(self._account, amount - self.amount):
            return Limited(MEMORY_LIMIT, MEMORY_RETRY_AFTER)
        self.set(amount)
        return None

    def is_slowed(self) -> bool:
        """Return whether the source of these bytes should be read more slowly."""
        return self._held_bytes.is_slowed(self._account)

    def close(self) -> None:
        """Release all bytes; safe to call twice."""
        self.set(0)
        self._is_closed = True


#: A closed counter, which counts nothing: for bytes that belong to no account.
UNCOUNTED = HeldCounter(HeldBytes(), "")
UNCOUNTED.close()
