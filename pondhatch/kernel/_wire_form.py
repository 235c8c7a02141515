"""What is encoded of messages whose last fields were added later.

A message is written as an array. Left out while they hold their defaults, fields that were added
cost no bytes, and programs that do not know them read the message as they always did.
"""

from __future__ import annotations

import functools
from typing import Any

import msgspec
from msgspec.structs import astuple


def without_defaults(message: msgspec.Struct, first_added: str) -> msgspec.Struct | tuple[Any, ...]:
    """Return what is to be encoded of a message: without the field ``first`` and those behind it.

    The whole message where one of them says something else than its default.
    """
    kept, defaults = _split_fields(type(message), first_added)
    values = astuple(message)
    if values[kept:] != defaults:
        return message
    tag = message.__struct_config__.tag
    return values[:kept] if tag is None else (tag, *values[:kept])


@functools.cache
def _split_fields(kind: type[msgspec.Struct], first_added: str) -> tuple[int, tuple[Any, ...]]:
    """Return how many fields stand before one, and the defaults from that one on."""
    kept = kind.__struct_fields__.index(first_added)
    added = len(kind.__struct_fields__) - kept
    return kept, kind.__struct_defaults__[-added:]
