"""Routers that are new or back, and which of the others inform them of what they missed."""

from __future__ import annotations

from pondhatch.membership import Member
from pondhatch.placement import ranked
from pondhatch.router._state import RouterState

#: Routers that inform one that is new or back; one of them may have just started itself.
INFORMERS = 3


def is_informer(state: RouterState, subject: str) -> bool:
    """Return whether this router is one of those that inform all others of a subject."""
    names = (each.name for each in state.members())
    return state.name in ranked(f"tell:{subject}", names, INFORMERS)


class NewMembers:
    """Finds the routers that are new or back since the last call."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._checked_members: tuple[Member, ...] = ()

    def to_inform(self, has_content: bool) -> list[Member]:
        """Return the members that are new or back and that this router is to inform.

        ``has_content`` says whether there is anything to send. If not, nothing is computed: the
        choice takes as many hashes for each new member as there are routers.
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
