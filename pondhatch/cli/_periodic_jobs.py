"""Runs the periodic jobs of a router, so that a failing job does not affect the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from pondhatch.observing import log_for

log = log_for("process")

#: Seconds from one round of the jobs to the next.
ROUND_SECONDS = 0.1
#: Seconds after which a job that still fails is logged again: six lines a minute show that the
#: failure lasts, where one line each round would be 600.
LOG_AGAIN_SECONDS = 10.0


class PeriodicJobs(msgspec.Struct):
    """Runs every job once a round; a failing job ends neither the round nor later ones."""

    job_by_name: Mapping[str, Callable[[], None]]
    clock: Callable[[], float]
    #: When each failing job was last logged, in seconds of the clock.
    _logged_at_by_name: dict[str, float] = msgspec.field(default_factory=dict)
    #: When the latest round began, in the clock's seconds.
    _ran_at: float = float("-inf")

    async def run(self) -> None:
        """Run rounds until cancelled.

        Rounds are scheduled by timers. A sleep would resume a task in a second iteration of the
        event loop each time, a quarter of all iterations of an idle router.
        """
        loop = asyncio.get_running_loop()
        timer: asyncio.TimerHandle | None = None

        def run_and_reschedule() -> None:
            nonlocal timer
            self._ran_at = self.clock()
            self.run_once()
            timer = loop.call_later(ROUND_SECONDS, run_and_reschedule)

        run_and_reschedule()
        try:
            await loop.create_future()
        finally:
            if timer is not None:
                timer.cancel()

    def ran_at(self) -> float:
        """Return when the latest round began: the process ran then.

        Before the first round it is the present.
        """
        return self.clock() if self._ran_at == float("-inf") else self._ran_at

    def run_once(self) -> None:
        """Run every job once."""
        for name, job in self.job_by_name.items():
            try:
                job()
            except Exception as error:
                self._log_failure(name, error)
            else:
                self._logged_at_by_name.pop(name, None)

    def _log_failure(self, name: str, error: Exception) -> None:
        now = self.clock()
        if now - self._logged_at_by_name.get(name, float("-inf")) < LOG_AGAIN_SECONDS:
            return
        self._logged_at_by_name[name] = now
        log.opt(exception=error).error("Periodic job {} failed: {!r}.", name, error)
