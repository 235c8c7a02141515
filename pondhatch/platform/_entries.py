"""Reading entries of the operator's configuration one by one, and each field by field."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Mapping
from typing import Any, ClassVar, Generic, TypeVar

import msgspec

from pondhatch.configuration import UNREADABLE_KEY, Edit


class WireStruct(msgspec.Struct, rename="pascal", frozen=True):
    """Base of all parts. A field with a default may be missing, empty or unreadable."""

    #: Fields that bind whoever uses the entry. One that is there and cannot be read leaves the
    #: whole entry unusable: its default would free what the operator has bound.
    RESTRICTIONS: ClassVar[frozenset[str]] = frozenset()


Shape = TypeVar("Shape", bound=WireStruct)


class NamedEntry(WireStruct, frozen=True):
    """An entry of the configuration."""

    name: str


Entry = TypeVar("Entry", bound=NamedEntry)


class ReadResult(msgspec.Struct, Generic[Shape], frozen=True):
    """What could be read of an entry."""

    entry: Shape
    #: Why some of its fields could not be read; empty where all could.
    problems: str = ""


def read_entry(shape: type[Shape], value: Any) -> ReadResult[Shape]:
    """Read an entry field by field: one that it can do without takes no other with it.

    Raises msgspec.ValidationError where the entry cannot do without it.
    """
    if not isinstance(value, Mapping):
        raise msgspec.ValidationError(f"expected an object, found {type(value).__name__}")
    values: dict[str, Any] = {}
    problems: list[str] = []
    for field in _fields(shape):
        raw = value.get(field.encode_name)
        if raw is None and not field.required:
            continue
        try:
            values[field.name] = msgspec.convert(normalize_number(raw), field.type)
        except msgspec.ValidationError as error:
            problem = f"{field.encode_name}: {error}"
            if field.required or field.name in shape.RESTRICTIONS:
                raise msgspec.ValidationError(problem) from error
            problems.append(problem)
    return ReadResult(shape(**values), "; ".join(problems))


@functools.cache
def _fields(shape: type[WireStruct]) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return the fields of a shape, worked out once.

    Working them out compiles each annotation anew, 0.2 ms a call: a configuration of 450
    routes held up everything else at its router for 107 ms, each time it changed, and now
    for 8 ms (median of 59 decodings, one core).
    """
    return msgspec.structs.fields(shape)


def normalize_number(value: Any) -> Any:
    """Return a number as JSON means it: 2.0 is 2."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


class EditCache:
    """The readable entries of the document read last, as they came and in the product's form.

    An operator's change touches an entry or two of hundreds. What came before as it is now is
    not read again: a change among 450 routes holds its watcher up for 2 ms instead of 8 (median
    of 59, one core), five times that on a VM that is slowed.
    """

    def __init__(self) -> None:
        self._previous_by_raw: dict[bytes, Edit] = {}
        self._current_by_raw: dict[bytes, Edit] = {}

    def get_or_read(self, kind: str, value: Any, read: Callable[[], Edit]) -> Edit:
        """Return an entry's edit, read only where it did not come before. Raises as ``read``."""
        raw = msgspec.json.encode((kind, value))
        cached = self._previous_by_raw.get(raw)
        edit = read() if cached is None else cached
        self._current_by_raw[raw] = edit
        return edit

    def end_document(self) -> None:
        """Forget what the document that was read did not hold."""
        self._previous_by_raw, self._current_by_raw = self._current_by_raw, {}


class Entries(Generic[Entry]):
    """The entries of one kind that can be read, by name, and those that cannot."""

    def __init__(
        self,
        kind: str,
        shape: type[Entry],
        convert: Callable[[Entry], dict[str, Any]],
        cache: EditCache,
    ) -> None:
        self.edit_by_name: dict[str, Edit] = {}
        self.unreadable: list[Edit] = []
        self._kind = kind
        self._shape = shape
        #: Returns an entry in the product's form.
        self._convert = convert
        self._cache = cache

    def add(self, values: Iterable[Any] | None) -> None:
        """Read entries."""
        for value in values or ():
            self._add(value)

    @property
    def edits(self) -> list[Edit]:
        """All entries, in the product's form."""
        return [*self.edit_by_name.values(), *self.unreadable]

    def _add(self, value: Any) -> None:
        try:
            edit = self._cache.get_or_read(self._kind, value, lambda: self._read(value))
        except msgspec.ValidationError as error:
            self._add_unreadable(value, str(error))
            return
        if edit.name in self.edit_by_name:
            self._add_unreadable(value, "another one has its name")
            return
        self.edit_by_name[edit.name] = edit

    def _read(self, value: Any) -> Edit:
        result = read_entry(self._shape, value)
        return Edit(
            self._kind,
            result.entry.name,
            with_problems(self._convert(result.entry), result.problems),
        )

    def _add_unreadable(self, value: Any, reason: str) -> None:
        """Keep what could be read of an entry that cannot be used: a route holds its place."""
        fields = value if isinstance(value, Mapping) else {}
        route_key = {"host": fields.get("Host"), "path_prefix": fields.get("PathPrefix")}
        entry = {name: each for name, each in route_key.items() if isinstance(each, str)}
        name = fields.get("Name")
        # Numbered, for its name may be another's, or none.
        unique = f"{name if isinstance(name, str) else ''}#{len(self.unreadable) + 1}"
        self.unreadable.append(Edit(self._kind, unique, {**entry, UNREADABLE_KEY: reason}))


def with_problems(entry: dict[str, Any], problems: str) -> dict[str, Any]:
    """Return an entry with why some of it could not be read, where that is so."""
    return {**entry, UNREADABLE_KEY: problems} if problems else entry
