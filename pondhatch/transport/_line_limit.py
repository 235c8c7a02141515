"""Ends an exchange whose answer stops inside a line; the timer runs on the running loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

#: Seconds within which a head must end once it has begun; so must trailers and a chunk's frame.
#: They come in one piece or nearly; what precedes a head's first byte is work.
LINES_SECONDS = 0.8


class LineLimit:
    """Gives up an exchange unless lines that have begun end."""

    def __init__(self) -> None:
        #: None if no lines have begun.
        self._timer: asyncio.TimerHandle | None = None

    def start(self, give_up: Callable[[str], None]) -> None:
        """Start the timer of lines that have begun, unless it runs; ``give_up`` gets the reason."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                LINES_SECONDS, give_up, f"a head or a frame did not end in {LINES_SECONDS} s"
            )

    def stop(self) -> None:
        """Stop the timer, as the lines ended or the exchange did."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
