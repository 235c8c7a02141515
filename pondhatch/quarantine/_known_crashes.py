"""The crashes of engines that a router knows of, whatever they are held against."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import msgspec

from pondhatch.quarantine._crash_moments import MOMENT_SECONDS

#: Seconds within which all evidence under an engine's name is about the same crash. Later evidence
#: is about a crash after a restart under the same name: a start takes longer than this.
SAME_CRASH_SECONDS = 2.0
#: Separates an engine's name from the number of its crash, from the second crash on.
ORDINAL_SEPARATOR = "#"


class KnownCrashes(msgspec.Struct):
    """When engines crashed, by the name of the crash; no I/O, time is passed in."""

    #: Number of suspects of each crash, by the name of the crash.
    suspects_by_name: Counter[str] = msgspec.field(default_factory=Counter)
    #: When each crash came, in the clock's seconds, by the name of the crash.
    _time_by_name: dict[str, float] = msgspec.field(default_factory=dict)
    #: Name and time of each engine's newest crash.
    newest_by_engine: dict[str, tuple[str, float]] = msgspec.field(default_factory=dict)

    def __contains__(self, name: str) -> bool:
        return name in self._time_by_name

    def new_name(self, engine: str, now: float) -> str:
        """Return the name of an engine's crash that is observed now.

        It is the engine's name, with a number if an earlier crash under that name is stored: not
        every platform distinguishes one start of an engine from the next.
        """
        known = self.newest_by_engine.get(engine)
        if known is None:
            return engine
        name, crashed_at = known
        if now - crashed_at < SAME_CRASH_SECONDS:
            return name
        ordinal = name.partition(ORDINAL_SEPARATOR)[2] or "1"
        return f"{engine}{ORDINAL_SEPARATOR}{int(ordinal) + 1}"

    def add_suspect(self, name: str, crashed_at: float) -> None:
        """Add a crash, or one more suspect of it."""
        self.suspects_by_name[name] += 1
        self._time_by_name[name] = min(self._time_by_name.get(name, crashed_at), crashed_at)
        engine = name.partition(ORDINAL_SEPARATOR)[0]
        known = self.newest_by_engine.get(engine)
        if known is None or (known[0] != name and known[1] < crashed_at):
            # The first evidence of a crash sets its time.
            self.newest_by_engine[engine] = (name, crashed_at)

    def remove_suspect(self, name: str) -> None:
        """Remove a suspect of a crash; one without suspects is forgotten."""
        self.suspects_by_name[name] -= 1
        if self.suspects_by_name[name]:
            return
        del self.suspects_by_name[name], self._time_by_name[name]
        engine = name.partition(ORDINAL_SEPARATOR)[0]
        if self.newest_by_engine.get(engine, ("", 0.0))[0] == name:
            del self.newest_by_engine[engine]

    def count_between(self, first: float, last: float) -> int:
        """Return the number of crashes from one time to another."""
        return sum(first <= at <= last for at in self._time_by_name.values())

    def most_were_others(self, at: float, names: Collection[str]) -> bool:
        """Return whether of the crashes at about a time most are not among some names."""
        near = {
            name for name, time in self._time_by_name.items() if abs(time - at) <= MOMENT_SECONDS
        }
        others = near.difference(names)
        return len(others) > len(near) - len(others)
