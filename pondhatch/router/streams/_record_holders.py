"""Which routers hold the record of a stream, and which are asked for it."""

from __future__ import annotations

from pondhatch.membership import Member, Phase
from pondhatch.placement import ranked
from pondhatch.router._state import RouterState

#: Routers, beside the one where the stream began, that hold its record.
HOLDERS = 2
#: Routers asked for a record: enough that the holders are among them after several routers joined.
MAX_ASKED = 8


class RecordHolders:
    """Ranks the members of the fleet for the key of a stream, the same way at every router."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def holders(self, key: bytes) -> tuple[Member, ...]:
        """Return the live routers that hold a record.

        They are in different data halls if possible, as a whole hall may be lost.
        """
        ranking = [each for each in self._ranked(key) if each.phase == Phase.LIVE]
        if len(ranking) <= HOLDERS:
            return tuple(ranking)
        first = ranking[0]
        elsewhere = (each for each in ranking[1:] if each.hall != first.hall)
        return first, next(elsewhere, ranking[1])

    def asked(self, key: bytes) -> tuple[Member, ...]:
        """Return the other routers to ask for a record: all of them in a small fleet."""
        first = dict.fromkeys((*self.holders(key), *self._ranked(key)[:MAX_ASKED]))
        return tuple(each for each in first if each.name != self._state.name)

    def are_all(self, asked: int) -> bool:
        """Return whether this many routers are all others of the fleet."""
        return asked >= sum(each.name != self._state.name for each in self._state.members())

    def _ranked(self, key: bytes) -> list[Member]:
        member_by_name = {each.name: each for each in self._state.members()}
        return [member_by_name[name] for name in ranked(key.hex(), member_by_name)]
