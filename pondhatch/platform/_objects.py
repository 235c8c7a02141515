"""The shapes of the store's objects and answers, and reading them from bytes.

Objects within an answer are read one by one: anyone may have written them.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from pondhatch.platform._json_split import elements, member, members


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


class ObjectChange(msgspec.Struct, rename="pascal", frozen=True):
    """One change that a watch tells of."""

    object: StoreObject
    deleted: bool = False


class WatchAnswer(msgspec.Struct, frozen=True):
    """What a watch answers."""

    #: Changes, each still to be read by itself.
    events: tuple[msgspec.Raw, ...]
    timestamp: int = msgspec.field(name="Timestamp")


#: What decoding raises where bytes are no JSON, or nested too deep.
JSON_ERRORS = (msgspec.DecodeError, RecursionError)

Answer = TypeVar("Answer", Page, WatchAnswer)


def decode_answer(content: bytes, shape: type[Answer], list_key: str) -> Answer:
    """Return an answer; ``listed`` names the list of its parts, each still to be read.

    Raises what UNREADABLE_JSON holds, where more than a part cannot be read.
    """
    try:
        return msgspec.json.decode(content, type=shape)
    except JSON_ERRORS:
        raw_by_name = dict(members(content))
        raw_list = raw_by_name.pop(list_key, b"")
        rest = b",".join(b'"%s":%s' % (name.encode(), raw) for name, raw in raw_by_name.items())
        answer = msgspec.json.decode(b'{"%s":[],%s}' % (list_key.encode(), rest), type=shape)
        if not raw_list:
            raise
    return msgspec.structs.replace(
        answer, **{list_key.lower(): tuple(map(msgspec.Raw, elements(raw_list)))}
    )


def metadata_of(entry: bytes | msgspec.Raw) -> Metadata | None:
    """Return the metadata of an object that may make no sense otherwise."""
    try:
        return msgspec.json.decode(member(bytes(entry), "Metadata"), type=Metadata)
    except JSON_ERRORS:
        return None


def name_of(entry: bytes | msgspec.Raw) -> str:
    """Return the name of an object that may make no sense otherwise, empty where it has none."""
    metadata = member(bytes(entry), "Metadata")
    try:
        return msgspec.json.decode(metadata, type=NameOnly).name
    except JSON_ERRORS:
        return ""
