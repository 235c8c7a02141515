"""One request, or part of prompts, that is suspected of crashing engines, and for how long."""

from __future__ import annotations

import msgspec

from pondhatch.quarantine._crash_moments import (
    Crash,
    independent_crashes,
    successive_crashes,
)

#: Number of engine crashes during a request after which it is quarantined. Two may be a
#: coincidence, as when all engines of a hall are replaced in a hurry. If one in a hundred runs is
#: lost with its engine, three by coincidence alone are one in a million, and each further crash
#: needed costs twenty other requests.
CRASHES_TO_QUARANTINE = 3
#: Seconds after the last crash for which the request is not run. After that one run at a time is
#: allowed, since a newer version of the engine may survive it; at worst one engine crashes every
#: ten minutes.
QUARANTINE_SECONDS = 600.0
#: The same for a part of prompts after the third crash; doubled by each further one, up to
#: QUARANTINE_SECONDS. Many requests may need the part, and a chance coincidence is likelier than
#: with a whole request.
PART_QUARANTINE_SECONDS = 60.0
#: Seconds for which a request is quarantined that has not crashed three engines one after the
#: other: it may be popular, and have met another cause. Longer than engines take to start, and
#: short, since two further crashes at most bring QUARANTINE_SECONDS.
OVERLAP_QUARANTINE_SECONDS = 10.0


class Suspect(msgspec.Struct):
    """One request, or part of prompts, during whose runs engines crashed."""

    #: Whether it is a part of prompts.
    is_part: bool = False
    #: By the name of the crash.
    crash_by_name: dict[str, Crash] = msgspec.field(default_factory=dict)
    #: Names of the crashes that the request is known not to have caused.
    cleared: set[str] = msgspec.field(default_factory=set)
    #: When this router last learned of a crash, in the clock's seconds.
    learned_at: float = 0.0

    @property
    def last_crash_at(self) -> float:
        """When an engine last crashed while it ran the request, in the clock's seconds."""
        return max(each.at for each in self.crash_by_name.values())

    def uncleared_crashes(self) -> list[str]:
        """Return the names of the crashes of which the request is not cleared."""
        return [crash for crash in self.crash_by_name if crash not in self.cleared]

    def has_enough_crashes(self) -> bool:
        """Return whether as many engines crashed, each on its own, as quarantine a request."""
        return len(independent_crashes(self.suspected_crashes())) >= CRASHES_TO_QUARANTINE

    def rounds(self) -> list[Crash]:
        """Return its uncleared crashes each of whose runs began after the one before, in order."""
        return successive_crashes(self.suspected_crashes())

    def may_have_met_one_cause(self) -> bool:
        """Return whether one cause may have crashed all of several engines that ran it."""
        crashes = self.suspected_crashes()
        if len(crashes) < 2 or len(self.rounds()) > 1:
            return False
        return all(each.is_cold for each in crashes) or len(independent_crashes(crashes)) == 1

    def quarantine_seconds(self) -> float:
        """Return for how long after the last crash it must not be run once quarantined."""
        further_crashes = len(self.rounds()) - CRASHES_TO_QUARANTINE
        if self.is_part:
            doubled = PART_QUARANTINE_SECONDS * 2.0 ** max(0, further_crashes)
            return min(QUARANTINE_SECONDS, doubled)
        return QUARANTINE_SECONDS if further_crashes >= 0 else OVERLAP_QUARANTINE_SECONDS

    def suspected_crashes(self) -> list[Crash]:
        """Return the crashes of which the request is not cleared."""
        return [self.crash_by_name[name] for name in self.uncleared_crashes()]
