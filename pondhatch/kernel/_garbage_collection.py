"""Python's search for garbage, which is held back while a process starts."""

from __future__ import annotations

import gc


def enable_garbage_collection() -> None:
    """Search for garbage from now on; what is there already stays, and is passed over."""
    gc.freeze()
    gc.enable()
