"""What is wrong with entries, noted while edits are taken in."""

from __future__ import annotations

from collections.abc import Iterable

from pondhatch.configuration._changes import EntryKey
from pondhatch.configuration._validation import Misfit


class MisfitCollector:
    """Misfits by entry, and which entries are to blame for them."""

    def __init__(self) -> None:
        self.by_entry: dict[EntryKey, list[Misfit]] = {}
        #: Of two entries that claim the same, the one that was edited is to blame.
        self.causes: list[tuple[EntryKey, Misfit]] = []

    def add(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note a misfit of an entry, which is to blame for it."""
        self.add_affected(kind, name, misfit)
        self.add_cause(kind, name, misfit)

    def add_all(self, kind: str, name: str, misfits: Iterable[Misfit]) -> None:
        """Note misfits of an entry, which is to blame for them."""
        for misfit in misfits:
            self.add(kind, name, misfit)

    def add_affected(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note that an entry is not in force as it stands, and not by its own fault."""
        self.by_entry.setdefault((kind, name), []).append(misfit)

    def add_cause(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note what is wrong for whoever writes an entry; accepted, it is in force."""
        self.causes.append(((kind, name), misfit))
