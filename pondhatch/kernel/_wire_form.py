"""Encoding of messages whose last fields were added in a later version.

Messages are encoded as arrays. Added fields are left out while all of them hold their defaults, so
they cost no bytes, and programs that do not know them still read the message.
"""

from __future__ import annotations

import functools
from typing import Any

import msgspec
from msgspec.structs import astuple


def without_defaults(message: msgspec.Struct, first_added: str) -> msgspec.Struct | tuple[Any, ...]:
    """Return what to encode of a message: its fields before ``first_added``, and its tag if any.

    Returns the message itself if ``first_added`` or a field after it differs from its default.
    """
    kept, defaults = _split_fields(type(message), first_added)
    values = astuple(message)
    if values[kept:] != defaults:
        return message
    tag = message.__struct_config__.tag
    return values[:kept] if tag is None else (tag, *values[:kept])


@functools.cache
def _split_fields(kind: type[msgspec.Struct], first_added: str) -> tuple[int, tuple[Any, ...]]:
    """Return the number of fields before ``first_added``, and the defaults from it on."""
    kept = kind.__struct_fields__.index(first_added)
    added = len(kind.__struct_fields__) - kept
    return kept, kind.__struct_defaults__[-added:]
