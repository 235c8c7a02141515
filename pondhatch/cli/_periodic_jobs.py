"""What a router does round after round, each part kept apart from the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from pondhatch.observing import log_for

log = log_for("process")

#: Seconds between rounds of what is due.
ROUND_SECONDS = 0.1
#: Seconds after which a part that still fails is told again: six lines a minute show that it
#: lasts, where a line for each round would be 600.
LOG_AGAIN_SECONDS = 10.0


class PeriodicJobs(msgspec.Struct):
    """Runs every part once a round; one that fails neither ends the rounds nor stops the others."""

    job_by_name: Mapping[str, Callable[[], None]]
    clock: Callable[[], float]
    #: When each part that fails was last told of, in the clock's seconds.
    _logged_at_by_name: dict[str, float] = msgspec.field(default_factory=dict)

    async def run(self) -> None:
        """Do what is due until cancelled.

        By timers alone: a sleep wakes a task, which is a second turn of the loop each time, a
        fourth of all turns that an idle router takes.
        """
        loop = asyncio.get_running_loop()
        timer: asyncio.TimerHandle | None = None

        def run_and_reschedule() -> None:
            nonlocal timer
            self.run_once()
            timer = loop.call_later(ROUND_SECONDS, run_and_reschedule)

        run_and_reschedule()
        try:
            await loop.create_future()
        finally:
            if timer is not None:
                timer.cancel()

    def run_once(self) -> None:
        """Do one round."""
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
        log.opt(exception=error).error("Part {} of a round failed: {!r}.", name, error)
