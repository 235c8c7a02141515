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


def owner_of(engine: str, hall: str, members: Iterable[Member]) -> Member | None:
    """Return the router that all work for an engine passes, or None without live routers."""
    live = [member for member in members if member.phase == Phase.LIVE]
    near = [member for member in live if member.hall == hall] or live
    by_name = {member.name: member for member in near}
    name = winner(f"owner:{engine}", by_name)
    return by_name[name] if name is not None else None


def watchers(hall: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Return the routers of a hall that hold watches at the platform."""
    names = [
        member.name for member in members if member.hall == hall and member.phase == Phase.LIVE
    ]
    return ranked(f"watch:{hall}", names)[:WATCHERS_PER_HALL]
