"""A place in the store's history: how often it came back from an older copy, and its revision.

A store that comes back from a copy gives revisions out again, so a revision alone does not
say which of two words is the newer. A position does, and is told between routers in the place
of the revision: the era stands above the revision's bits in one whole number. So positions
compare as numbers do, and where a platform tells no era they are its revisions, which routers
of an earlier version of pondhatch know.
"""

from __future__ import annotations

from typing import TypeAlias

#: Ordered: the higher one is the newer.
Position: TypeAlias = int

#: Bits of a revision: at several hundred writes a second they last for eighty years. Eras take
#: the bits above, up to 2**53, the largest whole number that every reader of JSON takes.
REVISION_BITS = 40
#: The highest era that a position can hold; one beyond it is taken for none.
MAX_ERA = 2**13 - 1
#: Seconds for which an era of the platform's store settles: who writes there has written itself
#: again within two of its return, and what ended unseen lapses in three or four.
SETTLE_SECONDS = 3.0
#: The era of a platform that tells none.
NO_ERA = 0


def position_of(era: int, revision: int) -> Position:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) + revision


def era_of(position: Position) -> int:
    """Return how often the store had come back by then."""
    return position >> REVISION_BITS


def revision_of(position: Position) -> int:
    """Return the store's own number, which says nothing outside its era."""
    return position & ((1 << REVISION_BITS) - 1)
