"""An asyncio loop whose time is stepped: histories of minutes run in milliseconds."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class _SteppingSelector(selectors.SelectSelector):
    """Steps the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without real time."""

    def __init__(self) -> None:
        self._stepping = _SteppingSelector()
        super().__init__(self._stepping)

    def time(self) -> float:
        """Return the stepped time, in seconds."""
        return self._stepping.now


def run_virtually(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end on a loop without real time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
