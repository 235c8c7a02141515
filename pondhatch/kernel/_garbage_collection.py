"""Control of Python's cyclic garbage collector, which is off while a process starts."""

from __future__ import annotations

import gc


def enable_garbage_collection() -> None:
    """Enable the collector and exempt all objects that exist by now from collection."""
    gc.freeze()
    gc.enable()
