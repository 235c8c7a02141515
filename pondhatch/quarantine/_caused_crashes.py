"""Which crashes a suspect may have caused, as far as other crashes at the time tell it."""

from __future__ import annotations

from pondhatch.quarantine._crash_moments import Crash
from pondhatch.quarantine._known_crashes import KnownCrashes
from pondhatch.quarantine._suspect import Suspect

#: Number of runs, each begun after the one before had ended its engine, after which a request is
#: quarantined even if other engines crashed whenever it did: callers may send several requests that
#: crash engines at the same time.
ROUNDS_TO_QUARANTINE = 4
#: Share of all crashes, from the first to the last in which a part was lost, from which on the part
#: is quarantined. Where engines end for other reasons, a part that is in use all the time is lost
#: in some of those crashes.
MIN_SHARE_OF_CRASHES = 1 / 3


def crashes_by(suspect: Suspect, known_crashes: KnownCrashes) -> list[Crash]:
    """Return the crashes that a suspect may have caused.

    What ended several other engines at the time of a later run may have ended the run's engine
    too. Where that comes again and again, it is the suspect all the same.
    """
    crashes, rounds = suspect.suspected_crashes(), suspect.rounds()
    if len(rounds) >= ROUNDS_TO_QUARANTINE:
        return crashes
    return [
        each
        for each in crashes
        if each.overlaps(rounds[0])
        or not known_crashes.most_were_others(each.at, suspect.crash_by_name)
    ]


def has_due_share(suspect: Suspect, known_crashes: KnownCrashes) -> bool:
    """Return whether a part was in enough of all crashes from its first to its last one."""
    times = [suspect.crash_by_name[crash].at for crash in suspect.uncleared_crashes()]
    first, last = min(times), max(times)
    return len(times) >= known_crashes.count_between(first, last) * MIN_SHARE_OF_CRASHES
