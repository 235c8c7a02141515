"""Routers that are new or back, and who tells them what they missed."""

from __future__ import annotations

from pondhatch.membership import Member
from pondhatch.placement import ranked
from pondhatch.router._state import RouterState

#: Routers that tell one that is new or back; one of them may have just started itself.
INFORMERS = 3


class NewMembers:
    """Looks for routers that are new or back since the last look."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._checked_members: tuple[Member, ...] = ()

    def to_inform(self, has_content: bool) -> list[Member]:
        """Return those that are new or back, where this router is among those that shall tell.

        ``is_anything_known`` says whether there is anything to tell; who shall is not worked out
        for nothing, which takes as many hashes for each newcomer as there are routers.
        """
        members = self._state.members()
        if members is self._checked_members:
            return []
        known = {(each.name, each.incarnation) for each in self._checked_members}
        self._checked_members = members
        if not has_content:
            return []
        new = [each for each in members if (each.name, each.incarnation) not in known]
        return [each for each in new if self._informs(each, members)]

    def _informs(self, member: Member, members: tuple[Member, ...]) -> bool:
        others = (each.name for each in members if each.name != member.name)
        is_other = member.name != self._state.name
        return is_other and self._state.name in ranked(f"tell:{member.name}", others, INFORMERS)
