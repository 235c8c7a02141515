"""How long one request may still wait at full engines."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.requests._dispatch_results import WaitLimits
from pondhatch.requests._grant_requests import MS_PER_SECOND
from pondhatch.requests._messages import RequestHead
from pondhatch.requests._wait_limits import RunTimes, UsualTimes, in_time, wait_limit


class SlotWait:
    """Limits the wait by the caller's deadlines and the usual run times of the service."""

    def __init__(
        self,
        head: RequestHead,
        wait_limits: WaitLimits,
        remaining: Callable[[], float],
        run_times: RunTimes,
    ) -> None:
        self._head = head
        self._wait_limits = wait_limits
        #: Returns the seconds to the caller's deadline.
        self._remaining = remaining
        self._run_times = run_times

    def limit(self) -> float:
        """Return the seconds for which the request may wait from now on."""
        deadlines = self._wait_limits.deadlines
        if deadlines is None:
            return max(0.0, min(self._remaining(), self._wait_limits.last_engine))
        return wait_limit(deadlines, self._remaining(), self._elapsed(), self._usual())

    def in_time_ms(self, default_ms: int) -> int:
        """Return the milliseconds within which a grant is in time for the objective.

        Returns ``default_ms`` if no objective is known.
        """
        deadlines = self._wait_limits.deadlines
        if deadlines is None:
            return default_ms
        left = in_time(deadlines, self._elapsed(), self._usual())
        return max(1, round(left * MS_PER_SECOND))

    def _elapsed(self) -> float:
        """Return the seconds since the request arrived."""
        return self._head.deadline - self._remaining()

    def _usual(self) -> UsualTimes:
        return self._run_times.usual(self._head.service)
