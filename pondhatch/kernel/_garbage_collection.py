"""Control of Python's cyclic garbage collector.

It is off while a process starts, since collections over the many objects that imports create would
slow the start down.
"""

from __future__ import annotations

import gc


def enable_garbage_collection() -> None:
    """Enable the collector and exempt all objects that exist by now, as few are ever freed."""
    gc.freeze()
    gc.enable()
