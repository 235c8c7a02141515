"""Which router owns an engine, and which routers of a hall speak to the platform.

Ownership is rendezvous hashing over the live routers of the engine's hall, or
over all live routers where the hall has none. Two routers that disagree on who
is live may both believe they own an engine; docs/DESIGN.md says what holds then.
"""

from __future__ import annotations

from collections.abc import Iterable

from pondhatch.membership._members import Member
from pondhatch.membership._records import Phase
from pondhatch.placement import ranked, winner

#: Routers of a hall that watch the platform for the others.
WATCHERS_PER_HALL = 1
#: Routers of a hall that look for the platform at most while none of them reaches it: one
#: cut off alone is made good by the second, and a platform that is away is asked by three
#: in each hall, not by all.
MOST_LOOKING = 3


def owner_of(engine: str, hall: str, members: Iterable[Member]) -> Member | None:
    """Return the router that all work for an engine passes, or None without live routers."""
    live = [member for member in members if member.phase == Phase.LIVE]
    near = [member for member in live if member.hall == hall] or live
    by_name = {member.name: member for member in near}
    name = winner(f"owner:{engine}", by_name)
    return by_name[name] if name is not None else None


def watchers(hall: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Return the routers of a hall that hold watches at the platform.

    One that said that it cannot reach the platform gives way to the next.
    """
    live = {
        member.name: member
        for member in members
        if member.hall == hall and member.phase == Phase.LIVE
    }
    order = ranked(f"watch:{hall}", live)
    seeing = tuple(name for name in order[:MOST_LOOKING] if live[name].sees_platform)
    return (seeing or order)[:WATCHERS_PER_HALL]
