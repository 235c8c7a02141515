"""The types of the store's objects and answers, and their decoding from bytes.

Objects within an answer are decoded one by one: any writer may have stored a malformed one.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from pondhatch.store import JSON_ERRORS, elements, member, members


class Metadata(msgspec.Struct, rename="pascal", frozen=True):
    """The metadata that the store keeps of an object."""

    name: str
    #: Counts all changes of the store, so a higher one is newer, whichever the object.
    revision: int = 0


class NameOnly(msgspec.Struct, rename="pascal", frozen=True):
    """The part of the metadata that identifies an object."""

    name: str


class StoreObject(msgspec.Struct, rename="pascal", frozen=True):
    """An object; its value is in ``spec``, or for some kinds in ``status``."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Page(msgspec.Struct, rename="pascal", frozen=True):
    """One page of a listing."""

    #: Raw objects, which are decoded later, each independently of the others.
    entries: tuple[msgspec.Raw, ...]
    #: The store's revision at which the page was read, not a time.
    timestamp: int
    has_more: bool = False


class ObjectChange(msgspec.Struct, rename="pascal", frozen=True):
    """One change that a watch reports."""

    object: StoreObject
    deleted: bool = False


class WatchAnswer(msgspec.Struct, frozen=True):
    """The answer to one call of a watch."""

    #: Raw changes, which are decoded later, each independently of the others.
    events: tuple[msgspec.Raw, ...]
    timestamp: int = msgspec.field(name="Timestamp")


Answer = TypeVar("Answer", Page, WatchAnswer)


def decode_answer(content: bytes, shape: type[Answer], list_key: str) -> Answer:
    """Decode an answer whose array ``list_key`` holds elements that are decoded later.

    An element that is not valid JSON does not make this fail: the array is then split without
    decoding it. Raises JSON_ERRORS if anything but an element cannot be decoded.
    """
    try:
        return msgspec.json.decode(content, type=shape)
    except JSON_ERRORS:
        raw_by_name = dict(members(content))
        raw_elements = elements(raw_by_name.pop(list_key, b""))
        other_members = b",".join(
            b'"%s":%s' % (name.encode(), raw) for name, raw in raw_by_name.items()
        )
        answer = msgspec.json.decode(
            b'{"%s":[],%s}' % (list_key.encode(), other_members), type=shape
        )
    return msgspec.structs.replace(
        answer, **{list_key.lower(): tuple(map(msgspec.Raw, raw_elements))}
    )


def metadata_of(entry: bytes | msgspec.Raw) -> Metadata | None:
    """Return the metadata of a possibly malformed object, None if it cannot be decoded."""
    try:
        return msgspec.json.decode(member(bytes(entry), "Metadata"), type=Metadata)
    except JSON_ERRORS:
        return None


def name_of(entry: bytes | msgspec.Raw) -> str:
    """Return the name of a possibly malformed object, empty if it has none."""
    metadata = member(bytes(entry), "Metadata")
    try:
        return msgspec.json.decode(metadata, type=NameOnly).name
    except JSON_ERRORS:
        return ""
