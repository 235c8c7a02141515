"""Names of the starts (processes) of an upstream, which has several under one id over time.

An upstream that restarts under its id has lost all state. So each start has a name of its own,
and the state kept about a start is stored under that name. Placement hashes the id instead: after
a restart an upstream's chats come back to it, and those of other upstreams do not move.
"""

from __future__ import annotations

#: Separates the id from the start time in a name.
START_SEPARATOR = "~"


def name_of_start(upstream_id: str, start: int) -> str:
    """Return the name of one start; ``start`` is its time in milliseconds since 1970."""
    return f"{upstream_id}{START_SEPARATOR}{start}"


def upstream_id_of(name: str) -> str:
    """Return the id in the name of a start; a name without a start time is the id itself."""
    return name.partition(START_SEPARATOR)[0]
