"""Collects the misfits of entries while edits are applied."""

from __future__ import annotations

from collections.abc import Iterable

from pondhatch.configuration._changes import EntryKey
from pondhatch.configuration._validation import Misfit


class MisfitCollector:
    """Misfits by entry, and the entries that cause them."""

    def __init__(self) -> None:
        self.by_entry: dict[EntryKey, list[Misfit]] = {}
        #: Each misfit with its cause: of two conflicting entries, the edited one.
        self.causes: list[tuple[EntryKey, Misfit]] = []

    def add(self, kind: str, name: str, misfit: Misfit) -> None:
        """Record a misfit that the entry itself causes."""
        self.add_affected(kind, name, misfit)
        self.add_cause(kind, name, misfit)

    def add_all(self, kind: str, name: str, misfits: Iterable[Misfit]) -> None:
        """Record misfits that the entry itself causes."""
        for misfit in misfits:
            self.add(kind, name, misfit)

    def add_affected(self, kind: str, name: str, misfit: Misfit) -> None:
        """Record a misfit that another entry causes; the entry is not applied in full."""
        self.by_entry.setdefault((kind, name), []).append(misfit)

    def add_cause(self, kind: str, name: str, misfit: Misfit) -> None:
        """Record a misfit that rejects new edits but leaves an accepted entry applied."""
        self.causes.append(((kind, name), misfit))
