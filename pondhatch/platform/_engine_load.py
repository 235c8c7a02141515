"""The header in which an engine states its load and its current pace."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.placement import MAX_PACE
from pondhatch.platform import _names as names

#: How many numbers the header may have: requests running, requests waiting and slots, and on
#: some platforms the pace.
FIELD_COUNTS = (3, 4)
#: Waiting requests up to which an engine counts as having no queue.
MAX_MOMENTARY_QUEUE = 1
#: Digits of the longest number that is read; Python refuses to convert very long numbers.
MAX_DIGITS = 15


class EngineLoad(msgspec.Struct, frozen=True):
    """The content of one header; None or 0 stands for what is not stated."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    #: Processing time in percent of usual; 0 if it is not stated.
    pace: int = 0
    #: Whether the header and each of its numbers are well-formed.
    is_readable: bool = True

    @property
    def has_free_slots(self) -> bool:
        """Whether the engine reports free slots and no queue.

        Requests queue if the engine's memory is full, although it has free slots. A request that
        arrives while it answers may wait for a moment, and is no queue.
        """
        if self.running is None or self.waiting is None or self.slots is None:
            return False
        return self.waiting <= MAX_MOMENTARY_QUEUE and self.running + self.waiting < self.slots


#: The load read from an answer without the header.
NOT_STATED = EngineLoad()


def read_load(value_by_name: Mapping[str, str]) -> EngineLoad:
    """Return the engine's load that an answer's head states; header names are in lower case."""
    value = value_by_name.get(names.LOAD.lower())
    if value is None:
        return NOT_STATED
    fields = value.split(",")
    if len(fields) not in FIELD_COUNTS:
        # A hop that joins two headers produces this, so the meaning of each number is unknown.
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


def read_refusal_limit(value_by_name: Mapping[str, str]) -> int | None:
    """Return how many requests the engine may refuse within a second, None if it is not stated.

    A value that is no number is taken as 0: the engine does state that it is brittle.
    """
    value = value_by_name.get(names.BRITTLE.lower())
    return None if value is None else _number(value) or 0


def _number(text: str) -> int | None:
    """Return a whole number that is not negative, None if the text is not one."""
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal() and len(digits) <= MAX_DIGITS
    return int(digits) if is_number else None
