"""Which routers must hold a key's record before its request may run, while some are out of reach.

A router that is out of reach may be lost, or may serve on at the other side of a cut, where its
records count as much as those here. So that no two sides run one request:

- While a key's first two holders are in reach, they hold it. The other side knows neither.
- While one of them is, more than half of all routers hold it, which no two sides can have. Of an
  even number, the half with the key's first holder may.
- While none of them is, its request may have run there, and is refused.
"""

from __future__ import annotations

import msgspec

#: Number of routers that hold a key's record while none is out of reach.
HOLDERS_PER_KEY = 2
#: Maximum number of routers that hold it otherwise. By hashing, so many of a cut-off hall are the
#: first ones for hardly any key, and each one costs a call.
MAX_HOLDERS = 8


class KeyRanking(msgspec.Struct, frozen=True):
    """The routers that may hold a key's record, in their rank for it."""

    names: tuple[str, ...]
    #: Those that were live a while ago, and have since been lost without having left.
    out_of_reach: frozenset[str] = frozenset()

    def needed_holders(self) -> tuple[str, ...]:
        """Return the routers that must hold the record; none where the request must not run."""
        first = self.names[:HOLDERS_PER_KEY]
        if self.out_of_reach.isdisjoint(first):
            return first
        if self.out_of_reach.issuperset(first):
            return ()
        in_reach = tuple(name for name in self.names if name not in self.out_of_reach)
        if 2 * len(in_reach) > len(self.names):
            return in_reach[: min(len(self.names) // 2 + 1, MAX_HOLDERS)]
        is_half = 2 * len(in_reach) == len(self.names)
        return in_reach[:MAX_HOLDERS] if is_half and in_reach[0] == self.names[0] else ()
