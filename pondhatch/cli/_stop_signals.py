"""The stop signals of a router process, and when the first of them came."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

import msgspec

from pondhatch._early_signals import STOP_SIGNALS


class StopSignals(msgspec.Struct):
    """Waits for a stop signal without dating it too late.

    The event loop calls its handler of a signal some iterations after the signal; where the process
    stood still, after a good part of the grace. Python's own handler runs before any callback of
    the loop goes on, so what last ran before it did so before the signal came.
    """

    #: Returns the latest time, in seconds, at which the process is known to have run.
    ran_at: Callable[[], float]
    _came: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
    #: When the process last ran before the first signal; None before a signal.
    _ran_before: float | None = None

    def follow(self) -> None:
        """Handle stop signals from now on, in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._came.set)
            # The loop is woken by any Python handler; the one that it installs does nothing.
            signal.signal(number, self._note)

    async def wait(self) -> float:
        """Wait for the first signal; return a time at which it had not come yet."""
        await self._came.wait()
        return self.ran_at() if self._ran_before is None else self._ran_before

    def ignore(self) -> None:
        """Ignore stop signals from now on."""
        loop = asyncio.get_running_loop()
        # Once the loop no longer handles a signal, one would kill the process. A signal that is
        # ignored when it is let through is dropped.
        blocked_before = signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked_before)

    def _note(self, _number: int, _frame: FrameType | None) -> None:
        if self._ran_before is None:
            self._ran_before = self.ran_at()
