"""Objects in the platform's answers, as far as they can be decoded.

Any writer may have stored one that is nested too deep, has a number that is too large, or is no
text, so each object of an answer is decoded by itself.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from pondhatch.store import JSON_ERRORS, Position, elements, member


class Listing(msgspec.Struct, frozen=True):
    """A listing of raw objects, which are decoded later, each independently of the others."""

    version: int
    objects: tuple[msgspec.Raw, ...]


class ObjectKey(msgspec.Struct, frozen=True):
    """What identifies an object or a change, whatever its value."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    version: Position


def decode_listing(content: bytes) -> Listing:
    """Return a listing, also where one of its objects is not valid JSON. Raises JSON_ERRORS."""
    try:
        return msgspec.json.decode(content, type=Listing)
    except JSON_ERRORS:
        objects = elements(member(content, "objects"))
        version = msgspec.json.decode(member(content, "version"), type=int)
        return Listing(version, tuple(map(msgspec.Raw, objects)))


def key_of(content: bytes) -> ObjectKey | None:
    """Return the key of a possibly malformed object or event, None if it has none."""
    try:
        name = msgspec.json.decode(member(content, "name"))
        version = msgspec.json.decode(member(content, "version"))
        return msgspec.convert({"name": name, "version": version}, ObjectKey)
    except JSON_ERRORS:
        return None


def name_of(content: bytes | msgspec.Raw) -> str:
    """Return the name of a possibly malformed object, empty if it has none."""
    try:
        return msgspec.json.decode(member(bytes(content), "name"), type=str)
    except JSON_ERRORS:
        return ""
