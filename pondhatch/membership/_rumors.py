"""The queue of rumors to send, each a number of times that depends on the fleet's size."""

from __future__ import annotations

import math

from pondhatch.membership._member_table import MemberTable
from pondhatch.membership._records import Alive, Rumor, Status


class RumorQueue:
    """The routers with a rumor to send; those sent the fewest times come first."""

    def __init__(self, table: MemberTable, max_rumors: int, repeats: float) -> None:
        self._table = table
        #: Maximum number of rumors in a packet.
        self._max_rumors = max_rumors
        #: Times that a rumor is sent, as a multiple of the binary logarithm of the fleet's size.
        self._repeats = repeats
        #: How often the rumor about each router is still to be sent, by short id.
        self._left_by_router: dict[int, int] = {}

    def enqueue(self, router: int) -> None:
        """Send the current record or fault of a router from now on."""
        # The known peers and this router, plus one so that the logarithm is at least 1.
        size = len(self._table.entry_by_id) + 2
        self._left_by_router[router] = math.ceil(self._repeats * math.log2(size))

    def next_batch(self, own: Alive) -> tuple[Rumor, ...]:
        """Return the rumors for a packet and count them as sent."""
        left = self._left_by_router
        chosen = sorted(left, key=lambda router: -left[router])[: self._max_rumors]
        for router in chosen:
            left[router] -= 1
            if left[router] <= 0:
                del left[router]
        rumors = [self._rumor_about(router, own) for router in chosen]
        return tuple(rumor for rumor in rumors if rumor is not None)

    def next_batch_for(self, receiver: int, own: Alive) -> tuple[Rumor, ...]:
        """Return the rumors for a packet, with a rumor about the receiver that it must refute."""
        entry = self._table.get(receiver)
        about_receiver = (
            (entry.rumor(),) if entry is not None and entry.status != Status.ALIVE else ()
        )
        return (*about_receiver, *self.next_batch(own))

    def _rumor_about(self, router: int, own: Alive) -> Rumor | None:
        if router == own.router:
            return own
        entry = self._table.get(router)
        return entry.rumor() if entry is not None else None
