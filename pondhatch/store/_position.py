"""Positions in the store's history: an era, which counts restores, and a revision.

A store that is restored from an older copy hands out the same revisions again, so a revision alone
does not order two changes. A position does, and routers exchange it in place of the revision: an
integer with the era in the bits above the revision. So positions compare as integers, and if a
platform reports no era they equal its revisions, which is the form that routers of an earlier
version of pondhatch understand.
"""

from __future__ import annotations

from typing import TypeAlias

#: A higher position is newer.
Position: TypeAlias = int

#: Bits of a revision, which last for eighty years at several hundred writes a second. The era
#: takes the bits above, up to 2**53, the range in which every JSON parser keeps integers exact.
REVISION_BITS = 40
#: The highest era that a position can hold; a higher one is treated as not reported.
MAX_ERA = 2**13 - 1
#: Seconds until an era of the platform's store has settled: live writers renew their entries
#: within two seconds of its return, and entries of writers that ended unseen lapse in three or
#: four.
SETTLE_SECONDS = 3.0
#: The era of a platform that reports none.
NO_ERA = 0


def position_of(era: int, revision: int) -> Position:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) + revision


def era_of(position: Position) -> int:
    """Return the era of a position: the number of restores of the store before it."""
    return position >> REVISION_BITS


def revision_of(position: Position) -> int:
    """Return the store's own revision, which is meaningful only within its era."""
    return position & ((1 << REVISION_BITS) - 1)
