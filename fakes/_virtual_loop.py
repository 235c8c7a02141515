"""An asyncio loop with a virtual clock: minutes of simulated time run in milliseconds."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class _SteppingSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no timer is pending and no file descriptor is ready")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on a virtual clock."""

    def __init__(self) -> None:
        self._stepping = _SteppingSelector()
        super().__init__(self._stepping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._stepping.now

    def stand_still(self, seconds: float) -> None:
        """Let time pass in which nothing runs, as for a process that stands still."""
        self._stepping.now += seconds


def stand_still(seconds: float) -> None:
    """Let time pass on the running virtual loop in which nothing runs."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, VirtualLoop):
        raise TypeError(f"expected a virtual loop, not {loop}")
    loop.stand_still(seconds)


def run_virtually(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end on a virtual clock and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
