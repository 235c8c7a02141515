"""The time that a router has left once it was asked to stop, and what it may still begin."""

from __future__ import annotations

import msgspec

from pondhatch.requests import NotRun, WorkTimes

#: Refusal of a request that comes too late in the grace, or may not end in it.
STOPPING = NotRun("stopping", "this router is stopping; ask another", 0.0)


class Grace(msgspec.Struct, frozen=True):
    """The time from the stop signal to the end of the process, in the clock's seconds."""

    #: When the last request may be taken.
    accepts_until: float
    #: When answers are cut that have not ended.
    ends_at: float

    def refusal(
        self, times: WorkTimes, service: str, repeatable: bool, deadline: float, now: float
    ) -> NotRun | None:
        """Return the refusal of a request that may not end in time, None if it may be taken.

        ``deadline`` is the number of seconds after which it is given up in any case.
        """
        if not self.is_accepting(now):
            return STOPPING
        left = self.ends_at - now
        if deadline <= left or times.may_end_within(service, repeatable, left, now):
            return None
        return STOPPING

    def is_accepting(self, now: float) -> bool:
        """Return whether any request may still be taken.

        This is asked by the clock: on a busy VM a timer for it would run late.
        """
        return now < self.accepts_until
