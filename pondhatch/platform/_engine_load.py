"""The header in which an engine says how loaded it is, and how fast it works now."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.placement import MAX_PACE
from pondhatch.platform import _names as names

#: Numbers in the header: requests running, requests waiting and slots; on some platforms the
#: pace, too.
FIELD_COUNTS = (3, 4)
#: Requests that may wait at an engine that has places.
MAX_MOMENTARY_QUEUE = 1
#: Digits of the longest number that is read; Python refuses to convert very long ones.
MAX_DIGITS = 15


class EngineLoad(msgspec.Struct, frozen=True):
    """What one header says; None or 0 stands for what is not stated."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    #: Processing time in percent of usual; 0 where it is not stated.
    pace: int = 0
    #: Whether the header has the form of one, each of its numbers included.
    is_readable: bool = True

    @property
    def has_free_slots(self) -> bool:
        """Whether the engine reports free slots and no queue.

        Requests wait where its memory is taken, though it has slots. Those that come while it
        answers may wait for a moment.
        """
        if self.running is None or self.waiting is None or self.slots is None:
            return False
        return self.waiting <= MAX_MOMENTARY_QUEUE and self.running + self.waiting < self.slots


#: What an answer without the header says.
NOT_STATED = EngineLoad()


def read_load(value_by_name: Mapping[str, str]) -> EngineLoad:
    """Return what an answer's head says of its engine's load; names are in lower case."""
    value = value_by_name.get(names.LOAD.lower())
    if value is None:
        return NOT_STATED
    fields = value.split(",")
    if len(fields) not in FIELD_COUNTS:
        # Two headers that were joined on the way look so: no number has a sure meaning.
        return EngineLoad(is_readable=False)
    running, waiting, slots, pace = (_number(each) for each in (*fields, "0")[:4])
    is_valid_pace = pace is not None and pace <= MAX_PACE
    return EngineLoad(
        running,
        waiting,
        slots,
        pace if pace is not None and is_valid_pace else 0,
        is_readable=is_valid_pace and None not in (running, waiting, slots),
    )


def _number(text: str) -> int | None:
    """Return a whole number that is not negative, None where the text is none."""
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal() and len(digits) <= MAX_DIGITS
    return int(digits) if is_number else None
