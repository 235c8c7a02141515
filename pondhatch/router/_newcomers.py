"""Routers that are new or back, and who tells them what they missed."""

from __future__ import annotations

from pondhatch.membership import Member
from pondhatch.placement import ranked
from pondhatch.router._state import RouterState

#: Routers that tell one that is new or back; one of them may have just started itself.
TELLERS = 3


class Newcomers:
    """Looks for routers that are new or back since the last look."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._looked_at: tuple[Member, ...] = ()

    def to_tell(self, is_anything_known: bool) -> list[Member]:
        """Return those that are new or back, where this router is among those that shall tell.

        ``is_anything_known`` says whether there is anything to tell; who shall is not worked out
        for nothing, which takes as many hashes for each newcomer as there are routers.
        """
        members = self._state.members()
        if members is self._looked_at:
            return []
        known = {(each.name, each.incarnation) for each in self._looked_at}
        self._looked_at = members
        if not is_anything_known:
            return []
        new = [each for each in members if (each.name, each.incarnation) not in known]
        return [each for each in new if self._is_teller(each, members)]

    def _is_teller(self, newcomer: Member, members: tuple[Member, ...]) -> bool:
        others = (each.name for each in members if each.name != newcomer.name)
        is_other = newcomer.name != self._state.name
        return is_other and self._state.name in ranked(f"tell:{newcomer.name}", others, TELLERS)
