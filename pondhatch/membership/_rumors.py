"""Rumors still to be told, each a number of times that follows the fleet's size."""

from __future__ import annotations

import math

from pondhatch.membership._records import Alive, Rumor, Status
from pondhatch.membership._table import Table


class Rumors:
    """What to say of which routers; told least first."""

    def __init__(self, table: Table, most: int, retellings: float) -> None:
        self._table = table
        #: Rumors in one packet at most.
        self._most = most
        #: Times that a rumor is told, over the logarithm of the fleet's size.
        self._retellings = retellings
        self._left_by_router: dict[int, int] = {}

    def tell(self, router: int) -> None:
        """Have what is known of a router told from now on."""
        size = len(self._table.entry_by_id) + 2
        self._left_by_router[router] = math.ceil(self._retellings * math.log2(size))

    def take(self, own: Alive) -> tuple[Rumor, ...]:
        """Return a packet's rumors and count them as told."""
        left = self._left_by_router
        chosen = sorted(left, key=lambda router: -left[router])[: self._most]
        for router in chosen:
            left[router] -= 1
            if left[router] <= 0:
                del left[router]
        rumors = [self._on(router, own) for router in chosen]
        return tuple(rumor for rumor in rumors if rumor is not None)

    def take_for(self, receiver: int, own: Alive) -> tuple[Rumor, ...]:
        """Return a packet's rumors, with what is said of the receiver if it must answer that."""
        entry = self._table.get(receiver)
        about = (entry.rumor(),) if entry is not None and entry.status != Status.ALIVE else ()
        return (*about, *self.take(own))

    def _on(self, router: int, own: Alive) -> Rumor | None:
        if router == own.router:
            return own
        entry = self._table.get(router)
        return entry.rumor() if entry is not None else None
