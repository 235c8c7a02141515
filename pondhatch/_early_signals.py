"""Handles signals that reach a router while it is still loading.

Until the event loop handles signals, the default action of a hangup would end the process, although
an operator only asked it to read its settings anew; on a busy VM a start takes seconds.

This module imports nothing but light standard modules, since its handlers must be set first.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence
from types import FrameType

from pondhatch._early_port import RUN_COMMAND

#: Exit status of a router that stops as it was asked to.
EXIT_STOPPED = 0
#: Signals that stop a router.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_hangups: list[int] = []


def handle_early(arguments: Sequence[str]) -> None:
    """Handle signals from now on, if the command line starts a router."""
    if arguments[:1] != [RUN_COMMAND]:
        return
    signal.signal(signal.SIGHUP, _keep)
    for number in STOP_SIGNALS:
        signal.signal(number, _stop)


def take_hangup() -> bool:
    """Return whether a hangup came since the last call; the event loop handles later ones."""
    had_any = bool(_hangups)
    _hangups.clear()
    return had_any


def _keep(number: int, frame: FrameType | None) -> None:
    _hangups.append(number)


def _stop(number: int, frame: FrameType | None) -> None:
    # Nothing was accepted yet that would have to be finished.
    os._exit(EXIT_STOPPED)
