"""Plays a case: nothing but its judgement may look like a broken rule."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Coroutine
from typing import Any

#: Exit status of a case that could not run.
COULD_NOT_RUN = 2


async def _until_stopped(case: Coroutine[Any, Any, int]) -> int:
    """Return the case's judgement; SIGTERM cancels it, so that its processes are ended."""
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def play(case: Coroutine[Any, Any, int]) -> None:
    """Run a case and exit with its judgement, or with ``COULD_NOT_RUN`` after an error."""
    try:
        status = asyncio.run(_until_stopped(case))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)
