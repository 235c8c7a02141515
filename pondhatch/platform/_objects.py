"""The shapes of the store's objects and answers, and reading them from bytes.

Objects within an answer are read one by one: anyone may have written them.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from pondhatch.platform._salvage import elements, member, members


class Metadata(msgspec.Struct, rename="pascal", frozen=True):
    """What the store keeps of an object."""

    name: str
    #: Counts all changes of the store, so a higher one is newer whatever the object.
    revision: int = 0


class NameOnly(msgspec.Struct, rename="pascal", frozen=True):
    """What is needed to know an object by."""

    name: str


class StoreObject(msgspec.Struct, rename="pascal", frozen=True):
    """An object; what its writer says stands in ``spec``, or for some kinds in ``status``."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Page(msgspec.Struct, rename="pascal", frozen=True):
    """A part of a listing."""

    #: Objects, each still to be read by itself.
    entries: tuple[msgspec.Raw, ...]
    #: The store's revision as of which the page was read, not a time.
    timestamp: int
    has_more: bool = False


class Happened(msgspec.Struct, rename="pascal", frozen=True):
    """One change that a watch tells of."""

    object: StoreObject
    deleted: bool = False


class Watched(msgspec.Struct, frozen=True):
    """What a watch answers."""

    #: Changes, each still to be read by itself.
    events: tuple[msgspec.Raw, ...]
    timestamp: int = msgspec.field(name="Timestamp")


#: What decoding raises where bytes are no JSON, or nested too deep.
UNREADABLE_JSON = (msgspec.DecodeError, RecursionError)

Answer = TypeVar("Answer", Page, Watched)


def decoded(content: bytes, shape: type[Answer], listed: str) -> Answer:
    """Return an answer; ``listed`` names the list of its parts, each still to be read.

    Raises what UNREADABLE_JSON holds, where more than a part cannot be read.
    """
    try:
        return msgspec.json.decode(content, type=shape)
    except UNREADABLE_JSON:
        raw_by_name = dict(members(content))
        parts = raw_by_name.pop(listed, b"")
        rest = b",".join(b'"%s":%s' % (name.encode(), raw) for name, raw in raw_by_name.items())
        answer = msgspec.json.decode(b'{"%s":[],%s}' % (listed.encode(), rest), type=shape)
        if not parts:
            raise
    return msgspec.structs.replace(
        answer, **{listed.lower(): tuple(map(msgspec.Raw, elements(parts)))}
    )


def metadata_of(entry: bytes | msgspec.Raw) -> Metadata | None:
    """Return the metadata of an object that may make no sense otherwise."""
    try:
        return msgspec.json.decode(member(bytes(entry), "Metadata"), type=Metadata)
    except UNREADABLE_JSON:
        return None


def name_of(entry: bytes | msgspec.Raw) -> str:
    """Return the name of an object that may make no sense otherwise, empty where it has none."""
    metadata = member(bytes(entry), "Metadata")
    try:
        return msgspec.json.decode(metadata, type=NameOnly).name
    except UNREADABLE_JSON:
        return ""
