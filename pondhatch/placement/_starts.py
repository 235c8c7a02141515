"""Names of upstreams, of which one id may have several, one after the other.

An upstream that starts again under its id holds and knows nothing of before. So each start has
a name of its own, and what is taken to be so of a start is kept by that name. Where requests
go is worked out from the id: the chats of one that starts again come back to it, instead of
moving a part of everybody else's.
"""

from __future__ import annotations

#: Divides the id from the start.
START_SEPARATOR = "~"


def name_of_start(upstream_id: str, start: int) -> str:
    """Return the name of one start; ``start`` in milliseconds since 1970."""
    return f"{upstream_id}{START_SEPARATOR}{start}"


def upstream_id_of(name: str) -> str:
    """Return the id in the name of a start; a name without one is the id."""
    return name.partition(START_SEPARATOR)[0]
